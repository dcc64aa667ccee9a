"""Slow start: how much work all dispatchers together send to a warming endpoint."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest
from helpers import SERVICE_CLASSES, CheckedScheduler, endpoint_entry

from locktide.dispatcher.settings import SLOW_START_MARGIN
from locktide.scheduler.commands import CancelAttempt, SetTimer, StartAttempt
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
    AttemptStarted,
    EndpointListUpdate,
    Event,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.state import Request
from locktide.scheduler.types import AttemptOutcome, DeduplicationScope, Effect, ListUpdateKind

#: Slots of each worker.
SLOTS = 3
#: Times in microseconds: round interval, length of the simulated run, message latency and start of the run.
ROUND_INTERVAL = 4_000
SIMULATED_TIME = 12_000_000
MESSAGE_LATENCY = 3_000
START = 10_000_000
#: Speeds of the three worker types.
SPEEDS = (1.5, 1.0, 0.6)
#: Usual work of each service class, in microseconds at speed 1, and its share of the requests.
WORK = {"view": 550_000, "long": 3_300_000}
SHARES = {"view": 0.35, "long": 0.65}
USUAL_WORK = sum(SHARES[name] * work for name, work in WORK.items())
#: Arriving work, relative to what the workers can run once they are warm.
OVERLOAD = 1.1


def service_class(name: str, latency_objective: int, timeout: int) -> ServiceClass:
    return ServiceClass(
        name=name,
        effect=Effect.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.FLEET,
        deduplication_window=0,
        latency_objective=latency_objective,
        stretch=2.0,
        timeout=timeout,
        priority_weight=5.0,
        overdue_weight=0.5,
        worker_type=None,
    )


def scheduler_config(dispatcher_count: int, margin: float) -> SchedulerConfig:
    return SchedulerConfig(
        round_interval=ROUND_INTERVAL,
        dispatcher_count=dispatcher_count,
        service_classes=[
            service_class("view", latency_objective=250_000, timeout=6_000_000),
            service_class("long", latency_objective=2_000_000, timeout=25_000_000),
        ],
        retry=RetryConfig(max_attempts=4, can_cancel=True, counts_unsent=False),
        clients=ClientConfig(max_retry_after=0),
        quotas=QuotaConfig(quotas={}, beyond_quota_weight=1.0),
        objective=ObjectiveConfig(worst_class_weight=0.4),
        slow_start=SlowStartConfig(
            overload_factor=4.0, window=2_000_000, initial_capacity=0.35, warmup=8_000_000, margin=margin
        ),
        endpoint_list=EndpointListConfig(is_polled=False, poll_within=10_000_000),
        progress=ProgressConfig(reports_start=True, report_interval=1_000_000),
        costs=CostConfig(),
    )


class Burst:
    """Several dispatchers that share the requests, and workers of which some have just started."""

    def __init__(self, seed: int, dispatcher_count: int, warm: int, warming: int, margin: float) -> None:
        self.random = Random(seed)
        self.now = 0
        self.actions: list[tuple[int, int, Callable[[], None]]] = []
        self.action_count = 0
        config = scheduler_config(dispatcher_count, margin)
        self.slow_start = config.slow_start
        self.schedulers = [Scheduler(seed * 1000 + number, config) for number in range(dispatcher_count)]
        self.warming = [f"warming{number}" for number in range(warming)]
        self.workers = [f"warm{number}" for number in range(warm)] + self.warming
        self.speeds = {name: SPEEDS[index % len(SPEEDS)] for index, name in enumerate(self.workers)}
        self.received: dict[str, list[tuple[int, float]]] = {name: [] for name in self.workers}
        self.running = dict.fromkeys(self.workers, 0)
        self.queues: dict[str, list[tuple[int, int]]] = {name: [] for name in self.workers}
        self.work: dict[int, float] = {}  # of each request, in microseconds at speed 1
        self.schedule_list()
        self.schedule_arrivals()

    def schedule_list(self) -> None:
        entries = [
            endpoint_entry(
                name, started_at=START * (name in self.warming), worker_type=f"speed {self.speeds[name]}"
            )
            for name in self.workers
        ]
        for number in range(len(self.schedulers)):
            self.emit_at(START, number, EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))

    def schedule_arrivals(self) -> None:
        rate = OVERLOAD * SLOTS * sum(self.speeds.values()) / USUAL_WORK
        moment, request = float(START), 0
        while moment < START + SIMULATED_TIME:
            moment, request = moment + self.random.expovariate(rate), request + 1
            dispatcher = self.random.randrange(len(self.schedulers))
            self.schedule(int(moment), partial(self.arrive, dispatcher, request))

    def schedule(self, moment: int, action: Callable[[], None]) -> None:
        self.action_count += 1
        heappush(self.actions, (moment, self.action_count, action))

    def emit_at(self, moment: int, dispatcher: int, event: Event) -> None:
        self.schedule(moment, partial(self.emit, dispatcher, event))

    def run(self) -> float:
        """Return the most work that a warming worker received in a window, relative to its overload limit."""
        while self.actions and self.actions[0][0] < START + SIMULATED_TIME:
            self.now, _, action = heappop(self.actions)
            action()
        return max(self.worst_window(name) for name in self.warming)

    def factor(self, worker: str, now: int) -> float:
        age = now - START
        if worker not in self.warming or age >= self.slow_start.warmup:
            return 1.0
        initial = self.slow_start.initial_capacity
        return initial + (1.0 - initial) * age / self.slow_start.warmup

    def worst_window(self, worker: str) -> float:
        worst, config = 0.0, self.slow_start
        received = self.received[worker]
        for end, _ in received:
            if end >= START + config.warmup:
                continue
            in_window = [work for moment, work in received if end - config.window < moment <= end]
            sent = sum(in_window) / USUAL_WORK
            capacity = config.window * SLOTS * self.speeds[worker] * self.factor(worker, end)
            limit = config.overload_factor * capacity / USUAL_WORK
            worst = max(worst, sent / (limit + 2.0 * sqrt(limit) + 2.0))
        return worst

    def arrive(self, dispatcher: int, request: int) -> None:
        name = self.random.choices(list(SHARES), list(SHARES.values()))[0]
        self.work[request] = self.random.lognormvariate(-0.125, 0.5) * WORK[name]
        self.emit(dispatcher, RequestArrived(request, name, self.now + 25_000_000))

    def emit(self, dispatcher: int, event: Event) -> None:
        for command in self.schedulers[dispatcher].step(self.now, [event]):
            if isinstance(command, SetTimer):
                due = self.now + max(ROUND_INTERVAL, command.delay)
                self.emit_at(due, dispatcher, TimerFired(command.timer_id))
            elif isinstance(command, StartAttempt):
                self.schedule(self.now + MESSAGE_LATENCY, partial(self.receive, dispatcher, command))
            elif isinstance(command, CancelAttempt):
                self.schedule(self.now + 2 * MESSAGE_LATENCY, partial(self.cancel, dispatcher, command))

    def receive(self, dispatcher: int, command: StartAttempt) -> None:
        worker, request = command.worker, int(command.request_id)
        self.received[worker].append((self.now, self.work[request]))
        if self.running[worker] < SLOTS:
            self.begin(dispatcher, request, worker)
        else:
            self.queues[worker].append((dispatcher, request))

    def begin(self, dispatcher: int, request: int, worker: str) -> None:
        self.running[worker] += 1
        attempt = len(self.schedulers[dispatcher].requests.open[request].attempts) - 1
        self.emit(dispatcher, AttemptStarted(request, attempt))
        run_time = int(self.work[request] / self.speeds[worker] / self.factor(worker, self.now))
        self.schedule(self.now + run_time, partial(self.end, dispatcher, request, attempt, worker))

    def end(self, dispatcher: int, request: int, attempt: int, worker: str) -> None:
        self.running[worker] -= 1
        if request in self.schedulers[dispatcher].requests.open:
            self.emit(dispatcher, AttemptEnded(request, attempt, AttemptOutcome.DONE, True))
        while self.queues[worker] and self.running[worker] < SLOTS:
            waiting_at, waiting = self.queues[worker].pop(0)
            if waiting in self.schedulers[waiting_at].requests.open:
                self.begin(waiting_at, waiting, worker)

    def cancel(self, dispatcher: int, command: CancelAttempt) -> None:
        waiting = (dispatcher, int(command.request_id))
        for queue in self.queues.values():
            if waiting in queue:
                queue.remove(waiting)
                ended = AttemptEnded(command.request_id, command.attempt, AttemptOutcome.CANCELLED, False)
                self.emit(dispatcher, ended)
                return


@pytest.mark.parametrize(("warm", "warming"), [(6, 6), (0, 12)])
def test_thirty_dispatchers_together_do_not_overload_a_warming_worker(warm: int, warming: int) -> None:
    """Thirty dispatchers sent a worker that had just started more than it could take, and it fell over.

    Each dispatcher kept to its share of the budget. But the shares were computed from the usual request and
    used up the whole limit, so a few long requests that coincided at a slow worker exceeded it: in 11 of 600
    such bursts a worker was overloaded. The budgets must leave room for chance, so that no warming worker
    receives more in any window than the limit plus the platform's allowance for chance. The budgets must be
    used, too.
    """
    worst = [Burst(seed, 30, warm, warming, SLOW_START_MARGIN).run() for seed in range(8)]
    assert 0.3 < max(worst) <= 1.0, worst


@pytest.mark.parametrize(("has_ratings", "is_allowed"), [(True, True), (False, False)])
def test_a_rated_worker_is_sent_as_much_as_its_size_allows(has_ratings: bool, is_allowed: bool) -> None:
    """Newly started workers of eight cores stayed idle while queues grew, as each counted as two slots.

    Eight seconds of work occupy a worker of eight cores for one second, of the 1.2 s that it may be sent.
    Without a rating, which states the size, the same work counts as four seconds.
    """
    checked = CheckedScheduler(dispatcher_count=1, has_live_ratings=has_ratings)
    checked.update_endpoints(endpoint_entry("w", rating=8.0, started_at=checked.now))
    endpoint = checked.scheduler.endpoints.by_id["w"]
    arrival = RequestArrived(1, "view", checked.now + 3_000_000, work_hint=8_000_000)
    request = Request(arrival, SERVICE_CLASSES[0], checked.now, 1)
    assert checked.scheduler.slow_start.allows(endpoint, request) == is_allowed
