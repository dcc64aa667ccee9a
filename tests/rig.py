"""One dispatcher in virtual time, peers that carry out a list of events, and an oracle that checks the run.

The oracle judges by what the peers sent and received. It reads the dispatcher's own records only to check
that nothing is left open at the end.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from helpers import SERVICE_CLASSES, callback_bytes, scheduler_config, submit_bytes

from locktide.config import start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.scheduler.types import Effect
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.network import VirtualNetwork
from locktide.transport.log import Log

DISPATCHER_ADDRESS = ("d", 70)
ONE_WAY_DELAY = 0.001  # seconds that bytes take in one direction
EFFECTS = {service_class.name: service_class.effect for service_class in SERVICE_CLASSES}
TIMEOUTS_MS = {"view": 3000, "cash": 4000, "record": 4000}  # how long clients wait
# Seconds that the platform's terms allow: for attempts after a client disconnected; for attempts at a
# draining worker after the dispatcher was notified; until a change is notified; for a late response.
DISCONNECT_ALLOWANCE, DRAIN_ALLOWANCE, NOTIFICATION_TIME, RESPONSE_TOLERANCE = 0.1, 0.25, 6.0, 0.05
# Seconds by which the time that an attempt states to its worker may exceed what is left to the client.
STATED_TIME_ALLOWANCE = 0.15


class Peer(asyncio.Protocol):
    """A connection of a peer that buffers what it receives and calls back on each change.

    Attributes:
        on_change: Called after data was received and when the connection ended.
        buffer: The data that is received and not yet processed.
        ending: How the connection ended: "end" or "reset"; empty while it is open.
    """

    def __init__(self, on_change: Callable[[Peer], None] = lambda peer: None) -> None:
        self.on_change, self.buffer, self.ending = on_change, b"", ""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self.on_change(self)

    def eof_received(self) -> bool:
        self.ending = self.ending or "end"
        self.on_change(self)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.ending = "reset" if error else self.ending or "end"
        self.on_change(self)


@dataclass
class Job:
    """One attempt that arrived at a worker.

    Attributes:
        request_id: The id of its request.
        worker: The number of the worker.
        peer: The connection on which it arrived.
        arrived_at: Virtual time, in seconds.
        is_accepted: Whether the worker accepted it.
        ending: How it ended, as far as its worker knows; "never" if it surely has not run; empty before.
        callbacks: The states that the worker reported, in order.
    """

    request_id: str
    worker: int
    peer: Peer
    arrived_at: float
    is_accepted: bool = False
    ending: str = ""
    callbacks: list[str] = field(default_factory=list)


@dataclass
class ClientRequest:
    """One request as its client sees it.

    Attributes:
        request_id: The id of the request.
        service_class: The name of its service class.
        peer: The connection of the client.
        sent_at: Virtual time, in seconds.
        disconnected_at: When the client closed the connection; None if it did not.
    """

    request_id: str
    service_class: str
    peer: Peer
    sent_at: float
    disconnected_at: float | None = None


class Rig:
    """The peers of one dispatcher in virtual time, and the oracle that checks what they see.

    The rig also is the network's model of its links, and the clock and sockets of the dispatcher.

    Attributes:
        loop: The event loop, whose time is virtual.
        network: The network between the dispatcher and its peers.
        jobs: All attempts that arrived at workers, in order.
        requests: All requests that clients sent, in order.
        states: The state of each worker in the endpoint list.
        notified_at: By when, at the latest, the dispatcher is notified that a worker drains or is gone.
        version: The version of the endpoint list.
        is_silent: Whether the discovery service does not respond.
        watches: The connections of calls that wait for a change of the endpoint list.
        violations: What the oracle found, each with its time and kind.
        log_lines: The lines that the dispatcher logged.
        stopped_at: When the dispatcher was told to stop; None before.
        callback_count: How many callbacks the workers sent.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.network = VirtualNetwork(self.loop, self)  # type: ignore[arg-type]
        self.jobs: list[Job] = []
        self.requests: list[ClientRequest] = []
        self.states = dict.fromkeys(("w0", "w1", "w2"), "active")
        self.notified_at: dict[str, float] = {}
        self.version, self.is_silent = 3, False
        self.watches: list[Peer] = []
        self.violations: list[str] = []
        self.log_lines: list[str] = []
        self.stopped_at: float | None = None
        self.callback_count = 0

    # --- the network and the system of the dispatcher

    def delay(self, source: str, target: str) -> int:
        """Return the delay of a link, in microseconds."""
        return round(ONE_WAY_DELAY * 1e6)

    def split(self, size: int) -> int:
        """Return where to split a write: every message arrives in two pieces."""
        return size // 2

    def cut(self, source: str, target: str) -> bool:
        """Return whether a link is cut: none is."""
        return False

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return 1_000_000.0 + self.loop.time()

    def open_listener(self, address: Any, backlog: int) -> Any:
        """Return a socket that listens in the virtual network."""
        return self.network.socket(address, backlog)

    # --- peers

    def entry(self, name: str) -> dict[str, Any]:
        """Return the entry of a worker as the discovery service sends it."""
        return {"uid": name, "endpoint": f"{name}:1", "az": "z", "model": "box", "state": self.states[name]}

    def send_list(self, peer: Peer, is_snapshot: bool) -> None:
        """Send the endpoint list, as a snapshot or a delta."""
        body = json.dumps(
            {"rev": self.version, "all": is_snapshot, "targets": [*map(self.entry, self.states)]}
        )
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        peer.transport.write((head + body).encode())

    def handle_discovery(self, peer: Peer) -> None:
        """Respond to the calls that the dispatcher makes to the discovery service."""
        while b"\r\n\r\n" in peer.buffer:
            head, peer.buffer = peer.buffer.split(b"\r\n\r\n", 1)
            target = head.split()[1].decode()
            if self.is_silent:
                continue
            if f"after={self.version}&" in target and "wait_ms=0" not in target:
                self.watches.append(peer)
                self.loop.call_later(1.0, self.answer_watch, peer)
            else:
                self.send_list(peer, "after" not in target)

    def answer_watch(self, peer: Peer) -> None:
        """Respond to a watch unless it has a response or the discovery service is silent."""
        if peer in self.watches and not self.is_silent:
            self.watches.remove(peer)
            if not peer.ending:
                self.send_list(peer, False)

    def change_state(self, worker: int, state: str) -> None:
        """Change the state of a worker in the endpoint list and respond to the watches."""
        name = f"w{worker}"
        self.watches = [peer for peer in self.watches if not peer.ending]
        self.states[name], self.version = state, self.version + 1
        if state == "active":
            self.notified_at.pop(name, None)
        else:
            # An open watch notifies the dispatcher at once; without one it may take NOTIFICATION_TIME.
            self.notified_at[name] = self.loop.time() + (
                NOTIFICATION_TIME if self.is_silent or not self.watches else ONE_WAY_DELAY
            )
        for peer in self.watches[:]:
            self.answer_watch(peer)

    def worker_handler(self, number: int) -> Callable[[Peer], None]:
        """Return the callback that handles what arrives on a connection to the worker."""

        def handle_messages(peer: Peer) -> None:
            if peer.ending:
                for job in self.jobs:
                    if job.peer is peer and not job.is_accepted and not job.ending:
                        job.ending = "closed"
            while b"\r\n\r\n" in peer.buffer:
                head, rest = peer.buffer.split(b"\r\n\r\n", 1)
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
                size = int(fields.get(b"Content-Length", b"0"))
                if len(rest) < size:
                    return
                peer.buffer = rest[size:]
                if head.startswith(b"DELETE"):
                    request_id = head.split()[1].rpartition(b"/")[2].decode()
                    for job in self.jobs:
                        if job.request_id == request_id and job.worker == number and not job.ending:
                            job.ending = "given up"
                    peer.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                else:
                    self.check_arrival(Job(fields[b"Req-Id"].decode(), number, peer, self.loop.time()))
                    self.check_stated_time(self.jobs[-1], fields[b"Req-Deadline"])

        return handle_messages

    # --- the events of a run

    async def send_request(self, service_class: str) -> None:
        """Send a request of the service class as a new client."""
        peer = Peer()
        try:
            await self.network.connect(peer, *DISPATCHER_ADDRESS, source="c")
        except ConnectionRefusedError:
            return  # the client turns to another dispatcher
        request_id = f"r{len(self.requests)}"
        timeout = f"{TIMEOUTS_MS[service_class]}m"
        key_fields = {"Idempotency_Key": f"k{request_id}"} if service_class == "record" else {}
        peer.transport.write(
            submit_bytes(f"/{service_class}", Req_Id=request_id, Req_Deadline=timeout, **key_fields)
        )
        self.requests.append(ClientRequest(request_id, service_class, peer, self.loop.time()))

    def disconnect(self, index: int, ending: str) -> None:
        """Close, reset or half-close the connection of a client."""
        request = self.requests[index % len(self.requests)] if self.requests else None
        if request is None or request.disconnected_at is not None or request.peer.ending:
            return
        request.disconnected_at = self.loop.time()
        if ending == "reset":
            request.peer.transport.reset()
        elif ending == "shut":
            request.peer.transport.write_eof()
        else:
            request.peer.transport.close()

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have not ended."""
        return [job for job in self.jobs if not job.ending]

    def act_as_worker(self, job: Job, action: str) -> None:
        """Accept or decline a job, break its connection or report its state, if that is still possible."""
        if action == "take" and not job.is_accepted:
            job.is_accepted = True
            job.peer.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        elif action == "refuse" and not job.is_accepted:
            job.ending = "never"
            head = b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
            job.peer.transport.write(head)
        elif action == "break" and not job.is_accepted and not job.callbacks:
            job.ending = "broken"
            job.peer.transport.reset()
        elif action == "half" and not job.is_accepted:
            job.peer.transport.write(b"HTTP/1.1 2")
            job.peer.transport.close()
        elif action in ("started", "done", "failed", "returned", "lost"):
            if action == "returned" and "started" in job.callbacks:
                return
            if action != "started":
                job.ending = "never" if action == "returned" else action
            job.callbacks.append(action)
            self.loop.create_task(self.send_callback(job, action))

    async def send_callback(self, job: Job, state: str) -> None:
        """Send a callback as the worker of the job, at most three times, until it is confirmed."""
        self.callback_count += 1
        callback = callback_bytes(
            id=job.request_id, state=state, result=f"by w{job.worker}", **{"from": f"w{job.worker}"}
        )
        for _ in range(3):
            peer = Peer()
            try:
                await self.network.connect(peer, *DISPATCHER_ADDRESS, source=f"w{job.worker}")
            except ConnectionRefusedError:
                return
            peer.transport.write(callback)
            for _ in range(50):
                await asyncio.sleep(0.01)
                if peer.buffer.startswith(b"HTTP/1.1 204") or peer.ending:
                    break
            peer.transport.close()
            if peer.buffer.startswith(b"HTTP/1.1 204"):
                return

    # --- the oracle

    def report_violation(self, text: str) -> None:
        """Record a violation; its text starts with its kind."""
        self.violations.append(f"{self.loop.time():.3f} {text}")

    def check_arrival(self, job: Job) -> None:
        """Record a job that arrived at a worker and check that the attempt was allowed."""
        now = self.loop.time()
        request = next(one for one in self.requests if one.request_id == job.request_id)
        earlier = [one for one in self.jobs if one.request_id == job.request_id]
        self.jobs.append(job)
        if any(not one.ending for one in earlier):
            self.report_violation(
                f"copies: {job.request_id} at w{job.worker} while it may run at w{earlier[-1].worker}"
            )
        if EFFECTS[request.service_class] == Effect.AT_MOST_ONCE and any(
            one.ending != "never" for one in earlier
        ):
            self.report_violation(f"twice: {job.request_id}, which may have run")
        if (
            request.disconnected_at is not None
            and now - ONE_WAY_DELAY > request.disconnected_at + DISCONNECT_ALLOWANCE
        ):
            self.report_violation(
                f"gone: {job.request_id} started {now - request.disconnected_at:.3f} s after the client left"
            )
        notified_at = self.notified_at.get(f"w{job.worker}")
        if notified_at is not None and now - ONE_WAY_DELAY > notified_at + DRAIN_ALLOWANCE:
            self.report_violation(f"drain: {job.request_id} to w{job.worker}")
        if request.peer.buffer.startswith(b"HTTP/1.1 "):
            self.report_violation(f"after: {job.request_id} sent to a worker after its response")

    def check_stated_time(self, job: Job, stated: bytes) -> None:
        """Check that the attempt states no more time than its client has left, apart from the allowance."""
        request = next(one for one in self.requests if one.request_id == job.request_id)
        time_left = request.sent_at + TIMEOUTS_MS[request.service_class] / 1000 - self.loop.time()
        seconds = int(stated.removesuffix(b"u")) / 1e6
        if seconds > time_left + STATED_TIME_ALLOWANCE:
            self.report_violation(
                f"stated: {job.request_id} has {time_left:.3f} s left and its worker gets {seconds:.3f}"
            )

    def check_end(self, dispatcher: Dispatcher) -> None:
        """Check that each request has one complete response or a stated loss, and that nothing stays open."""
        for request in self.requests:
            response_count = request.peer.buffer.count(b"HTTP/1.1 ")
            if response_count > 1:
                self.report_violation(f"extra: {request.request_id} has {response_count} responses")
            elif response_count == 0 and request.disconnected_at is None:
                # Only a connection that a stopping dispatcher closed before it read the request may end so.
                if self.stopped_at is None or request.sent_at < self.stopped_at - 2 * ONE_WAY_DELAY:
                    self.report_violation(
                        f"lost: {request.request_id} ended by {request.peer.ending or 'nothing'}"
                    )
                elif any(job.request_id == request.request_id for job in self.jobs):
                    self.report_violation(
                        f"lost: {request.request_id} was sent to a worker and has no response"
                    )
            elif response_count == 1 and not request.peer.buffer.partition(b"\r\n\r\n")[1]:
                self.report_violation(f"half: {request.request_id} has a part of its response")
        if dispatcher.registry.open_requests or dispatcher.tasks or dispatcher.listener.tasks:
            self.report_violation(
                f"left: {list(dispatcher.registry.open_requests)}, {len(dispatcher.tasks)} tasks"
            )
        for name, budget in (
            ("clients", dispatcher.listener.descriptors),
            ("workers", dispatcher.upstream.descriptors),
        ):
            idle_count = (
                0 if name == "clients" else sum(map(len, dispatcher.upstream.idle.by_worker.values()))
            )
            if budget.used != idle_count:
                self.report_violation(
                    f"descriptors: {budget.used} of {name} not released, {idle_count} of them idle"
                )


def run_events(events: list[tuple[str, int, float]]) -> Rig:
    """Carry out the events, let the workers finish all jobs, stop the dispatcher and check the run.

    Args:
        events: For each event its kind, the number of its worker, job or client, and the seconds before it.

    Returns:
        The rig with the violations that the oracle found.
    """
    rig = Rig()

    async def run() -> None:
        start_config = start.Start(
            "d",
            DISPATCHER_ADDRESS,
            ("agent", 1),
            7,
            100,
            80 << 20,
            {},
            250_000,
            30_000_000,
            scheduler_config(3, 1, False, 0.4),
        )
        rig.network.listen(lambda: Peer(rig.handle_discovery), "agent", 1)
        for number in range(3):
            rig.network.listen(lambda number=number: Peer(rig.worker_handler(number)), f"w{number}", 1)  # type: ignore
        log = Log("d")
        log.emit = lambda line, *_, **__: rig.log_lines.append(line)  # type: ignore[method-assign]
        dispatcher = Dispatcher(start_config, discovery.DiscoveryUpdate(0, True, [], {}), log, rig)
        stop = asyncio.Event()
        running = asyncio.create_task(dispatcher.run(stop))
        while not dispatcher.is_ready():
            await asyncio.sleep(0.01)
        for kind, number, gap in events:
            await asyncio.sleep(gap)
            await apply_event(rig, dispatcher, stop, kind, number, start_config)
        rig.is_silent = False
        for _ in range(80):  # every open job ends, and the timeouts of the clients pass
            await asyncio.sleep(0.1)
            for job in rig.open_jobs():
                rig.act_as_worker(job, "take" if not job.is_accepted else "done")
        rig.stopped_at = rig.stopped_at or rig.loop.time()
        stop.set()
        try:
            async with asyncio.timeout(20.0):
                await running
        except TimeoutError:
            rig.report_violation("lost: the dispatcher does not stop")
        dispatcher.upstream.set_timeouts(1, 0)
        await asyncio.sleep(1.0)
        rig.check_end(dispatcher)

    try:
        rig.loop.run_until_complete(run())
        rig.violations += [
            f"exception: {one.get('exception') or one['message']}" for one in rig.loop.unhandled
        ]
    finally:
        for task in asyncio.all_tasks(rig.loop):
            task.cancel()
        rig.loop.run_until_complete(asyncio.sleep(2.0))
        rig.loop.close()
    return rig


async def apply_event(
    rig: Rig, dispatcher: Dispatcher, stop: asyncio.Event, kind: str, number: int, start_config: start.Start
) -> None:
    """Carry out one event; an event that does not apply changes nothing."""
    if kind in TIMEOUTS_MS:
        await rig.send_request(kind)
    elif kind in ("close", "reset", "shut"):
        rig.disconnect(number, kind)
    elif kind in ("leaving", "active", "left"):
        rig.change_state(number % 3, kind)
    elif kind in ("mute", "speak"):
        rig.is_silent = kind == "mute"
    elif kind == "hup":
        dispatcher.reload(start_config)
    elif kind == "term":
        rig.stopped_at = rig.stopped_at or rig.loop.time()
        stop.set()
    elif jobs := rig.open_jobs():
        rig.act_as_worker(jobs[number % len(jobs)], kind)
