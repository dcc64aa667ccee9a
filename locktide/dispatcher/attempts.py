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
    def start_attempt(self, order: StartAttempt) -> None:
        held = self.open_requests.get(order.request_id)
        if held is None:
            id = order.request_id
            self.log.emit(
                f"submission {id}: a dispatch after its end, not sent",
                event="dispatch-too-late",
                submission=id,
            )
            return
        dispatch = OpenAttempt(len(held.attempts), order.worker)
        dispatch.send_before = order.send_before
        held.attempts.append(dispatch)
        dispatch.task = self.start(self.run_attempt(held, dispatch), held.message.background)

    async def run_attempt(self, held: OpenRequest, dispatch: OpenAttempt) -> None:
        """Takes one dispatch to its worker; what becomes of the job is told by callback."""

        def build() -> UpstreamRequest | None:
            now = self.clock.now()
            left = held.deadline - now
            ended = dispatch.stage is AttemptStage.ENDED or not held.is_open or left <= 0
            # Guards against a connection that came up late: repeats are dropped no longer.
            late = dispatch.send_before and now >= dispatch.send_before
            if ended or late or not self.endpoints.accepts_requests(dispatch.worker):
                return None
            dispatch.reach(AttemptStage.SENDING)
            return workers.job(held.message, left, dispatch.fence)

        def sent() -> None:
            dispatch.reach(AttemptStage.SENT)
            dispatch.sent_at = self.clock.now()
            self.enqueue_event(AttemptSent(held.message.id, dispatch.number))

        # A reset is told a turn after the poll that found it: what has ended by now is heard before the first
        # byte goes out.
        await asyncio.sleep(0)
        kept = self.job_store is not None and self.job_store.is_durable(held)
        if self.job_store is not None and kept and not await self.job_store.grant_lease(held, dispatch):
            self.finish_attempt(held, dispatch, AttemptOutcome.NEVER_SENT)
            return
        try:
            # The time limit ends a dispatch before this does; it is for one that a callback has ended.
            async with asyncio.timeout_at(self.clock.at(held.deadline) + LAST_REPLY):
                address = self.endpoints.addresses[dispatch.worker]
                reply = await self.upstream.send(dispatch.worker, address, build, sent)
        except Exception as trouble:
            what = f"{type(trouble).__name__}: {trouble}"
            self.log.emit(
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
            self.cancel_and_finish(held, dispatch, AttemptOutcome.RESET)
        elif outcome is None:
            dispatch.reach(AttemptStage.ACCEPTED)
        elif outcome == AttemptOutcome.UNPROCESSABLE:
            id = held.message.id
            self.log.emit(
                f"worker {dispatch.worker}: turned away submission {id}",
                "clients",
                event="turned-away",
                worker=dispatch.worker,
                submission=id,
            )
            self.respond(held.message.id, Response(400, b"turned away by a worker\n"))
            self.finish_attempt(held, dispatch, outcome)
        else:
            self.finish_attempt(held, dispatch, outcome)

    def finish_attempt(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        """The one outcome of a dispatch; the first that is known counts."""
        if not dispatch.end(outcome):
            return
        if self.job_store is not None and self.job_store.is_durable(held):
            self.job_store.attempt_ended(held, dispatch)
        self.enqueue_event(AttemptEnded(held.message.id, dispatch.number, outcome, final=not held.is_open))
        self.release_settled(held)

    def cancel_attempt(self, order: CancelAttempt) -> None:
        held = self.open_requests.get(order.request_id)
        if held is None or order.attempt >= len(held.attempts):
            return
        dispatch = held.attempts[order.attempt]
        if dispatch.stage is AttemptStage.ENDED or dispatch.recalled:
            return
        dispatch.recalled = True
        if not self.call_off(held, dispatch):
            self.finish_attempt(
                held,
                dispatch,
                AttemptOutcome.CANCELLED
                if dispatch.stage >= AttemptStage.SENDING
                else AttemptOutcome.NEVER_SENT,
            )

    def expire_lease(self, submission: str, fence: int) -> None:
        """The lease of a dispatch has run out: it is withdrawn, and ends once its worker knows or cannot be
        told. Sooner, what is dispatched elsewhere would be a second copy.
        """
        held = self.open_requests.get(submission)
        for dispatch in held.unfinished_attempts() if held is not None else ():
            if dispatch.fence == fence:
                dispatch.lease_expired = True
                self.cancel_attempt(CancelAttempt(submission, dispatch.number))

    def cancel_and_finish(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        """It ends with that outcome, once its worker has been told to give it up."""
        if dispatch.possibly_running and not dispatch.recalled:
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
        if dispatch.possibly_running:
            self.start(self.delete(held, dispatch, outcome))
        return dispatch.possibly_running

    async def delete(self, held: OpenRequest, dispatch: OpenAttempt, outcome: str) -> None:
        def vain() -> bool:
            # Before the 202 the closed connection has given it up; the message is for one on its way.
            return dispatch.stage is not AttemptStage.ACCEPTED or not held.is_open or dispatch.lease_expired

        address = partial(self.endpoints.addresses.get, dispatch.worker)
        id, within = held.message.id, self.connect_within
        if not await give_up(self.upstream, dispatch.worker, address, id, within, vain):
            self.log.emit(
                f"worker {dispatch.worker}: no answer to a withdrawal",
                event="withdrawal-unanswered",
                worker=dispatch.worker,
            )
        self.finish_attempt(held, dispatch, outcome)

    def handle_callback(self, message: clients.Callback) -> None:
        held = self.open_requests.get(message.request_id)
        dispatch = held.out_at(message.worker) if held is not None else None
        if held is None or dispatch is None:
            return  # late, or for nobody: it is acknowledged all the same
        dispatch.reach(AttemptStage.ACCEPTED)
        if message.state == names.STARTED:
            self.enqueue_event(AttemptStarted(message.request_id, dispatch.number))
        elif message.state == names.RUNNING:
            self.enqueue_event(AttemptProgressed(message.request_id, dispatch.number, message.fraction_done))
        elif message.outcome is not None:
            if message.outcome == AttemptOutcome.DONE:
                self.respond(message.request_id, Response(200, message.result))
            elif held.taken_earlier(dispatch):
                # Guards against a word told again of the earlier one there: this one may run all the same.
                self.cancel_and_finish(held, dispatch, AttemptOutcome.CONNECTION_CLOSED)
                return
            self.finish_attempt(held, dispatch, message.outcome)
