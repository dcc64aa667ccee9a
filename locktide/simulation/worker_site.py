"""An emulated worker: the model behind sockets, its callbacks, its crashes and restarts."""

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

CALLBACK_TIMEOUT = 2.0  # seconds for the response to a callback; dispatchers answer one at once
EARLY_CALLBACK_LEAD = 5_000  # microseconds by which the 202 follows an early callback
LOSS_REPORT_DELAY = 50_000  # microseconds until the machine's agent reports the jobs of a crashed process
# Microseconds after a disturbance during which a cancellation may still be in transit, so that a second
# attempt is no violation.
SETTLING_TIME = 3_000_000


class WorkerConnection(asyncio.Protocol):
    """One connection from a dispatcher."""

    transport: asyncio.Transport

    def __init__(self, site: WorkerSite, sender: int) -> None:
        self.site, self.sender, self.parser = site, sender, ServerMessages()
        self.first = True  # no message has arrived yet
        self.pending: RunningJob | None = None  # accepted, but its 202 is not sent yet
        self.waiting = False  # a message has no response yet
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if (
            not self.site.worker.up
            or len(self.site.open_connections) >= self.site.runner.scenario.worker.connections
        ):
            self.site.runner.host.reset(transport)
            return
        self.site.open_connections[self] = None
        self.restart_idle_timer()

    def restart_idle_timer(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        host = self.site.runner.host
        after = int(self.site.runner.scenario.worker.idle_close * 1e6)
        self.idle = host.call_at(host.now() + after, self.idle_close)

    def idle_close(self) -> None:
        if not self.waiting:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        now = self.site.runner.host.now()
        try:
            message = self.parser.feed(data, now)
        except h11.RemoteProtocolError:
            self.transport.close()
            return
        if message is not None:
            if message.method == "DELETE" and message.path.startswith(names.JOBS):
                # The sender has cancelled the attempt, even if a hanging process has not read that yet.
                self.site.mark_cancelled(message.path[len(names.JOBS) :], self.sender)
            self.waiting = True
            wait = int(self.site.runner.scenario.worker.handshake * 1e6) if self.first else 0
            self.first = False
            self.site.call_when_awake(now + wait, self.site.message, self, message)

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        self.waiting, self.pending = False, None
        if not self.transport.is_closing():
            self.transport.write(self.parser.answer(status, body, headers))
            self.restart_idle_timer()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.site.open_connections.pop(self, None)
        if self.idle is not None:
            self.idle.cancel()
        if self.pending is not None:  # closed before the 202, which cancels the attempt
            self.site.cancel_attempts(self.pending.id, self.sender)


class WorkerSite:
    def __init__(
        self,
        runner: WorkerContext,
        number: int,
        worker: EmulatedWorker,
        pod: DeduplicationCell,
        entry: ListedWorker,
    ) -> None:
        self.runner, self.number, self.worker, self.pod, self.entry = runner, number, worker, pod, entry
        self.machine = Machine(WORKER, number, runner.zone_of(number))
        self.open_connections: dict[WorkerConnection, None] = {}
        self.listeners: list[Closable] = []
        self.life = 0  # counts the processes of this worker
        self.hung_until = 0
        self.disturbed_at = -SETTLING_TIME
        self.trap = ""  # the crash point at which the worker is killed next
        self.trap_downtime = 0
        self.received: dict[int, ReceivedAttempt] = {}
        self.calls: dict[int, asyncio.Task[None]] = {}  # the last callback of each attempt
        self.timer: asyncio.TimerHandle | None = None
        self.due: int | None = None
        host = runner.host
        self.lines = [
            ClientConnectionPool(host, self.machine, there, (host.address(there), runner.dispatcher_port))
            for there in runner.dispatcher_machines
        ]

    async def open(self) -> None:
        host, life = self.runner.host, self.life
        for number, there in enumerate(self.runner.dispatcher_machines):

            def factory(number: int = number) -> asyncio.Protocol:
                return WorkerConnection(self, number)

            address = (host.address(self.machine), WORKER_PORT + number)
            listening = await host.listen(self.machine, there, address, factory)
            if self.life != life or not self.worker.up:
                listening.close()
                return
            self.listeners.append(listening)

    # --- time

    def call_when_awake(self, at: int, action: Callable[..., None], *args: Any) -> None:
        """Call the action at that time, or after a hang; never after this process has crashed."""
        life = self.life

        def run_when_awake() -> None:
            if self.life != life or not self.worker.up:
                return
            if self.hung_until > self.runner.host.now():
                self.runner.host.call_at(self.hung_until, run_when_awake)
            else:
                action(*args)

        if at <= self.runner.host.now() and self.hung_until <= at:
            run_when_awake()
        else:
            self.runner.host.call_at(at, run_when_awake)

    def tick(self) -> None:
        """Advance the model to now, send its reports, and set a timer for the next one."""
        if self.worker.up:
            for report in self.worker.advance(self.runner.host.now()):
                self.send_report(report)
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
        self.timer = None if at is None else self.runner.host.call_at(at, self.on_timer)

    def on_timer(self) -> None:
        self.timer = self.due = None
        self.tick()

    # --- messages

    def message(self, connection: WorkerConnection, message: Message) -> None:
        if connection.transport.is_closing():
            return
        if message.method == "DELETE" and message.path.startswith(names.JOBS):
            self.cancel_attempts(message.path[len(names.JOBS) :], connection.sender)
            connection.reply(200)
        elif message.method == "POST":
            self.dispatched(connection, message)
        else:
            connection.reply(404)

    def dispatched(self, connection: WorkerConnection, message: Message) -> None:
        runner, now = self.runner, self.runner.host.now()
        id = message.fields.get(names.REQUEST_ID.lower(), "")
        submission = runner.submissions.get(id)
        request = submission.request if submission else None
        if (
            submission is None
            or request is None
            or message.path != f"/{request.grade.name}"
            or message.body != runner.body(request)
        ):
            runner.checker.record_stray(now, f"{message.method} {message.path} {id!r} at w{self.number}")
            connection.reply(400 if id else 404)
            return
        self.tick()
        there = runner.dispatcher_machines[connection.sender]
        received = runner.checker.reached(
            submission,
            self.number,
            self.entry.pod,
            connection.sender,
            message.first_at,
            now,
            runner.agents[connection.sender].drain_notified_at(self.number),
            runner.links.max_delay(there, self.machine) + runner.host.slack,
            runner.could_have_ended,
            runner.held_back(there, self.machine, message.first_at),
        )
        if self.trigger_trap("before-202"):
            runner.checker.settle(received, POSSIBLY_EXECUTED)  # the worker crashed after reading it
            return
        runner.reach_crash_point(connection.sender, "dispatch reached")
        key = runner.next_key()
        cost_factor = chance.stretch(runner.scenario.seed, runner.scenario.worker.spread, "cost", id, key)
        fails = chance.unit(runner.scenario.seed, "error", key) < runner.scenario.worker.error_rate
        job = RunningJob(
            key, id, connection.sender, max(1000, int(request.work * cost_factor)), request.width, fails
        )
        self.received[key] = received
        outcome = self.worker.offer(now, job)
        self.crash_if_overloaded()
        if not self.worker.up:
            return
        if outcome == FULL:
            runner.checker.settle(received, NEVER_EXECUTED)
            connection.reply(503, b"", ((names.DECLINED, "1"),))
            return
        if request.grade.effect == "numbered":
            # The arrival of the first byte counts, as a hanging process reads late what was sent in time.
            job.seen = self.pod.record(request.key, message.first_at)
        if chance.unit(runner.scenario.seed, "early", key) < runner.scenario.worker.early:
            connection.pending = job
            self.tick()
            self.call_when_awake(now + EARLY_CALLBACK_LEAD, self.accept, connection, received)
        else:
            self.accept(connection, received)
            self.tick()

    def accept(self, connection: WorkerConnection, received: ReceivedAttempt) -> None:
        if not self.cut_from(connection.sender):
            received.accepted_at = self.runner.host.now()
        connection.reply(202)
        self.trigger_trap("after-202")

    def cancel_attempts(self, id: str, sender: int) -> None:
        if not self.worker.up:
            return
        self.tick()
        for job in self.worker.withdraw(id, sender):
            self.received.pop(job.key, None)
        self.mark_cancelled(id, sender)
        self.tick()

    def mark_cancelled(self, id: str, sender: int) -> None:
        for received in self.runner.checker.received.get(id, ()):
            if received.worker == self.number and received.dispatcher == sender:
                self.runner.checker.settle(received, GIVEN_UP)

    # --- callbacks

    def send_report(self, report: JobReport) -> None:
        runner, job = self.runner, report.job
        submission = runner.submissions[job.id]
        received = self.received.get(job.key)
        callback: dict[str, Any] = {"id": job.id, "from": self.entry.uid, "state": names.STARTED}
        if report.state == STARTED:
            if self.trigger_trap("before-started"):
                return
            runner.add_running_jobs(1)
            if job.seen is None or not job.seen.had_effect:
                runner.checker.effect(report.at, submission, received)
            if job.seen is not None:
                job.seen.had_effect = True
        elif report.state == RUNNING:
            callback |= {"state": names.RUNNING, "share": round(report.share, 4)}
        else:
            if report.state != RETURNED:
                if self.trigger_trap("before-done"):
                    return
                runner.add_running_jobs(-1)
            self.received.pop(job.key, None)
            if received is not None:
                runner.checker.settle(
                    received, NEVER_EXECUTED if report.state == RETURNED else POSSIBLY_EXECUTED
                )
            callback["state"] = {DONE: "done", FAILED: "failed", RETURNED: "returned"}[report.state]
            if report.state == DONE:
                runner.reach_crash_point(job.sender, "done told")
                callback["result"] = f"{job.id}/{job.key}"
                runner.checker.record_result(job.id, callback["result"].encode())
        if not job.is_cancelled:
            self.call(job, callback)

    def call(self, job: RunningJob, callback: dict[str, Any]) -> None:
        """Send a callback after the earlier ones of the same attempt; a crash cancels all of them."""
        before = self.calls.get(job.key)
        if callback["state"] == names.RUNNING and before is not None and not before.done():
            return  # a newer progress callback follows soon
        task = self.calls[job.key] = self.runner.spawn(self.call_until_answered(job, callback, before))
        task.add_done_callback(
            lambda _: self.calls.pop(job.key, None) if self.calls.get(job.key) is task else None
        )

    async def call_until_answered(
        self, job: RunningJob, callback: dict[str, Any], before: asyncio.Task[None] | None
    ) -> None:
        if before is not None:
            await asyncio.wait([before])
        worker_settings, body = self.runner.scenario.worker, as_json(callback)
        question = UpstreamRequest("POST", names.CALLBACK, [], body)
        is_repeated = (
            chance.unit(self.runner.scenario.seed, "twice", job.key, callback["state"])
            < worker_settings.twice
        )
        for _ in range(worker_settings.call_tries):
            if await self.post(job.sender, question):
                if is_repeated:
                    await self.post(job.sender, question)
                return
            await asyncio.sleep(worker_settings.call_gap)

    async def post(self, sender: int, question: UpstreamRequest) -> bool:
        pool = self.lines[sender]
        connection = None
        try:
            async with asyncio.timeout(CALLBACK_TIMEOUT):
                connection = await pool.take()
                reply = await connection.ask(question)
        except (OSError, ProtocolError, TimeoutError):
            if connection is not None:
                pool.drop(connection)
            return False
        except asyncio.CancelledError:
            if connection is not None:
                pool.drop(connection)
            raise
        pool.give_back(connection)
        return reply.status in (200, 204)

    # --- faults

    def trigger_trap(self, point: str) -> bool:
        """Kill the worker if a trap is set at this point; return whether it was."""
        if self.trap != point:
            return False
        self.trap = ""
        self.die()
        self.runner.host.call_at(self.runner.host.now() + self.trap_downtime, self.restart)
        self.runner.triggered_traps += 1
        return True

    def crash_if_overloaded(self) -> None:
        now = self.runner.host.now()
        sent = self.worker.pushed_over(now)
        if not sent:
            return
        boot = self.entry.boot_at

        def was_notified(sender: int, at: int) -> bool:
            notified_at = self.runner.agents[sender].notification_time(self.number, ACTIVE, boot)
            return notified_at is not None and notified_at <= at

        self.runner.checker.pushed_over(now, self.number, sent, was_notified)
        self.die()  # without a restart

    def die(self, silently: bool = False) -> None:
        """End the process and lose its jobs; if `silently`, as when cut off, without resets and reports."""
        if not self.worker.up:
            return
        host, now = self.runner.host, self.runner.host.now()
        self.runner.add_running_jobs(-len(self.worker.jobs))
        lost = self.worker.kill()
        self.life += 1
        self.disturbed_at = now
        for listening in self.listeners:
            listening.close()
        self.listeners.clear()
        for job in lost:
            received = self.received.pop(job.key, None)
            # A dispatcher that has the 202 and is not notified cannot know that the attempt has ended: the
            # attempt stays in flight until it is cancelled.
            if received is not None and not (silently and received.accepted_at is not None):
                self.runner.checker.settle(received, POSSIBLY_EXECUTED)
        self.received.clear()
        for task in list(self.calls.values()):
            task.cancel()
        self.calls.clear()
        open_connections = list(self.open_connections)
        self.open_connections.clear()
        if silently:
            self.runner.half_open += open_connections
        else:
            for connection in open_connections:
                host.reset(connection.transport)
            for pool in self.lines:
                pool.close(reset=True)
            for job in lost:
                if not job.is_cancelled:
                    callback = {"id": job.id, "from": self.entry.uid, "state": "lost"}
                    host.call_at(now + LOSS_REPORT_DELAY, self.call, job, callback)
        self.schedule()
        self.announce(LEFT, self.runner.scenario.roster.notice)

    def restart(self) -> None:
        """Start a new process, which is cold."""
        if self.worker.up:
            return
        now = self.runner.host.now()
        for connection in [connection for connection in self.runner.half_open if connection.site is self]:
            self.runner.host.reset(connection.transport)
            self.runner.half_open.remove(connection)
        self.life += 1
        self.hung_until, self.disturbed_at = 0, now
        self.worker.start(now, cold=True)
        self.entry = self.runner.entry(self.number, boot_at=self.runner.host.unix_time(now))
        self.announce(ACTIVE, self.runner.scenario.roster.add)
        self.runner.spawn(self.open())
        self.runner.schedule_pause(self)

    def announce(self, state: str, after: float) -> None:
        """Announce a state to the agents of all dispatchers, after the delay of the discovery service."""
        self.runner.announce_change(self.entry, state, after)

    def hang(self, until: int) -> None:
        self.tick()
        self.hung_until = max(self.hung_until, until)
        self.worker.hold(until)
        self.disturbed_at = until
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
        self.announce(LEAVING, self.runner.scenario.roster.notice)
        for report in self.worker.drain(self.runner.host.now()):
            self.send_report(report)
        self.schedule()

    def reset_connections(self) -> None:
        for connection in list(self.open_connections):
            self.runner.host.reset(connection.transport)
        for pool in self.lines:
            pool.close(reset=True)

    def cut_from(self, dispatcher: int) -> bool:
        there = Machine(DISPATCHER, dispatcher, self.runner.zone_of(dispatcher))
        return self.runner.links.cut(self.machine, there)
