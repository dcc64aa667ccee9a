"""A rehearsal's script: the fleet, its traffic and the incidents, as typed tables in which every key has a
default.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.toml_reader import Section, key, read_file, read_text, seconds
from locktide.simulation.model.tenants import ClusterSpec, TenantSpec, tenant_faults


class WorkerTypeSpec(Section):
    name: Annotated[str, key("what the roster calls this kind of machine")] = "standard"
    share: Annotated[float, key("part of the fleet, against the other kinds' parts", gt=0)] = 1.0
    cores: Annotated[int, key("jobs of width 1 that run at once", ge=1, le=256)] = 3
    speed: Annotated[float, key("work a second and core; 1 does a second's work in a second", gt=0)] = 1.0


class FleetSpec(Section):
    dispatchers: Annotated[int, key("processes of locktide", ge=1, le=200)] = 3
    workers: Annotated[int, key("workers at the start", ge=1, le=2000)] = 12
    zones: Annotated[int, key("data centres, over which both are dealt out in turn", ge=1, le=20)] = 2
    pod: Annotated[int, key("workers of one zone that share a memory of numbered repeats", ge=1)] = 3
    kinds: list[WorkerTypeSpec] = msgspec.field(
        default_factory=lambda: [
            WorkerTypeSpec(name="fast", share=4, speed=1.5),
            WorkerTypeSpec(name="standard", share=4),
            WorkerTypeSpec(name="slow", share=4, speed=0.6),
        ]
    )


class WorkerSpec(Section):
    queue: Annotated[int, key("jobs that wait for each core before 'full'", ge=0)] = 7
    cold_from: Annotated[float, key("part of its speed that a worker has at its start", gt=0, le=1)] = 0.35
    cold_for: Annotated[float, seconds("until it is warm; the speed rises evenly")] = 7.0
    fall_factor: Annotated[float, key("so many times what it can do knocks a cold worker over", gt=0)] = 4.0
    fall_for: Annotated[float, seconds("the window over which that is counted", gt=0)] = 2.0
    spread: Annotated[
        float, key("how far the cost of one job differs between dispatches (log-normal sigma)", ge=0)
    ] = 0.2
    pause_every: Annotated[float, seconds("on average between two pauses; 0 for none")] = 6.0
    pause: Annotated[float, seconds("how long a pause lasts, on average")] = 0.08
    error_rate: Annotated[float, key("part of the jobs that end in an error", ge=0, le=1)] = 0.001
    handshake: Annotated[float, seconds("that the first message on a new connection takes on top")] = 0.002
    connections: Annotated[int, key("that one worker accepts", ge=1)] = 2000
    idle_close: Annotated[float, seconds("after which it closes an idle connection", gt=0)] = 30.0
    progress: Annotated[float, seconds("between two words on a running job; 0 for none")] = 1.0
    early: Annotated[float, key("part of the 'started' callbacks sent before the 202", ge=0, le=1)] = 0.02
    twice: Annotated[float, key("part of the callbacks sent twice", ge=0, le=1)] = 0.02
    call_tries: Annotated[int, key("how often a callback is tried", ge=1, le=10)] = 10
    call_gap: Annotated[float, seconds("between two tries of a callback", gt=0)] = 0.2
    cancels: Annotated[Literal["none", "queued", "running"], key("what a withdrawal stops")] = "queued"
    hands_back: Annotated[bool, key("a worker that drains hands back what has not started")] = True


class SharedCapacitySpec(Section):
    capacity: Annotated[
        float, key("jobs that the thing all depend on bears at full speed; 0 for no bound", ge=0)
    ] = 0.0


class DiscoverySpec(Section):
    notice: Annotated[float, seconds("until the roster sees that a process has died")] = 2.0
    add: Annotated[float, seconds("until it lists one that has started")] = 1.0
    spread: Annotated[float, seconds("by which dispatchers hear at different times, at most")] = 0.1
    whole: Annotated[float, key("part of the answers that give the whole list", ge=0, le=1)] = 0.05
    call: Annotated[float, seconds("of work that a call is for the one roster; 0: the list is pushed")] = 0.0
    call_waits: Annotated[float, seconds("a call waits its turn, at most; then it is turned away")] = 2.0
    ask_within: Annotated[float, seconds("within which each dispatcher should ask", gt=0)] = 10.0


class ClientSpec(Section):
    load: Annotated[float, key("work asked for, as a part of what the warm fleet can do", gt=0)] = 0.6
    retries: Annotated[float, key("tries after the first, on average", ge=0)] = 1.0
    backoff: Annotated[float, seconds("before the first retry; doubled each time")] = 0.05
    honours: Annotated[float, key("part of the clients that heed Retry-After", ge=0, le=1)] = 0.3
    impatient: Annotated[float, key("part of the clients that close before their time limit", ge=0, le=1)] = (
        0.01
    )
    bodies: Annotated[int, key("bytes of a submission's body", ge=0, le=65536)] = 200


class ServiceClassSpec(Section):
    name: Annotated[str, key("as in the path", pattern="^[a-z][a-z0-9-]{0,40}$")]
    share: Annotated[float, key("part of the submissions", gt=0)] = 1.0
    work: Annotated[float, seconds("of running at speed 1, on average", gt=0)] = 0.5
    sigma: Annotated[float, key("log-normal spread of the work", ge=0)] = 0.5
    width: Annotated[int, key("cores at once, 1 up to this, evenly drawn", ge=1, le=64)] = 1
    soft: Annotated[float, seconds("soft limit before the stretch", gt=0)] = 0.5
    stretch: Annotated[float, key("the soft limit grows by this multiple of the job's own work", ge=0)] = 2.0
    limit: Annotated[float, seconds("time limit", gt=0)] = 6.0
    revenue: Annotated[float, key("for each second of work, answered within the soft limit", ge=0)] = 5.0
    late: Annotated[float, key("part of the revenue after the soft limit", ge=0, le=1)] = 0.5
    effect: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], key("how far it may be repeated")
    ] = "reissuable"
    memory: Annotated[float, seconds("for which a pod drops a numbered repeat")] = 40.0
    holds: Annotated[dict[str, float], key("of each accord.resource, for each of its width")] = {}


class NetworkSpec(Section):
    same: Annotated[float, seconds("one way within a zone")] = 0.0003
    cross: Annotated[float, seconds("one way between zones")] = 0.007
    client: Annotated[float, seconds("one way between clients and dispatchers")] = 0.0007
    jitter: Annotated[float, key("part of a delay that varies", ge=0, le=5)] = 0.2
    shred: Annotated[
        float, key("part of the writes that arrive in two pieces, cut at any byte", ge=0, le=1)
    ] = 0.02


class LoadBalancerSpec(Section):
    notice: Annotated[float, seconds("until the front sees that a dispatcher is dead")] = 2.0
    check: Annotated[float, seconds("between two questions whether one is ready", gt=0)] = 0.2


class DurableSpec(Section):
    on: Annotated[bool, key("jobs of these grades are kept on a disk (in virtual time)")] = False
    grades: Annotated[list[str], key("names of grades; none: all of them")] = []
    asks: Annotated[bool, key("clients ask for what came of their jobs; if not, they wait")] = True
    limit: Annotated[float, seconds("until a job for which nobody waits is given up", gt=0)] = 60.0
    start_within: Annotated[float, seconds("a lease lasts until a start is told", gt=0)] = 20.0
    beat_within: Annotated[float, seconds("a lease lasts from one word to the next", gt=0)] = 5.0
    sync: Annotated[float, seconds("that a sync takes")] = 0.004
    segment_kb: Annotated[float, key("after which the journal is compacted", gt=0)] = 256.0
    zeros: Annotated[float, key("part of the crashes that leave sectors of zeros", ge=0, le=1)] = 0.3


class DispatcherSpec(Section):
    dispatches: Annotated[int, key("of one submission at most", ge=1, le=20)] = 4
    drain_grace: Annotated[float, seconds("after which nothing new may go to a draining worker", gt=0)] = 0.25
    longest_advice: Annotated[float, seconds("the longest Retry-After; 0 for none")] = 2.0
    connect: Annotated[float, seconds("until a connection has failed", gt=0)] = 0.25
    sockets: Annotated[int, key("file descriptors of each", ge=64)] = 1024
    memory_mb: Annotated[int, key("memory of each", ge=24)] = 192
    settings: Annotated[dict[str, Any], key("laid over the start settings, for experiments")] = {}


FaultKind = Literal[
    "kill",
    "vanish",
    "hang",
    "pause",
    "slow",
    "shared-slow",
    "drain",
    "reset",
    "trap",
    "kill-dispatcher",
    "restart-dispatcher",
    "trap-dispatcher",
    "surge",
    "heavy",
    "retry-storm",
    "partition",
    "roster-stale",
    "roster-silent",
    "talk-cut",
    "talk-cut-one-way",
    "talk-lossy",
    "talk-late",
    "talk-doubled",
    "talk-garbled",
]
# Where a trap kills: a worker at the first four, a dispatcher at the others.
CrashPoint = Literal[
    "before-202",
    "after-202",
    "before-started",
    "before-done",
    "before write",
    "between write and sync",
    "after sync",
    "lease written",
    "dispatch reached",
    "done told",
    "before final",
    "after final",
    "before old segments go",
    "after old segments went",
]
WORKER_CRASH_POINTS = ("before-202", "after-202", "before-started", "before-done")


class FaultSpec(Section):
    at: Annotated[float, seconds("from the start of the rehearsal")]
    length: Annotated[float, seconds("how long it lasts")] = msgspec.field(name="for", default=0.0)
    what: Annotated[FaultKind, key("what happens")] = "kill"
    whom: Annotated[str, key("w3, d1, zone0, a kind, 25%, or all; several by comma")] = "25%"
    factor: Annotated[float, key("how much slower, more or heavier", gt=0)] = 3.0
    share: Annotated[float, key("part of the submissions concerned ('heavy')", ge=0, le=1)] = 0.02
    gap: Annotated[float, seconds("between one of whom and the next (rolling)")] = 0.0
    point: Annotated[CrashPoint, key("where a trap kills")] = "before-202"
    spread: Annotated[float, seconds("within which several come back, evenly drawn")] = 0.5


def default_service_classes() -> list[ServiceClassSpec]:
    return [
        ServiceClassSpec(
            name="round-view", share=0.36, work=0.5, soft=0.25, stretch=2.0, limit=6.0, revenue=5
        ),
        ServiceClassSpec(
            name="pickup-record",
            share=0.34,
            work=3.0,
            soft=1.5,
            stretch=2.5,
            limit=25.0,
            revenue=10,
            effect="numbered",
        ),
        ServiceClassSpec(
            name="round-replan",
            share=0.3,
            work=3.0,
            soft=2.5,
            stretch=2.5,
            limit=25.0,
            revenue=5,
            effect="numbered",
        ),
    ]


class Scenario(Section):
    name: Annotated[str, key("stands in the report", pattern="^[A-Za-z0-9_.-]{1,60}$")] = "unnamed"
    says: Annotated[str, key("one line on what is rehearsed")] = ""
    seed: Annotated[int, key("of all chance in the rehearsal", ge=0, lt=2**62)] = 1
    length: Annotated[float, seconds("of traffic; what is open then is waited for", gt=0, le=86400)] = 40.0
    fleet: FleetSpec = msgspec.field(default_factory=FleetSpec)
    worker: WorkerSpec = msgspec.field(default_factory=WorkerSpec)
    shared: SharedCapacitySpec = msgspec.field(default_factory=SharedCapacitySpec)
    roster: DiscoverySpec = msgspec.field(default_factory=DiscoverySpec)
    clients: ClientSpec = msgspec.field(default_factory=ClientSpec)
    network: NetworkSpec = msgspec.field(default_factory=NetworkSpec)
    front: LoadBalancerSpec = msgspec.field(default_factory=LoadBalancerSpec)
    dispatcher: DispatcherSpec = msgspec.field(default_factory=DispatcherSpec)
    durable: DurableSpec = msgspec.field(default_factory=DurableSpec)
    grade: list[ServiceClassSpec] = msgspec.field(default_factory=default_service_classes)
    tenant: list[TenantSpec] = []
    accord: ClusterSpec = msgspec.field(default_factory=ClusterSpec)
    incident: list[FaultSpec] = []


def embedded() -> Scenario:
    """What is played where no file is named: a quarter of the workers dead together and back cold, while all
    that is left slows down; the two overlap. Many short jobs, so that one run is much like another.
    """
    return check(
        Scenario(
            name="overlap",
            says="a quarter dead and back cold, while everything slows",
            length=60.0,
            grade=[
                ServiceClassSpec(name="round-view", share=0.36, work=0.2, soft=0.25, revenue=5.0),
                ServiceClassSpec(
                    name="pickup-record",
                    share=0.34,
                    work=0.6,
                    soft=0.8,
                    stretch=2.5,
                    limit=25.0,
                    revenue=10.0,
                    effect="numbered",
                ),
                ServiceClassSpec(
                    name="round-replan",
                    share=0.3,
                    work=0.6,
                    soft=0.8,
                    stretch=2.5,
                    limit=25.0,
                    revenue=5.0,
                    effect="numbered",
                ),
            ],
            incident=[
                FaultSpec(at=14.0, length=10.0, what="kill", whom="25%"),
                FaultSpec(at=19.0, length=14.0, what="shared-slow", factor=1.8),
            ],
        )
    )


WORKERS = frozenset(("kill", "vanish", "hang", "pause", "slow", "drain", "reset", "trap"))
DISPATCHERS = frozenset(
    ("kill-dispatcher", "restart-dispatcher", "trap-dispatcher", "talk-cut", "talk-cut-one-way")
)
PART = re.compile(r"(\d{1,3})%")


def whom(script: Scenario, incident: FaultSpec) -> tuple[list[int], float]:
    """The numbers named, and the part of the rest to draw; raises ValueError with what was found."""
    count = script.fleet.dispatchers if incident.what in DISPATCHERS else script.fleet.workers
    letter = "d" if incident.what in DISPATCHERS else "w"
    named: list[int] = []
    for word in (word.strip() for word in incident.whom.split(",")):
        if word == "all":
            named += range(count)
        elif part := PART.fullmatch(word):
            if not 0 < int(part[1]) <= 100 or "," in incident.whom:
                raise ValueError(word)
            return [], int(part[1]) / 100
        elif re.fullmatch(letter + r"\d{1,4}", word) and int(word[1:]) < count:
            named.append(int(word[1:]))
        elif re.fullmatch(r"zone\d{1,2}", word) and int(word[4:]) < script.fleet.zones:
            named += [place for place in range(count) if place % script.fleet.zones == int(word[4:])]
        elif letter == "w" and word in (kind.name for kind in script.fleet.kinds):
            kinds = assign_worker_types(script)
            named += [place for place in range(count) if kinds[place].name == word]
        else:
            raise ValueError(word)
    return sorted(set(named)), 0.0


def assign_worker_types(script: Scenario) -> list[WorkerTypeSpec]:
    """Each worker's kind: dealt out so that any run of workers has about each kind's share."""
    kinds, total = script.fleet.kinds, sum(kind.share for kind in script.fleet.kinds)
    due, dealt = [0.0] * len(kinds), []
    for _ in range(script.fleet.workers):
        due = [level + kind.share / total for level, kind in zip(due, kinds, strict=True)]
        most = max(range(len(kinds)), key=lambda place: due[place])
        due[most] -= 1.0
        dealt.append(kinds[most])
    return dealt


def check(script: Scenario) -> Scenario:
    """What the types cannot say: raises Faults with all of it."""
    faults: list[ConfigError] = []
    names = [grade.name for grade in script.grade]
    if not names:
        faults.append(ConfigError.mismatch("grade", expected="at least one service grade", found="none"))
    if not script.fleet.kinds:
        faults.append(ConfigError.mismatch("fleet.kinds", expected="at least one kind", found="none"))
    for place, grade in enumerate(script.grade):
        if grade.name in names[:place]:
            faults.append(
                ConfigError.mismatch(
                    f"grade[{place}].name", expected="a name of its own", found=f"{grade.name!r} again"
                )
            )
        if grade.soft >= grade.limit:
            faults.append(
                ConfigError.mismatch(
                    f"grade[{place}].soft",
                    expected=f"less than limit ({grade.limit:g})",
                    found=f"{grade.soft:g}",
                )
            )
        if script.fleet.kinds and grade.width > min(kind.cores for kind in script.fleet.kinds):
            faults.append(
                ConfigError.mismatch(
                    f"grade[{place}].width", expected="no more than the fewest cores", found=f"{grade.width}"
                )
            )
    for place, name in enumerate(script.durable.grades):
        if name not in names:
            faults.append(
                ConfigError.mismatch(
                    f"durable.grades[{place}]", expected=f"one of {', '.join(names)}", found=f"{name!r}"
                )
            )
    for place, incident in enumerate(script.incident):
        where = f"incident[{place}]"
        at_worker = incident.point in WORKER_CRASH_POINTS
        if incident.what == "trap" and not at_worker or incident.what == "trap-dispatcher" and at_worker:
            faults.append(
                ConfigError.mismatch(
                    f"{where}.point", expected="a point of who is trapped", found=f"{incident.point!r}"
                )
            )
        if incident.at >= script.length:
            faults.append(
                ConfigError.mismatch(
                    f"{where}.at", expected=f"less than length ({script.length:g})", found=f"{incident.at:g}"
                )
            )
        if incident.what in WORKERS | DISPATCHERS or incident.what == "partition":
            try:
                named, part = whom(script, incident) if script.fleet.kinds else ([0], 0.0)
                if incident.what == "partition" and (part or not incident.whom.startswith("zone")):
                    raise ValueError(incident.whom)
            except ValueError as found:
                letter = "d" if incident.what in DISPATCHERS else "w"
                count = script.fleet.dispatchers if letter == "d" else script.fleet.workers
                zones = f"zone0 to zone{script.fleet.zones - 1}"
                wanted = f"{letter}0 to {letter}{count - 1}, {zones}, a kind, N% or all"
                if incident.what == "partition":
                    wanted = zones
                faults.append(
                    ConfigError.mismatch(f"{where}.whom", expected=f"{wanted}", found=f"{str(found)!r}")
                )
    faults += tenant_faults(script)
    if faults:
        raise ConfigFileError(faults)
    return script


def load(path: Path) -> Scenario:
    """Raises Faults."""
    return check(read_file(Scenario, path))


def parse(text: str, name: str = "script") -> Scenario:
    return check(read_text(Scenario, text, name))
