"""Attempts that an earlier process made, as data of this one."""

from locktide.scheduler.events import EndpointEntry, RecoveredAttempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.endpoint_table import EndpointTable
from locktide.scheduler.state.open_attempts import OpenAttempts
from locktide.scheduler.state.request import Attempt, Request
from locktide.scheduler.types import PROVEN_NOT_RUN, EndpointState


class AttemptRecovery:
    """Restores the attempts of a request that an earlier process had accepted."""

    def __init__(self, endpoints: EndpointTable, attempts: OpenAttempts) -> None:
        self._endpoints = endpoints
        self._attempts = attempts

    def restore(self, request: Request, recovered: list[RecoveredAttempt]) -> None:
        """Add the attempts to the request; what may have run binds it as if this process had sent it."""
        for earlier in recovered:
            endpoint = self._endpoint_of(earlier)
            attempt = Attempt(request, len(request.attempts), endpoint, earlier.sent_at)
            request.attempts.append(attempt)
            if earlier.outcome not in PROVEN_NOT_RUN:
                request.possibly_executed.append(attempt)
            elif request.is_background:
                request.uncounted_attempts += 1
            if earlier.outcome is None:
                self._attempts.count(attempt)

    def _endpoint_of(self, earlier: RecoveredAttempt) -> Endpoint:
        endpoint = self._endpoints.by_id.get(earlier.worker)
        # A worker that has moved to another zone or cell since would draw the repeats after it, to workers
        # that do not know the idempotency key: repeats are dropped where it was then.
        if endpoint is None or (endpoint.zone, endpoint.cell) != (earlier.zone, earlier.cell):
            entry = EndpointEntry(earlier.worker, earlier.zone, "", earlier.cell, EndpointState.GONE, 1.0, 0)
            return Endpoint(entry, concurrency_limit=1.0)  # any limit: nothing is sent to it
        return endpoint
