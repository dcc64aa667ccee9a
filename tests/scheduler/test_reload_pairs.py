"""Reloads between drawn configurations, while requests wait and attempts are in flight."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from helpers import SERVICE_CLASSES, endpoint_entry, scheduler_config

from locktide.scheduler.commands import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
)
from locktide.scheduler.config import ProgressConfig, QuotaConfig, SchedulerConfig, ServiceClass
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptStarted,
    ConfigReloaded,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import (
    AttemptOutcome,
    DeduplicationScope,
    Effect,
    EndpointState,
    ListUpdateKind,
    RequestId,
)

SECOND = 1_000_000  # microseconds
STEP = 20_000  # microseconds between two steps
STEPS = 200
NAMES = ("view", "record", "cash")
WORKER_TYPES, CELLS = ("box", "van"), (0, 1, 2)
OUTCOMES = (
    AttemptOutcome.DONE,
    AttemptOutcome.ERROR,
    AttemptOutcome.RESET,
    AttemptOutcome.FULL,
    AttemptOutcome.NO_CONNECTION,
    AttemptOutcome.TIMED_OUT,
)


def draw_class(random: Random, name: str) -> ServiceClass:
    """Return a service class with drawn guarantees, limits and constraints."""
    zones = random.choice([None, frozenset([f"zone-{random.choice(CELLS)}"]), frozenset()])
    types = random.choice([None, frozenset([random.choice(WORKER_TYPES)]), frozenset(WORKER_TYPES)])
    return replace(
        SERVICE_CLASSES[0],
        name=name,
        effect=random.choice((Effect.IDEMPOTENT, Effect.IDEMPOTENT_WITH_KEY, Effect.AT_MOST_ONCE)),
        deduplication_scope=random.choice(
            (DeduplicationScope.FLEET, DeduplicationScope.ZONE, DeduplicationScope.CELL)
        ),
        deduplication_window=random.choice([0, SECOND, 40 * SECOND]),
        latency_objective=random.choice([1_000, 250_000, 2 * SECOND]),
        stretch=random.choice([1.0, 2.5]),
        timeout=random.choice([300_000, 3 * SECOND]),
        worker_type=random.choice([None, None, "box"]),
        allowed_worker_types=types,
        allowed_zones=zones,
    )


def draw_config(random: Random) -> SchedulerConfig:
    """Return a configuration with one to three service classes of `NAMES`."""
    config = scheduler_config(
        max_attempts=random.randint(1, 4),
        dispatcher_count=random.choice([1, 3, 200]),
        is_polled=random.random() < 0.3,
        worst_class_weight=random.choice([0.0, 0.4]),
        has_live_ratings=random.random() < 0.3,
    )
    names = random.sample(NAMES, random.randint(1, len(NAMES)))
    return replace(
        config,
        service_classes=[draw_class(random, name) for name in names],
        quotas=QuotaConfig(random.choice([{}, {"dairy": 1.0}, {"goats": 0.1}]), beyond_quota_weight=0.1),
        progress=ProgressConfig(
            reports_start=random.random() < 0.7, report_interval=random.choice([0, SECOND])
        ),
    )


class ReloadRun:
    """A scheduler that is sent drawn events and reloads.

    Attributes:
        known: The latest service class of each name.
        ended: Ids of the requests that have a response.
        attempts: The request and the worker of each attempt without an outcome, by request and number.
        violations: What was wrong.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(f"reload pairs {seed}")
        self.now = 10 * SECOND
        config = draw_config(self.random)
        self.scheduler = Scheduler(seed, config)
        self.known = {each.name: each for each in config.service_classes}
        self.current = config
        self.arrived: dict[RequestId, str] = {}
        self.deadlines: dict[RequestId, int] = {}
        self.ended: set[RequestId] = set()
        self.attempts: dict[tuple[RequestId, int], str] = {}
        self.attempt_counts: dict[RequestId, int] = {}
        self.entries = {
            f"w{number}": endpoint_entry(
                f"w{number}", cell=number % len(CELLS), worker_type=WORKER_TYPES[number % len(WORKER_TYPES)]
            )
            for number in range(6)
        }
        self.timers: list[tuple[int, int]] = []
        self.violations: list[str] = []

    def play(self) -> list[str]:
        """Play all steps, then let every request end; return what was wrong."""
        self.update_list()
        for _ in range(STEPS):
            self.now += STEP
            self.random.choice([self.arrive, self.arrive, self.end_attempt, self.reload, self.update_list])()
            self.fire_timers()
        while self.now < max(self.deadlines.values(), default=0) + SECOND:
            self.now += STEP
            for request, number in list(self.attempts):
                if self.now >= self.deadlines[request]:
                    del self.attempts[request, number]
                    self.step(AttemptEnded(request, number, AttemptOutcome.TIMED_OUT, False))
            self.fire_timers()
        for request in self.arrived.keys() - self.ended:
            self.violations.append(f"{request} has no response")
        return self.violations

    def arrive(self) -> None:
        request = len(self.arrived)
        name = self.random.choice([each.name for each in self.current.service_classes])
        self.arrived[request] = name
        self.deadlines[request] = self.now + self.known[name].timeout
        tenant = self.random.choice([None, "dairy", "goats"])
        key = self.random.choice([None, 7])
        self.step(RequestArrived(request, name, self.deadlines[request], tenant=tenant, affinity_key=key))

    def end_attempt(self) -> None:
        if not self.attempts:
            return
        request, number = self.random.choice(list(self.attempts))
        if self.random.random() < 0.3:
            self.step(AttemptStarted(request, number))
            return
        del self.attempts[request, number]
        outcome = self.random.choice(OUTCOMES)
        is_final = outcome is AttemptOutcome.DONE and request not in self.ended
        if is_final:
            self.ended.add(request)
        self.step(AttemptEnded(request, number, outcome, is_final))

    def reload(self) -> None:
        self.current = draw_config(self.random)
        self.known |= {each.name: each for each in self.current.service_classes}
        self.step(ConfigReloaded(self.current))

    def update_list(self) -> None:
        states = [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
        for name, entry in self.entries.items():
            self.entries[name] = replace(entry, state=self.random.choice(states))
        self.step(EndpointListUpdate(ListUpdateKind.SNAPSHOT, list(self.entries.values())))

    def fire_timers(self) -> None:
        due = [timer for at, timer in self.timers if at <= self.now]
        self.timers = [each for each in self.timers if each[0] > self.now]
        self.step(*[TimerFired(timer) for timer in due])

    def step(self, *events: object) -> None:
        for command in self.scheduler.step(self.now, list(events)):  # type: ignore[arg-type]
            match command:
                case SetTimer():
                    self.timers.append((self.now + command.delay, command.timer_id))
                case StartAttempt():
                    self.check_attempt(command.request_id, command.worker)
                case RejectRequest() | FailRequest():
                    if command.request_id in self.ended:
                        self.violations.append(f"{command.request_id}: a second response")
                    self.ended.add(command.request_id)
                case CancelAttempt():
                    if self.attempts.pop((command.request_id, command.attempt), None):
                        event = AttemptEnded(
                            command.request_id, command.attempt, AttemptOutcome.CANCELLED, False
                        )
                        self.step(event)
                case ReportInternalError():
                    self.violations.append(f"{command.request_id}: {command.detail}")
                    if command.request_id is not None:
                        self.ended.add(command.request_id)

    def check_attempt(self, request: RequestId, worker: str) -> None:
        number = self.attempt_counts.get(request, 0)
        self.attempt_counts[request] = number + 1
        self.attempts[request, number] = worker
        constraint = self.known[self.arrived[request]].placement
        entry = self.entries[worker]
        if constraint is None:
            return
        types, zones = constraint
        if (types is not None and entry.worker_type not in types) or (
            zones is not None and entry.zone not in zones
        ):
            self.violations.append(f"{request}: sent to {worker}, outside {constraint}")


@pytest.mark.parametrize("seed", range(60))
def test_requests_follow_the_constraints_in_force_and_none_fails_by_an_exception(seed: int) -> None:
    """A reload changed to which workers a class is confined, while requests of the class waited.

    Each of them was answered 502 by an exception: the endpoints for the earlier constraint were no longer
    known. A request must be sent only where the configuration in force allows, and end like any other.
    """
    assert ReloadRun(seed).play() == []
