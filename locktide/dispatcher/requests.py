"""Accepts requests: sets their deadlines and passes them to the scheduler."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.delays import DelayedStep, log_delay
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.request_timeouts import RequestTimeouts
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol.messages import SubmitRequest
from locktide.scheduler.events import ClientDisconnected, RecoveredAttempt, RequestArrived, RequestRecovered
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response

#: Microseconds by which the deadline here precedes the client's: for the transit of the request and of the
#: response, and for a late turn of the event loop. With a tenth of a core, which is allotted every 100 ms,
#: the process is held up for 90 ms at worst.
TRANSIT_MARGIN = 80_000
#: The margin is at most the timeout divided by this, so that most of a short timeout stays usable.
TRANSIT_MARGIN_DIVISOR = 20


def arrival_event(message: SubmitRequest, deadline: int) -> RequestArrived:
    """Return the event that notifies the scheduler of a request; `deadline` in microseconds."""
    return RequestArrived(
        request_id=message.id,
        service_class=message.service_class,
        deadline=deadline,
        width=message.width,
        work_hint=message.work_hint,
        tenant=message.tenant,
        is_retry=message.is_retry,
        background=message.background,
        affinity_key=message.affinity_key,
        accepted_class=message.accepted_class,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveredJob:
    """A durable job of an earlier process.

    Attributes:
        message: The request message as it was accepted.
        arrived_at: When the request arrived, in microseconds.
        deadline: When its response is due, in microseconds.
        attempts: Its attempts in the earlier process.
        fences: The fencing number of each attempt.
    """

    message: SubmitRequest
    arrived_at: int
    deadline: int
    attempts: list[RecoveredAttempt]
    fences: list[int]


@dataclass(eq=False, slots=True, kw_only=True)
class RequestService:
    """Accepts new and recovered requests, and cancels those whose clients have disconnected."""

    registry: RequestRegistry
    bridge: SchedulerBridge
    timeouts: RequestTimeouts
    tasks: BackgroundTasks
    runtime: Runtime
    state: ServingState

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Accept a request; return the future of its response, or None if its id is known already."""
        if self.registry.is_known(message.id):
            return None
        if message.received_at is not None:
            delay = self.runtime.loop.time() - message.received_at
            log_delay(self.runtime.log, message.id, DelayedStep.READING, delay)
        deadline = self._deadline(message)
        request = self._open(message, deadline)
        self.bridge.enqueue_event(arrival_event(message, deadline))
        return request.response

    def recover(self, job: RecoveredJob) -> asyncio.Future[Response]:
        """Recover a job of an earlier process; callbacks may still arrive for its unfinished attempts."""
        request = self._open(job.message, job.deadline)
        for recovered, fence in zip(job.attempts, job.fences, strict=True):
            request.attempts.append(self._recovered_attempt(len(request.attempts), recovered, fence))
        arrival = arrival_event(job.message, job.deadline)
        self.bridge.enqueue_event(RequestRecovered(arrival, job.arrived_at, job.attempts))
        return request.response

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Cancel the response to a request whose client has disconnected."""
        request = self.registry.get(message.id)
        if request is not None and request.is_open:
            request.response.cancel()
            self.bridge.enqueue_event(ClientDisconnected(message.id))
            self.registry.release_settled(request)

    def limit_timeout(self, timeout: int) -> int:
        """Return for how long a client may wait that is read now; see `ServingState.limit_timeout`."""
        return self.state.limit_timeout(timeout, self.runtime.loop.time())

    def _deadline(self, message: SubmitRequest) -> int:
        """Return the deadline of a request that arrives now, in microseconds."""
        loop_time = self.runtime.loop.time()
        timeout = message.time_left(loop_time)
        timeout -= min(TRANSIT_MARGIN, timeout // TRANSIT_MARGIN_DIVISOR)
        if not message.background:  # the next process continues these
            timeout = self.state.limit_timeout(timeout, loop_time)
        return self.runtime.clock.now() + timeout

    def _open(self, message: SubmitRequest, deadline: int) -> OpenRequest:
        request = OpenRequest(message, deadline, self.runtime.loop.create_future())
        self.registry.add(request)
        self.timeouts.start(request)
        return request

    def _recovered_attempt(self, number: int, recovered: RecoveredAttempt, fence: int) -> OpenAttempt:
        attempt = OpenAttempt(number, recovered.worker)
        attempt.reach(AttemptStage.ACCEPTED)
        if recovered.outcome:
            attempt.end(AttemptOutcome(recovered.outcome))
        attempt.sent_at = recovered.sent_at
        attempt.fence = fence
        attempt.task = self.tasks.start(asyncio.sleep(0))  # a finished task: the connection no longer exists
        return attempt
