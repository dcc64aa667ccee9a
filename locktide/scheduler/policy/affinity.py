"""Affinity: requests that share a key are drawn among the same few endpoints.

The rule, for a request with an affinity key:

- All dispatchers compute the same order of the endpoints for the key, by rendezvous hashing.
- The request is drawn among the first of that order: the key's share of all requests that we see, times the
  number of endpoints, and half as many again. At least two, as one alone queues.
- While it finds no place, the number doubles for each half of a usual run that has passed since its arrival.
- Endpoints that are crowded, by their load in requests a core, are passed over, after the number is counted.

Why: what requests of a key need is fetched by each endpoint that runs one, which takes about a run, and is
kept by few. Drawn among all, every endpoint would fetch for every key, and in a burst nothing would stay
where it is needed.
"""

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.estimators.rendezvous_orders import RendezvousOrders
from locktide.scheduler.state import Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.types import PlacementConstraint

#: Fewest endpoints of a key.
MIN_ENDPOINTS = 2
#: Endpoints of a key over its share of the requests: what exceeds its share now and then stays among them.
ENDPOINTS_PER_SHARE = 1.5
#: Added before an endpoint count is cut to a whole number, so that it is rounded up but for rounding errors.
ROUND_UP = 0.99
#: Requests of other keys that count beside the observed ones. The first key after a restart would otherwise
#: have all of what is seen, and every endpoint with it.
OTHER_REQUESTS = 5.0
#: How often the number of endpoints doubles in a usual run. Much sooner, and a burst scatters each key.
DOUBLINGS_PER_RUN = 2.0
#: Most doublings: with as many any key has every endpoint.
MAX_DOUBLINGS = 10.0
#: Load from which an endpoint is crowded, in requests a core, and as a multiple of the mean load: it has to
#: exceed both.
CROWDED_LOAD = 1.5
CROWDED_PER_MEAN = 2.0


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
        """Return which of the eligible endpoints the request is drawn among; there may be none."""
        order = self._orders.order(self._endpoints.candidates, request.placement, key)
        reach = self._reach(request, key, len(order))
        if len(eligible) < len(order):
            allowed = set(eligible)
            order = [endpoint for endpoint in order if endpoint in allowed]
        crowded = max(CROWDED_LOAD, CROWDED_PER_MEAN * self._estimates.mean_load)
        # Crowded endpoints count within the reach: passing over them first would send each key to ever new
        # endpoints in an overload, and all of them would fetch what it needs.
        return [endpoint for endpoint in order[:reach] if endpoint.load <= crowded]

    def _reach(self, request: Request, key: int, endpoint_count: int) -> int:
        """Return how many endpoints at the head of its order are the key's own for this request."""
        now = self._clock.now
        share = self._key_frequencies.share(key, now, others=OTHER_REQUESTS)
        waited = now - request.arrived_at
        doublings = DOUBLINGS_PER_RUN * waited / self._estimates.usual_run_time(request)
        at_first = max(MIN_ENDPOINTS, int(ENDPOINTS_PER_SHARE * share * endpoint_count + ROUND_UP))
        return at_first << int(min(MAX_DOUBLINGS, doublings))
