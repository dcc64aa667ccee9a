"""Estimates the load of endpoints from ratings that fall with load."""

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.types import WorkerId

#: Minimum rating in the computation of a load; prevents a division by zero.
MIN_RATING = 1e-3


class LoadEstimator:
    """Estimates the requests per core of each endpoint.

    A rating is size / (1 + requests per core). The size of a worker type is the highest rating seen of any
    endpoint of this type, which is the rating of an idle one.
    """

    def __init__(self) -> None:
        self._capacities: dict[str, float] = {}  # the highest rating seen, by worker type

    def update(self, endpoints: dict[WorkerId, Endpoint], entries: list[EndpointEntry]) -> int:
        """Process new ratings; return how many of them differ from the previous ones."""
        renewed = 0
        for entry in entries:
            capacity = self._capacities.get(entry.worker_type, 0.0)
            self._capacities[entry.worker_type] = max(capacity, entry.rating)
        for entry in entries:
            endpoint = endpoints[entry.worker]
            if entry.rating != endpoint.rating:
                endpoint.rating = entry.rating
                endpoint.stale_ratings = 0
                renewed += 1
            endpoint.capacity = self._capacities[entry.worker_type]
            endpoint.load = max(0.0, endpoint.capacity / max(MIN_RATING, entry.rating) - 1.0)
        return renewed
