"""A checked dispatcher, which checks the four rules after every step, and stand-ins for the other sides."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeAlias

from locktide.config import start
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.protocol import messages as clients
from locktide.protocol import names as wire_names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.commands import (
    CancelAttempt,
    Command,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from locktide.scheduler.config import (
    ClientConfig,
    CostConfig,
    EndpointListConfig,
    ObjectiveConfig,
    ProgressConfig,
    QuotaConfig,
    RetryConfig,
    SchedulerConfig,
    ServiceClass,
    SlowStartConfig,
)
from locktide.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import (
    PROVEN_NOT_RUN,
    UNSENT,
    AttemptOutcome,
    DeduplicationScope,
    Effect,
    EndpointState,
    ListUpdateKind,
    RequestId,
)
from locktide.transport.interfaces import Response
from locktide.transport.log import Log

STEP, SLACK, GRACE = 4_000, 16_000, 250_000
# For annotations inside classes that have a method `list`.
Shots: TypeAlias = list[dict[str, Any]]
OpenShots: TypeAlias = list[tuple[Any, int]]
Outcomes: TypeAlias = list[AttemptOutcome]
GRADES = [
    ServiceClass(
        name="view",
        effect=Effect.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.FLEET,
        deduplication_window=0,
        latency_objective=250_000,
        stretch=2.0,
        timeout=3_000_000,
        priority_weight=5.0,
        overdue_weight=0.5,
        worker_type=None,
    ),
    ServiceClass(
        name="record",
        effect=Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=4_000_000,
        latency_objective=900_000,
        stretch=2.0,
        timeout=6_000_000,
        priority_weight=9.0,
        overdue_weight=0.5,
        worker_type=None,
    ),
    ServiceClass(
        name="zoned",
        effect=Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=4_000_000,
        latency_objective=900_000,
        stretch=2.0,
        timeout=6_000_000,
        priority_weight=9.0,
        overdue_weight=0.5,
        worker_type=None,
    ),
    ServiceClass(
        name="close",
        effect=Effect.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.FLEET,
        deduplication_window=4_000_000,
        latency_objective=900_000,
        stretch=2.0,
        timeout=6_000_000,
        priority_weight=9.0,
        overdue_weight=0.5,
        worker_type=None,
    ),
    ServiceClass(
        name="cash",
        effect=Effect.AT_MOST_ONCE,
        deduplication_scope=DeduplicationScope.FLEET,
        deduplication_window=0,
        latency_objective=300_000,
        stretch=2.0,
        timeout=5_000_000,
        priority_weight=7.0,
        overdue_weight=0.5,
        worker_type=None,
    ),
]
COLD = SlowStartConfig(overload_factor=4.0, window=1_000_000, initial_capacity=0.3, warmup=8_000_000)


def listed(
    name: str,
    state: EndpointState = EndpointState.READY,
    started_at: int = 0,
    cell: int = 0,
    rating: float = 1.0,
    kind: str = "box",
) -> EndpointEntry:
    return EndpointEntry(name, f"zone-{cell}", kind, cell, state, rating, started_at)


def terms(
    most: int,
    fleet: int,
    must_ask: bool,
    worst_grade: float,
    live: bool = False,
    prices: CostConfig | None = None,
) -> SchedulerConfig:
    return SchedulerConfig(
        round_interval=STEP,
        dispatcher_count=fleet,
        service_classes=[replace(grade) for grade in GRADES],
        retry=RetryConfig(max_attempts=most, can_cancel=True),
        clients=ClientConfig(max_retry_after=2_000_000),
        quotas=QuotaConfig(quotas={"dairy": 5.0}, beyond_quota_weight=0.1),
        objective=ObjectiveConfig(worst_class_weight=worst_grade),
        slow_start=COLD,
        endpoint_list=EndpointListConfig(polled=must_ask, poll_within=10_000_000, live_ratings=live),
        progress=ProgressConfig(reports_start=True, report_interval=1_000_000),
        costs=prices or CostConfig(),
    )


class Checked:
    """A scheduler whose commands are checked against the four rules, with a clock that the test moves.

    `turn` hands it events and returns its commands; `arrive`, `end`, `list` and `pass_time` make the usual
    ones.
    """

    def __init__(
        self,
        seed: int = 1,
        fleet: int = 3,
        must_ask: bool = False,
        worst_grade: float = 0.4,
        live: bool = False,
        prices: CostConfig | None = None,
    ) -> None:
        self.fleet, self.now = fleet, 10_000_000
        self.most = 3
        self.dispatcher = Scheduler(seed, terms(self.most, fleet, must_ask, worst_grade, live, prices))
        self.grades = {grade.name: grade for grade in GRADES}
        self.arrivals: dict[RequestId, RequestArrived] = {}
        self.answered: dict[RequestId, str] = {}
        self.dispatches: dict[RequestId, Shots] = {}
        self.workers: dict[str, EndpointEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.cold: dict[tuple[str, int], list[tuple[int, float]]] = {}
        self.orders: list[Any] = []

    def turn(self, *news: Any) -> list[Any]:
        for piece in news:
            self.note(piece)
        orders = self.dispatcher.step(self.now, list(news))
        for order in orders:
            self.check(order)
        self.orders += orders
        for submission, arrival in self.arrivals.items():
            if submission not in self.answered:
                assert self.now <= arrival.deadline + SLACK, "rule one: no answer in time"
        return orders

    def pass_time(self, span: int) -> list[Any]:
        """Lets time go by; timers come due and dispatches that reach the time limit time out."""
        orders, until = [], self.now + span
        while self.now < until:
            self.now += STEP
            due = [mark for at, mark in self.timers if at <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            late = [
                AttemptEnded(submission, place, AttemptOutcome.TIMED_OUT, False)
                for submission, shots in self.dispatches.items()
                for place, shot in enumerate(shots)
                if shot["outcome"] is None and self.now >= self.arrivals[submission].deadline
            ]
            if due or late:
                orders += self.turn(*[TimerFired(mark) for mark in due], *late)
        return orders

    def arrive(self, submission: int, grade: str, width: float = 1.0, hint: int = 0) -> list[Any]:
        limit_at = self.now + self.grades[grade].timeout
        return self.turn(RequestArrived(submission, grade, limit_at, width, hint))

    def end(self, submission: RequestId, shot: int, outcome: AttemptOutcome) -> list[Any]:
        return self.turn(AttemptEnded(submission, shot, outcome, outcome == AttemptOutcome.DONE))

    def list(self, *entries: EndpointEntry, kind: ListUpdateKind = ListUpdateKind.SNAPSHOT) -> list[Any]:
        return self.turn(EndpointListUpdate(kind, list(entries)))

    def out(self) -> OpenShots:
        return [
            (submission, place)
            for submission, shots in self.dispatches.items()
            for place, shot in enumerate(shots)
            if shot["outcome"] is None
        ]

    def note(self, piece: Any) -> None:
        if type(piece) is RequestArrived:
            self.arrivals[piece.request_id] = piece
            self.dispatches[piece.request_id] = []
        elif type(piece) is AttemptEnded:
            self.dispatches[piece.request_id][piece.attempt]["outcome"] = piece.outcome
            if piece.final:
                self.answered.setdefault(piece.request_id, "done")
        elif type(piece) is ClientDisconnected:
            self.answered.setdefault(piece.request_id, "gone")
        elif type(piece) is EndpointListUpdate:
            if piece.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
                for name in self.workers:
                    self.workers[name] = listed(name, EndpointState.GONE)
            for entry in piece.entries:
                self.workers[entry.worker] = entry

    def check(self, order: Any) -> None:
        if type(order) is SetTimer:
            assert order.delay >= 0
            self.timers.append((self.now + max(order.delay, STEP), order.timer_id))
        elif type(order) is StartAttempt:
            self.check_dispatch(order)
        elif type(order) in (RejectRequest, FailRequest):
            assert order.request_id not in self.answered, "rule one: a second answer"
            grade = self.grades[self.arrivals[order.request_id].service_class]
            if type(order) is RejectRequest and self.held(order.request_id):
                harmless = (grade.effect, grade.deduplication_scope) == (
                    Effect.IDEMPOTENT_WITH_KEY,
                    DeduplicationScope.FLEET,
                )
                assert (
                    harmless or grade.effect == Effect.IDEMPOTENT
                ), "rule two: a denial of what may have run"
            self.answered[order.request_id] = "denied" if type(order) is RejectRequest else "terminated"
        elif type(order) is CancelAttempt:
            assert order.attempt < len(self.dispatches[order.request_id])

    def held(self, submission: RequestId) -> Shots:
        return [shot for shot in self.dispatches[submission] if shot["outcome"] not in PROVEN_NOT_RUN]

    def check_dispatch(self, order: StartAttempt) -> None:
        arrival = self.arrivals[order.request_id]
        grade, worker = self.grades[arrival.service_class], self.workers[order.worker]
        held = self.held(order.request_id)
        assert order.request_id not in self.answered, "rule one: a dispatch after the answer"
        assert (
            worker.state == EndpointState.READY
        ), "rule three: a dispatch to a worker that drains or is gone"
        counted = self.dispatches[order.request_id]
        if arrival.background:
            counted = [shot for shot in counted if shot["outcome"] not in PROVEN_NOT_RUN]
        elif not self.dispatcher.config.current.retry.counts_unsent:
            counted = [shot for shot in counted if shot["outcome"] not in UNSENT]
        assert len(counted) < self.most
        assert all(shot["outcome"] for shot in held), "two dispatches at once"
        if held and grade.effect == Effect.AT_MOST_ONCE:
            raise AssertionError("rule two: at-most-once work sent again")
        if held and grade.effect == Effect.IDEMPOTENT_WITH_KEY:
            assert self.now < held[0]["at"] + grade.deduplication_window, "rule two: past the memory span"
            for shot in held:
                if grade.deduplication_scope == DeduplicationScope.CELL:
                    assert shot["cell"] == worker.cell, "rule two: outside the cell"
                elif grade.deduplication_scope == DeduplicationScope.ZONE:
                    assert shot["zone"] == worker.zone, "rule two: outside the zone"
        age = self.now - worker.started_at
        if worker.started_at and age < COLD.warmup:
            sent = self.cold.setdefault((order.worker, worker.started_at), [])
            sent.append((self.now, arrival.width * arrival.work_hint))
            lately = sum(work for at, work in sent if at > self.now - COLD.window)
            slots = self.dispatcher.estimates.slots_per_endpoint
            capacity = slots * (COLD.initial_capacity + (1.0 - COLD.initial_capacity) * age / COLD.warmup)
            whole = COLD.overload_factor * COLD.window * capacity
            # A sum that fades over a window lets through 1.63 times its level; two covers its growth. A draw
            # lets through one submission of at most half of what all may send, beside our part.
            most = max(2.0 * whole / self.fleet, 0.5 * whole + whole / self.fleet)
            assert not arrival.work_hint or lately <= most, "rule four: over our share"
        self.dispatches[order.request_id].append(
            dict(at=self.now, worker=order.worker, cell=worker.cell, zone=worker.zone, outcome=None)
        )


# --- a node whose connections to workers are played by hand


def submission(name: str, grade: str = "view", patience: int = 3_000_000) -> clients.SubmitRequest:
    onward = [(b"Req-Id", name.encode())]
    return clients.SubmitRequest(name, grade, patience, 1.0, False, "POST", f"/{grade}", onward, b"")


class Asked:
    """One question that the node put to a worker."""

    def __init__(
        self, worker: str, build: Callable[[], UpstreamRequest | None], sent: Callable[[], None], fresh: bool
    ) -> None:
        self.worker, self.build, self.sent, self.fresh = worker, build, sent, fresh
        self.ended: asyncio.Future[UpstreamResponse | str] = asyncio.get_running_loop().create_future()
        self.cancelled = False

    def reply(self, status: int) -> None:
        self.ended.set_result(UpstreamResponse(status, {}, b""))

    def end(self, outcome: str) -> None:
        self.ended.set_result(outcome)


class HandPlayed:
    """Stands in for the connections to workers, and notes what is told to the decisions."""

    def __init__(self) -> None:
        here = ("127.0.0.1", 9)
        names = [f"w{number}" for number in range(3)]
        known = discovery.DiscoveryUpdate(
            1, True, [listed(name) for name in names], dict.fromkeys(names, here)
        )
        self.lines_logged: list[str] = []
        log = Log("n0")
        log.emit = lambda line, *_, **__: self.lines_logged.append(line)  # type: ignore[method-assign]
        told = start.Start(
            "n0", here, here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, terms(3, 1, False, 0.4)
        )
        self.node = Dispatcher(told, known, log, upstream=self)  # type: ignore[arg-type]
        self.asked: list[Asked] = []
        self.forgotten: list[str] = []
        self.turns: list[tuple[int, list[Any]]] = []
        turn = self.node.scheduler.step

        def noted(now: int, events: Sequence[Event]) -> list[Command]:
            self.turns.append((now, list(events)))
            return turn(now, events)

        self.node.scheduler.step = noted  # type: ignore[method-assign]

    async def send(
        self, worker: str, address: Any, build: Any, sent: Any, fresh: bool = False
    ) -> UpstreamResponse | str:
        asked = Asked(worker, build, sent, fresh)
        self.asked.append(asked)
        try:
            return await asked.ended
        except asyncio.CancelledError:
            asked.cancelled = True
            raise

    def set_spans(self, connect_within: int, idle_close: int) -> None:
        self.spans = connect_within, idle_close

    def close_idle(self, worker: str) -> None:
        self.forgotten.append(worker)

    async def settle(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def ordered(self, name: str) -> Asked:
        """The dispatch of that submission, with no byte written."""
        await self.settle()
        place = list(self.node.registry.open_requests).index(name)
        assert self.node.registry.open_requests[name].attempts
        return self.asked[place]

    async def sent(self, name: str) -> Asked:
        asked = await self.ordered(name)
        assert asked.build() is not None
        asked.sent()
        return asked

    def call(self, name: str, worker: str, state: str, result: bytes = b"") -> None:
        self.node.handle_callback(
            clients.Callback(name, worker, state, 0.0, wire_names.CALLBACK_OUTCOMES.get(state), result)
        )

    def list(self, worker: str, state: EndpointState, started_at: int = 0) -> None:
        entry = listed(worker, state, started_at)
        self.node.endpoint_list.apply(
            discovery.DiscoveryUpdate(2, False, [entry], {worker: ("127.0.0.1", 9)})
        )

    def outcomes(self) -> Outcomes:
        return [piece.outcome for _, news in self.turns for piece in news if type(piece) is AttemptEnded]


async def until(condition: Callable[[], object], seconds: float = 10.0) -> None:
    """Wait until the condition holds, which raises no event."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0)


def run_story(story: Callable[[HandPlayed], Awaitable[None]]) -> None:
    """Runs a story against a dispatcher whose connections to workers are played by hand."""

    async def run() -> None:
        await story(HandPlayed())

    asyncio.run(run())


class Clerk:
    """Takes what a server reads and answers nothing by itself."""

    def __init__(self) -> None:
        self.taken: list[str] = []
        self.left: list[str] = []
        self.answers: list[asyncio.Future[Response]] = []

    def is_ready(self) -> bool:
        return True

    def submit(self, message: clients.SubmitRequest) -> asyncio.Future[Response]:
        self.taken.append(message.id)
        self.answers.append(asyncio.get_running_loop().create_future())
        return self.answers[-1]

    def client_disconnected(self, message: clients.SubmitRequest) -> None:
        self.left.append(message.id)

    def handle_callback(self, message: clients.Callback) -> None:
        pass

    def query_job(self, message: clients.JobQuery) -> Response:
        return Response(404)

    async def until(self, count: int) -> None:
        while len(self.taken) < count:
            await asyncio.sleep(0.001)


TAKEN = b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n"


def post(path: str, body: bytes = b"", **fields: str) -> bytes:
    head = [f"POST {path} HTTP/1.1", "Host: us", f"Content-Length: {len(body)}"]
    head += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def submit(path: str = "/view", body: bytes = b"", **fields: str) -> bytes:
    grade = path[1:].partition("?")[0]
    return post(path, body, **{"Req_Id": "a1", "Req_Kind": grade, "Req_Deadline": "480m", **fields})


def call(**told: Any) -> bytes:
    return post("/callback", json.dumps(told).encode())


def free_address() -> Any:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()


def until_serving(process: subprocess.Popen[bytes]) -> None:
    assert process.stderr is not None
    assert any(b"serving" in line for line in process.stderr), "it has ended"


def begin(folder: Path, discovery: str = "") -> tuple[subprocess.Popen[bytes], Any, socket.socket]:
    """A dispatcher of its own process, ready, that knows one worker: the socket."""
    address = free_address()
    worker = socket.create_server(("127.0.0.1", 0))
    place = "{}:{}".format(*worker.getsockname())
    entry = {"uid": "w0", "endpoint": place, "state": "active"}
    grade = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 9000.0}
    path = folder / "start.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "{}:{}".format(*address),
                "discovery": "127.0.0.1:9",
                "seed": "9",
                "known": {"rev": 1, "all": True, "targets": [entry]},
                "settings": {"ServiceGrades": [grade]},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "locktide"],
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(path), "GW_DISCOVERY": discovery},
    )
    until_serving(process)
    return process, address, worker
