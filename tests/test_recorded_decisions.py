"""Recorded decisions: the same events give the same commands, whatever the program calls them.

A seeded driver feeds each configuration a few thousand events and reacts to the commands. The commands are
rendered with the stable tags of `COMMANDS` and compared by digest. A renaming edits the part of this file
above "the driver" and nothing else; the recorded digests change only with a decision.
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

# --- translation: the only part that knows the program's names


@dataclass(frozen=True)
class Rendering:
    """Stable tag of a command, and its attributes in their stable order."""

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
NEVER_ORDERED = {"fetch"}  # no rule orders it

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
class Class:
    """One service class, in neutral words."""

    name: str
    effect: str = "idempotent"
    scope: str = "cell"
    memory: int = 4_000_000
    objective: int = 900_000
    stretch: float = 2.0
    deadline: int = 6_000_000
    revenue: float = 5.0
    overdue: float = 2.0
    kind: str | None = None
    kinds: frozenset[str] | None = None
    zones: frozenset[str] | None = None


@dataclass
class Settings:
    """The scheduler's configuration, in neutral words."""

    classes: list[Class]
    step: int = 4_000
    fleet: int = 3
    most_attempts: int = 3
    may_cancel: bool = True
    counts_unsent: bool = True
    longest_advice: int = 2_000_000
    quotas: dict[str, float] = field(default_factory=dict)
    beyond_quota: float = 1.0
    worst_class: float = 0.1
    cold_factor: float = 4.0
    cold_window: int = 1_000_000
    cold_from: float = 0.3
    warm_after: int = 6_000_000
    cold_margin: float = 1.0
    must_ask: bool = False
    ask_within: int = 4_000_000
    live: bool = False
    close_within: int = 0
    told_within: int = 0
    tells_start: bool = True
    progress_every: int = 300_000
    connection_price: float = 0.0
    crossing_price: float = 0.0
    zone: str = ""
    idle_close: int = 0


def program_grade(one: Class) -> Any:
    return ServiceClass(
        name=one.name,
        effect=EFFECTS[one.effect],
        deduplication_scope=SCOPES[one.scope],
        deduplication_window=one.memory,
        latency_objective=one.objective,
        stretch=one.stretch,
        timeout=one.deadline,
        priority_weight=one.revenue,
        overdue_weight=one.overdue,
        worker_type=one.kind,
        allowed_worker_types=one.kinds,
        allowed_zones=one.zones,
    )


def program_config(settings: Settings) -> SchedulerConfig:
    return SchedulerConfig(
        settings.step,
        settings.fleet,
        [program_grade(one) for one in settings.classes],
        RetryConfig(
            max_attempts=settings.most_attempts,
            can_cancel=settings.may_cancel,
            counts_unsent=settings.counts_unsent,
        ),
        ClientConfig(max_retry_after=settings.longest_advice),
        QuotaConfig(quotas=dict(settings.quotas), beyond_quota_weight=settings.beyond_quota),
        ObjectiveConfig(worst_class_weight=settings.worst_class),
        SlowStartConfig(
            overload_factor=settings.cold_factor,
            window=settings.cold_window,
            initial_capacity=settings.cold_from,
            warmup=settings.warm_after,
            margin=settings.cold_margin,
        ),
        EndpointListConfig(
            polled=settings.must_ask,
            poll_within=settings.ask_within,
            live_ratings=settings.live,
            close_idle_within=settings.close_within,
            notified_within=settings.told_within,
        ),
        ProgressConfig(reports_start=settings.tells_start, report_interval=settings.progress_every),
        CostConfig(
            connection=settings.connection_price,
            cross_zone=settings.crossing_price,
            zone=settings.zone,
            idle_timeout=settings.idle_close,
        ),
    )


class SchedulerUnderTest:
    """The decision core behind neutral calls."""

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
    patient: bool = False,
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
        background=patient,
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


def stream_began(request: int, attempt: int) -> Any:
    return ResponseStarted(request_id=request, attempt=attempt)


def ended(request: int, attempt: int, outcome: str, final: bool) -> Any:
    return AttemptEnded(request_id=request, attempt=attempt, outcome=OUTCOMES[outcome], final=final)


def client_gone(request: int) -> Any:
    return ClientDisconnected(request_id=request)


def timer_due(mark: int) -> Any:
    return TimerFired(timer_id=mark)


def probe_ended(worker: str, outcome: str) -> Any:
    return ProbeCompleted(worker=worker, outcome=OUTCOMES[outcome])


def new_settings(settings: Settings) -> Any:
    return ConfigReloaded(config=program_config(settings))


def listed(worker: str, zone: str, kind: str, cell: int, state: str, rating: float, started_at: int) -> Any:
    return EndpointEntry(
        worker=worker,
        zone=zone,
        worker_type=kind,
        cell=cell,
        state=STATES[state],
        rating=rating,
        started_at=started_at,
    )


def worker_list(kind: str, entries: list[Any]) -> Any:
    return EndpointListUpdate(kind=LIST_KINDS[kind], entries=entries)


def quota_stage(until: int, shares: dict[str, float], lent: dict[str, float]) -> Any:
    return QuotaStage(until=until, shares=shares, borrowed=lent)


def quota_shares(stages: list[Any], over: Iterable[str], over_until: int) -> Any:
    return QuotaSharesUpdated(
        stages=stages, over_fair_share=frozenset(over), over_fair_share_until=over_until
    )


EVENT_PARTS = {
    "EndpointEntry",
    "RecoveredAttempt",
    "QuotaStage",
}  # classes inside events, not events themselves

# --- the driver: neutral words only; nothing below here changes in a renaming


QUANTUM = 4_000  # microseconds: all moments are its multiples, so that events meet limits exactly


def on_grid(moment: int) -> int:
    return -(-moment // QUANTUM) * QUANTUM


class Dice:
    """Draws from `random()` alone, whose sequence Python guarantees from version to version."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def below(self, bound: int) -> int:
        return int(self._random.random() * bound)

    def between(self, least: int, most: int) -> int:
        return least + self.below(most - least + 1)

    def chance(self, odds: float) -> bool:
        return self._random.random() < odds

    def pick(self, values: Any) -> Any:
        return values[self.below(len(values))]

    def share(self) -> float:
        return self.below(1000) / 1000


@dataclass
class Workload:
    """One recorded run: the configuration, and what happens in it."""

    settings: Settings
    seed: int
    requests: int = 350
    workers: int = 8
    gap: int = 30_000  # microseconds between two arrivals, on average
    run: int = 250_000  # of a job, on average
    hints: tuple[int, ...] = (0, 100_000, 250_000, 900_000)
    widths: tuple[float, ...] = (1.0, 1.0, 1.0, 2.0, 3.0)
    tenants: tuple[str | None, ...] = (None,)
    key_odds: float = 0.0
    keys: int = 6
    patient_odds: float = 0.0
    first_list: str = "whole"
    reloads: tuple[Settings, ...] = ()
    trouble_odds: float = 0.05  # of a change of some worker's health, at an arrival
    list_odds: float = 0.08  # of a change of the list, at an arrival
    error_odds: float = 0.05
    fault_odds: float = 0.004  # of a malformed event, at an arrival
    kinds: tuple[str, ...] = ("fast", "standard", "slow")
    rating_every: int = 150_000
    all_sick: bool = False


@dataclass
class EmulatedWorker:
    name: str
    zone: str
    kind: str
    cell: int
    state: str = "ready"
    started_at: int = 0
    health: str = "sound"
    jobs: int = 0
    stuck_rating: float | None = None


@dataclass
class EmulatedAttempt:
    worker: str
    is_open: bool = True


@dataclass
class EmulatedRequest:
    deadline_at: int
    is_spoilt: bool = False
    is_answered: bool = False
    attempts: list[EmulatedAttempt] = field(default_factory=list)


SPEEDS = {"fast": 0.6, "standard": 1.0, "slow": 2.5}
HEALTHS = ("sound", "sound", "sound", "refusing", "full", "silent", "crawling", "resetting", "erring", "odd")
BAD_ENDS = {"refusing": "no-connection", "full": "full", "resetting": "reset", "erring": "error"}


class Run:
    """Plays one workload against a scheduler in virtual time and digests every command."""

    def __init__(self, workload: Workload) -> None:
        self.workload, self.settings = workload, workload.settings
        self.dice = Dice(workload.seed)
        self.scheduler = SchedulerUnderTest(workload.seed, workload.settings)
        self.now = 10_000_000
        self.queue: list[tuple[int, int, Any]] = []
        self.queued = 0
        self.requests: dict[int, EmulatedRequest] = {}
        self.workers: dict[str, EmulatedWorker] = {}
        self.commands_digest = hashlib.sha256()
        self.logs_digest = hashlib.sha256()
        self.counts: Counter[str] = Counter()
        self.event_types: set[type] = set()
        self.events = 0

    # -- time

    def at(self, moment: int, action: Any) -> None:
        self.queued += 1
        heapq.heappush(self.queue, (on_grid(moment), self.queued, action))

    def play(self) -> None:
        self.start()
        while self.queue:
            self.now = self.queue[0][0]
            batch: list[Any] = []
            while self.queue and self.queue[0][0] <= self.now:
                batch += heapq.heappop(self.queue)[2]()
            if batch:
                self.step(batch)

    def start(self) -> None:
        for place in range(self.workload.workers):
            kind = self.workload.kinds[place % len(self.workload.kinds)]
            health = "resetting" if self.workload.all_sick and place % 4 else "sound"
            worker = EmulatedWorker(f"w{place}", f"zone-{place % 2}", kind, place % 3, health=health)
            self.workers[worker.name] = worker
        self.step([worker_list(self.workload.first_list, self.entries())])
        moment = self.now
        for number in range(self.workload.requests):
            moment += self.dice.below(2 * self.workload.gap)
            self.at(moment, lambda number=number: self.arrive(number))
        for place, settings in enumerate(self.workload.reloads):
            change = self.now + (place + 1) * (moment - self.now) // (len(self.workload.reloads) + 1)
            self.at(change, lambda settings=settings: self.reload(settings))
        self.traffic_ends = moment
        self.at(self.now + self.workload.rating_every, self.rate)

    def step(self, events: list[Any]) -> None:
        self.events += len(events)
        self.event_types.update(type(event) for event in events)
        commands = self.scheduler.step(self.now, events)
        self.commands_digest.update(f"@{self.now}\n".encode())
        for place, command in enumerate(commands):
            rendering = COMMANDS[type(command)]
            self.counts[rendering.tag] += 1
            if rendering.tag == "log":
                self.logs_digest.update(f"{self.now} {place}\n".encode())
                continue
            values = [getattr(command, attribute) for attribute in rendering.attributes]
            self.commands_digest.update(" ".join([rendering.tag, *map(spelled, values)]).encode() + b"\n")
            self.react(rendering.tag, values)

    # -- commands

    def react(self, tag: str, values: list[Any]) -> None:
        if tag == "dispatch":
            self.run_attempt(values[0], values[1])
        elif tag == "wake":
            due = self.now + max(values[0], self.settings.step)
            self.at(due, lambda: [timer_due(values[1])])
        elif tag == "cancel":
            if self.dice.chance(0.7):
                outcome = "cancelled" if self.dice.chance(0.8) else "cut-off"
                self.at(self.now + 3_000, lambda: self.end(values[0], values[1], outcome))
        elif tag == "watch":
            answer = self.dice.pick(("whole", "whole", "failed", "silent"))
            entries = self.entries() if answer == "whole" else []
            self.at(self.now + 50_000, lambda: [worker_list(answer, entries)])
        elif tag in ("reject", "fail", "internal-error") and values[0] in self.requests:
            self.requests[values[0]].is_answered = True

    def run_attempt(self, request: int, name: str) -> None:
        emulated, worker = self.requests[request], self.workers[name]
        number = len(emulated.attempts)
        emulated.attempts.append(EmulatedAttempt(name))
        worker.jobs += 1
        if worker.health in ("refusing", "full"):
            refusal = BAD_ENDS[worker.health]
            self.at(self.now + 2_000, lambda: self.end(request, number, refusal))
            return
        begins = self.now + on_grid(self.dice.between(1_000, 80_000)) * (1 + worker.jobs // 3)
        lasts = int(self.workload.run * (0.2 + 1.6 * self.dice.share()) * SPEEDS[worker.kind])
        self.at(self.now + 1_000, lambda: [sent(request, number)] if self.dice.chance(0.8) else [])
        latest = max(emulated.deadline_at, self.now + 1)
        if worker.health == "silent":
            self.at(latest, lambda: self.end(request, number, "timed-out"))
            return
        if worker.health == "crawling":
            begins, lasts = begins + 400_000, lasts * 9
        if self.settings.tells_start or self.dice.chance(0.1):
            self.at(begins, lambda: [started(request, number)])
            if self.dice.chance(0.1):
                self.at(begins, lambda: [stream_began(request, number)])
        for moment in self.progress_moments(begins, lasts):
            share = (moment - begins) / lasts
            self.at(moment, lambda share=share: [progressed(request, number, share)])
        outcome = self.outcome(emulated, worker)
        self.at(min(begins + lasts, latest), lambda: self.end(request, number, outcome))

    def progress_moments(self, begins: int, lasts: int) -> list[int]:
        every = self.settings.progress_every
        if not every or self.dice.chance(0.1):
            return []
        return list(range(begins + every, begins + lasts, every))[:12]

    def outcome(self, emulated: EmulatedRequest, worker: EmulatedWorker) -> str:
        if emulated.is_spoilt:
            return "error"
        if worker.health in BAD_ENDS:
            return BAD_ENDS[worker.health]
        if worker.health == "odd":
            return self.dice.pick(("never-sent", "unfit", "cut-off", "timed-out", "no-connection"))
        return "error" if self.dice.chance(self.workload.error_odds) else "done"

    def end(self, request: int, number: int, outcome: str) -> list[Any]:
        emulated = self.requests[request]
        attempt = emulated.attempts[number]
        if not attempt.is_open and not self.dice.chance(0.1):  # the others are told twice
            return []
        if attempt.is_open:
            attempt.is_open = False
            self.workers[attempt.worker].jobs -= 1
        final = outcome == "done" or outcome == "error" and self.dice.chance(0.1)
        emulated.is_answered |= final
        return [ended(request, number, outcome, final)]

    # -- events that come by themselves

    def arrive(self, number: int) -> list[Any]:
        dice, workload = self.dice, self.workload
        events = self.disturb(number)
        one = dice.pick(self.settings.classes)
        deadline_at = self.now + one.deadline
        patient = dice.chance(workload.patient_odds)
        if patient:
            deadline_at += 4_000_000
        key = dice.below(workload.keys) if dice.chance(workload.key_odds) else None
        request = arrival(
            number,
            one.name,
            deadline_at,
            dice.pick(workload.widths),
            dice.pick(workload.hints),
            dice.pick(workload.tenants),
            dice.chance(0.1),
            patient,
            key,
        )
        self.requests[number] = EmulatedRequest(deadline_at, is_spoilt=dice.chance(0.03))
        if dice.chance(0.04):
            events.append(self.recover(number, request))
        else:
            events.append(request)
        if dice.chance(0.03):
            self.at(self.now + dice.below(800_000), lambda: [client_gone(number)])
        return events

    def recover(self, number: int, request: Any) -> Any:
        earlier = []
        for _ in range(self.dice.between(0, 2)):
            worker = self.dice.pick(list(self.workers.values()))
            outcome = self.dice.pick((None, "reset", "full", "cut-off", "never-sent"))
            cell = self.dice.pick((worker.cell, worker.cell, 9))
            sent_at = self.now - on_grid(self.dice.below(3_000_000))
            earlier.append(recovered_attempt(worker.name, worker.zone, cell, sent_at, outcome))
            place = len(self.requests[number].attempts)
            self.requests[number].attempts.append(EmulatedAttempt(worker.name, is_open=outcome is None))
            if outcome is None:
                worker.jobs += 1
                ends = self.dice.pick(("done", "reset", "cut-off"))
                later = self.now + self.dice.below(900_000)
                self.at(later, lambda place=place, ends=ends: self.end(number, place, ends))
        return recovered(request, self.now - 3_000_000, earlier)

    def disturb(self, number: int) -> list[Any]:
        dice, workload, events = self.dice, self.workload, list[Any]()
        if dice.chance(workload.trouble_odds):
            worker = dice.pick(list(self.workers.values()))
            worker.health = dice.pick(HEALTHS)
        if dice.chance(workload.list_odds):
            events.append(self.change_list())
        if dice.chance(0.02):
            name = dice.pick(list(self.workers))
            events.append(probe_ended(name, dice.pick(("done", "reset"))))
        if dice.chance(0.02):
            events.append(sent(number + 100_000, 0))
            events.append(started(number + 100_000, 0))
            events.append(progressed(number + 100_000, 0, 0.5))
            events.append(client_gone(number + 100_000))
            events.append(timer_due(1_000_000 + number))
        if dice.chance(workload.fault_odds):
            events.append(arrival(number + 200_000, "unknown", self.now + 1_000_000))
            unanswered = [of for of, one in self.requests.items() if one.attempts and not one.is_answered]
            waiting = [of for of in unanswered if not any(a.is_open for a in self.requests[of].attempts)]
            if waiting or unanswered:
                events.append(progressed(dice.pick(waiting or unanswered), 0, None))
        if workload.settings.quotas and dice.chance(0.08):
            events.append(self.draw_shares())
        return events

    def draw_shares(self) -> Any:
        tenants, stages, until = list(self.settings.quotas), [], self.now
        for _ in range(self.dice.between(0, 2)):
            until += on_grid(self.dice.between(100_000, 1_500_000))
            shares = {of: self.dice.share() for of in tenants if self.dice.chance(0.8)}
            lent = {of: 4 * self.dice.share() for of in tenants if self.dice.chance(0.5)}
            stages.append(quota_stage(until, shares, lent))
        over = [of for of in tenants if self.dice.chance(0.15)]
        return quota_shares(stages, over, on_grid(self.now + self.dice.below(1_000_000)))

    def change_list(self) -> Any:
        dice = self.dice
        draw = dice.share()
        worker = dice.pick(list(self.workers.values()))
        if draw < 0.12:
            return worker_list(dice.pick(("failed", "silent")), [])
        if draw < 0.2:
            absent = worker.name if len(self.workers) > 3 else ""
            worker.state = "gone" if absent else worker.state
            return worker_list("whole", [one for one in self.entries() if one.worker != absent])
        if draw < 0.25:
            return worker_list("remembered", self.entries())
        if draw < 0.32:
            name = f"n{len(self.workers)}"
            started_at = dice.pick((0, self.now))
            worker = EmulatedWorker(
                name,
                dice.pick(("zone-0", "zone-1")),
                dice.pick(self.workload.kinds),
                dice.below(3),
                dice.pick(("ready", "ready", "draining")),
                started_at,
            )
            self.workers[name] = worker
        elif worker.state == "ready" and draw < 0.6:
            worker.state = dice.pick(("draining", "draining", "gone"))
        else:
            worker.state = "ready"
            worker.started_at = dice.pick((worker.started_at, self.now))
            worker.health = "sound"
        return worker_list("changes", [self.entry(worker)])

    def reload(self, settings: Settings) -> list[Any]:
        self.settings = settings
        return [new_settings(settings)]

    def rate(self) -> list[Any]:
        if self.now > self.traffic_ends:
            return []
        self.at(self.now + self.workload.rating_every, self.rate)
        if not self.settings.live:
            return []
        known = [worker for worker in self.workers.values() if worker.state == "ready"]
        return [worker_list("changes", [self.entry(worker) for worker in known])]

    def entries(self) -> list[Any]:
        return [self.entry(worker) for worker in self.workers.values()]

    def entry(self, worker: EmulatedWorker) -> Any:
        size = {"fast": 6.0, "standard": 4.0, "slow": 2.0}[worker.kind]
        rating = size / (1.0 + worker.jobs / size)
        if worker.health in ("silent", "crawling"):
            rating = worker.stuck_rating = worker.stuck_rating or rating
        else:
            worker.stuck_rating = None
        return listed(
            worker.name, worker.zone, worker.kind, worker.cell, worker.state, rating, worker.started_at
        )


def spelled(value: Any) -> str:
    if value is None:
        return "-"
    return str(int(value)) if isinstance(value, bool) else str(value)


ANY = Class("any", objective=320_000, deadline=5_000_000)
ZONED = Class("zoned", "idempotent-with-key", "zone", memory=2_000_000)
CELLED = Class("celled", "idempotent-with-key", "cell", memory=1_500_000, objective=600_000)
EVERYWHERE = Class("everywhere", "idempotent-with-key", "all", deadline=4_000_000)
ONCE = Class("once", "at-most-once", objective=400_000, deadline=4_000_000)
MIXED = [ANY, ZONED, CELLED, EVERYWHERE, ONCE]
BOUND = [
    ANY,
    Class("one-kind", kind="slow"),
    Class("two-kinds", kinds=frozenset({"fast", "standard"})),
    Class("one-zone", "idempotent-with-key", "all", zones=frozenset({"zone-1"})),
]
LIVE = Settings(
    MIXED,
    fleet=2,
    live=True,
    close_within=250_000,
    connection_price=0.01,
    crossing_price=0.005,
    zone="zone-0",
    idle_close=2_000_000,
    worst_class=0.4,
)
QUOTAS = {"dairy": 6.25, "goats": 2.5, "sheep": 1.25}

WORKLOADS = {
    "mixed": Workload(Settings(MIXED), 1, key_odds=0.3, error_odds=0.1, fault_odds=0.03),
    "live": Workload(LIVE, 2, key_odds=0.2, gap=20_000, trouble_odds=0.08, list_odds=0.3),
    "live-overload": Workload(LIVE, 3, gap=8_000, run=400_000, requests=500, list_odds=0.02),
    "once": Workload(Settings([ONCE, Class("once-more", "at-most-once")], fleet=1), 4, trouble_odds=0.15),
    "sparse": Workload(
        Settings(MIXED, fleet=40, must_ask=True, told_within=1_500_000, ask_within=3_000_000),
        5,
        first_list="remembered",
        workers=14,
        gap=25_000,
    ),
    "shares": Workload(
        Settings(MIXED, quotas=QUOTAS, beyond_quota=0.25, fleet=2),
        6,
        gap=12_000,
        requests=500,
        tenants=(None, "dairy", "goats", "sheep", "stranger"),
        patient_odds=0.1,
    ),
    "bound": Workload(
        Settings(BOUND, live=True, progress_every=0), 7, key_odds=0.3, list_odds=0.12, gap=25_000
    ),
    "unsent": Workload(
        Settings(
            MIXED,
            counts_unsent=False,
            may_cancel=False,
            tells_start=False,
            progress_every=0,
            longest_advice=0,
            fleet=1,
        ),
        8,
        patient_odds=0.2,
        trouble_odds=0.2,
        requests=250,
    ),
    "many-keys": Workload(
        Settings([ANY, ONCE], fleet=2, progress_every=0),
        9,
        key_odds=1.0,
        keys=1_000_000,
        requests=1150,
        run=60_000,
        gap=30_000,
        list_odds=0.0,
        trouble_odds=0.01,
    ),
    "reloads": Workload(
        LIVE,
        10,
        reloads=(
            Settings(MIXED, fleet=6, most_attempts=5),
            Settings([ANY, ZONED], step=8_000, fleet=1),
            Settings(MIXED, fleet=30, cold_margin=0.5, worst_class=0.0),
            LIVE,
        ),
    ),
    "sick": Workload(
        Settings([ANY, EVERYWHERE], fleet=2, most_attempts=6),
        11,
        all_sick=True,
        trouble_odds=0.3,
        list_odds=0.02,
        error_odds=0.2,
    ),
    "restarts": Workload(Settings(MIXED, fleet=8, warm_after=20_000_000), 12, list_odds=0.5, gap=20_000),
    "live-restarts": Workload(
        Settings(MIXED, fleet=12, live=True, warm_after=20_000_000),
        13,
        list_odds=0.4,
        gap=20_000,
        requests=250,
        workers=6,
    ),
}

# --- what was recorded


@dataclass(frozen=True)
class Recorded:
    """Digest of the commands without logs, digest of when and where logs came, and how many of each."""

    commands: str
    logs: str
    counts: dict[str, int]


RECORDED: dict[str, Recorded] = {
    "mixed": Recorded(
        "5c6241903d9395c2e874c40c1d651e7e4f37bcbb08487ba7a11d356945fbf2b7",
        "a277d98e3553d7216719d027abf6379990ab4c957ece790357e4eb0284e5b858",
        {
            "cancel": 11,
            "dispatch": 310,
            "fail": 20,
            "internal-error": 31,
            "log": 37,
            "reject": 125,
            "wake": 3517,
        },
    ),
    "live": Recorded(
        "4526f86ea85eb0eaf73ad26736c2349426af51f4f7501443a6d64c81e7f651d6",
        "7cca589278bfacb200dc6fc987f3c691d064a19c44bb184e1408614f80654c20",
        {
            "cancel": 10,
            "close": 25,
            "dispatch": 246,
            "fail": 16,
            "internal-error": 2,
            "log": 70,
            "reject": 146,
            "wake": 2552,
        },
    ),
    "live-overload": Recorded(
        "e104ef4ffba49f3e5a9f84a430e1a8807929314c82e21438e6c81045a69924e4",
        "655b10b57b037cf5d42b3a192d90d1e4a55e1c252bf2501cc2379632fd00ee14",
        {
            "cancel": 4,
            "close": 1,
            "dispatch": 91,
            "fail": 7,
            "internal-error": 2,
            "log": 25,
            "reject": 412,
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
        "44c6c0b36a1cca688499c08a653fc71bfd26759c4112adbce64d25cd490757a2",
        "0d062e6d34b46a72e2a8ab3c485f36e980ba7befeb9fdd72323f920a4e759fa2",
        {
            "cancel": 14,
            "dispatch": 336,
            "fail": 7,
            "internal-error": 2,
            "log": 47,
            "reject": 54,
            "wake": 3050,
            "watch": 4,
        },
    ),
    "shares": Recorded(
        "7ef15d33918a17884335c12425f5f3ba42de165b00cb7b590e5531598992ce48",
        "74cd1254ff3ae16852930f6d1c69430967121836475ad5f286a0ea0c092ce389",
        {
            "cancel": 9,
            "dispatch": 330,
            "fail": 16,
            "internal-error": 6,
            "log": 51,
            "reject": 214,
            "wake": 2537,
        },
    ),
    "bound": Recorded(
        "3de1417c9b34de3e586f2b65fd877ef822296eef8cf7309419eda0e92013791d",
        "81a804ed64551b35d1999ed4ea2dc434f1f0025bb376f421fa9f3925ab45963d",
        {"cancel": 5, "dispatch": 220, "internal-error": 1, "log": 30, "reject": 163, "wake": 3295},
    ),
    "unsent": Recorded(
        "27bc5cbb201a5eb0e8356c9cfec0b9bfc663ae1e8df723422aa77606980ff7c9",
        "f8a1d1e270ccb3333a7e5a726b02a904b9bd1141a83e487153b58aa8e8c88576",
        {"dispatch": 186, "fail": 10, "internal-error": 4, "log": 23, "reject": 92, "wake": 2266},
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
        "1e4f4a679ccd1e7d23bb445a668356166255857a046220f0d8d3f823ce3c0713",
        "a308624a37d68547740ca3fe9c5495c8cbbb28b3e9d15513b2e15b74433c298e",
        {"cancel": 8, "dispatch": 292, "internal-error": 3, "log": 35, "reject": 232, "wake": 3813},
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

played: dict[str, Run] = {}


def run_of(name: str) -> Run:
    if name not in played:
        played[name] = Run(WORKLOADS[name])
        played[name].play()
    return played[name]


@pytest.mark.parametrize("name", WORKLOADS)
def test_same_events_give_the_same_commands(name: str) -> None:
    run, recorded = run_of(name), RECORDED[name]
    assert dict(run.counts) == recorded.counts
    assert run.logs_digest.hexdigest() == recorded.logs
    assert run.commands_digest.hexdigest() == recorded.commands


def test_every_event_and_command_type_takes_part() -> None:
    runs = [run_of(name) for name in WORKLOADS]
    defined = {
        one
        for one in vars(event_module).values()
        if isinstance(one, type) and one.__module__ == event_module.__name__
    }
    given = {one for run in runs for one in run.event_types}
    assert given == {one for one in defined if one.__name__ not in EVENT_PARTS}
    ordered = {tag for run in runs for tag in run.counts}
    assert ordered == {rendering.tag for rendering in COMMANDS.values()} - NEVER_ORDERED


def test_the_table_renders_every_command_and_field() -> None:
    defined = {
        one
        for one in vars(command_module).values()
        if isinstance(one, type) and one.__module__ == command_module.__name__
    }
    assert set(COMMANDS) == defined
    left_out = {WriteLog: {"event"}, ReportInternalError: {"detail"}}
    for one, rendering in COMMANDS.items():
        names = {attribute.name for attribute in fields(one)}
        assert set(rendering.attributes) == names - left_out.get(one, set())


if __name__ == "__main__":  # what a run gives, to be compared by eye after a decision was changed on purpose
    for each in WORKLOADS:
        done = run_of(each)
        print(each, done.commands_digest.hexdigest(), done.logs_digest.hexdigest(), dict(done.counts))
