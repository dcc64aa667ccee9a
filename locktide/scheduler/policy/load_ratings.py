"""Load ratings: the load and draw weight of each endpoint, if ratings fall with load.

The rule, for each rating of the endpoint list:

- The load of an endpoint, in requests per core, follows from its rating and the highest rating of its worker
  type.
- Its draw weight is capacity ** 2 / (1 + load) ** 3. A large endpoint is drawn more often than a small one
  with the same load, and a busy one far less often than an idle one.
- The weight is reduced by the cost of another zone, and if some service class runs only on this worker type.
- An endpoint with work whose rating does not change while most others do is suspected until its rating
  changes. Otherwise a worker that takes requests but does not run them would keep the rating of its idle
  time, and would continue to be drawn.
"""

from math import exp

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.state import ActiveConfig, Endpoint, EndpointTable, FleetEstimates
from locktide.scheduler.state.load_estimator import LoadEstimator

#: Cost that divides a draw weight by e, as a fraction of the value of a usual request.
COST_SCALE = 0.01
#: Exponents of capacity and load in the draw weight. Lower exponents send too much to full endpoints; with
#: higher ones all dispatchers turn to the few endpoints that were idle a second ago.
CAPACITY_EXPONENT = 2
LOAD_EXPONENT = 3
#: Minimum capacity in the draw weight, so that an endpoint without a rating can still be drawn.
MIN_CAPACITY = 1e-3
#: Factor on the weight of a worker type that is the only one of some service class: requests that may run
#: anywhere leave it to this class. For the class itself the factor has no effect.
EXCLUSIVE_TYPE_FACTOR = 0.25


class LoadRatings:
    """Derives loads and draw weights from the ratings of the endpoint list."""

    def __init__(
        self,
        *,
        config: ActiveConfig,
        endpoints: EndpointTable,
        estimates: FleetEstimates,
        outliers: OutlierDetector,
    ) -> None:
        self._config = config
        self._endpoints = endpoints
        self._estimates = estimates
        self._outliers = outliers
        self._estimator = LoadEstimator()
        self._exclusive_types: set[str | None] = set()  # types that are the only one of a service class
        self._cross_zone_factor = 1.0

    def configure(self) -> None:
        """Apply the configuration in force."""
        self._exclusive_types = {each.worker_type for each in self._config.known_service_classes.values()}
        self._cross_zone_factor = exp(-self._config.current.costs.cross_zone / COST_SCALE)

    def forget(self) -> None:
        """Reset the ratings of all endpoints and the values derived from them."""
        self._estimates.mean_load = 0.0
        for endpoint in self._endpoints.by_id.values():
            endpoint.reset_rating()

    def update(self, entries: list[EndpointEntry]) -> None:
        """Process the ratings of an update."""
        endpoints = self._endpoints.by_id
        renewed = self._estimator.update(endpoints, entries)
        for entry in entries:
            endpoint = endpoints[entry.worker]
            endpoint.draw_weight = self._draw_weight(entry, endpoint)
        self._outliers.record_ratings(renewed)
        ready = self._endpoints.candidates.get(None, [])
        self._estimates.mean_load = sum([endpoint.load for endpoint in ready]) / max(1, len(ready))

    def _draw_weight(self, entry: EndpointEntry, endpoint: Endpoint) -> float:
        capacity = max(MIN_CAPACITY, endpoint.capacity)
        weight = capacity**CAPACITY_EXPONENT / (1.0 + endpoint.load) ** LOAD_EXPONENT
        if entry.zone != self._config.current.costs.zone:
            weight *= self._cross_zone_factor
        if entry.worker_type in self._exclusive_types:
            weight *= EXCLUSIVE_TYPE_FACTOR
        return weight
