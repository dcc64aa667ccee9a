"""Cancelling attempts: one that its worker may have ends once the worker is notified, and not before."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.cancellation_delivery import CancellationDelivery
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.types import AttemptOutcome


@dataclass(eq=False, slots=True, kw_only=True)
class CancellationService:
    """Cancels attempts: before the 202 by closing the connection too, and in any case by a message."""

    registry: RequestRegistry
    completion: AttemptCompletion
    delivery: CancellationDelivery
    tasks: BackgroundTasks

    def cancel_attempt(self, command: CancelAttempt) -> None:
        """Cancel an attempt for the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None or command.attempt >= len(request.attempts):
            return
        attempt = request.attempts[command.attempt]
        if attempt.stage is AttemptStage.ENDED or attempt.is_cancelling:
            return
        attempt.is_cancelling = True
        if not self.start_cancelling(request, attempt):
            was_begun = attempt.stage >= AttemptStage.SENDING
            outcome = AttemptOutcome.CANCELLED if was_begun else AttemptOutcome.NEVER_SENT
            self.completion.finish(request, attempt, outcome)

    def cancel_unfinished(self, request: OpenRequest) -> None:
        """Cancel each attempt of the request that has no outcome yet."""
        for attempt in request.unfinished_attempts():
            self.cancel_attempt(CancelAttempt(request.message.id, attempt.number))

    def cancel_lost(self, worker: str, started_at: int) -> None:
        """Cancel the attempts sent to a worker before its process last started, in microseconds.

        The new process does not have them, and a callback about their loss may never come: a request would
        wait until its deadline with its slots taken. The restart alone does not end them either, as the list
        may be ahead of the old process; so the new process is to confirm the cancellation first. Sent
        elsewhere before that, the job was a second copy
        (test_attempt_sent_before_its_worker_restarted_is_cancelled_and_a_later_one_is_not).
        """
        for request in list(self.registry.open_requests.values()):
            for attempt in request.unfinished_attempts():
                is_there = attempt.worker == worker and attempt.possibly_running
                if is_there and attempt.sent_at < started_at:
                    self.cancel_and_finish(request, attempt, AttemptOutcome.CONNECTION_CLOSED)

    def expire_lease(self, request_id: str, fence: int) -> None:
        """Cancel the attempt whose lease has expired, given its fencing number.

        The attempt ends once its worker is notified, or the delivery is given up: a retry before that would
        be a second copy.
        """
        request = self.registry.get(request_id)
        if request is None:
            return
        for attempt in request.unfinished_attempts():
            if attempt.fence == fence:
                attempt.lease_expired = True
                self.cancel_attempt(CancelAttempt(request_id, attempt.number))

    def cancel_and_finish(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """End a possibly running attempt with `outcome`, once its worker is notified to cancel it."""
        if attempt.possibly_running and not attempt.is_cancelling:
            attempt.is_cancelling = True
            self.start_cancelling(request, attempt, outcome)

    def start_cancelling(
        self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    ) -> bool:
        """Close the connection; return whether a message follows, after which the attempt gets `outcome`."""
        attempt.task.cancel()  # closes the connection, where its reply is still awaited
        # A 202 may be on its way: the worker has accepted the job then, and a retry elsewhere before the
        # message has reached it is a second copy.
        if attempt.possibly_running:
            self.tasks.start(self._deliver(request, attempt, outcome))
        return attempt.possibly_running

    async def _deliver(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        await self.delivery.deliver(request, attempt)
        self.completion.finish(request, attempt, outcome)
