"""The load of endpoints, from ratings that fall with it."""

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.state.endpoint import Endpoint


class LoadEstimator:
    """Tells from ratings that fall with load what each endpoint holds."""

    def __init__(self) -> None:
        self._capacities: dict[str, float] = {}  # the highest rating of each type: of one that holds nothing

    def update(self, endpoints: dict[str, Endpoint], entries: list[EndpointEntry]) -> int:
        """Takes new ratings over; how many differ from those before."""
        capacities, renewed = self._capacities, 0
        for entry in entries:
            capacities[entry.worker_type] = max(capacities.get(entry.worker_type, 0.0), entry.rating)
        for entry in entries:
            endpoint = endpoints[entry.worker]
            if entry.rating != endpoint.rating:
                endpoint.rating, endpoint.stale_ratings = entry.rating, 0
                renewed += 1
            endpoint.capacity = capacities[entry.worker_type]
            endpoint.load = max(0.0, endpoint.capacity / max(1e-3, entry.rating) - 1.0)
        return renewed
