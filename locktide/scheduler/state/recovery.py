"""Attempts that an earlier process made, as data of this one."""

from locktide.scheduler.events import EndpointEntry, RecoveredAttempt
from locktide.scheduler.state.attempt import Attempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.request import Request
from locktide.scheduler.state.scheduler_state import SchedulerState
from locktide.scheduler.types import PROVEN_NOT_RUN, EndpointState


def restore_attempts(state: SchedulerState, request: Request, recovered: list[RecoveredAttempt]) -> None:
    """Adds the attempts to the request; what may have run binds it as if this process had sent it."""
    for earlier in recovered:
        endpoint = _endpoint_of(state, earlier)
        attempt = Attempt(request, len(request.attempts), endpoint, earlier.sent_at)
        request.attempts.append(attempt)
        if earlier.outcome not in PROVEN_NOT_RUN:
            request.possibly_executed.append(attempt)
        elif request.is_background:
            request.uncounted_attempts += 1
        if earlier.outcome is None:
            request.in_flight.append(attempt)
            state.in_flight += request.width
            endpoint.in_flight += request.width


def _endpoint_of(state: SchedulerState, earlier: RecoveredAttempt) -> Endpoint:
    endpoint = state.endpoints.get(earlier.worker)
    # Guards against a worker that has another place by now: repeats are dropped where it was then.
    if endpoint is None or (endpoint.zone, endpoint.cell) != (earlier.zone, earlier.cell):
        entry = EndpointEntry(earlier.worker, earlier.zone, "", earlier.cell, EndpointState.GONE, 1.0, 0)
        return Endpoint(entry, concurrency_limit=1.0)  # any limit: nothing is sent to it
    return endpoint
