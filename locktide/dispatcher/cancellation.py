"""Cancels attempts; an attempt that its worker may have received ends only once the worker is notified."""

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
    """Cancels attempts by a message to the worker and, before its 202, by closing the connection as well."""

    registry: RequestRegistry
    completion: AttemptCompletion
    delivery: CancellationDelivery
    tasks: BackgroundTasks

    def cancel_attempt(self, command: CancelAttempt) -> None:
        """Cancel an attempt, as commanded by the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None or command.attempt >= len(request.attempts):
            return
        attempt = request.attempts[command.attempt]
        if attempt.stage is AttemptStage.ENDED or attempt.is_cancelling:
            return
        attempt.is_cancelling = True
        if not self.start_cancelling(request, attempt):
            has_begun_sending = attempt.stage >= AttemptStage.SENDING
            outcome = AttemptOutcome.CANCELLED if has_begun_sending else AttemptOutcome.NEVER_SENT
            self.completion.finish(request, attempt, outcome)

    def cancel_unfinished(self, request: OpenRequest) -> None:
        """Cancel each attempt of the request that has no outcome yet."""
        for attempt in request.unfinished_attempts():
            self.cancel_attempt(CancelAttempt(request.message.id, attempt.number))

    def cancel_lost(self, worker: str, started_at: int) -> None:
        """Cancel the attempts that were sent to a worker before its process started.

        The new process does not have these attempts, and a callback that reports their loss may never come:
        the request would wait until its deadline and occupy its slots. The restart alone does not end them,
        because the endpoint list may show it while the old process still runs: a retry at another
        worker was then a second copy. So the new process has to confirm the cancellation first
        (test_attempt_sent_before_its_worker_restarted_is_cancelled_and_a_later_one_is_not).

        Args:
            worker: Name of the worker.
            started_at: When its process last started, in microseconds.
        """
        for request in list(self.registry.open_requests.values()):
            for attempt in request.unfinished_attempts():
                is_at_worker = attempt.worker == worker and attempt.is_possibly_running
                if is_at_worker and attempt.sent_at < started_at:
                    self.cancel_and_finish(request, attempt, AttemptOutcome.CONNECTION_CLOSED)

    def expire_lease(self, request_id: str, fence: int) -> None:
        """Cancel the attempt with that fencing number, as its lease has expired.

        The attempt ends once its worker is notified or the delivery is given up: a retry before that could be
        a second copy.
        """
        request = self.registry.get(request_id)
        if request is None:
            return
        for attempt in request.unfinished_attempts():
            if attempt.fence == fence:
                attempt.lease_expired = True
                self.cancel_attempt(CancelAttempt(request_id, attempt.number))

    def cancel_and_finish(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        """Cancel a possibly running attempt; end it with `outcome` once its worker is notified."""
        if attempt.is_possibly_running and not attempt.is_cancelling:
            attempt.is_cancelling = True
            self.start_cancelling(request, attempt, outcome)

    def start_cancelling(
        self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    ) -> bool:
        """Close the connection; return whether a cancellation is sent as well.

        If so, the attempt ends with `outcome` once the cancellation is delivered or given up.
        """
        attempt.task.cancel()  # closes the connection if the reply is still awaited
        # A 202 may be on its way: the worker has accepted the job then, and a retry at another worker before
        # the cancellation has arrived would be a second copy.
        if attempt.is_possibly_running:
            self.tasks.start(self._deliver(request, attempt, outcome))
        return attempt.is_possibly_running

    async def _deliver(self, request: OpenRequest, attempt: OpenAttempt, outcome: AttemptOutcome) -> None:
        await self.delivery.deliver(request, attempt)
        self.completion.finish(request, attempt, outcome)
