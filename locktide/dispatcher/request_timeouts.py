"""Enforces the deadlines of requests: ends the attempts and makes sure that a response is sent."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.delays import DelayedStep, log_delay
from locktide.dispatcher.records import OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.scheduler.events import ClientDisconnected
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Microseconds past the deadline in which the scheduler may still respond; after that this module responds.
RESPONSE_GRACE = 10_000


@dataclass(eq=False, slots=True, kw_only=True)
class RequestTimeouts:
    """Enforces the deadlines of requests."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    completion: AttemptCompletion
    cancellations: CancellationService
    runtime: Runtime

    def start(self, request: OpenRequest) -> None:
        """Start the timer for the deadline of a request."""
        fires_at = self.runtime.clock.to_loop_time(request.deadline)
        request.timer = self.runtime.loop.call_at(fires_at, self.time_out, request)

    def time_out(self, request: OpenRequest) -> None:
        """End every attempt at the deadline, as neither the client nor the scheduler waits any longer."""
        delay = self.runtime.loop.time() - self.runtime.clock.to_loop_time(request.deadline)
        log_delay(self.runtime.log, request.message.id, DelayedStep.TIMING_OUT, delay)
        for attempt in request.unfinished_attempts():
            if not attempt.is_cancelling:
                self.cancellations.start_cancelling(request, attempt)
            self.completion.finish(request, attempt, AttemptOutcome.TIMED_OUT)
        grace = RESPONSE_GRACE / MICROSECONDS_PER_SECOND
        request.timer = self.runtime.loop.call_later(grace, self.fail_overdue, request)

    def fail_overdue(self, request: OpenRequest) -> None:
        """Respond instead of the scheduler if it has not responded in time."""
        if not request.is_open:
            return
        request_id = request.message.id
        self.runtime.log.emit(
            f"request {request_id}: no response from the scheduler in time, failed",
            event="response_overdue",
            request=request_id,
        )
        self.bridge.enqueue_event(ClientDisconnected(request_id))  # so that it starts no further attempt
        self.registry.respond(request_id, Response(HTTPStatus.GATEWAY_TIMEOUT, b"terminated\n"))
