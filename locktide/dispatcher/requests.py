"""A node's submissions: each from its last byte to its one answer."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.attempts import AttemptLayer
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.protocol import server_connection as clients
from locktide.scheduler.commands import CancelAttempt, FailRequest, RejectRequest, ReportInternalError
from locktide.scheduler.events import ClientDisconnected, RecoveredAttempt, RequestArrived, RequestRecovered
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response

# What is left of the client's time when we call it up: its way to us, ours back, and a late turn of the loop.
# With a tenth of a core, given out every 100 ms, the process stands still for 90 ms at worst.
ON_THE_WAY = 80_000
# Of a short time limit no more than this part: what ends in the last twentieth is seldom of use.
PART_ON_THE_WAY = 20
# After that, how long the decisions have for their answer before one goes out without them.
OVERDUE = 10_000


class RequestLayer(AttemptLayer):
    def is_ready(self) -> bool:
        return self.serving

    def submit(self, message: clients.SubmitRequest) -> asyncio.Future[Response] | None:
        if message.id in self.open_requests or message.id in self.answered_ids:
            return None
        now, patience = self.clock.now(), message.timeout
        if (
            self.shutdown_deadline is not None and not message.background
        ):  # the next process goes on with those
            patience = min(patience, int((self.shutdown_deadline - self.loop.time()) * 1e6))
        limit_at = now + patience - min(ON_THE_WAY, patience // PART_ON_THE_WAY)
        held = OpenRequest(message, limit_at, self.loop.create_future())
        self.open_requests[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        self.enqueue_event(self.arrival(message, limit_at))
        return held.response

    @staticmethod
    def arrival(message: clients.SubmitRequest, limit_at: int) -> RequestArrived:
        return RequestArrived(
            message.id,
            message.service_class,
            limit_at,
            message.width,
            message.work_hint,
            message.tenant,
            message.is_retry,
            message.background,
            message.affinity_key,
        )

    def recover(
        self,
        message: clients.SubmitRequest,
        arrived_at: int,
        limit_at: int,
        dispatches: list[RecoveredAttempt],
        fences: list[int],
    ) -> asyncio.Future[Response]:
        """Takes up a job of an earlier process; its dispatches without an outcome may still be heard of."""
        held = OpenRequest(message, limit_at, self.loop.create_future())
        self.open_requests[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        for earlier, fence in zip(dispatches, fences, strict=True):
            dispatch = OpenAttempt(len(held.attempts), earlier.worker)
            dispatch.reach(AttemptStage.ACCEPTED)
            if earlier.outcome:
                dispatch.end(earlier.outcome)
            dispatch.sent_at, dispatch.fence = earlier.sent_at, fence
            dispatch.task = self.start(asyncio.sleep(0))  # the connection that carried it is gone
            held.attempts.append(dispatch)
        self.enqueue_event(RequestRecovered(self.arrival(message, limit_at), arrived_at, dispatches))
        return held.response

    def client_disconnected(self, message: clients.SubmitRequest) -> None:
        held = self.open_requests.get(message.id)
        if held is not None and held.is_open:
            held.response.cancel()
            self.enqueue_event(ClientDisconnected(message.id))
            self.release_settled(held)

    def reject(self, order: RejectRequest) -> None:
        advice = [("Retry-After", f"{order.retry_after / 1e6:.3f}")] if order.retry_after else []
        self.respond(order.request_id, Response(503, b"denied\n", advice))

    def fail(self, order: FailRequest) -> None:
        self.respond(order.request_id, Response(502, b"terminated\n"))

    def fail_after_internal_error(self, order: ReportInternalError) -> None:
        """The decisions have failed on one submission: it is answered at once, what is out is given up."""
        what = order.detail
        self.log.emit(f"the decisions broke off: {what}", event="decisions-broke-off", trouble=what)
        held = self.open_requests.get(order.request_id)
        if held is not None:
            self.respond(order.request_id, Response(502, b"terminated\n"))
            for dispatch in held.unfinished_attempts():
                self.cancel_attempt(CancelAttempt(order.request_id, dispatch.number))

    def time_out(self, held: OpenRequest) -> None:
        """The time limit: nobody waits any longer, neither for a dispatch nor with the client."""
        for dispatch in held.unfinished_attempts():
            if not dispatch.recalled:
                self.call_off(held, dispatch)
            self.finish_attempt(held, dispatch, AttemptOutcome.TIMED_OUT)
        held.timer = self.loop.call_later(OVERDUE / 1e6, self.overdue, held)

    def overdue(self, held: OpenRequest) -> None:
        if held.is_open:
            id = held.message.id
            self.log.emit(
                f"submission {id}: no answer from the decisions in time, terminated",
                event="overdue",
                submission=id,
            )
            self.enqueue_event(
                ClientDisconnected(held.message.id)
            )  # for the decisions: nothing more is to be sent for it
            self.respond(held.message.id, Response(504, b"terminated\n"))

    def query_job(self, message: clients.JobQuery) -> Response:
        return Response(404, b"no such job\n")
