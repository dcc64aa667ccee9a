"""Sending each attempt to its worker, up to the worker's reply."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.cancellation import CancellationService, RequestSender
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.job_store import AttemptLeases
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.events import AttemptSent
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response
from locktide.transport.upstream_pool import TransportFailure

# How long past the deadline a connection may still wait for a reply that no longer matters, in seconds.
LATE_REPLY_TIMEOUT = 1.0
# What a broken connection or a refusal cannot prove of a job of which its worker has said by callback that it
# has it: that the job has ended. Least of all a refusal, as the job would be sent again.
UNTRUSTED_ONCE_ACCEPTED = frozenset(
    (
        AttemptOutcome.RESET,
        AttemptOutcome.CONNECTION_CLOSED,
        AttemptOutcome.FULL,
        AttemptOutcome.UNPROCESSABLE,
    )
)


@dataclass(eq=False, slots=True)
class AttemptRunner:
    """Runs attempts, one task for each; how the job itself ends is told by callback."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    completion: AttemptCompletion
    cancellations: CancellationService
    leases: AttemptLeases
    endpoints: EndpointDirectory
    upstream: RequestSender
    tasks: BackgroundTasks
    runtime: Runtime

    def start_attempt(self, command: StartAttempt) -> None:
        """Start the next attempt of a request for the scheduler."""
        request = self.registry.get(command.request_id)
        if request is None:
            self.runtime.log.emit(
                f"request {command.request_id}: an attempt after its end, not sent",
                event="attempt_discarded",
                request=command.request_id,
            )
            return
        attempt = OpenAttempt(len(request.attempts), command.worker)
        attempt.send_before = command.send_before
        request.attempts.append(attempt)
        attempt.task = self.tasks.start(self._run(request, attempt), request.message.background)

    async def _run(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        # A reset is reported a loop turn after the poll that found it: what has ended by now is noticed
        # before the first byte goes out.
        await asyncio.sleep(0)
        if await self.leases.grant(request, attempt):
            self._apply_result(request, attempt, await self._send(request, attempt))
        else:
            self.completion.finish(request, attempt, AttemptOutcome.NEVER_SENT)

    async def _send(self, request: OpenRequest, attempt: OpenAttempt) -> UpstreamResponse | str:
        """The worker's reply, or the outcome that took its place."""

        def build() -> UpstreamRequest | None:
            return self._build_message(request, attempt)

        def note_sent() -> None:
            attempt.reach(AttemptStage.SENT)
            attempt.sent_at = self.runtime.clock.now()
            self.bridge.enqueue_event(AttemptSent(request.message.id, attempt.number))

        try:
            # The deadline ends an attempt before this does; it is for one that a callback has ended.
            deadline = self.runtime.clock.to_loop_time(request.deadline)
            async with asyncio.timeout_at(deadline + LATE_REPLY_TIMEOUT):
                address = self.endpoints.addresses[attempt.worker]
                return await self.upstream.send(attempt.worker, address, build, note_sent)
        except Exception as trouble:  # protects the request: whatever failed, its attempt gets an outcome
            error = f"{type(trouble).__name__}: {trouble}"
            self.runtime.log.emit(
                f"worker {attempt.worker}: an attempt ended by {error}",
                event="attempt_failed",
                worker=attempt.worker,
                error=error,
            )
            was_begun = attempt.stage >= AttemptStage.SENDING
            return AttemptOutcome.RESET if was_begun else AttemptOutcome.NEVER_SENT

    def _build_message(self, request: OpenRequest, attempt: OpenAttempt) -> UpstreamRequest | None:
        """Right before the first byte: what is sent, or None where nothing may go out any more."""
        now = self.runtime.clock.now()
        time_left = request.deadline - now
        has_ended = attempt.stage is AttemptStage.ENDED or not request.is_open or time_left <= 0
        # Guards against a connection that came up late: the worker drops repeats no longer.
        is_late = attempt.send_before and now >= attempt.send_before
        if has_ended or is_late or not self.endpoints.accepts_requests(attempt.worker):
            return None
        attempt.reach(AttemptStage.SENDING)
        return worker_messages.job_request(request.message, time_left, attempt.fence)

    def _apply_result(
        self, request: OpenRequest, attempt: OpenAttempt, result: UpstreamResponse | str
    ) -> None:
        outcome = worker_messages.response_outcome(result) if isinstance(result, UpstreamResponse) else result
        is_untrusted = attempt.was_accepted and outcome in UNTRUSTED_ONCE_ACCEPTED
        if outcome == TransportFailure.INVALID_RESPONSE or is_untrusted:
            # Guards against a second copy: the worker has it, or may, whatever became of its reply.
            self.cancellations.cancel_and_finish(request, attempt, AttemptOutcome.RESET)
        elif outcome is None:
            attempt.reach(AttemptStage.ACCEPTED)
        else:
            if outcome == AttemptOutcome.UNPROCESSABLE:
                self._respond_unprocessable(request, attempt)
            self.completion.finish(request, attempt, AttemptOutcome(outcome))

    def _respond_unprocessable(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        request_id = request.message.id
        self.runtime.log.emit(
            f"worker {attempt.worker}: refused request {request_id}",
            "clients",
            event="request_refused",
            worker=attempt.worker,
            request=request_id,
        )
        self.registry.respond(request_id, Response(400, b"turned away by a worker\n"))
