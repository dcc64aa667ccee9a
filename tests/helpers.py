"""Builders and stand-ins that most tests share.

`CheckedScheduler` checks the commands of a scheduler after each step. `DispatcherHarness` runs a dispatcher
whose exchanges with workers are answered by the test. `RequestHandlerStub` stands behind a listener.
"""

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
from locktide.dispatcher.shutdown_limit import ShutdownLimit
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

# Microseconds: between two rounds; by which a response may miss its deadline; that a draining worker has.
ROUND_INTERVAL, RESPONSE_TOLERANCE, DRAIN_GRACE = 4_000, 16_000, 250_000
# One dictionary for each attempt of a request: `at`, `worker`, `cell`, `zone` and `outcome` (None: it runs).
AttemptRecords: TypeAlias = list[dict[str, Any]]
# The request and the number of each attempt without an outcome.
RunningAttempts: TypeAlias = list[tuple[Any, int]]
Outcomes: TypeAlias = list[AttemptOutcome]
SERVICE_CLASSES = [
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
SLOW_START = SlowStartConfig(overload_factor=4.0, window=1_000_000, initial_capacity=0.3, warmup=8_000_000)


def endpoint_entry(
    worker: str,
    state: EndpointState = EndpointState.READY,
    started_at: int = 0,
    cell: int = 0,
    rating: float = 1.0,
    worker_type: str = "box",
) -> EndpointEntry:
    """Return the entry of a worker in an endpoint list; its zone follows from its cell."""
    return EndpointEntry(worker, f"zone-{cell}", worker_type, cell, state, rating, started_at)


def scheduler_config(
    max_attempts: int,
    dispatcher_count: int,
    is_polled: bool,
    worst_class_weight: float,
    has_live_ratings: bool = False,
    costs: CostConfig | None = None,
) -> SchedulerConfig:
    """Return a configuration of the scheduler with the service classes and the slow start of these tests.

    Args:
        max_attempts: How many attempts a request may have.
        dispatcher_count: How many dispatchers share the workers.
        is_polled: Whether the endpoint list is polled.
        worst_class_weight: The weight of the worst service class in the objective.
        has_live_ratings: Whether the load ratings of workers are kept up to date.
        costs: The costs of placement; none by default.
    """
    return SchedulerConfig(
        round_interval=ROUND_INTERVAL,
        dispatcher_count=dispatcher_count,
        service_classes=[replace(service_class) for service_class in SERVICE_CLASSES],
        retry=RetryConfig(max_attempts=max_attempts, can_cancel=True),
        clients=ClientConfig(max_retry_after=2_000_000),
        quotas=QuotaConfig(quotas={"dairy": 5.0}, beyond_quota_weight=0.1),
        objective=ObjectiveConfig(worst_class_weight=worst_class_weight),
        slow_start=SLOW_START,
        endpoint_list=EndpointListConfig(
            is_polled=is_polled, poll_within=10_000_000, has_live_ratings=has_live_ratings
        ),
        progress=ProgressConfig(reports_start=True, report_interval=1_000_000),
        costs=costs or CostConfig(),
    )


class CheckedScheduler:
    """A scheduler whose commands are checked against four rules, with a clock that the test advances.

    Rule one: each request has exactly one response, in time, and no attempt after it. Rule two: a request
    that may have run is neither rejected nor sent again, except as its service class allows. Rule three: only
    ready workers get attempts. Rule four: a worker that warms up gets no more than this dispatcher's share of
    its slow-start budget.

    `step` passes events to the scheduler and returns its commands; `arrive`, `end_attempt`,
    `update_endpoints` and `pass_time` create the usual events.

    Attributes:
        dispatcher_count: How many dispatchers share the workers.
        now: The time, in microseconds.
        max_attempts: How many attempts a request may have.
        scheduler: The scheduler that is checked.
        service_classes: The service classes by their names.
        arrivals: The arrival of each request.
        finished: How each finished request ended: "done", "rejected", "failed" or "disconnected".
        attempts: The attempts of each request, in the order of their numbers.
        workers: The latest entry of each worker.
        timers: When each timer that is set comes due, and its id.
        slow_start_sends: For each process of a worker that warms up: when an attempt was sent and its work.
        commands: All commands up to now.
    """

    def __init__(
        self,
        seed: int = 1,
        dispatcher_count: int = 3,
        is_polled: bool = False,
        worst_class_weight: float = 0.4,
        has_live_ratings: bool = False,
        costs: CostConfig | None = None,
    ) -> None:
        self.dispatcher_count, self.now = dispatcher_count, 10_000_000
        self.max_attempts = 3
        self.scheduler = Scheduler(
            seed,
            scheduler_config(
                self.max_attempts, dispatcher_count, is_polled, worst_class_weight, has_live_ratings, costs
            ),
        )
        self.service_classes = {service_class.name: service_class for service_class in SERVICE_CLASSES}
        self.arrivals: dict[RequestId, RequestArrived] = {}
        self.finished: dict[RequestId, str] = {}
        self.attempts: dict[RequestId, AttemptRecords] = {}
        self.workers: dict[str, EndpointEntry] = {}
        self.timers: list[tuple[int, int]] = []
        self.slow_start_sends: dict[tuple[str, int], list[tuple[int, float]]] = {}
        self.commands: list[Any] = []

    def step(self, *events: Any) -> list[Any]:
        """Pass the events to the scheduler, check its commands and return them."""
        for event in events:
            self.record_event(event)
        commands = self.scheduler.step(self.now, list(events))
        for command in commands:
            self.check_command(command)
        self.commands += commands
        for request_id, arrival in self.arrivals.items():
            if request_id not in self.finished:
                assert self.now <= arrival.deadline + RESPONSE_TOLERANCE, "rule one: no response in time"
        return commands

    def pass_time(self, span: int) -> list[Any]:
        """Advance the clock; timers come due, and attempts that reach the deadline time out.

        Args:
            span: How long, in microseconds.

        Returns:
            The commands of all steps.
        """
        commands, end_at = [], self.now + span
        while self.now < end_at:
            self.now += ROUND_INTERVAL
            due = [timer_id for due_at, timer_id in self.timers if due_at <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            late = [
                AttemptEnded(request_id, number, AttemptOutcome.TIMED_OUT, False)
                for request_id, attempts in self.attempts.items()
                for number, attempt in enumerate(attempts)
                if attempt["outcome"] is None and self.now >= self.arrivals[request_id].deadline
            ]
            if due or late:
                commands += self.step(*[TimerFired(timer_id) for timer_id in due], *late)
        return commands

    def arrive(
        self, request_id: int, service_class: str, width: float = 1.0, work_hint: int = 0
    ) -> list[Any]:
        """Let a request arrive, with the deadline of its service class, and return the commands."""
        deadline = self.now + self.service_classes[service_class].timeout
        return self.step(RequestArrived(request_id, service_class, deadline, width, work_hint))

    def end_attempt(self, request_id: RequestId, attempt: int, outcome: AttemptOutcome) -> list[Any]:
        """Report the outcome of an attempt, which is final if it is done, and return the commands."""
        return self.step(AttemptEnded(request_id, attempt, outcome, outcome == AttemptOutcome.DONE))

    def update_endpoints(
        self, *entries: EndpointEntry, kind: ListUpdateKind = ListUpdateKind.SNAPSHOT
    ) -> list[Any]:
        """Report an update of the endpoint list and return the commands."""
        return self.step(EndpointListUpdate(kind, list(entries)))

    def running_attempts(self) -> RunningAttempts:
        """Return the attempts that have no outcome yet."""
        return [
            (request_id, number)
            for request_id, attempts in self.attempts.items()
            for number, attempt in enumerate(attempts)
            if attempt["outcome"] is None
        ]

    def record_event(self, event: Any) -> None:
        """Record what an event says about requests, attempts and workers."""
        if type(event) is RequestArrived:
            self.arrivals[event.request_id] = event
            self.attempts[event.request_id] = []
        elif type(event) is AttemptEnded:
            self.attempts[event.request_id][event.attempt]["outcome"] = event.outcome
            if event.is_final:
                self.finished.setdefault(event.request_id, "done")
        elif type(event) is ClientDisconnected:
            self.finished.setdefault(event.request_id, "disconnected")
        elif type(event) is EndpointListUpdate:
            if event.kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
                for name in self.workers:
                    self.workers[name] = endpoint_entry(name, EndpointState.GONE)
            for entry in event.entries:
                self.workers[entry.worker] = entry

    def check_command(self, command: Any) -> None:
        """Check a command against the rules and record it."""
        if type(command) is SetTimer:
            assert command.delay >= 0
            self.timers.append((self.now + max(command.delay, ROUND_INTERVAL), command.timer_id))
        elif type(command) is StartAttempt:
            self.check_attempt(command)
        elif type(command) in (RejectRequest, FailRequest):
            assert command.request_id not in self.finished, "rule one: a second response"
            service_class = self.service_classes[self.arrivals[command.request_id].service_class]
            if type(command) is RejectRequest and self.possibly_executed(command.request_id):
                is_allowed = service_class.effect == Effect.IDEMPOTENT
                assert is_allowed, "rule two: a rejection of a request that may have run"
            self.finished[command.request_id] = "rejected" if type(command) is RejectRequest else "failed"
        elif type(command) is CancelAttempt:
            assert command.attempt < len(self.attempts[command.request_id])

    def possibly_executed(self, request_id: RequestId) -> AttemptRecords:
        """Return the attempts of a request that may have run."""
        return [attempt for attempt in self.attempts[request_id] if attempt["outcome"] not in PROVEN_NOT_RUN]

    def check_attempt(self, command: StartAttempt) -> None:
        """Check the start of an attempt against the rules and record the attempt."""
        arrival = self.arrivals[command.request_id]
        service_class, worker = self.service_classes[arrival.service_class], self.workers[command.worker]
        possibly_executed = self.possibly_executed(command.request_id)
        assert command.request_id not in self.finished, "rule one: an attempt after the response"
        assert (
            worker.state == EndpointState.READY
        ), "rule three: an attempt at a worker that drains or is gone"
        counted_attempts = self.attempts[command.request_id]
        if arrival.background:
            counted_attempts = [
                attempt for attempt in counted_attempts if attempt["outcome"] not in PROVEN_NOT_RUN
            ]
        elif not self.scheduler.config.current.retry.counts_unsent:
            counted_attempts = [attempt for attempt in counted_attempts if attempt["outcome"] not in UNSENT]
        assert len(counted_attempts) < self.max_attempts
        assert all(attempt["outcome"] for attempt in possibly_executed), "two attempts at once"
        if possibly_executed and service_class.effect == Effect.AT_MOST_ONCE:
            raise AssertionError("rule two: an at-most-once request was sent again")
        if possibly_executed and service_class.effect == Effect.IDEMPOTENT_WITH_KEY:
            assert (
                self.now < possibly_executed[0]["at"] + service_class.deduplication_window
            ), "rule two: past the deduplication window"
            for attempt in possibly_executed:
                if service_class.deduplication_scope == DeduplicationScope.CELL:
                    assert attempt["cell"] == worker.cell, "rule two: outside the cell"
                elif service_class.deduplication_scope == DeduplicationScope.ZONE:
                    assert attempt["zone"] == worker.zone, "rule two: outside the zone"
        age = self.now - worker.started_at
        if worker.started_at and age < SLOW_START.warmup:
            sends = self.slow_start_sends.setdefault((command.worker, worker.started_at), [])
            sends.append((self.now, arrival.width * arrival.work_hint))
            recent_work = sum(work for at, work in sends if at > self.now - SLOW_START.window)
            slots = self.scheduler.estimates.slots_per_endpoint
            capacity = slots * (
                SLOW_START.initial_capacity + (1.0 - SLOW_START.initial_capacity) * age / SLOW_START.warmup
            )
            fleet_budget = SLOW_START.overload_factor * SLOW_START.window * capacity
            # The scheduler's decaying sum lets through 1.63 times its level within one window; the factor two
            # also covers the growth of the budget. A draw lets through one request of at most half of what
            # all dispatchers may send, besides this dispatcher's share.
            max_share = max(
                2.0 * fleet_budget / self.dispatcher_count,
                0.5 * fleet_budget + fleet_budget / self.dispatcher_count,
            )
            assert (
                not arrival.work_hint or recent_work <= max_share
            ), "rule four: over the share of the slow-start budget"
        self.attempts[command.request_id].append(
            dict(at=self.now, worker=command.worker, cell=worker.cell, zone=worker.zone, outcome=None)
        )


# --- a dispatcher whose exchanges with workers are answered by the test


def submit_request(
    request_id: str, service_class: str = "view", timeout: int = 3_000_000
) -> clients.SubmitRequest:
    """Return the message by which a client submits a request; the timeout is in microseconds."""
    forwarded_fields = [(b"Req-Id", request_id.encode())]
    return clients.SubmitRequest(
        request_id, service_class, timeout, 1.0, False, "POST", f"/{service_class}", forwarded_fields, b""
    )


class ManualExchange:
    """An exchange of the dispatcher with a worker, of which the test decides the result.

    Attributes:
        worker: The worker.
        build: Returns the request, or None if it is not to be sent; called right before the first byte.
        on_sent: To be called once the last byte is sent.
        on_new_connection: Whether the exchange is to have a new connection.
        result: The response, or the outcome that ends the exchange without one.
        is_cancelled: Whether the dispatcher gave up the exchange.
    """

    def __init__(
        self,
        worker: str,
        build: Callable[[], UpstreamRequest | None],
        on_sent: Callable[[], None],
        on_new_connection: bool,
    ) -> None:
        self.worker, self.build, self.on_sent, self.on_new_connection = (
            worker,
            build,
            on_sent,
            on_new_connection,
        )
        self.result: asyncio.Future[UpstreamResponse | str] = asyncio.get_running_loop().create_future()
        self.is_cancelled = False

    def respond(self, status: int) -> None:
        """End the exchange with a response that has no body."""
        self.result.set_result(UpstreamResponse(status, {}, b""))

    def end(self, outcome: str) -> None:
        """End the exchange without a response."""
        self.result.set_result(outcome)


class DispatcherHarness:
    """A dispatcher with this object in place of its upstream pool; records the steps of its scheduler.

    Attributes:
        lines_logged: The lines of the log.
        dispatcher: The dispatcher, which knows the workers w0, w1 and w2.
        exchanges: All exchanges that the dispatcher asked for, in order.
        idle_closed_workers: The workers whose idle connections the dispatcher closed, in order.
        steps: The time and the events of each step of the scheduler.
        timeouts: The timeouts that the dispatcher set: to connect, and to keep an idle connection.
    """

    def __init__(self) -> None:
        address = ("127.0.0.1", 9)
        names = [f"w{number}" for number in range(3)]
        cached_list = discovery.DiscoveryUpdate(
            1, True, [endpoint_entry(name) for name in names], dict.fromkeys(names, address)
        )
        self.lines_logged: list[str] = []
        log = Log("n0")
        log.emit = lambda line, *_, **__: self.lines_logged.append(line)  # type: ignore[method-assign]
        start_config = start.Start(
            "n0",
            address,
            address,
            7,
            100,
            80 << 20,
            {},
            250_000,
            30_000_000,
            scheduler_config(3, 1, False, 0.4),
        )
        self.dispatcher = Dispatcher(start_config, cached_list, log, upstream=self)  # type: ignore[arg-type]
        self.exchanges: list[ManualExchange] = []
        self.idle_closed_workers: list[str] = []
        self.steps: list[tuple[int, list[Any]]] = []
        step = self.dispatcher.scheduler.step

        def recorded_step(now: int, events: Sequence[Event]) -> list[Command]:
            self.steps.append((now, list(events)))
            return step(now, events)

        self.dispatcher.scheduler.step = recorded_step  # type: ignore[method-assign]

    async def send(
        self, worker: str, address: Any, build: Any, on_sent: Any, on_new_connection: bool = False
    ) -> UpstreamResponse | str:
        """Record the exchange and wait for the result that the test gives to it."""
        exchange = ManualExchange(worker, build, on_sent, on_new_connection)
        self.exchanges.append(exchange)
        try:
            return await exchange.result
        except asyncio.CancelledError:
            exchange.is_cancelled = True
            raise

    def set_timeouts(self, connect_within: int, idle_close: int) -> None:
        """Record the timeouts."""
        self.timeouts = connect_within, idle_close

    def close_idle(self, worker: str) -> None:
        """Record that the idle connections to the worker were closed."""
        self.idle_closed_workers.append(worker)

    def stop_reuse(self, worker: str) -> None:
        """Record that the idle connections to the worker were closed."""
        self.idle_closed_workers.append(worker)

    def allow_reuse(self, worker: str) -> None:
        """Accept that connections to the worker may be kept: this pool has none."""

    def limit_new_requests(self, killed_in: float) -> None:
        """Begin a shutdown whose kill is that many seconds away and which limits requests at once."""
        now = self.dispatcher.loop.time()
        self.dispatcher.state.shutdown = ShutdownLimit(
            accepts_until=now, applies_from=now, killed_at=now + killed_in, lag=self.dispatcher.runtime.lag
        )

    async def run_pending_tasks(self) -> None:
        """Let the event loop run ten times, so that tasks without a wait for I/O or time get done."""
        for _ in range(10):
            await asyncio.sleep(0)

    async def started_attempt(self, request_id: str) -> ManualExchange:
        """Return the exchange of the request's attempt, of which no byte is written yet."""
        await self.run_pending_tasks()
        index = list(self.dispatcher.registry.open_requests).index(request_id)
        assert self.dispatcher.registry.open_requests[request_id].attempts
        return self.exchanges[index]

    async def sent_attempt(self, request_id: str) -> ManualExchange:
        """Return the exchange of the request's attempt as one whose last byte is sent."""
        exchange = await self.started_attempt(request_id)
        assert exchange.build() is not None
        exchange.on_sent()
        return exchange

    def receive_callback(self, request_id: str, worker: str, state: str, result: bytes = b"") -> None:
        """Pass the callback of a worker to the dispatcher."""
        self.dispatcher.handle_callback(
            clients.Callback(request_id, worker, state, 0.0, wire_names.CALLBACK_OUTCOMES.get(state), result)
        )

    def update_endpoint(self, worker: str, state: EndpointState, started_at: int = 0) -> None:
        """Pass an update of one entry of the endpoint list to the dispatcher."""
        entry = endpoint_entry(worker, state, started_at)
        self.dispatcher.endpoint_list.apply(
            discovery.DiscoveryUpdate(2, False, [entry], {worker: ("127.0.0.1", 9)})
        )

    def outcomes(self) -> Outcomes:
        """Return the outcomes of attempts that the scheduler got, in order."""
        return [event.outcome for _, events in self.steps for event in events if type(event) is AttemptEnded]


async def wait_until(condition: Callable[[], object], seconds: float = 10.0) -> None:
    """Wait until the condition is true, by polling: nothing signals it."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0)


def run_with_dispatcher(scenario: Callable[[DispatcherHarness], Awaitable[None]]) -> None:
    """Run the scenario with a dispatcher whose exchanges with workers the test answers."""

    async def run() -> None:
        await scenario(DispatcherHarness())

    asyncio.run(run())


class RequestHandlerStub:
    """Stands in for the dispatcher behind a listener; the test sets the responses.

    Attributes:
        received_ids: The ids of the submitted requests, in order.
        disconnected_ids: The ids of the requests whose clients disconnected.
        responses: The response of each submitted request, in order.
    """

    def __init__(self) -> None:
        self.received_ids: list[str] = []
        self.disconnected_ids: list[str] = []
        self.responses: list[asyncio.Future[Response]] = []

    def is_ready(self) -> bool:
        """Return that requests are accepted."""
        return True

    def submit(self, message: clients.SubmitRequest) -> asyncio.Future[Response]:
        """Record the request and return its response, which is not set yet."""
        self.received_ids.append(message.id)
        self.responses.append(asyncio.get_running_loop().create_future())
        return self.responses[-1]

    def client_disconnected(self, message: clients.SubmitRequest) -> None:
        """Record that the client of the request disconnected."""
        self.disconnected_ids.append(message.id)

    def handle_callback(self, message: clients.Callback) -> None:
        """Ignore the callback."""
        pass

    def query_job(self, message: clients.JobQuery) -> Response:
        """Return that there is no such job."""
        return Response(404)

    async def wait_for_requests(self, count: int) -> None:
        """Wait until that many requests were submitted."""
        while len(self.received_ids) < count:
            await asyncio.sleep(0.001)


# The response of a worker that accepts a job; to be filled in with the length of the body.
ACCEPTED_RESPONSE = b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n"


def post_bytes(path: str, body: bytes = b"", **fields: str) -> bytes:
    """Return a POST request; an underscore in the name of a header field stands for a hyphen."""
    head = [f"POST {path} HTTP/1.1", "Host: us", f"Content-Length: {len(body)}"]
    head += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def submit_bytes(path: str = "/view", body: bytes = b"", **fields: str) -> bytes:
    """Return the HTTP request by which a client submits a request of the class that the path names."""
    service_class = path[1:].partition("?")[0]
    return post_bytes(
        path, body, **{"Req_Id": "a1", "Req_Kind": service_class, "Req_Deadline": "480m", **fields}
    )


def callback_bytes(**fields: Any) -> bytes:
    """Return the HTTP request of a callback with these JSON fields."""
    return post_bytes("/callback", json.dumps(fields).encode())


def free_address() -> Any:
    """Return an address of the loopback interface at which nothing listens."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()


def wait_until_serving(process: subprocess.Popen[bytes]) -> None:
    """Wait until the process logs that it serves; fail if it ends before."""
    assert process.stderr is not None
    assert any(b"serving" in line for line in process.stderr), "the process ended before it served"


def start_dispatcher_process(
    folder: Path, discovery: str = ""
) -> tuple[subprocess.Popen[bytes], Any, socket.socket]:
    """Start a dispatcher as a process and wait until it serves.

    Args:
        folder: Where the start file is written.
        discovery: The address of the discovery service in the environment of the process.

    Returns:
        The process, its address, and the listening socket of the only worker that it knows.
    """
    address = free_address()
    worker = socket.create_server(("127.0.0.1", 0))
    worker_address = "{}:{}".format(*worker.getsockname())
    entry = {"uid": "w0", "endpoint": worker_address, "state": "active"}
    service_class = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 9000.0}
    path = folder / "start.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "{}:{}".format(*address),
                "discovery": "127.0.0.1:9",
                "seed": "9",
                "known": {"rev": 1, "all": True, "targets": [entry]},
                "settings": {"ServiceGrades": [service_class]},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "locktide"],
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(path), "GW_DISCOVERY": discovery},
    )
    wait_until_serving(process)
    return process, address, worker
