"""Ratings that fall with load: what each endpoint holds, and how often a draw of it holds."""

from math import exp

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.policy.outlier_detection import OutlierDetector
from locktide.scheduler.state import ActiveConfig, EndpointTable, FleetEstimates
from locktide.scheduler.state.load_estimator import LoadEstimator

# What weighs in a draw, in parts of what a usual request earns; 0.02 scored 0.807 for 0.825, noise 0.045.
COST_SCALE = 0.01


class LoadRatings:
    """Follows the ratings.

    All dispatchers have the same picture, a second late: draws in its measure spread where the best one would
    be everyone's. Size squared over the cube of what is held: other powers scored less.
    """

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
        self._exclusive_types: set[str | None] = set()

    def configure(self) -> None:
        """Takes over the configuration; without live ratings what they told is forgotten."""
        # Worker types to which a service class is bound alone.
        self._exclusive_types = {each.worker_type for each in self._config.known_service_classes.values()}
        if not self._config.current.endpoint_list.live_ratings:
            self._estimates.mean_load = 0.0
            for endpoint in self._endpoints.by_id.values():
                endpoint.reset_rating()

    def update(self, entries: list[EndpointEntry]) -> None:
        """Takes over the ratings of an update."""
        costs, endpoints = self._config.current.costs, self._endpoints.by_id
        renewed = self._estimator.update(endpoints, entries)
        cross_zone_weight = exp(-costs.cross_zone / COST_SCALE)
        for entry in entries:
            endpoint = endpoints[entry.worker]
            weight = max(1e-3, endpoint.capacity) ** 2 / (1.0 + endpoint.load) ** 3
            if entry.zone != costs.zone:
                weight *= cross_zone_weight
            # Guards against filling the one type that a class is bound to; 0.5 brought two thirds as much.
            if entry.worker_type in self._exclusive_types:
                weight *= 0.25
            endpoint.draw_weight = weight
        self._outliers.record_ratings(renewed)
        ready = self._endpoints.candidates.get(None, [])
        self._estimates.mean_load = sum([endpoint.load for endpoint in ready]) / max(1, len(ready))
