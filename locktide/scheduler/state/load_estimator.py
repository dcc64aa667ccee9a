"""The load of endpoints, estimated from ratings that fall with it."""

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.types import WorkerId

#: The least rating that a load is computed from, so that a rating of zero divides by something.
MIN_RATING = 1e-3


class LoadEstimator:
    """Estimates how many requests each endpoint has for each core.

    A rating is size / (1 + requests for each core). The size of a worker type is the highest rating seen of
    it: that of an endpoint without a request.
    """

    def __init__(self) -> None:
        self._capacities: dict[str, float] = {}  # the highest rating seen, by worker type

    def update(self, endpoints: dict[WorkerId, Endpoint], entries: list[EndpointEntry]) -> int:
        """Take in new ratings; return how many differ from those before."""
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
