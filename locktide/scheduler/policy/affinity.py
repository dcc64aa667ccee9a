"""Affinity: requests that share a key are sent to the same few endpoints.

The rule, for a request with an affinity key:

- All dispatchers compute the same order of the endpoints for the key, by rendezvous hashing.
- The endpoint is drawn among the first n of this order. n is the key's share of all requests of this
  dispatcher, times the number of endpoints, times 1.5. n is at least two: at a single endpoint a queue forms.
- While the request is not placed, n doubles for each half of a usual run time since its arrival.
- Among these n endpoints, those that are crowded are skipped. Crowded means a high load in requests per core.

Why: each endpoint that runs a request of a key first fetches the data of the key. This takes about one run
time, and few endpoints keep the data. If requests were drawn among all endpoints, every endpoint would fetch
data for every key, and in a burst no endpoint would keep the data that it needs.
"""

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.estimators.rendezvous_orders import RendezvousOrders
from locktide.scheduler.state import Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.types import PlacementConstraint

#: Minimum number of endpoints of a key.
MIN_ENDPOINTS = 2
#: Number of endpoints of a key, relative to its share of the requests: the excess absorbs peaks above this
#: share.
ENDPOINTS_PER_SHARE = 1.5
#: Added before an endpoint count is truncated, so that it is rounded up unless the excess is a rounding
#: error.
CEILING_OFFSET = 0.99
#: Assumed requests of other keys, in addition to the observed ones. Otherwise the first key after a restart
#: would have a share of 1 and be sent to every endpoint.
OTHER_REQUESTS = 5.0
#: Doublings of the number of endpoints per usual run time. With many more a burst would scatter each key.
DOUBLINGS_PER_RUN = 2.0
#: Maximum number of doublings: enough to include all endpoints for any key.
MAX_DOUBLINGS = 10.0
#: Load above which an endpoint is crowded, in requests per core and as a multiple of the mean load. The load
#: has to exceed both.
CROWDED_LOAD = 1.5
CROWDED_PER_MEAN = 2.0


class AffinityRouter:
    """Finds the endpoints that belong to an affinity key."""

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

    def select_endpoints(self, request: Request, key: int, eligible: list[Endpoint]) -> list[Endpoint]:
        """Return the eligible endpoints among which the draw is made; the list may be empty."""
        order = self._orders.order(self._endpoints.candidates, request.placement, key)
        own_count = self._count_own_endpoints(request, key, len(order))
        if len(eligible) < len(order):
            allowed = set(eligible)
            order = [endpoint for endpoint in order if endpoint in allowed]
        crowded = max(CROWDED_LOAD, CROWDED_PER_MEAN * self._estimates.mean_load)
        # Crowded endpoints are skipped only after the count: replacing them with the next in the order would
        # send each key to more and more endpoints in an overload, and each of them would fetch the key's
        # data.
        return [endpoint for endpoint in order[:own_count] if endpoint.load <= crowded]

    def _count_own_endpoints(self, request: Request, key: int, endpoint_count: int) -> int:
        """Return how many of the first endpoints in the key's order belong to the key for this request."""
        now = self._clock.now
        share = self._key_frequencies.share(key, now, others=OTHER_REQUESTS)
        waited = now - request.arrived_at
        doublings = DOUBLINGS_PER_RUN * waited / self._estimates.usual_run_time(request)
        initial_count = max(MIN_ENDPOINTS, int(ENDPOINTS_PER_SHARE * share * endpoint_count + CEILING_OFFSET))
        return initial_count << int(min(MAX_DOUBLINGS, doublings))
