"""Applies a worker's reply to a job to the attempt and its request."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamResponse
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response, SendResult, TransportFailure
from locktide.transport.log import Log

#: Outcomes that do not prove that a job has ended once its worker has sent a callback about it: neither a
#: broken connection nor a refusal says anything about the running job, and a retry elsewhere would be a
#: second copy.
INCONCLUSIVE_ONCE_ACCEPTED = frozenset(
    (
        AttemptOutcome.RESET,
        AttemptOutcome.CONNECTION_CLOSED,
        AttemptOutcome.FULL,
        AttemptOutcome.UNPROCESSABLE,
    )
)


@dataclass(eq=False, slots=True, kw_only=True)
class WorkerReplyHandler:
    """Applies workers' replies, or the outcomes without a reply, to attempts."""

    registry: RequestRegistry
    completion: AttemptCompletion
    cancellations: CancellationService
    log: Log

    def handle_result(self, request: OpenRequest, attempt: OpenAttempt, result: SendResult) -> None:
        """Apply the result of sending an attempt."""
        if result is TransportFailure.INVALID_RESPONSE:
            # An incomplete response comes from a worker that is alive and may have accepted the job. If it
            # ended the attempt, a retry would be a second copy; so the worker has to confirm a cancellation
            # first (test_accepted_job_is_cancelled_at_its_worker_before_a_broken_connection_ends_it).
            self.cancellations.cancel_and_finish(request, attempt, AttemptOutcome.RESET)
            return
        outcome = worker_messages.response_outcome(result) if isinstance(result, UpstreamResponse) else result
        if outcome is None:
            attempt.reach(AttemptStage.ACCEPTED)
        elif attempt.was_accepted and outcome in INCONCLUSIVE_ONCE_ACCEPTED:
            self.cancellations.cancel_and_finish(request, attempt, AttemptOutcome.RESET)
        else:
            self._finish(request, attempt, outcome)

    def _finish(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        if outcome is AttemptOutcome.UNPROCESSABLE:
            self._respond_unprocessable(request, attempt)
        self.completion.finish(request, attempt, outcome)

    def _respond_unprocessable(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        request_id = request.message.id
        self.log.emit(
            f"worker {attempt.worker}: refused request {request_id}",
            "clients",
            event="request_refused",
            worker=attempt.worker,
            request=request_id,
        )
        self.registry.respond(request_id, Response(HTTPStatus.BAD_REQUEST, b"turned away by a worker\n"))
