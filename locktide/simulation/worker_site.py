"""A stand-in worker: the model behind its sockets, the callbacks it makes, its death and its return."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from locktide.protocol import names
from locktide.protocol.client_connection import UpstreamRequest
from locktide.protocol.errors import ProtocolError
from locktide.simulation.backend import WORKER_PORT, Closable
from locktide.simulation.connection_pool import ClientConnectionPool
from locktide.simulation.http import Message, ServerMessages, as_json
from locktide.simulation.interfaces import WorkerContext
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model.checker import GIVEN_UP, NEVER_EXECUTED, POSSIBLY_EXECUTED, ReceivedAttempt
from locktide.simulation.model.discovery import ACTIVE, LEAVING, LEFT, ListedWorker
from locktide.simulation.model.network import DISPATCHER, WORKER, Machine
from locktide.simulation.model.worker import (
    DONE,
    FAILED,
    FULL,
    RETURNED,
    RUNNING,
    STARTED,
    DeduplicationCell,
    EmulatedWorker,
    JobReport,
    RunningJob,
)

CALL_WITHIN = 2.0  # seconds for the answer to a callback; dispatchers take no time over one
EARLY_BY = 5_000  # microseconds by which the 202 follows an early callback
LOST_AFTER = 50_000  # until the machine's agent has seen a process die, in microseconds
# After trouble on the way a withdrawal may still be under way: so long no second copy is blamed.
UNSETTLED = 3_000_000


class WorkerConnection(asyncio.Protocol):
    """One connection from a dispatcher."""

    transport: asyncio.Transport

    def __init__(self, site: WorkerSite, sender: int) -> None:
        self.site, self.sender, self.talk = site, sender, ServerMessages()
        self.first = True  # no message has come on it yet
        self.pending: RunningJob | None = None  # taken, and its 202 is not written
        self.waiting = False  # a message has no answer yet
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if not self.site.worker.up or len(self.site.ends) >= self.site.stage.script.worker.connections:
            self.site.stage.host.reset(transport)
            return
        self.site.ends[self] = None
        self.rest()

    def rest(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        host = self.site.stage.host
        after = int(self.site.stage.script.worker.idle_close * 1e6)
        self.idle = host.call_at(host.now() + after, self.idle_close)

    def idle_close(self) -> None:
        if not self.waiting:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        now = self.site.stage.host.now()
        try:
            message = self.talk.feed(data, now)
        except h11.RemoteProtocolError:
            self.transport.close()
            return
        if message is not None:
            if message.method == "DELETE" and message.path.startswith(names.JOBS):
                # Given up by who sent it, also where a process that hangs has yet to read it.
                self.site.given_up(message.path[len(names.JOBS) :], self.sender)
            self.waiting = True
            wait = int(self.site.stage.script.worker.handshake * 1e6) if self.first else 0
            self.first = False
            self.site.awake(now + wait, self.site.message, self, message)

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        self.waiting, self.pending = False, None
        if not self.transport.is_closing():
            self.transport.write(self.talk.answer(status, body, headers))
            self.rest()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, trouble: Exception | None) -> None:
        self.site.ends.pop(self, None)
        if self.idle is not None:
            self.idle.cancel()
        if self.pending is not None:  # ended before its 202: that gives the dispatch up
            self.site.give_up(self.pending.id, self.sender)


class WorkerSite:
    def __init__(
        self,
        stage: WorkerContext,
        number: int,
        worker: EmulatedWorker,
        pod: DeduplicationCell,
        entry: ListedWorker,
    ) -> None:
        self.stage, self.number, self.worker, self.pod, self.entry = stage, number, worker, pod, entry
        self.machine = Machine(WORKER, number, stage.zone_of(number))
        self.ends: dict[WorkerConnection, None] = {}
        self.opened: list[Closable] = []
        self.life = 0  # counts its processes
        self.hung_until = 0
        self.troubled_at = -UNSETTLED
        self.trap = ""  # where it dies next
        self.trap_back_after = 0
        self.received: dict[int, ReceivedAttempt] = {}
        self.calls: dict[int, asyncio.Task[None]] = {}  # the last callback of each dispatch
        self.timer: asyncio.TimerHandle | None = None
        self.due: int | None = None
        host = stage.host
        self.lines = [
            ClientConnectionPool(host, self.machine, there, (host.address(there), stage.dispatcher_port))
            for there in stage.dispatcher_machines
        ]

    async def open(self) -> None:
        host, life = self.stage.host, self.life
        for number, there in enumerate(self.stage.dispatcher_machines):

            def factory(number: int = number) -> asyncio.Protocol:
                return WorkerConnection(self, number)

            address = (host.address(self.machine), WORKER_PORT + number)
            listening = await host.listen(self.machine, there, address, factory)
            if self.life != life or not self.worker.up:
                listening.close()
                return
            self.opened.append(listening)

    # --- its time

    def awake(self, at: int, what: Callable[..., None], *args: Any) -> None:
        """Calls at that moment, or once it has stopped hanging; never for a process that has died."""
        life = self.life

        def then() -> None:
            if self.life != life or not self.worker.up:
                return
            if self.hung_until > self.stage.host.now():
                self.stage.host.call_at(self.hung_until, then)
            else:
                what(*args)

        if at <= self.stage.host.now() and self.hung_until <= at:
            then()
        else:
            self.stage.host.call_at(at, then)

    def tick(self) -> None:
        """Brings the model up to now, tells what has come about, and wakes again when there is more."""
        if self.worker.up:
            for word in self.worker.advance(self.stage.host.now()):
                self.tell(word)
                if not self.worker.up:
                    return
        self.schedule()

    def schedule(self) -> None:
        at = self.worker.next_at()
        if at == self.due and self.timer is not None:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.due = at
        self.timer = None if at is None else self.stage.host.call_at(at, self.come_due)

    def come_due(self) -> None:
        self.timer = self.due = None
        self.tick()

    # --- messages

    def message(self, end: WorkerConnection, message: Message) -> None:
        if end.transport.is_closing():
            return
        if message.method == "DELETE" and message.path.startswith(names.JOBS):
            self.give_up(message.path[len(names.JOBS) :], end.sender)
            end.reply(200)
        elif message.method == "POST":
            self.dispatched(end, message)
        else:
            end.reply(404)

    def dispatched(self, end: WorkerConnection, message: Message) -> None:
        stage, now = self.stage, self.stage.host.now()
        id = message.fields.get(names.REQUEST_ID.lower(), "")
        submission = stage.tries.get(id)
        request = submission.ask if submission else None
        if (
            submission is None
            or request is None
            or message.path != f"/{request.grade.name}"
            or message.body != stage.body(request)
        ):
            stage.checker.record_stray(now, f"{message.method} {message.path} {id!r} at w{self.number}")
            end.reply(400 if id else 404)
            return
        self.tick()
        there = stage.dispatcher_machines[end.sender]
        came = stage.checker.reached(
            submission,
            self.number,
            self.entry.pod,
            end.sender,
            message.first_at,
            now,
            stage.agents[end.sender].drain_notified_at(self.number),
            stage.links.max_delay(there, self.machine) + stage.host.slack,
            stage.could_have_ended,
            stage.held_back(there, self.machine, message.first_at),
        )
        if self.spring("before-202"):
            stage.checker.settle(came, POSSIBLY_EXECUTED)  # it died with what it had just read
            return
        stage.dispatcher_at(end.sender, "dispatch reached")
        key = stage.next_key()
        noise = chance.stretch(stage.script.seed, stage.script.worker.spread, "cost", id, key)
        fails = chance.unit(stage.script.seed, "error", key) < stage.script.worker.error_rate
        job = RunningJob(key, id, end.sender, max(1000, int(request.work * noise)), request.width, fails)
        self.received[key] = came
        taken = self.worker.offer(now, job)
        self.fall_over()
        if not self.worker.up:
            return
        if taken == FULL:
            stage.checker.settle(came, NEVER_EXECUTED)
            end.reply(503, b"", ((names.DECLINED, "1"),))
            return
        if request.grade.effect == "numbered":
            # By when its first byte came: a hung process reads late what was sent in time.
            job.seen = self.pod.record(request.key, message.first_at)
        if chance.unit(stage.script.seed, "early", key) < stage.script.worker.early:
            end.pending = job
            self.tick()
            self.awake(now + EARLY_BY, self.accept, end, came)
        else:
            self.accept(end, came)
            self.tick()

    def accept(self, end: WorkerConnection, came: ReceivedAttempt) -> None:
        if not self.cut_from(end.sender):
            came.accepted_at = self.stage.host.now()
        end.reply(202)
        self.spring("after-202")

    def give_up(self, id: str, sender: int) -> None:
        if not self.worker.up:
            return
        self.tick()
        for job in self.worker.withdraw(id, sender):
            self.received.pop(job.key, None)
        self.given_up(id, sender)
        self.tick()

    def given_up(self, id: str, sender: int) -> None:
        for came in self.stage.checker.received.get(id, ()):
            if came.worker == self.number and came.dispatcher == sender:
                self.stage.checker.settle(came, GIVEN_UP)

    # --- words

    def tell(self, word: JobReport) -> None:
        stage, job = self.stage, word.job
        submission = stage.tries[job.id]
        came = self.received.get(job.key)
        told: dict[str, Any] = {"id": job.id, "from": self.entry.uid, "state": names.STARTED}
        if word.state == STARTED:
            if self.spring("before-started"):
                return
            stage.running(1)
            if job.seen is None or not job.seen.had_effect:
                stage.checker.effect(word.at, submission, came)
            if job.seen is not None:
                job.seen.had_effect = True
        elif word.state == RUNNING:
            told |= {"state": names.RUNNING, "share": round(word.share, 4)}
        else:
            if word.state != RETURNED:
                if self.spring("before-done"):
                    return
                stage.running(-1)
            self.received.pop(job.key, None)
            if came is not None:
                stage.checker.settle(came, NEVER_EXECUTED if word.state == RETURNED else POSSIBLY_EXECUTED)
            told["state"] = {DONE: "done", FAILED: "failed", RETURNED: "returned"}[word.state]
            if word.state == DONE:
                stage.dispatcher_at(job.sender, "done told")
                told["result"] = f"{job.id}/{job.key}"
                stage.checker.record_result(job.id, told["result"].encode())
        if not job.given_up:
            self.call(job, told)

    def call(self, job: RunningJob, told: dict[str, Any]) -> None:
        """Callbacks of one dispatch go out one after another; those of a dead process never."""
        before = self.calls.get(job.key)
        if told["state"] == names.RUNNING and before is not None and not before.done():
            return  # a newer word on the progress follows soon
        task = self.calls[job.key] = self.stage.spawn(self.call_until_answered(job, told, before))
        task.add_done_callback(
            lambda _: self.calls.pop(job.key, None) if self.calls.get(job.key) is task else None
        )

    async def call_until_answered(
        self, job: RunningJob, told: dict[str, Any], before: asyncio.Task[None] | None
    ) -> None:
        if before is not None:
            await asyncio.wait([before])
        terms, body = self.stage.script.worker, as_json(told)
        question = UpstreamRequest("POST", names.CALLBACK, [], body)
        again = chance.unit(self.stage.script.seed, "twice", job.key, told["state"]) < terms.twice
        for _ in range(terms.call_tries):
            if await self.post(job.sender, question):
                if again:
                    await self.post(job.sender, question)
                return
            await asyncio.sleep(terms.call_gap)

    async def post(self, sender: int, question: UpstreamRequest) -> bool:
        lines = self.lines[sender]
        line = None
        try:
            async with asyncio.timeout(CALL_WITHIN):
                line = await lines.take()
                reply = await line.ask(question)
        except (OSError, ProtocolError, TimeoutError):
            if line is not None:
                lines.drop(line)
            return False
        except asyncio.CancelledError:
            if line is not None:
                lines.drop(line)
            raise
        lines.give_back(line)
        return reply.status in (200, 204)

    # --- incidents

    def spring(self, point: str) -> bool:
        """Whether a trap at this point has killed it just now."""
        if self.trap != point:
            return False
        self.trap = ""
        self.die()
        self.stage.host.call_at(self.stage.host.now() + self.trap_back_after, self.come_back)
        self.stage.sprung += 1
        return True

    def fall_over(self) -> None:
        now = self.stage.host.now()
        sent = self.worker.pushed_over(now)
        if not sent:
            return
        boot = self.entry.boot_at

        def knew(sender: int, at: int) -> bool:
            told = self.stage.agents[sender].told_at(self.number, ACTIVE, boot)
            return told is not None and told <= at

        self.stage.checker.pushed_over(now, self.number, sent, knew)
        self.die()  # and stays down

    def die(self, silently: bool = False) -> None:
        """The process ends with all it holds. Silently: the machine is cut off, so nobody hears of it."""
        if not self.worker.up:
            return
        host, now = self.stage.host, self.stage.host.now()
        self.stage.running(-len(self.worker.jobs))
        lost = self.worker.kill()
        self.life += 1
        self.troubled_at = now
        for listening in self.opened:
            listening.close()
        self.opened.clear()
        for job in lost:
            came = self.received.pop(job.key, None)
            # Who has the 202 and hears nothing cannot know that it is over: it stays out until given up.
            if came is not None and not (silently and came.accepted_at is not None):
                self.stage.checker.settle(came, POSSIBLY_EXECUTED)
        self.received.clear()
        for task in list(self.calls.values()):
            task.cancel()
        self.calls.clear()
        ends = list(self.ends)
        self.ends.clear()
        if silently:
            self.stage.half_open += ends
        else:
            for end in ends:
                host.reset(end.transport)
            for lines in self.lines:
                lines.close(reset=True)
            for job in lost:
                if not job.given_up:
                    told = {"id": job.id, "from": self.entry.uid, "state": "lost"}
                    host.call_at(now + LOST_AFTER, self.call, job, told)
        self.schedule()
        self.list(LEFT, self.stage.script.roster.notice)

    def come_back(self) -> None:
        """A new process, cold."""
        if self.worker.up:
            return
        now = self.stage.host.now()
        for end in [end for end in self.stage.half_open if end.site is self]:
            self.stage.host.reset(end.transport)
            self.stage.half_open.remove(end)
        self.life += 1
        self.hung_until, self.troubled_at = 0, now
        self.worker.start(now, cold=True)
        self.entry = self.stage.entry(self.number, boot_at=self.stage.host.unix(now))
        self.list(ACTIVE, self.stage.script.roster.add)
        self.stage.spawn(self.open())
        self.stage.pause_later(self)

    def list(self, state: str, after: float) -> None:
        """The roster sees it, and each dispatcher's agent hears of it in its own time."""
        self.stage.list_change(self.entry, state, after)

    def hang(self, until: int) -> None:
        self.tick()
        self.hung_until = max(self.hung_until, until)
        self.worker.hold(until)
        self.troubled_at = until
        self.schedule()

    def pause(self, until: int) -> None:
        self.tick()
        self.worker.hold(until)
        self.schedule()

    def slow(self, factor: float) -> None:
        self.tick()
        self.worker.slow *= factor
        self.schedule()

    def drain(self) -> None:
        if not self.worker.up:
            return
        self.tick()
        self.list(LEAVING, self.stage.script.roster.notice)
        for word in self.worker.drain(self.stage.host.now()):
            self.tell(word)
        self.schedule()

    def reset_connections(self) -> None:
        for end in list(self.ends):
            self.stage.host.reset(end.transport)
        for lines in self.lines:
            lines.close(reset=True)

    def cut_from(self, dispatcher: int) -> bool:
        there = Machine(DISPATCHER, dispatcher, self.stage.zone_of(dispatcher))
        return self.stage.links.cut(self.machine, there)
