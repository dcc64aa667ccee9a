"""Recorded decisions: the same events give the same commands, whatever names the program uses for them.

A seeded driver passes a few thousand events to the scheduler for each configuration and reacts to its
commands. The commands are rendered with the stable tags of `COMMANDS` and compared by digest. A renaming in
the program changes only the part of this file above "driver"; the recorded digests change only if a decision
changes.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from typing import Any

import pytest

from locktide.scheduler import commands as command_module
from locktide.scheduler import events as event_module
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
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
    AttemptProgressed,
    AttemptSent,
    AttemptStarted,
    ClientDisconnected,
    ConfigReloaded,
    EndpointEntry,
    EndpointListUpdate,
    ProbeCompleted,
    QuotaSharesUpdated,
    QuotaStage,
    RecoveredAttempt,
    RequestArrived,
    RequestRecovered,
    ResponseStarted,
    TimerFired,
)
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, DeduplicationScope, Effect, EndpointState, ListUpdateKind

# --- translation: the only part that uses the program's names


@dataclass(frozen=True)
class Rendering:
    """The stable tag of a command, and its attributes in a stable order."""

    tag: str
    attributes: tuple[str, ...]


COMMANDS: dict[type, Rendering] = {
    StartAttempt: Rendering("dispatch", ("request_id", "worker", "send_before")),
    CancelAttempt: Rendering("cancel", ("request_id", "attempt")),
    RejectRequest: Rendering("reject", ("request_id", "retry_after")),
    FailRequest: Rendering("fail", ("request_id",)),
    SetTimer: Rendering("wake", ("delay", "timer_id")),
    CloseIdleConnections: Rendering("close", ("worker",)),
    WatchEndpoints: Rendering("watch", ("enabled",)),
    FetchEndpoints: Rendering("fetch", ()),
    ReportInternalError: Rendering("internal-error", ("request_id",)),  # without the traceback's text
    WriteLog: Rendering("log", ()),  # without its event
}
NEVER_ISSUED = {"fetch"}  # no policy issues it

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "idempotent-with-key": Effect.IDEMPOTENT_WITH_KEY,
    "at-most-once": Effect.AT_MOST_ONCE,
}
SCOPES = {"all": DeduplicationScope.FLEET, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
OUTCOMES = {
    "done": AttemptOutcome.DONE,
    "error": AttemptOutcome.ERROR,
    "full": AttemptOutcome.FULL,
    "timed-out": AttemptOutcome.TIMED_OUT,
    "no-connection": AttemptOutcome.NO_CONNECTION,
    "reset": AttemptOutcome.RESET,
    "cancelled": AttemptOutcome.CANCELLED,
    "never-sent": AttemptOutcome.NEVER_SENT,
    "unfit": AttemptOutcome.UNPROCESSABLE,
    "cut-off": AttemptOutcome.CONNECTION_CLOSED,
}
LIST_KINDS = {
    "whole": ListUpdateKind.SNAPSHOT,
    "changes": ListUpdateKind.DELTA,
    "remembered": ListUpdateKind.CACHED,
    "failed": ListUpdateKind.FETCH_FAILED,
    "silent": ListUpdateKind.FETCH_TIMED_OUT,
}
STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.GONE}


@dataclass
class ClassSettings:
    """One service class, independent of the program's names."""

    name: str
    effect: str = "idempotent"
    scope: str = "cell"
    deduplication_window: int = 4_000_000
    latency_objective: int = 900_000
    stretch: float = 2.0
    timeout: int = 6_000_000
    priority_weight: float = 5.0
    overdue_weight: float = 2.0
    worker_type: str | None = None
    worker_types: frozenset[str] | None = None
    zones: frozenset[str] | None = None


@dataclass
class Settings:
    """The scheduler's configuration, independent of the program's names."""

    classes: list[ClassSettings]
    round_interval: int = 4_000
    dispatcher_count: int = 3
    max_attempts: int = 3
    can_cancel: bool = True
    counts_unsent: bool = True
    max_retry_after: int = 2_000_000
    quotas: dict[str, float] = field(default_factory=dict)
    beyond_quota_weight: float = 1.0
    worst_class_weight: float = 0.1
    overload_factor: float = 4.0
    slow_start_window: int = 1_000_000
    initial_capacity: float = 0.3
    warmup: int = 6_000_000
    slow_start_margin: float = 1.0
    is_polled: bool = False
    poll_within: int = 4_000_000
    has_live_ratings: bool = False
    close_idle_within: int = 0
    notified_within: int = 0
    reports_start: bool = True
    report_interval: int = 300_000
    connection_cost: float = 0.0
    cross_zone_cost: float = 0.0
    zone: str = ""
    idle_timeout: int = 0


def program_service_class(service_class: ClassSettings) -> Any:
    return ServiceClass(
        name=service_class.name,
        effect=EFFECTS[service_class.effect],
        deduplication_scope=SCOPES[service_class.scope],
        deduplication_window=service_class.deduplication_window,
        latency_objective=service_class.latency_objective,
        stretch=service_class.stretch,
        timeout=service_class.timeout,
        priority_weight=service_class.priority_weight,
        overdue_weight=service_class.overdue_weight,
        worker_type=service_class.worker_type,
        allowed_worker_types=service_class.worker_types,
        allowed_zones=service_class.zones,
    )


def program_config(settings: Settings) -> SchedulerConfig:
    return SchedulerConfig(
        settings.round_interval,
        settings.dispatcher_count,
        [program_service_class(class_settings) for class_settings in settings.classes],
        RetryConfig(
            max_attempts=settings.max_attempts,
            can_cancel=settings.can_cancel,
            counts_unsent=settings.counts_unsent,
        ),
        ClientConfig(max_retry_after=settings.max_retry_after),
        QuotaConfig(quotas=dict(settings.quotas), beyond_quota_weight=settings.beyond_quota_weight),
        ObjectiveConfig(worst_class_weight=settings.worst_class_weight),
        SlowStartConfig(
            overload_factor=settings.overload_factor,
            window=settings.slow_start_window,
            initial_capacity=settings.initial_capacity,
            warmup=settings.warmup,
            margin=settings.slow_start_margin,
        ),
        EndpointListConfig(
            is_polled=settings.is_polled,
            poll_within=settings.poll_within,
            has_live_ratings=settings.has_live_ratings,
            close_idle_within=settings.close_idle_within,
            notified_within=settings.notified_within,
        ),
        ProgressConfig(reports_start=settings.reports_start, report_interval=settings.report_interval),
        CostConfig(
            connection=settings.connection_cost,
            cross_zone=settings.cross_zone_cost,
            zone=settings.zone,
            idle_timeout=settings.idle_timeout,
        ),
    )


class SchedulerUnderTest:
    """The scheduler behind an interface that is independent of the program's names."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self._dispatcher = Scheduler(seed, program_config(settings))

    def step(self, now: int, events: list[Any]) -> list[Any]:
        return self._dispatcher.step(now, events)


def arrival(
    request: int,
    class_name: str,
    deadline_at: int,
    width: float = 1.0,
    hint: int = 0,
    tenant: str | None = None,
    retry: bool = False,
    background: bool = False,
    key: int | None = None,
) -> Any:
    return RequestArrived(
        request_id=request,
        service_class=class_name,
        deadline=deadline_at,
        width=width,
        work_hint=hint,
        tenant=tenant,
        is_retry=retry,
        background=background,
        affinity_key=key,
    )


def recovered_attempt(worker: str, zone: str, cell: int, sent_at: int, outcome: str | None) -> Any:
    ended = None if outcome is None else OUTCOMES[outcome]
    return RecoveredAttempt(worker=worker, zone=zone, cell=cell, sent_at=sent_at, outcome=ended)


def recovered(request_arrival: Any, arrived_at: int, attempts: list[Any]) -> Any:
    return RequestRecovered(arrival=request_arrival, arrived_at=arrived_at, attempts=attempts)


def sent(request: int, attempt: int) -> Any:
    return AttemptSent(request_id=request, attempt=attempt)


def started(request: int, attempt: int) -> Any:
    return AttemptStarted(request_id=request, attempt=attempt)


def progressed(request: int, attempt: int, share: Any) -> Any:
    return AttemptProgressed(request_id=request, attempt=attempt, fraction_done=share)


def response_started(request: int, attempt: int) -> Any:
    return ResponseStarted(request_id=request, attempt=attempt)


def ended(request: int, attempt: int, outcome: str, final: bool) -> Any:
    return AttemptEnded(request_id=request, attempt=attempt, outcome=OUTCOMES[outcome], is_final=final)


def client_disconnected(request: int) -> Any:
    return ClientDisconnected(request_id=request)


def timer_fired(timer_id: int) -> Any:
    return TimerFired(timer_id=timer_id)


def probe_completed(worker: str, outcome: str) -> Any:
    return ProbeCompleted(worker=worker, outcome=OUTCOMES[outcome])


def config_reloaded(settings: Settings) -> Any:
    return ConfigReloaded(config=program_config(settings))


def list_entry(
    worker: str, zone: str, worker_type: str, cell: int, state: str, rating: float, started_at: int
) -> Any:
    return EndpointEntry(
        worker=worker,
        zone=zone,
        worker_type=worker_type,
        cell=cell,
        state=STATES[state],
        rating=rating,
        started_at=started_at,
    )


def list_update(kind: str, entries: list[Any]) -> Any:
    return EndpointListUpdate(kind=LIST_KINDS[kind], entries=entries)


def quota_stage(until: int, shares: dict[str, float], borrowed: dict[str, float]) -> Any:
    return QuotaStage(until=until, shares=shares, borrowed=borrowed)


def quota_shares(stages: list[Any], over: Iterable[str], over_until: int) -> Any:
    return QuotaSharesUpdated(
        stages=stages, over_fair_share=frozenset(over), over_fair_share_until=over_until
    )


EVENT_PARTS = {
    "EndpointEntry",
    "RecoveredAttempt",
    "QuotaStage",
}  # classes inside events, not events themselves

# --- driver: independent of the program's names; a renaming changes nothing below


QUANTUM = 4_000  # microseconds; all times are multiples of it, so that events coincide exactly with limits


def on_grid(moment: int) -> int:
    return -(-moment // QUANTUM) * QUANTUM


class RandomSource:
    """Draws only from `random()`, whose sequence Python guarantees across versions."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def below(self, bound: int) -> int:
        return int(self._random.random() * bound)

    def between(self, least: int, most: int) -> int:
        return least + self.below(most - least + 1)

    def chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def pick(self, values: Any) -> Any:
        return values[self.below(len(values))]

    def share(self) -> float:
        return self.below(1000) / 1000


@dataclass
class Workload:
    """One recorded run: its configuration and its random events."""

    settings: Settings
    seed: int
    request_count: int = 350
    worker_count: int = 8
    arrival_gap: int = 30_000  # microseconds between two arrivals, on average
    run_time: int = 250_000  # of a job, on average, in microseconds
    hints: tuple[int, ...] = (0, 100_000, 250_000, 900_000)
    widths: tuple[float, ...] = (1.0, 1.0, 1.0, 2.0, 3.0)
    tenants: tuple[str | None, ...] = (None,)
    key_probability: float = 0.0
    keys: int = 6
    background_probability: float = 0.0
    first_list_kind: str = "whole"
    reloads: tuple[Settings, ...] = ()
    health_change_probability: float = 0.05  # of a change in the health of a worker, at each arrival
    list_change_probability: float = 0.08  # of a change of the endpoint list, at each arrival
    error_probability: float = 0.05
    malformed_probability: float = 0.004  # of a malformed event, at each arrival
    worker_types: tuple[str, ...] = ("fast", "standard", "slow")
    rating_interval: int = 150_000
    is_mostly_unhealthy: bool = False


@dataclass
class EmulatedWorker:
    name: str
    zone: str
    worker_type: str
    cell: int
    state: str = "ready"
    started_at: int = 0
    health: str = "sound"
    jobs: int = 0
    frozen_rating: float | None = None


@dataclass
class EmulatedAttempt:
    worker: str
    is_open: bool = True


@dataclass
class EmulatedRequest:
    deadline_at: int
    fails_everywhere: bool = False
    is_answered: bool = False
    attempts: list[EmulatedAttempt] = field(default_factory=list)


SPEEDS = {"fast": 0.6, "standard": 1.0, "slow": 2.5}
HEALTHS = ("sound", "sound", "sound", "refusing", "full", "silent", "crawling", "resetting", "erring", "odd")
BAD_ENDS = {"refusing": "no-connection", "full": "full", "resetting": "reset", "erring": "error"}


class Run:
    """Runs one workload against a scheduler in virtual time and digests every command."""

    def __init__(self, workload: Workload) -> None:
        self.workload, self.settings = workload, workload.settings
        self.random_source = RandomSource(workload.seed)
        self.scheduler = SchedulerUnderTest(workload.seed, workload.settings)
        self.now = 10_000_000
        self.queue: list[tuple[int, int, Any]] = []
        self.queued_count = 0
        self.requests: dict[int, EmulatedRequest] = {}
        self.workers: dict[str, EmulatedWorker] = {}
        self.commands_digest = hashlib.sha256()
        self.logs_digest = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.event_types: set[type] = set()
        self.events = 0

    # -- time

    def schedule(self, moment: int, action: Any) -> None:
        self.queued_count += 1
        heapq.heappush(self.queue, (on_grid(moment), self.queued_count, action))

    def execute(self) -> None:
        self.start()
        while self.queue:
            self.now = self.queue[0][0]
            batch: list[Any] = []
            while self.queue and self.queue[0][0] <= self.now:
                batch += heapq.heappop(self.queue)[2]()
            if batch:
                self.step(batch)

    def start(self) -> None:
        for index in range(self.workload.worker_count):
            worker_type = self.workload.worker_types[index % len(self.workload.worker_types)]
            health = "resetting" if self.workload.is_mostly_unhealthy and index % 4 else "sound"
            worker = EmulatedWorker(f"w{index}", f"zone-{index % 2}", worker_type, index % 3, health=health)
            self.workers[worker.name] = worker
        self.step([list_update(self.workload.first_list_kind, self.entries())])
        moment = self.now
        for number in range(self.workload.request_count):
            moment += self.random_source.below(2 * self.workload.arrival_gap)
            self.schedule(moment, lambda number=number: self.arrive(number))
        for index, settings in enumerate(self.workload.reloads):
            change = self.now + (index + 1) * (moment - self.now) // (len(self.workload.reloads) + 1)
            self.schedule(change, lambda settings=settings: self.reload(settings))
        self.last_arrival_at = moment
        self.schedule(self.now + self.workload.rating_interval, self.update_ratings)

    def step(self, events: list[Any]) -> None:
        self.events += len(events)
        self.event_types.update(type(event) for event in events)
        commands = self.scheduler.step(self.now, events)
        self.commands_digest.update(f"@{self.now}\n".encode())
        for index, command in enumerate(commands):
            rendering = COMMANDS[type(command)]
            self.counts[rendering.tag] += 1
            if rendering.tag == "log":
                self.logs_digest.update(f"{self.now} {index}\n".encode())
                continue
            values = [getattr(command, attribute) for attribute in rendering.attributes]
            self.commands_digest.update(" ".join([rendering.tag, *map(rendered, values)]).encode() + b"\n")
            self.react(rendering.tag, values)

    # -- commands

    def react(self, tag: str, values: list[Any]) -> None:
        if tag == "dispatch":
            self.run_attempt(values[0], values[1])
        elif tag == "wake":
            due = self.now + max(values[0], self.settings.round_interval)
            self.schedule(due, lambda: [timer_fired(values[1])])
        elif tag == "cancel":
            if self.random_source.chance(0.7):
                outcome = "cancelled" if self.random_source.chance(0.8) else "cut-off"
                self.schedule(self.now + 3_000, lambda: self.end(values[0], values[1], outcome))
        elif tag == "watch":
            list_kind = self.random_source.pick(("whole", "whole", "failed", "silent"))
            entries = self.entries() if list_kind == "whole" else []
            self.schedule(self.now + 50_000, lambda: [list_update(list_kind, entries)])
        elif tag in ("reject", "fail", "internal-error") and values[0] in self.requests:
            self.requests[values[0]].is_answered = True

    def run_attempt(self, request: int, name: str) -> None:
        emulated, worker = self.requests[request], self.workers[name]
        number = len(emulated.attempts)
        emulated.attempts.append(EmulatedAttempt(name))
        worker.jobs += 1
        if worker.health in ("refusing", "full"):
            refusal = BAD_ENDS[worker.health]
            self.schedule(self.now + 2_000, lambda: self.end(request, number, refusal))
            return
        starts_at = self.now + on_grid(self.random_source.between(1_000, 80_000)) * (1 + worker.jobs // 3)
        run_time = int(
            self.workload.run_time * (0.2 + 1.6 * self.random_source.share()) * SPEEDS[worker.worker_type]
        )
        self.schedule(
            self.now + 1_000, lambda: [sent(request, number)] if self.random_source.chance(0.8) else []
        )
        latest = max(emulated.deadline_at, self.now + 1)
        if worker.health == "silent":
            self.schedule(latest, lambda: self.end(request, number, "timed-out"))
            return
        if worker.health == "crawling":
            starts_at, run_time = starts_at + 400_000, run_time * 9
        if self.settings.reports_start or self.random_source.chance(0.1):
            self.schedule(starts_at, lambda: [started(request, number)])
            if self.random_source.chance(0.1):
                self.schedule(starts_at, lambda: [response_started(request, number)])
        for moment in self.progress_moments(starts_at, run_time):
            share = (moment - starts_at) / run_time
            self.schedule(moment, lambda share=share: [progressed(request, number, share)])
        outcome = self.outcome(emulated, worker)
        self.schedule(min(starts_at + run_time, latest), lambda: self.end(request, number, outcome))

    def progress_moments(self, starts_at: int, run_time: int) -> list[int]:
        interval = self.settings.report_interval
        if not interval or self.random_source.chance(0.1):
            return []
        return list(range(starts_at + interval, starts_at + run_time, interval))[:12]

    def outcome(self, emulated: EmulatedRequest, worker: EmulatedWorker) -> str:
        if emulated.fails_everywhere:
            return "error"
        if worker.health in BAD_ENDS:
            return BAD_ENDS[worker.health]
        if worker.health == "odd":
            return self.random_source.pick(("never-sent", "unfit", "cut-off", "timed-out", "no-connection"))
        return "error" if self.random_source.chance(self.workload.error_probability) else "done"

    def end(self, request: int, number: int, outcome: str) -> list[Any]:
        emulated = self.requests[request]
        attempt = emulated.attempts[number]
        if not attempt.is_open and not self.random_source.chance(0.1):  # a few ends are reported twice
            return []
        if attempt.is_open:
            attempt.is_open = False
            self.workers[attempt.worker].jobs -= 1
        final = outcome == "done" or outcome == "error" and self.random_source.chance(0.1)
        emulated.is_answered |= final
        return [ended(request, number, outcome, final)]

    # -- events that are not reactions to commands

    def arrive(self, number: int) -> list[Any]:
        random_source, workload = self.random_source, self.workload
        events = self.draw_disturbances(number)
        service_class = random_source.pick(self.settings.classes)
        deadline_at = self.now + service_class.timeout
        background = random_source.chance(workload.background_probability)
        if background:
            deadline_at += 4_000_000
        key = random_source.below(workload.keys) if random_source.chance(workload.key_probability) else None
        request = arrival(
            number,
            service_class.name,
            deadline_at,
            random_source.pick(workload.widths),
            random_source.pick(workload.hints),
            random_source.pick(workload.tenants),
            random_source.chance(0.1),
            background,
            key,
        )
        self.requests[number] = EmulatedRequest(deadline_at, fails_everywhere=random_source.chance(0.03))
        if random_source.chance(0.04):
            events.append(self.recover(number, request))
        else:
            events.append(request)
        if random_source.chance(0.03):
            self.schedule(self.now + random_source.below(800_000), lambda: [client_disconnected(number)])
        return events

    def recover(self, number: int, request: Any) -> Any:
        earlier = []
        for _ in range(self.random_source.between(0, 2)):
            worker = self.random_source.pick(list(self.workers.values()))
            outcome = self.random_source.pick((None, "reset", "full", "cut-off", "never-sent"))
            cell = self.random_source.pick((worker.cell, worker.cell, 9))
            sent_at = self.now - on_grid(self.random_source.below(3_000_000))
            earlier.append(recovered_attempt(worker.name, worker.zone, cell, sent_at, outcome))
            index = len(self.requests[number].attempts)
            self.requests[number].attempts.append(EmulatedAttempt(worker.name, is_open=outcome is None))
            if outcome is None:
                worker.jobs += 1
                final_outcome = self.random_source.pick(("done", "reset", "cut-off"))
                ends_at = self.now + self.random_source.below(900_000)
                self.schedule(
                    ends_at,
                    lambda index=index, final_outcome=final_outcome: self.end(number, index, final_outcome),
                )
        return recovered(request, self.now - 3_000_000, earlier)

    def draw_disturbances(self, number: int) -> list[Any]:
        random_source, workload, events = self.random_source, self.workload, list[Any]()
        if random_source.chance(workload.health_change_probability):
            worker = random_source.pick(list(self.workers.values()))
            worker.health = random_source.pick(HEALTHS)
        if random_source.chance(workload.list_change_probability):
            events.append(self.change_list())
        if random_source.chance(0.02):
            name = random_source.pick(list(self.workers))
            events.append(probe_completed(name, random_source.pick(("done", "reset"))))
        if random_source.chance(0.02):
            events.append(sent(number + 100_000, 0))
            events.append(started(number + 100_000, 0))
            events.append(progressed(number + 100_000, 0, 0.5))
            events.append(client_disconnected(number + 100_000))
            events.append(timer_fired(1_000_000 + number))
        if random_source.chance(workload.malformed_probability):
            events.append(arrival(number + 200_000, "unknown", self.now + 1_000_000))
            unanswered = [
                request
                for request, emulated in self.requests.items()
                if emulated.attempts and not emulated.is_answered
            ]
            waiting = [
                request
                for request in unanswered
                if not any(attempt.is_open for attempt in self.requests[request].attempts)
            ]
            if waiting or unanswered:
                events.append(progressed(random_source.pick(waiting or unanswered), 0, None))
        if workload.settings.quotas and random_source.chance(0.08):
            events.append(self.draw_shares())
        return events

    def draw_shares(self) -> Any:
        tenants, stages, until = list(self.settings.quotas), [], self.now
        for _ in range(self.random_source.between(0, 2)):
            until += on_grid(self.random_source.between(100_000, 1_500_000))
            shares = {
                tenant: self.random_source.share() for tenant in tenants if self.random_source.chance(0.8)
            }
            borrowed = {
                tenant: 4 * self.random_source.share() for tenant in tenants if self.random_source.chance(0.5)
            }
            stages.append(quota_stage(until, shares, borrowed))
        over = [tenant for tenant in tenants if self.random_source.chance(0.15)]
        return quota_shares(stages, over, on_grid(self.now + self.random_source.below(1_000_000)))

    def change_list(self) -> Any:
        random_source = self.random_source
        draw = random_source.share()
        worker = random_source.pick(list(self.workers.values()))
        if draw < 0.12:
            return list_update(random_source.pick(("failed", "silent")), [])
        if draw < 0.2:
            absent = worker.name if len(self.workers) > 3 else ""
            worker.state = "gone" if absent else worker.state
            return list_update("whole", [entry for entry in self.entries() if entry.worker != absent])
        if draw < 0.25:
            return list_update("remembered", self.entries())
        if draw < 0.32:
            name = f"n{len(self.workers)}"
            started_at = random_source.pick((0, self.now))
            worker = EmulatedWorker(
                name,
                random_source.pick(("zone-0", "zone-1")),
                random_source.pick(self.workload.worker_types),
                random_source.below(3),
                random_source.pick(("ready", "ready", "draining")),
                started_at,
            )
            self.workers[name] = worker
        elif worker.state == "ready" and draw < 0.6:
            worker.state = random_source.pick(("draining", "draining", "gone"))
        else:
            worker.state = "ready"
            worker.started_at = random_source.pick((worker.started_at, self.now))
            worker.health = "sound"
        return list_update("changes", [self.entry(worker)])

    def reload(self, settings: Settings) -> list[Any]:
        self.settings = settings
        return [config_reloaded(settings)]

    def update_ratings(self) -> list[Any]:
        if self.now > self.last_arrival_at:
            return []
        self.schedule(self.now + self.workload.rating_interval, self.update_ratings)
        if not self.settings.has_live_ratings:
            return []
        known = [worker for worker in self.workers.values() if worker.state == "ready"]
        return [list_update("changes", [self.entry(worker) for worker in known])]

    def entries(self) -> list[Any]:
        return [self.entry(worker) for worker in self.workers.values()]

    def entry(self, worker: EmulatedWorker) -> Any:
        size = {"fast": 6.0, "standard": 4.0, "slow": 2.0}[worker.worker_type]
        rating = size / (1.0 + worker.jobs / size)
        if worker.health in ("silent", "crawling"):
            rating = worker.frozen_rating = worker.frozen_rating or rating
        else:
            worker.frozen_rating = None
        return list_entry(
            worker.name, worker.zone, worker.worker_type, worker.cell, worker.state, rating, worker.started_at
        )


def rendered(value: Any) -> str:
    if value is None:
        return "-"
    return str(int(value)) if isinstance(value, bool) else str(value)


ANY = ClassSettings("any", latency_objective=320_000, timeout=5_000_000)
ZONED = ClassSettings("zoned", "idempotent-with-key", "zone", deduplication_window=2_000_000)
CELLED = ClassSettings(
    "celled", "idempotent-with-key", "cell", deduplication_window=1_500_000, latency_objective=600_000
)
EVERYWHERE = ClassSettings("everywhere", "idempotent-with-key", "all", timeout=4_000_000)
ONCE = ClassSettings("once", "at-most-once", latency_objective=400_000, timeout=4_000_000)
MIXED = [ANY, ZONED, CELLED, EVERYWHERE, ONCE]
BOUND = [
    ANY,
    ClassSettings("one-kind", worker_type="slow"),
    ClassSettings("two-kinds", worker_types=frozenset({"fast", "standard"})),
    ClassSettings("one-zone", "idempotent-with-key", "all", zones=frozenset({"zone-1"})),
]
LIVE = Settings(
    MIXED,
    dispatcher_count=2,
    has_live_ratings=True,
    close_idle_within=250_000,
    connection_cost=0.01,
    cross_zone_cost=0.005,
    zone="zone-0",
    idle_timeout=2_000_000,
    worst_class_weight=0.4,
)
QUOTAS = {"dairy": 6.25, "goats": 2.5, "sheep": 1.25}

WORKLOADS = {
    "mixed": Workload(
        Settings(MIXED), 1, key_probability=0.3, error_probability=0.1, malformed_probability=0.03
    ),
    "live": Workload(
        LIVE,
        2,
        key_probability=0.2,
        arrival_gap=20_000,
        health_change_probability=0.08,
        list_change_probability=0.3,
    ),
    "live-overload": Workload(
        LIVE, 3, arrival_gap=8_000, run_time=400_000, request_count=500, list_change_probability=0.02
    ),
    "once": Workload(
        Settings([ONCE, ClassSettings("once-more", "at-most-once")], dispatcher_count=1),
        4,
        health_change_probability=0.15,
    ),
    "sparse": Workload(
        Settings(
            MIXED, dispatcher_count=40, is_polled=True, notified_within=1_500_000, poll_within=3_000_000
        ),
        5,
        first_list_kind="remembered",
        worker_count=14,
        arrival_gap=25_000,
    ),
    "shares": Workload(
        Settings(MIXED, quotas=QUOTAS, beyond_quota_weight=0.25, dispatcher_count=2),
        6,
        arrival_gap=12_000,
        request_count=500,
        tenants=(None, "dairy", "goats", "sheep", "stranger"),
        background_probability=0.1,
    ),
    "bound": Workload(
        Settings(BOUND, has_live_ratings=True, report_interval=0),
        7,
        key_probability=0.3,
        list_change_probability=0.12,
        arrival_gap=25_000,
    ),
    "unsent": Workload(
        Settings(
            MIXED,
            counts_unsent=False,
            can_cancel=False,
            reports_start=False,
            report_interval=0,
            max_retry_after=0,
            dispatcher_count=1,
        ),
        8,
        background_probability=0.2,
        health_change_probability=0.2,
        request_count=250,
    ),
    "many-keys": Workload(
        Settings([ANY, ONCE], dispatcher_count=2, report_interval=0),
        9,
        key_probability=1.0,
        keys=1_000_000,
        request_count=1150,
        run_time=60_000,
        arrival_gap=30_000,
        list_change_probability=0.0,
        health_change_probability=0.01,
    ),
    "reloads": Workload(
        LIVE,
        10,
        reloads=(
            Settings(MIXED, dispatcher_count=6, max_attempts=5),
            Settings([ANY, ZONED], round_interval=8_000, dispatcher_count=1),
            Settings(MIXED, dispatcher_count=30, slow_start_margin=0.5, worst_class_weight=0.0),
            LIVE,
        ),
    ),
    "sick": Workload(
        Settings([ANY, EVERYWHERE], dispatcher_count=2, max_attempts=6),
        11,
        is_mostly_unhealthy=True,
        health_change_probability=0.3,
        list_change_probability=0.02,
        error_probability=0.2,
    ),
    "restarts": Workload(
        Settings(MIXED, dispatcher_count=8, warmup=20_000_000),
        12,
        list_change_probability=0.5,
        arrival_gap=20_000,
    ),
    "live-restarts": Workload(
        Settings(MIXED, dispatcher_count=12, has_live_ratings=True, warmup=20_000_000),
        13,
        list_change_probability=0.4,
        arrival_gap=20_000,
        request_count=250,
        worker_count=6,
    ),
}

# --- recorded results


@dataclass(frozen=True)
class Recorded:
    """Digest of the commands without logs, digest of the times and positions of logs, and counts by tag."""

    commands: str
    logs: str
    counts: dict[str, int]


RECORDED: dict[str, Recorded] = {
    "mixed": Recorded(
        "8e63861a524f550e2c1b265e801a1dd8842a4b57f10c0f8bbcbdb7bf944c0da8",
        "a277d98e3553d7216719d027abf6379990ab4c957ece790357e4eb0284e5b858",
        {
            "cancel": 11,
            "dispatch": 310,
            "fail": 25,
            "internal-error": 31,
            "log": 37,
            "reject": 120,
            "wake": 3517,
        },
    ),
    "live": Recorded(
        "3ea447c2414125b5bf6e3510fba65ebcf4e56b736933f1f5e6fc82df9332bf9e",
        "7cca589278bfacb200dc6fc987f3c691d064a19c44bb184e1408614f80654c20",
        {
            "cancel": 10,
            "close": 25,
            "dispatch": 246,
            "fail": 19,
            "internal-error": 2,
            "log": 70,
            "reject": 143,
            "wake": 2552,
        },
    ),
    "live-overload": Recorded(
        "fe859702a206f33cacd291958ea76a6f904f54d5e9e7e8782648152899d051b5",
        "655b10b57b037cf5d42b3a192d90d1e4a55e1c252bf2501cc2379632fd00ee14",
        {
            "cancel": 4,
            "close": 1,
            "dispatch": 91,
            "fail": 8,
            "internal-error": 2,
            "log": 25,
            "reject": 411,
            "wake": 1519,
        },
    ),
    "once": Recorded(
        "17a4b777a4589183bd9c71662c07bd23abc69f2088a3c58f4fba5decac3a6252",
        "31297386735e427740c42fd8e20fe69b0a5ced01905432b79aeadf18f7a03550",
        {
            "cancel": 4,
            "dispatch": 358,
            "fail": 80,
            "internal-error": 2,
            "log": 48,
            "reject": 27,
            "wake": 2425,
        },
    ),
    "sparse": Recorded(
        "05c0ea26a0d11b70ae92bd4381a54fe454e21ed6841e1e40ec2ef85b22a3f3b1",
        "0d062e6d34b46a72e2a8ab3c485f36e980ba7befeb9fdd72323f920a4e759fa2",
        {
            "cancel": 14,
            "dispatch": 336,
            "fail": 8,
            "internal-error": 2,
            "log": 47,
            "reject": 53,
            "wake": 3050,
            "watch": 4,
        },
    ),
    "shares": Recorded(
        "1da3584d29383dec0636b3f44256e251e2d43461fcd2397f6b93508e7317910d",
        "74cd1254ff3ae16852930f6d1c69430967121836475ad5f286a0ea0c092ce389",
        {
            "cancel": 9,
            "dispatch": 330,
            "fail": 17,
            "internal-error": 6,
            "log": 51,
            "reject": 213,
            "wake": 2537,
        },
    ),
    "bound": Recorded(
        "3de1417c9b34de3e586f2b65fd877ef822296eef8cf7309419eda0e92013791d",
        "81a804ed64551b35d1999ed4ea2dc434f1f0025bb376f421fa9f3925ab45963d",
        {"cancel": 5, "dispatch": 220, "internal-error": 1, "log": 30, "reject": 163, "wake": 3295},
    ),
    "unsent": Recorded(
        "cefa358c77411e5a8bcb7f4273c332d5d6af0388758195d590c749795050fbdf",
        "f8a1d1e270ccb3333a7e5a726b02a904b9bd1141a83e487153b58aa8e8c88576",
        {"dispatch": 186, "fail": 11, "internal-error": 4, "log": 23, "reject": 91, "wake": 2266},
    ),
    "many-keys": Recorded(
        "32f296e3d3e74c43fd95cdb390c24da1dd61b5905a46afb13d735782b9ebdd78",
        "e74e6d3203dc5fabcac188a5b29119c7e296715f839b765f73647d4e3082af95",
        {
            "cancel": 53,
            "dispatch": 1225,
            "fail": 56,
            "internal-error": 3,
            "log": 138,
            "reject": 13,
            "wake": 3167,
        },
    ),
    "reloads": Recorded(
        "7ffdc07bd40c583f114415f2c2c024d5e0b5313f3c592b72262260cef214d482",
        "92a2b5092a11ee40d2bd94b36939c2cc1aa81a3e7f5e49172266cfcae68489c5",
        {
            "cancel": 29,
            "close": 5,
            "dispatch": 338,
            "fail": 11,
            "internal-error": 2,
            "log": 42,
            "reject": 41,
            "wake": 3037,
        },
    ),
    "sick": Recorded(
        "8cd9df3a35b19791d3f7bcfefd0b0d1ce5d9caf7648532872474a730f470d571",
        "a308624a37d68547740ca3fe9c5495c8cbbb28b3e9d15513b2e15b74433c298e",
        {
            "cancel": 8,
            "dispatch": 292,
            "fail": 16,
            "internal-error": 3,
            "log": 35,
            "reject": 216,
            "wake": 3813,
        },
    ),
    "restarts": Recorded(
        "b66337a3d664d39f43d98cbd16a968e1211a4806f649d7ffafd48f224f3ae506",
        "2bcedd3e73c4a903561c9dc18818790b7e2f86c5dac14b59297956f497a00aa1",
        {"cancel": 12, "dispatch": 122, "fail": 13, "log": 43, "reject": 224, "wake": 2348},
    ),
    "live-restarts": Recorded(
        "a31b465f8257e8d9003b659f88b10ddabcabfa2cb7b578c2c7ae141d9dbe9efc",
        "b9c8503593b43d405698ade760ed2f107a2e11409cd8f3f9214a144faf1daf7a",
        {"cancel": 1, "dispatch": 63, "fail": 2, "log": 28, "reject": 187, "wake": 2360},
    ),
}

finished_runs: dict[str, Run] = {}


def run_of(name: str) -> Run:
    if name not in finished_runs:
        finished_runs[name] = Run(WORKLOADS[name])
        finished_runs[name].execute()
    return finished_runs[name]


@pytest.mark.parametrize("name", WORKLOADS)
def test_same_events_give_the_same_commands(name: str) -> None:
    run, recorded = run_of(name), RECORDED[name]
    assert dict(run.counts) == recorded.counts
    assert run.logs_digest.hexdigest() == recorded.logs
    assert run.commands_digest.hexdigest() == recorded.commands


def test_every_event_and_command_type_takes_part() -> None:
    runs = [run_of(name) for name in WORKLOADS]
    defined = {
        event_type
        for event_type in vars(event_module).values()
        if isinstance(event_type, type) and event_type.__module__ == event_module.__name__
    }
    used = {event_type for run in runs for event_type in run.event_types}
    assert used == {event_type for event_type in defined if event_type.__name__ not in EVENT_PARTS}
    issued = {tag for run in runs for tag in run.counts}
    assert issued == {rendering.tag for rendering in COMMANDS.values()} - NEVER_ISSUED


def test_the_table_renders_every_command_and_field() -> None:
    defined = {
        command_type
        for command_type in vars(command_module).values()
        if isinstance(command_type, type) and command_type.__module__ == command_module.__name__
    }
    assert set(COMMANDS) == defined
    not_rendered = {WriteLog: {"event"}, ReportInternalError: {"detail"}}
    for command_type, rendering in COMMANDS.items():
        names = {attribute.name for attribute in fields(command_type)}
        assert set(rendering.attributes) == names - not_rendered.get(command_type, set())


if __name__ == "__main__":  # prints the results, for comparison after an intended change of a decision
    for name in WORKLOADS:
        run = run_of(name)
        print(name, run.commands_digest.hexdigest(), run.logs_digest.hexdigest(), dict(run.counts))
