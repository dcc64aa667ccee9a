"""A node's dispatches: each from its order to its one outcome."""

from __future__ import annotations

import asyncio
from functools import partial

from locktide.dispatcher.base import DispatcherBase
from locktide.dispatcher.cancellation import give_up
from locktide.dispatcher.records import AttemptStage, OpenAttempt, OpenRequest
from locktide.protocol import names
from locktide.protocol import server_connection as clients
from locktide.protocol import worker_messages as workers
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.commands import CancelAttempt, StartAttempt
from locktide.scheduler.events import AttemptEnded, AttemptProgressed, AttemptSent, AttemptStarted
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response
from locktide.transport.upstream_pool import SPOILT

# How long past the time limit a connection may still wait for a reply that no longer matters, in seconds.
LAST_REPLY = 1.0
# What a connection may tell of a job of which its worker has said by callback that it runs: no end of it, and
# a refusal least of all, as that would be sent again.
NO_WORD = frozenset(
    (
        AttemptOutcome.RESET,
        AttemptOutcome.CONNECTION_CLOSED,
        AttemptOutcome.FULL,
        AttemptOutcome.UNPROCESSABLE,
    )
)


class AttemptLayer(DispatcherBase):
    def dispatch(self, order: StartAttempt) -> None:
        held = self.held.get(order.submission)
        if held is None:
            id = order.submission
            self.log.say(
                f"submission {id}: a dispatch after its end, not sent",
                event="dispatch-too-late",
                submission=id,
            )
            return
        dispatch = OpenAttempt(len(held.dispatches), order.worker)
        dispatch.before = order.before
        held.dispatches.append(dispatch)
        dispatch.task = self.start(self.carry(held, dispatch), held.message.patient)

    async def carry(self, held: OpenRequest, dispatch: OpenAttempt) -> None:
        """Takes one dispatch to its worker; what becomes of the job is told by callback."""

        def build() -> UpstreamRequest | None:
            now = self.clock.now()
            left = held.limit_at - now
            ended = dispatch.stage is AttemptStage.ENDED or not held.open or left <= 0
            # Guards against a connection that came up late: repeats are dropped no longer.
            late = dispatch.before and now >= dispatch.before
            if ended or late or not self.fleet.may_send(dispatch.worker):
                return None
            dispatch.reach(AttemptStage.SENDING)
            return workers.job(held.message, left, dispatch.fence)

        def sent() -> None:
            dispatch.reach(AttemptStage.SENT)
            dispatch.sent_at = self.clock.now()
            self.tell(AttemptSent(held.message.id, dispatch.number))

        # A reset is told a turn after the poll that found it: what has ended by now is heard before the first
        # byte goes out.
        await asyncio.sleep(0)
        kept = self.keeper is not None and self.keeper.keeps(held)
        if self.keeper is not None and kept and not await self.keeper.lease(held, dispatch):
            self.end(held, dispatch, AttemptOutcome.NEVER_SENT)
            return
        try:
            # The time limit ends a dispatch before this does; it is for one that a callback has ended.
            async with asyncio.timeout_at(self.clock.at(held.limit_at) + LAST_REPLY):
                address = self.fleet.addresses[dispatch.worker]
                reply = await self.connections.ask(dispatch.worker, address, build, sent)
        except Exception as trouble:
            what = f"{type(trouble).__name__}: {trouble}"
            self.log.say(
                f"worker {dispatch.worker}: a dispatch ended by {what}",
                event="dispatch-broke-off",
                worker=dispatch.worker,
                trouble=what,
            )
            reply = (
                AttemptOutcome.RESET if dispatch.stage >= AttemptStage.SENDING else AttemptOutcome.NEVER_SENT
            )
        outcome = workers.outcome(reply) if isinstance(reply, UpstreamResponse) else reply
        if outcome == SPOILT or dispatch.taken and outcome in NO_WORD:
            # Guards against a second copy: the worker has it, or may, whatever became of its reply.
            self.recall(held, dispatch, AttemptOutcome.RESET)
        elif outcome is None:
            dispatch.reach(AttemptStage.ACCEPTED)
        elif outcome == AttemptOutcome.UNPROCESSABLE:
            id = held.message.id
            self.log.say(
                f"worker {dispatch.worker}: turned away submission {id}",
                "clients",
                event="turned-away",
                worker=dispatch.worker,
                submission=id,
            )
            self.answer(held.message.id, Response(400, b"turned away by a worker\n"))
            self.end(held, dispatch, outcome)
        else:
            self.end(held, dispatch, outcome)

    def end(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        """The one outcome of a dispatch; the first that is known counts."""
        if not dispatch.end(outcome):
            return
        if self.keeper is not None and self.keeper.keeps(held):
            self.keeper.ended(held, dispatch)
        self.tell(AttemptEnded(held.message.id, dispatch.number, outcome, final=not held.open))
        self.release_settled(held)

    def withdraw(self, order: CancelAttempt) -> None:
        held = self.held.get(order.submission)
        if held is None or order.number >= len(held.dispatches):
            return
        dispatch = held.dispatches[order.number]
        if dispatch.stage is AttemptStage.ENDED or dispatch.recalled:
            return
        dispatch.recalled = True
        if not self.call_off(held, dispatch):
            self.end(
                held,
                dispatch,
                AttemptOutcome.CANCELLED
                if dispatch.stage >= AttemptStage.SENDING
                else AttemptOutcome.NEVER_SENT,
            )

    def expire(self, submission: str, fence: int) -> None:
        """The lease of a dispatch has run out: it is withdrawn, and ends once its worker knows or cannot be
        told. Sooner, what is dispatched elsewhere would be a second copy.
        """
        held = self.held.get(submission)
        for dispatch in held.out() if held is not None else ():
            if dispatch.fence == fence:
                dispatch.lapsed = True
                self.withdraw(CancelAttempt(submission, dispatch.number))

    def recall(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        """It ends with that outcome, once its worker has been told to give it up."""
        if dispatch.may_run and not dispatch.recalled:
            dispatch.recalled = True
            self.call_off(held, dispatch, outcome)

    def call_off(
        self, held: OpenRequest, dispatch: OpenAttempt, outcome: str = AttemptOutcome.CANCELLED
    ) -> bool:
        """Before the 202 by closing the connection; whether a message follows, on which to wait. Then the
        dispatch has that outcome.
        """
        dispatch.task.cancel()  # which closes the connection, where its reply is still waited for
        # Guards against a 202 that is on its way to us: the worker has taken the job, and what is dispatched
        # elsewhere before the message has reached it is a second copy.
        if dispatch.may_run:
            self.start(self.delete(held, dispatch, outcome))
        return dispatch.may_run

    async def delete(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        def vain() -> bool:
            # Before the 202 the closed connection has given it up; the message is for one on its way.
            return dispatch.stage is not AttemptStage.ACCEPTED or not held.open or dispatch.lapsed

        address = partial(self.fleet.addresses.get, dispatch.worker)
        id, within = held.message.id, self.connect_within
        if not await give_up(self.connections, dispatch.worker, address, id, within, vain):
            self.log.say(
                f"worker {dispatch.worker}: no answer to a withdrawal",
                event="withdrawal-unanswered",
                worker=dispatch.worker,
            )
        self.end(held, dispatch, outcome)

    def called(self, message: clients.Callback) -> None:
        held = self.held.get(message.submission)
        dispatch = held.out_at(message.worker) if held is not None else None
        if held is None or dispatch is None:
            return  # late, or for nobody: it is acknowledged all the same
        dispatch.reach(AttemptStage.ACCEPTED)
        if message.state == names.STARTED:
            self.tell(AttemptStarted(message.submission, dispatch.number))
        elif message.state == names.RUNNING:
            self.tell(AttemptProgressed(message.submission, dispatch.number, message.share))
        elif message.outcome is not None:
            if message.outcome == AttemptOutcome.DONE:
                self.answer(message.submission, Response(200, message.result))
            elif held.taken_earlier(dispatch):
                # Guards against a word told again of the earlier one there: this one may run all the same.
                self.recall(held, dispatch, AttemptOutcome.CONNECTION_CLOSED)
                return
            self.end(held, dispatch, message.outcome)
