"""Updates of the endpoint list, merged into the known endpoints."""

from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.types import EndpointState, ListUpdateKind

DRAINING, GONE = EndpointState.DRAINING, EndpointState.GONE


def merge_update(
    endpoints: dict[str, Endpoint], update: EndpointListUpdate, concurrency_limit: float
) -> tuple[bool, list[Endpoint]]:
    """Merges an update into the endpoints.

    Endpoints that are new begin with `concurrency_limit`; those that a whole list does not name are gone.

    Returns:
        Whether more has changed than ratings, and the endpoints that have begun to drain.
    """
    changed, draining = False, list[Endpoint]()
    for entry in update.entries:
        endpoint = endpoints.get(entry.worker)
        if endpoint is None:
            endpoint = endpoints[entry.worker] = Endpoint(entry, concurrency_limit)
        elif endpoint.state != entry.state or endpoint.started_at != entry.started_at:
            endpoint.update(entry)
        else:
            continue
        changed = True
        if entry.state == DRAINING:
            draining.append(endpoint)
    if update.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
        for absent in endpoints.keys() - {entry.worker for entry in update.entries}:
            endpoints[absent].state = GONE
        changed = True
    return changed, draining
