"""Callbacks: the workers' messages on the attempts that were sent to them."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol import names
from locktide.protocol.messages import Callback
from locktide.scheduler.events import AttemptProgressed, AttemptStarted
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


@dataclass(eq=False, slots=True, kw_only=True)
class CallbackHandler:
    """Applies the workers' callbacks to the open requests."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    completion: AttemptCompletion
    cancellations: CancellationService

    def handle_callback(self, message: Callback) -> None:
        """Apply one callback; ignore it if no open attempt at that worker can have caused it."""
        request = self.registry.get(message.request_id)
        attempt = request.attempt_running_at(message.worker) if request is not None else None
        if request is None or attempt is None:
            return
        attempt.reach(AttemptStage.ACCEPTED)
        if message.state == names.STARTED:
            self.bridge.enqueue_event(AttemptStarted(message.request_id, attempt.number))
        elif message.state == names.RUNNING:
            self.bridge.enqueue_event(
                AttemptProgressed(message.request_id, attempt.number, message.fraction_done)
            )
        elif message.outcome is AttemptOutcome.DONE:
            self.registry.respond(message.request_id, Response(HTTPStatus.OK, message.result))
            self.completion.finish(request, attempt, message.outcome)
        elif message.outcome is not None:
            self._finish_unsuccessful(request, attempt, message, message.outcome)

    def _finish_unsuccessful(
        self, request: OpenRequest, attempt: OpenAttempt, message: Callback, outcome: AttemptOutcome
    ) -> None:
        # A worker repeats a callback whose 204 was lost. If the worker had accepted an earlier attempt of
        # this request, the callback may be about the earlier one. If it were taken for the end of the later
        # attempt, a retry would be allowed while the later attempt still runs
        # (test_repeated_callback_about_an_earlier_attempt_does_not_end_the_later_one_there). The fencing
        # number of the attempt's own lease rules that out.
        names_this_attempt = message.fence is not None and message.fence == attempt.fence
        if names_this_attempt or not request.worker_accepted_earlier_attempt(attempt):
            self.completion.finish(request, attempt, outcome)
        else:
            self.cancellations.cancel_and_finish(request, attempt, AttemptOutcome.CONNECTION_CLOSED)
