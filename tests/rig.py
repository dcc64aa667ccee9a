"""One dispatcher in virtual time between peers that do what they are told, and an oracle of its own.

The oracle goes by what peers sent and got, never by the dispatcher's records, but for what must be empty at
the end.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from helpers import GRADES, call, submit, terms

from locktide.config import start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.scheduler.types import Effect
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.network import VirtualNetwork
from locktide.transport.log import Log

HERE = ("d", 70)
WAY = 0.001  # seconds that bytes take each way
EFFECTS = {grade.name: grade.effect for grade in GRADES}
LIMIT = {"view": 3000, "cash": 4000, "record": 4000}  # milliseconds that clients wait
AFTER_CLOSE, DRAIN, TOLD, SLACK = 0.1, 0.25, 6.0, 0.05  # the terms that are held against it
TOLD_TOO_MUCH = 0.15  # seconds more than are left to the client that an attempt may tell its worker


class Peer(asyncio.Protocol):
    """A connection that keeps what comes, and tells whom it belongs to."""

    def __init__(self, heard: Callable[[Peer], None] = lambda peer: None) -> None:
        self.heard, self.buffer, self.ended = heard, b"", ""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.heard(self)

    def eof_received(self) -> bool:
        self.ended = self.ended or "end"
        self.heard(self)
        return True

    def connection_lost(self, trouble: Exception | None) -> None:
        self.ended = "reset" if trouble else self.ended or "end"
        self.heard(self)


@dataclass
class Job:
    id: str
    worker: int
    peer: Peer
    at: float
    taken: bool = False
    over: str = ""  # how it ended, as its worker knows: "never" where it surely has not run
    told: list[str] = field(default_factory=list)


@dataclass
class Asked:
    id: str
    grade: str
    peer: Peer
    at: float
    left_at: float | None = None


class Rig:
    def __init__(self) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.net = VirtualNetwork(self.loop, self)  # type: ignore[arg-type]
        self.jobs: list[Job] = []
        self.asked: list[Asked] = []
        self.states = dict.fromkeys(("w0", "w1", "w2"), "active")
        self.told_at: dict[str, float] = {}  # when it was told, at the latest, that one drains
        self.version, self.silent = 3, False
        self.watches: list[Peer] = []  # calls that wait for a change
        self.faults: list[str] = []
        self.lines: list[str] = []
        self.stopped_at: float | None = None
        self.calls = 0

    # --- the wires

    def delay(self, source: str, target: str) -> int:
        return round(WAY * 1e6)

    def split(self, size: int) -> int:
        return size // 2  # every message comes in two pieces

    def cut(self, source: str, target: str) -> bool:
        return False

    def wall(self) -> float:
        return 1_000_000.0 + self.loop.time()

    def listening(self, address: Any, backlog: int) -> Any:
        return self.net.socket(address, backlog)

    # --- peers

    def entry(self, name: str) -> dict[str, Any]:
        return {"uid": name, "endpoint": f"{name}:1", "az": "z", "model": "box", "state": self.states[name]}

    def reply(self, peer: Peer, whole: bool) -> None:
        body = json.dumps({"rev": self.version, "all": whole, "targets": [*map(self.entry, self.states)]})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        peer.transport.write((head + body).encode())

    def agent(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.buffer:
            head, peer.buffer = peer.buffer.split(b"\r\n\r\n", 1)
            target = head.split()[1].decode()
            if self.silent:
                continue
            if f"after={self.version}&" in target and "wait_ms=0" not in target:
                self.watches.append(peer)
                self.loop.call_later(1.0, self.answer_watch, peer)
            else:
                self.reply(peer, "after" not in target)

    def answer_watch(self, peer: Peer) -> None:
        if peer in self.watches and not self.silent:
            self.watches.remove(peer)
            if not peer.ended:
                self.reply(peer, False)

    def change(self, worker: int, state: str) -> None:
        name = f"w{worker}"
        self.watches = [peer for peer in self.watches if not peer.ended]
        self.states[name], self.version = state, self.version + 1
        if state == "active":
            self.told_at.pop(name, None)
        else:
            # What is known at once, and else six seconds after it could be had.
            self.told_at[name] = self.loop.time() + (TOLD if self.silent or not self.watches else WAY)
        for peer in self.watches[:]:
            self.answer_watch(peer)

    def worker(self, number: int) -> Callable[[Peer], None]:
        def heard(peer: Peer) -> None:
            if peer.ended:
                for job in self.jobs:
                    if job.peer is peer and not job.taken and not job.over:
                        job.over = "closed"
            while b"\r\n\r\n" in peer.buffer:
                head, rest = peer.buffer.split(b"\r\n\r\n", 1)
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
                size = int(fields.get(b"Content-Length", b"0"))
                if len(rest) < size:
                    return
                peer.buffer = rest[size:]
                if head.startswith(b"DELETE"):
                    id = head.split()[1].rpartition(b"/")[2].decode()
                    for job in self.jobs:
                        if job.id == id and job.worker == number and not job.over:
                            job.over = "given up"
                    peer.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    self.arrived(Job(fields[b"Req-Id"].decode(), number, peer, self.loop.time()))
                    self.check_time_told(self.jobs[-1], fields[b"Req-Deadline"])

        return heard

    # --- what is told to do

    async def client(self, grade: str) -> None:
        peer = Peer()
        try:
            await self.net.connect(peer, *HERE, source="c")
        except ConnectionRefusedError:
            return  # it goes elsewhere
        id = f"r{len(self.asked)}"
        limit = f"{LIMIT[grade]}m"
        number = {"Idempotency_Key": f"k{id}"} if grade == "record" else {}
        peer.transport.write(submit(f"/{grade}", Req_Id=id, Req_Deadline=limit, **number))
        self.asked.append(Asked(id, grade, peer, self.loop.time()))

    def leave(self, place: int, how: str) -> None:
        asked = self.asked[place % len(self.asked)] if self.asked else None
        if asked is None or asked.left_at is not None or asked.peer.ended:
            return
        asked.left_at = self.loop.time()
        if how == "reset":
            asked.peer.transport.reset()
        elif how == "shut":
            asked.peer.transport.write_eof()
        else:
            asked.peer.transport.close()

    def open_jobs(self) -> list[Job]:
        return [job for job in self.jobs if not job.over]

    def do(self, job: Job, what: str) -> None:
        """What a worker does with a job that it has."""
        if what == "take" and not job.taken:
            job.taken = True
            job.peer.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        elif what == "refuse" and not job.taken:
            job.over = "never"
            head = b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
            job.peer.transport.write(head)
        elif what == "break" and not job.taken and not job.told:
            job.over = "broken"
            job.peer.transport.reset()
        elif what == "half" and not job.taken:
            job.peer.transport.write(b"HTTP/1.1 2")
            job.peer.transport.close()
        elif what in ("started", "done", "failed", "returned", "lost"):
            if what == "returned" and "started" in job.told:
                return
            if what != "started":
                job.over = "never" if what == "returned" else what
            job.told.append(what)
            self.loop.create_task(self.call(job, what))

    async def call(self, job: Job, state: str) -> None:
        self.calls += 1
        told = call(id=job.id, state=state, result=f"by w{job.worker}", **{"from": f"w{job.worker}"})
        for _ in range(3):
            peer = Peer()
            try:
                await self.net.connect(peer, *HERE, source=f"w{job.worker}")
            except ConnectionRefusedError:
                return
            peer.transport.write(told)
            for _ in range(50):
                await asyncio.sleep(0.01)
                if peer.buffer.startswith(b"HTTP/1.1 204") or peer.ended:
                    break
            peer.transport.close()
            if peer.buffer.startswith(b"HTTP/1.1 204"):
                return

    # --- the oracle

    def fault(self, what: str) -> None:
        self.faults.append(f"{self.loop.time():.3f} {what}")

    def arrived(self, job: Job) -> None:
        now = self.loop.time()
        asked = next(one for one in self.asked if one.id == job.id)
        earlier = [one for one in self.jobs if one.id == job.id]
        self.jobs.append(job)
        if any(not one.over for one in earlier):
            self.fault(f"copies: {job.id} at w{job.worker} while it is out at w{earlier[-1].worker}")
        if EFFECTS[asked.grade] == Effect.AT_MOST_ONCE and any(one.over != "never" for one in earlier):
            self.fault(f"twice: {job.id}, which may have run")
        if asked.left_at is not None and now - WAY > asked.left_at + AFTER_CLOSE:
            self.fault(f"gone: {job.id} begun {now - asked.left_at:.3f} s after its client left")
        told = self.told_at.get(f"w{job.worker}")
        if told is not None and now - WAY > told + DRAIN:
            self.fault(f"drain: {job.id} to w{job.worker}")
        if asked.peer.buffer.startswith(b"HTTP/1.1 "):
            self.fault(f"after: {job.id} sent on after its answer")

    def check_time_told(self, job: Job, told: bytes) -> None:
        """No attempt tells its worker more time than its client has left, but for the page's allowance."""
        asked = next(one for one in self.asked if one.id == job.id)
        left = asked.at + LIMIT[asked.grade] / 1000 - self.loop.time()
        seconds = int(told.removesuffix(b"u")) / 1e6
        if seconds > left + TOLD_TOO_MUCH:
            self.fault(f"told: {job.id} has {left:.3f} s left and its worker is told {seconds:.3f}")

    def settle(self, node: Dispatcher) -> None:
        """After the end: each request has one whole answer, or a stated loss."""
        for asked in self.asked:
            got = asked.peer.buffer.count(b"HTTP/1.1 ")
            if got > 1:
                self.fault(f"extra: {asked.id} has {got} answers")
            elif got == 0 and asked.left_at is None:
                # Only a connection that was shut with the request unread may end so, and only in a stop.
                if self.stopped_at is None or asked.at < self.stopped_at - 2 * WAY:
                    self.fault(f"lost: {asked.id} ended by {asked.peer.ended or 'nothing'}")
                elif any(job.id == asked.id for job in self.jobs):
                    self.fault(f"lost: {asked.id} was sent on and has no answer")
            elif got == 1 and not asked.peer.buffer.partition(b"\r\n\r\n")[1]:
                self.fault(f"half: {asked.id} has a part of its answer")
        if node.registry.open_requests or node.tasks or node.listener.tasks:
            self.fault(f"left: {list(node.registry.open_requests)}, {len(node.tasks)} tasks")
        for name, budget in (("clients", node.listener.descriptors), ("workers", node.upstream.descriptors)):
            rest = 0 if name == "clients" else sum(map(len, node.upstream.idle.by_worker.values()))
            if budget.used != rest:
                self.fault(f"descriptors: {budget.used} of {name} not given back, {rest} at rest")


def play(events: list[tuple[str, int, float]]) -> Rig:
    """The events, each after its gap in seconds; then all workers do their work, and the dispatcher stops."""
    rig = Rig()

    async def run() -> None:
        told = start.Start(
            "d", HERE, ("agent", 1), 7, 100, 80 << 20, {}, 250_000, 30_000_000, terms(3, 1, False, 0.4)
        )
        rig.net.listen(lambda: Peer(rig.agent), "agent", 1)
        for number in range(3):
            rig.net.listen(lambda number=number: Peer(rig.worker(number)), f"w{number}", 1)  # type: ignore
        log = Log("d")
        log.emit = lambda line, *_, **__: rig.lines.append(line)  # type: ignore[method-assign]
        node = Dispatcher(told, discovery.DiscoveryUpdate(0, True, [], {}), log, rig)
        stop = asyncio.Event()
        running = asyncio.create_task(node.run(stop))
        while not node.is_ready():
            await asyncio.sleep(0.01)
        for kind, number, gap in events:
            await asyncio.sleep(gap)
            await act(rig, node, stop, kind, number, told)
        rig.silent = False
        for _ in range(80):  # whatever is left gets its end, and the clients' time runs out
            await asyncio.sleep(0.1)
            for job in rig.open_jobs():
                rig.do(job, "take" if not job.taken else "done")
        rig.stopped_at = rig.stopped_at or rig.loop.time()
        stop.set()
        try:
            async with asyncio.timeout(20.0):
                await running
        except TimeoutError:
            rig.fault("lost: the stop waits for ever")
        node.upstream.set_spans(1, 0)
        await asyncio.sleep(1.0)
        rig.settle(node)

    try:
        rig.loop.run_until_complete(run())
        rig.faults += [f"trouble: {one.get('exception') or one['message']}" for one in rig.loop.unhandled]
    finally:
        for task in asyncio.all_tasks(rig.loop):
            task.cancel()
        rig.loop.run_until_complete(asyncio.sleep(2.0))
        rig.loop.close()
    return rig


async def act(
    rig: Rig, node: Dispatcher, stop: asyncio.Event, kind: str, number: int, told: start.Start
) -> None:
    if kind in LIMIT:
        await rig.client(kind)
    elif kind in ("close", "reset", "shut"):
        rig.leave(number, kind)
    elif kind in ("leaving", "active", "left"):
        rig.change(number % 3, kind)
    elif kind in ("mute", "speak"):
        rig.silent = kind == "mute"
    elif kind == "hup":
        node.reload(told)
    elif kind == "term":
        rig.stopped_at = rig.stopped_at or rig.loop.time()
        stop.set()
    elif jobs := rig.open_jobs():
        rig.do(jobs[number % len(jobs)], kind)
