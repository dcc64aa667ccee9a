"""Restores attempts that an earlier process of this dispatcher made."""

from locktide.scheduler.events import EndpointEntry, RecoveredAttempt
from locktide.scheduler.state.endpoint import Endpoint
from locktide.scheduler.state.endpoint_table import EndpointTable
from locktide.scheduler.state.open_attempts import OpenAttempts
from locktide.scheduler.state.request import Attempt, Request
from locktide.scheduler.types import PROVEN_NOT_RUN, EndpointState


class AttemptRecovery:
    """Restores the attempts of requests that an earlier process had accepted."""

    def __init__(self, endpoints: EndpointTable, attempts: OpenAttempts) -> None:
        self._endpoints = endpoints
        self._attempts = attempts

    def restore(self, request: Request, recovered: list[RecoveredAttempt]) -> None:
        """Add the attempts to the request; they restrict its retries as if this process had made them."""
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
        # If the worker has moved to another zone or cell since, the request must not be repeated in the new
        # one: workers there do not know the idempotency key. Workers in the former zone or cell drop repeats.
        if endpoint is None or (endpoint.zone, endpoint.cell) != (earlier.zone, earlier.cell):
            entry = EndpointEntry(earlier.worker, earlier.zone, "", earlier.cell, EndpointState.GONE, 1.0, 0)
            return Endpoint(entry, concurrency_limit=1.0)  # the limit is not used: nothing is sent to it
        return endpoint
