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
    def ready(self) -> bool:
        return self.serving

    def submitted(self, message: clients.SubmitRequest) -> asyncio.Future[Response] | None:
        if message.id in self.held or message.id in self.spent:
            return None
        now, patience = self.clock.now(), message.patience
        if self.kill_at is not None and not message.patient:  # the next process goes on with those
            patience = min(patience, int((self.kill_at - self.loop.time()) * 1e6))
        limit_at = now + patience - min(ON_THE_WAY, patience // PART_ON_THE_WAY)
        held = OpenRequest(message, limit_at, self.loop.create_future())
        self.held[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        self.tell(self.arrival(message, limit_at))
        return held.answer

    @staticmethod
    def arrival(message: clients.SubmitRequest, limit_at: int) -> RequestArrived:
        return RequestArrived(
            message.id,
            message.grade,
            limit_at,
            message.width,
            message.hint,
            message.tenant,
            message.retry,
            message.patient,
            message.key,
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
        self.held[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        for earlier, fence in zip(dispatches, fences, strict=True):
            dispatch = OpenAttempt(len(held.dispatches), earlier.worker)
            dispatch.reach(AttemptStage.ACCEPTED)
            if earlier.outcome:
                dispatch.end(earlier.outcome)
            dispatch.sent_at, dispatch.fence = earlier.sent_at, fence
            dispatch.task = self.start(asyncio.sleep(0))  # the connection that carried it is gone
            held.dispatches.append(dispatch)
        self.tell(RequestRecovered(self.arrival(message, limit_at), arrived_at, dispatches))
        return held.answer

    def gone(self, message: clients.SubmitRequest) -> None:
        held = self.held.get(message.id)
        if held is not None and held.open:
            held.answer.cancel()
            self.tell(ClientDisconnected(message.id))
            self.release_settled(held)

    def deny(self, order: RejectRequest) -> None:
        advice = [("Retry-After", f"{order.come_back_after / 1e6:.3f}")] if order.come_back_after else []
        self.answer(order.submission, Response(503, b"denied\n", advice))

    def terminate(self, order: FailRequest) -> None:
        self.answer(order.submission, Response(502, b"terminated\n"))

    def broke_off(self, order: ReportInternalError) -> None:
        """The decisions have failed on one submission: it is answered at once, what is out is given up."""
        what = order.what
        self.log.say(f"the decisions broke off: {what}", event="decisions-broke-off", trouble=what)
        held = self.held.get(order.submission)
        if held is not None:
            self.answer(order.submission, Response(502, b"terminated\n"))
            for dispatch in held.out():
                self.withdraw(CancelAttempt(order.submission, dispatch.number))

    def time_out(self, held: OpenRequest) -> None:
        """The time limit: nobody waits any longer, neither for a dispatch nor with the client."""
        for dispatch in held.out():
            if not dispatch.recalled:
                self.call_off(held, dispatch)
            self.end(held, dispatch, AttemptOutcome.TIMED_OUT)
        held.timer = self.loop.call_later(OVERDUE / 1e6, self.overdue, held)

    def overdue(self, held: OpenRequest) -> None:
        if held.open:
            id = held.message.id
            self.log.say(
                f"submission {id}: no answer from the decisions in time, terminated",
                event="overdue",
                submission=id,
            )
            self.tell(
                ClientDisconnected(held.message.id)
            )  # for the decisions: nothing more is to be sent for it
            self.answer(held.message.id, Response(504, b"terminated\n"))

    def sought(self, message: clients.JobQuery) -> Response:
        return Response(404, b"no such job\n")
