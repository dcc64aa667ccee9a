"""A node's submissions: each from its last byte to its one answer."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.attempts import Dispatches
from locktide.dispatcher.records import OpenDispatch, OpenSubmission, Stage
from locktide.protocol import server_connection as clients
from locktide.scheduler import interface as say
from locktide.transport.client_connection import Answer

# What is left of the client's time when we call it up: its way to us, ours back, and a late turn of the loop.
# With a tenth of a core, given out every 100 ms, the process stands still for 90 ms at worst.
ON_THE_WAY = 80_000
# Of a short time limit no more than this part: what ends in the last twentieth is seldom of use.
PART_ON_THE_WAY = 20
# After that, how long the decisions have for their answer before one goes out without them.
OVERDUE = 10_000


class Submissions(Dispatches):
    def ready(self) -> bool:
        return self.serving

    def submitted(self, message: clients.Submitted) -> asyncio.Future[Answer] | None:
        if message.id in self.held or message.id in self.spent:
            return None
        now, patience = self.clock.now(), message.patience
        if self.kill_at is not None and not message.patient:  # the next process goes on with those
            patience = min(patience, int((self.kill_at - self.loop.time()) * 1e6))
        limit_at = now + patience - min(ON_THE_WAY, patience // PART_ON_THE_WAY)
        held = OpenSubmission(message, limit_at, self.loop.create_future())
        self.held[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        self.tell(self.arrival(message, limit_at))
        return held.answer

    @staticmethod
    def arrival(message: clients.Submitted, limit_at: int) -> say.Arrival:
        return say.Arrival(
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
        message: clients.Submitted,
        arrived_at: int,
        limit_at: int,
        dispatches: list[say.Earlier],
        fences: list[int],
    ) -> asyncio.Future[Answer]:
        """Takes up a job of an earlier process; its dispatches without an outcome may still be heard of."""
        held = OpenSubmission(message, limit_at, self.loop.create_future())
        self.held[message.id] = held
        held.timer = self.loop.call_at(self.clock.at(limit_at), self.time_out, held)
        for earlier, fence in zip(dispatches, fences, strict=True):
            dispatch = OpenDispatch(len(held.dispatches), earlier.worker)
            dispatch.reach(Stage.ACCEPTED)
            if earlier.outcome:
                dispatch.end(earlier.outcome)
            dispatch.sent_at, dispatch.fence = earlier.sent_at, fence
            dispatch.task = self.start(asyncio.sleep(0))  # the connection that carried it is gone
            held.dispatches.append(dispatch)
        self.tell(say.Recovered(self.arrival(message, limit_at), arrived_at, dispatches))
        return held.answer

    def gone(self, message: clients.Submitted) -> None:
        held = self.held.get(message.id)
        if held is not None and held.open:
            held.answer.cancel()
            self.tell(say.ClientGone(message.id))
            self.release_settled(held)

    def deny(self, order: say.Deny) -> None:
        advice = [("Retry-After", f"{order.come_back_after / 1e6:.3f}")] if order.come_back_after else []
        self.answer(order.submission, Answer(503, b"denied\n", advice))

    def terminate(self, order: say.Terminate) -> None:
        self.answer(order.submission, Answer(502, b"terminated\n"))

    def broke_off(self, order: say.BrokeOff) -> None:
        """The decisions have failed on one submission: it is answered at once, what is out is given up."""
        what = order.what
        self.log.say(f"the decisions broke off: {what}", event="decisions-broke-off", trouble=what)
        held = self.held.get(order.submission)
        if held is not None:
            self.answer(order.submission, Answer(502, b"terminated\n"))
            for dispatch in held.out():
                self.withdraw(say.Withdraw(order.submission, dispatch.number))

    def time_out(self, held: OpenSubmission) -> None:
        """The time limit: nobody waits any longer, neither for a dispatch nor with the client."""
        for dispatch in held.out():
            if not dispatch.recalled:
                self.call_off(held, dispatch)
            self.end(held, dispatch, say.TIMED_OUT)
        held.timer = self.loop.call_later(OVERDUE / 1e6, self.overdue, held)

    def overdue(self, held: OpenSubmission) -> None:
        if held.open:
            id = held.message.id
            self.log.say(
                f"submission {id}: no answer from the decisions in time, terminated",
                event="overdue",
                submission=id,
            )
            self.tell(say.ClientGone(held.message.id))  # for the decisions: nothing more is to be sent for it
            self.answer(held.message.id, Answer(504, b"terminated\n"))

    def sought(self, message: clients.Sought) -> Answer:
        return Answer(404, b"no such job\n")
