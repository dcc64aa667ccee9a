"""Requests: each from its last byte to its one response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.completion import AttemptCompletion
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.commands import FailRequest, RejectRequest, ReportInternalError
from locktide.scheduler.events import ClientDisconnected, RecoveredAttempt, RequestArrived, RequestRecovered
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response

# What is left of the client's time when its request times out here, in microseconds: its way to us, ours
# back, and a late turn of the loop. With a tenth of a core, given out every 100 ms, the process stands still
# for 90 ms at worst.
TRANSIT_MARGIN = 80_000
# Of a short timeout no more than this part: what ends in the last twentieth is seldom of use.
TRANSIT_PART = 20
# After that, how long the scheduler has for its response before one goes out without it, in microseconds.
RESPONSE_GRACE = 10_000


def arrival_event(message: SubmitRequest, deadline: int) -> RequestArrived:
    """The event by which the scheduler learns of a request."""
    return RequestArrived(
        message.id,
        message.service_class,
        deadline,
        message.width,
        message.work_hint,
        message.tenant,
        message.is_retry,
        message.background,
        message.affinity_key,
    )


@dataclass(eq=False, slots=True)
class RequestService:
    """Takes requests, enforces their deadlines and gives them their responses."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    completion: AttemptCompletion
    cancellations: CancellationService
    tasks: BackgroundTasks
    runtime: Runtime
    state: ServingState

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Take a request; its response to come, or None where its id is known already."""
        if self.registry.is_known(message.id):
            return None
        now = self.runtime.clock.now()
        timeout = message.timeout
        shutdown_deadline = self.state.shutdown_deadline
        if shutdown_deadline is not None and not message.background:  # the next process goes on with those
            timeout = min(timeout, int((shutdown_deadline - self.runtime.loop.time()) * 1e6))
        deadline = now + timeout - min(TRANSIT_MARGIN, timeout // TRANSIT_PART)
        request = self._open(message, deadline)
        self.bridge.enqueue_event(arrival_event(message, deadline))
        return request.response

    def recover(
        self,
        message: SubmitRequest,
        arrived_at: int,
        deadline: int,
        attempts: list[RecoveredAttempt],
        fences: list[int],
    ) -> asyncio.Future[Response]:
        """Take up a job of an earlier process; its unfinished attempts may still call back."""
        request = self._open(message, deadline)
        for recovered, fence in zip(attempts, fences, strict=True):
            attempt = OpenAttempt(len(request.attempts), recovered.worker)
            attempt.reach(AttemptStage.ACCEPTED)
            if recovered.outcome:
                attempt.end(recovered.outcome)
            attempt.sent_at = recovered.sent_at
            attempt.fence = fence
            attempt.task = self.tasks.start(asyncio.sleep(0))  # the connection that carried it is gone
            request.attempts.append(attempt)
        self.bridge.enqueue_event(RequestRecovered(arrival_event(message, deadline), arrived_at, attempts))
        return request.response

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Drop the response of a request whose client has gone."""
        request = self.registry.get(message.id)
        if request is not None and request.is_open:
            request.response.cancel()
            self.bridge.enqueue_event(ClientDisconnected(message.id))
            self.registry.release_settled(request)

    def reject(self, command: RejectRequest) -> None:
        """Respond that the request was not taken, and when to come back."""
        headers = [("Retry-After", f"{command.retry_after / 1e6:.3f}")] if command.retry_after else []
        self.registry.respond(command.request_id, Response(503, b"denied\n", headers))

    def fail(self, command: FailRequest) -> None:
        """Respond that the request has failed."""
        self.registry.respond(command.request_id, Response(502, b"terminated\n"))

    def fail_after_internal_error(self, command: ReportInternalError) -> None:
        """Respond at once to the request on which the scheduler failed, and cancel its attempts."""
        error = command.detail
        self.runtime.log.emit(f"the scheduler failed: {error}", event="scheduler_failed", error=error)
        request = None if command.request_id is None else self.registry.get(command.request_id)
        if request is not None:
            self.registry.respond(request.message.id, Response(502, b"terminated\n"))
            self.cancellations.cancel_unfinished(request)

    def time_out(self, request: OpenRequest) -> None:
        """At the deadline: nobody waits any longer, neither for an attempt nor with the client."""
        for attempt in request.unfinished_attempts():
            if not attempt.is_cancelling:
                self.cancellations.start_cancelling(request, attempt)
            self.completion.finish(request, attempt, AttemptOutcome.TIMED_OUT)
        request.timer = self.runtime.loop.call_later(RESPONSE_GRACE / 1e6, self.fail_overdue, request)

    def fail_overdue(self, request: OpenRequest) -> None:
        """Respond in place of the scheduler, which has not done so in time."""
        if not request.is_open:
            return
        request_id = request.message.id
        self.runtime.log.emit(
            f"request {request_id}: no response from the scheduler in time, failed",
            event="response_overdue",
            request=request_id,
        )
        self.bridge.enqueue_event(ClientDisconnected(request_id))  # so that nothing more is sent for it
        self.registry.respond(request_id, Response(504, b"terminated\n"))

    def _open(self, message: SubmitRequest, deadline: int) -> OpenRequest:
        request = OpenRequest(message, deadline, self.runtime.loop.create_future())
        self.registry.add(request)
        fires_at = self.runtime.clock.to_loop_time(deadline)
        request.timer = self.runtime.loop.call_at(fires_at, self.time_out, request)
        return request
