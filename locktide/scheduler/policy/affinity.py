"""Affinity: requests that share a key meet at few endpoints, by rendezvous hashing."""

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.estimators.rendezvous_orders import RendezvousOrders
from locktide.scheduler.state import Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.types import PlacementConstraint


class AffinityRouter:
    """Finds the endpoints that are a key's own."""

    def __init__(
        self,
        *,
        clock: Clock,
        endpoints: EndpointTable,
        estimates: FleetEstimates,
        key_frequencies: KeyFrequencies,
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._estimates = estimates
        self._key_frequencies = key_frequencies
        self._orders = RendezvousOrders[PlacementConstraint | None, Endpoint]()

    def nearest(self, request: Request, key: int, eligible: list[Endpoint]) -> list[Endpoint]:
        """Among which of the eligible endpoints the request draws."""
        # They are few at first, so that what shares the key meets where what it needs is at hand, twice as
        # many after each wait without a place.
        now = self._clock.now
        order = self._orders.order(self._endpoints.candidates, request.placement, key)
        # Half as many again as the key's share of what we see, beside five of others that stand for what was
        # before; two at least: one alone queues. Half a usual run: elsewhere what it needs has to be fetched,
        # which takes about a run; going on much sooner makes keys homeless in a burst.
        share = self._key_frequencies.share(key, now, others=5.0)
        waits = 2.0 * (now - request.arrived_at) / self._estimates.usual_run_time(request)
        reach = max(2, int(1.5 * share * len(order) + 0.99)) << int(min(10.0, waits))
        if len(eligible) < len(order):  # some of them it may not have
            allowed = set(eligible)
            order = [endpoint for endpoint in order if endpoint in allowed]
        # Passed over are the crowded: those before reach is counted would send each key to ever new workers.
        crowded = max(1.5, 2.0 * self._estimates.mean_load)
        return [endpoint for endpoint in order[:reach] if endpoint.load <= crowded]
