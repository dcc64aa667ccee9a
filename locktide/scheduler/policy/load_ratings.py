"""Load ratings: what each endpoint holds, and how often it is drawn, where ratings fall with load.

The rule, for each rating of the endpoint list:

- The load of an endpoint follows from its rating and the highest rating of its worker type, in requests a
  core.
- Its draw weight is its capacity squared over the cube of one more than its load: a large endpoint that is
  as busy as a small one is drawn more often, and a busy one far less often than an idle one.
- The weight falls with the cost of another zone, and where a service class runs on this worker type alone.
- An endpoint that holds work, and whose rating is not renewed while most are, is suspected until it is: a
  worker that takes requests and runs none would otherwise keep the rating of its idle time and be drawn on.
"""

from math import exp

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.state import ActiveConfig, Endpoint, EndpointTable, FleetEstimates
from locktide.scheduler.state.load_estimator import LoadEstimator

#: Cost that divides a draw weight by e, as a fraction of what a usual request earns.
COST_SCALE = 0.01
#: Exponents of capacity and load in the draw weight. A lower power sends too much to full endpoints, a higher
#: one makes all dispatchers turn to the few that were idle a second ago.
CAPACITY_EXPONENT = 2
LOAD_EXPONENT = 3
#: Least capacity that counts in a weight, so that an endpoint without a rating can still be drawn.
MIN_CAPACITY = 1e-3
#: Factor of the weight of a worker type to which a service class is bound alone: requests that may run
#: anywhere leave it to that class. For the class itself it changes nothing.
EXCLUSIVE_TYPE_FACTOR = 0.25


class LoadRatings:
    """Follows the ratings of the endpoint list."""

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
        self._exclusive_types: set[str | None] = set()  # worker types to which a service class is bound alone
        self._cross_zone_factor = 1.0

    def configure(self) -> None:
        """Apply the configuration in force."""
        self._exclusive_types = {each.worker_type for each in self._config.known_service_classes.values()}
        self._cross_zone_factor = exp(-self._config.current.costs.cross_zone / COST_SCALE)

    def forget(self) -> None:
        """Forget the ratings of all endpoints and what followed from them."""
        self._estimates.mean_load = 0.0
        for endpoint in self._endpoints.by_id.values():
            endpoint.reset_rating()

    def update(self, entries: list[EndpointEntry]) -> None:
        """Take over the ratings of an update."""
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
