"""Sends the job of an attempt to its worker, with the last check right before the first byte."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial

from locktide.dispatcher.delays import DelayedStep, log_delay
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.runtime import Runtime
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol import worker_messages
from locktide.protocol.client_connection import UpstreamRequest
from locktide.scheduler.events import AttemptSent
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import RequestSender, SendResult
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Seconds past the deadline for which a connection may still wait for a reply. The deadline ends an attempt
#: that is open; this timeout is for an attempt that a callback has ended and whose reply never comes.
LATE_REPLY_TIMEOUT = 1.0


@dataclass(eq=False, slots=True, kw_only=True)
class JobSender:
    """Sends the jobs of attempts; each send results in a reply or an outcome."""

    upstream: RequestSender
    endpoints: EndpointDirectory
    bridge: SchedulerBridge
    runtime: Runtime

    async def send(self, request: OpenRequest, attempt: OpenAttempt) -> SendResult:
        """Send the job of an attempt; return the worker's reply, or an outcome if there is none."""
        reply_deadline = self.runtime.clock.to_loop_time(request.deadline) + LATE_REPLY_TIMEOUT
        build_message = partial(self._build_message, request, attempt)
        note_sent = partial(self._note_sent, request, attempt)
        try:
            async with asyncio.timeout_at(reply_deadline):
                address = self.endpoints.addresses[attempt.worker]
                return await self.upstream.send(attempt.worker, address, build_message, note_sent)
        except Exception as error:  # protects the request: its attempt gets an outcome after any error
            return self._outcome_of_error(attempt, error)

    def _build_message(self, request: OpenRequest, attempt: OpenAttempt) -> UpstreamRequest | None:
        """Return the message, right before its first byte; None if it must not be sent any more."""
        now = self.runtime.clock.now()
        time_left = request.deadline - now
        has_ended = attempt.stage is AttemptStage.ENDED or not request.is_open or time_left <= 0
        # By the time the connection is established, the worker may have forgotten the idempotency key of an
        # earlier attempt: the job would run a second time
        # (test_no_retry_is_sent_once_its_idempotency_key_may_be_forgotten).
        is_late = bool(attempt.send_before) and now >= attempt.send_before
        if has_ended or is_late or not self.endpoints.accepts_requests(attempt.worker):
            return None
        attempt.built_at = now
        attempt.reach(AttemptStage.SENDING)
        return worker_messages.job_request(request.message, time_left, attempt.fence)

    def _note_sent(self, request: OpenRequest, attempt: OpenAttempt) -> None:
        """Record that the kernel has taken the last byte."""
        attempt.reach(AttemptStage.SENT)
        attempt.sent_at = self.runtime.clock.now()
        delay = (attempt.sent_at - attempt.built_at) / MICROSECONDS_PER_SECOND
        log_delay(self.runtime.log, request.message.id, DelayedStep.WRITING, delay)
        self.bridge.enqueue_event(AttemptSent(request.message.id, attempt.number))

    def _outcome_of_error(self, attempt: OpenAttempt, error: Exception) -> AttemptOutcome:
        """Log the error that ended an attempt, and return the attempt's outcome."""
        description = f"{type(error).__name__}: {error}"
        self.runtime.log.emit(
            f"worker {attempt.worker}: an attempt failed: {description}",
            event="attempt_failed",
            worker=attempt.worker,
            error=description,
        )
        has_begun_sending = attempt.stage >= AttemptStage.SENDING
        return AttemptOutcome.RESET if has_begun_sending else AttemptOutcome.NEVER_SENT
