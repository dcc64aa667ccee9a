"""A scenario: the fleet, its traffic and the faults, as typed tables in which most keys have a default."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.toml_reader import Section, key, read_file, read_text, seconds
from locktide.simulation.model.tenants import ClusterSpec, TenantSpec, tenant_faults


class WorkerTypeSpec(Section):
    name: Annotated[str, key("name of this worker type in the endpoint list")] = "standard"
    share: Annotated[float, key("part of the fleet, relative to the shares of the other types", gt=0)] = 1.0
    cores: Annotated[int, key("jobs of width 1 that run at once", ge=1, le=256)] = 3
    speed: Annotated[
        float, key("work per second and core; 1 does one second of work in one second", gt=0)
    ] = 1.0


class FleetSpec(Section):
    dispatchers: Annotated[int, key("dispatcher processes", ge=1, le=200)] = 3
    workers: Annotated[int, key("workers at the start", ge=1, le=2000)] = 12
    zones: Annotated[
        int, key("data centres, to which dispatchers and workers are assigned in turn", ge=1, le=20)
    ] = 2
    pod: Annotated[
        int, key("workers of a zone that share a deduplication record of numbered requests", ge=1)
    ] = 3
    kinds: list[WorkerTypeSpec] = msgspec.field(
        default_factory=lambda: [
            WorkerTypeSpec(name="fast", share=4, speed=1.5),
            WorkerTypeSpec(name="standard", share=4),
            WorkerTypeSpec(name="slow", share=4, speed=0.6),
        ]
    )


class WorkerSpec(Section):
    queue: Annotated[int, key("jobs that may wait per core before the worker is full", ge=0)] = 7
    cold_from: Annotated[float, key("part of its full speed that a worker has at its start", gt=0, le=1)] = (
        0.35
    )
    cold_for: Annotated[float, seconds("until a worker is warm; its speed rises linearly")] = 7.0
    fall_factor: Annotated[
        float, key("load, as a multiple of its capacity, at which a cold worker crashes", gt=0)
    ] = 4.0
    fall_for: Annotated[float, seconds("window over which the load of a cold worker is counted", gt=0)] = 2.0
    spread: Annotated[
        float, key("how far the cost of one job differs between attempts (log-normal sigma)", ge=0)
    ] = 0.2
    pause_every: Annotated[float, seconds("between two pauses, on average; 0 for no pauses")] = 6.0
    pause: Annotated[float, seconds("length of a pause, on average")] = 0.08
    error_rate: Annotated[float, key("part of the jobs that end in an error", ge=0, le=1)] = 0.001
    handshake: Annotated[float, seconds("of extra delay for the first message on a new connection")] = 0.002
    connections: Annotated[int, key("that one worker accepts", ge=1)] = 2000
    idle_close: Annotated[float, seconds("after which a worker closes an idle connection", gt=0)] = 30.0
    progress: Annotated[float, seconds("between two progress callbacks of a running job; 0 for none")] = 1.0
    early: Annotated[float, key("part of the 'started' callbacks sent before the 202", ge=0, le=1)] = 0.02
    twice: Annotated[float, key("part of the callbacks sent twice", ge=0, le=1)] = 0.02
    call_tries: Annotated[
        int, key("how often a callback is sent before the worker gives up", ge=1, le=10)
    ] = 10
    call_gap: Annotated[float, seconds("before a failed callback is sent again", gt=0)] = 0.2
    cancels: Annotated[Literal["none", "queued", "running"], key("which jobs a cancellation stops")] = (
        "queued"
    )
    hands_back: Annotated[bool, key("whether a draining worker returns jobs that have not started")] = True


class SharedCapacitySpec(Section):
    capacity: Annotated[
        float, key("jobs that the resource shared by all workers serves at full speed; 0: no limit", ge=0)
    ] = 0.0


class DiscoverySpec(Section):
    notice: Annotated[float, seconds("until the discovery service notices that a process has died")] = 2.0
    add: Annotated[float, seconds("until the discovery service lists a process that has started")] = 1.0
    spread: Annotated[
        float, seconds("of difference, at most, between the times at which dispatchers are notified")
    ] = 0.1
    whole: Annotated[float, key("part of the answers that contain the complete list", ge=0, le=1)] = 0.05
    call: Annotated[
        float, seconds("of work per call at the one discovery service; 0: the list is pushed")
    ] = 0.0
    call_waits: Annotated[float, seconds("that a call waits at most before it is rejected")] = 2.0
    ask_within: Annotated[float, seconds("within which each dispatcher should poll the list", gt=0)] = 10.0


class ClientSpec(Section):
    load: Annotated[float, key("requested work, as a part of the capacity of the warm fleet", gt=0)] = 0.6
    retries: Annotated[float, key("retries of a client after its first submission, on average", ge=0)] = 1.0
    backoff: Annotated[float, seconds("before the first retry; doubled each time")] = 0.05
    honours: Annotated[float, key("part of the clients that honour Retry-After", ge=0, le=1)] = 0.3
    impatient: Annotated[
        float, key("part of the clients that disconnect before their time limit", ge=0, le=1)
    ] = 0.01
    bodies: Annotated[int, key("bytes of a request body", ge=0, le=65536)] = 200


class ServiceClassSpec(Section):
    name: Annotated[str, key("name of the service class, as in the path", pattern="^[a-z][a-z0-9-]{0,40}$")]
    share: Annotated[
        float, key("part of the requests, relative to the shares of the other classes", gt=0)
    ] = 1.0
    work: Annotated[float, seconds("of run time at speed 1, on average", gt=0)] = 0.5
    sigma: Annotated[float, key("log-normal spread of the work", ge=0)] = 0.5
    width: Annotated[int, key("largest width in cores; widths are drawn uniformly from 1", ge=1, le=64)] = 1
    soft: Annotated[float, seconds("latency objective before the stretch", gt=0)] = 0.5
    stretch: Annotated[
        float, key("multiple of a job's own work that is added to its latency objective", ge=0)
    ] = 2.0
    limit: Annotated[float, seconds("time limit", gt=0)] = 6.0
    revenue: Annotated[
        float, key("revenue per second of work whose response meets the latency objective", ge=0)
    ] = 5.0
    late: Annotated[
        float, key("part of the revenue for a response past the latency objective", ge=0, le=1)
    ] = 0.5
    effect: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], key("whether a request may be executed again")
    ] = "reissuable"
    memory: Annotated[float, seconds("of the deduplication window of numbered requests")] = 40.0
    holds: Annotated[
        dict[str, float], key("amount of each accord.resource that a request needs per unit of width")
    ] = {}


class NetworkSpec(Section):
    same: Annotated[float, seconds("one way within a zone")] = 0.0003
    cross: Annotated[float, seconds("one way between zones")] = 0.007
    client: Annotated[float, seconds("one way between a client and a dispatcher")] = 0.0007
    jitter: Annotated[float, key("largest random extra delay, as a part of the delay", ge=0, le=5)] = 0.2
    shred: Annotated[
        float, key("part of the writes that arrive in two pieces, split at any byte", ge=0, le=1)
    ] = 0.02


class LoadBalancerSpec(Section):
    notice: Annotated[float, seconds("until the load balancer notices that a dispatcher is dead")] = 2.0
    check: Annotated[float, seconds("between two readiness checks of a dispatcher", gt=0)] = 0.2


class DurableSpec(Section):
    on: Annotated[
        bool, key("whether jobs of the grades below are durable (on an emulated disk in virtual time)")
    ] = False
    grades: Annotated[list[str], key("names of the durable service classes; empty: all of them")] = []
    asks: Annotated[bool, key("whether clients poll for the outcome of their jobs instead of waiting")] = True
    limit: Annotated[float, seconds("until a job for which no client waits fails", gt=0)] = 60.0
    start_within: Annotated[
        float, seconds("that a lease lasts until the start of the job is reported", gt=0)
    ] = 20.0
    beat_within: Annotated[float, seconds("that a lease lasts from one callback to the next", gt=0)] = 5.0
    sync: Annotated[float, seconds("that a sync of the disk takes")] = 0.004
    segment_kb: Annotated[float, key("size of the write-ahead log after which it is compacted", gt=0)] = 256.0
    zeros: Annotated[float, key("part of the crashes that leave sectors of zeros", ge=0, le=1)] = 0.3


class DispatcherSpec(Section):
    dispatches: Annotated[int, key("attempts of one request at most", ge=1, le=20)] = 4
    drain_grace: Annotated[
        float, seconds("after which no new attempt may be sent to a draining worker", gt=0)
    ] = 0.25
    longest_advice: Annotated[float, seconds("of the longest Retry-After; 0 for no Retry-After")] = 2.0
    connect: Annotated[float, seconds("until connecting to a worker fails", gt=0)] = 0.25
    sockets: Annotated[int, key("file descriptors of each dispatcher", ge=64)] = 1024
    memory_mb: Annotated[int, key("memory of each dispatcher", ge=24)] = 192
    settings: Annotated[dict[str, Any], key("overrides of the start settings, for experiments")] = {}


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
# Points at which a trap kills a process: the first four are points of a worker, the others of a dispatcher.
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
    at: Annotated[float, seconds("from the start of the traffic")]
    length: Annotated[float, seconds("that the fault lasts")] = msgspec.field(name="for", default=0.0)
    what: Annotated[FaultKind, key("kind of the fault")] = "kill"
    whom: Annotated[
        str, key("targets: w3, d1, zone0, a worker type, 25% or all; several separated by commas")
    ] = "25%"
    factor: Annotated[
        float, key("factor by which workers are slower, requests more frequent or jobs heavier", gt=0)
    ] = 3.0
    share: Annotated[
        float, key("part of the requests ('heavy') or datagrams ('talk-...') concerned", ge=0, le=1)
    ] = 0.02
    gap: Annotated[float, seconds("between the fault at one target and at the next, for a rolling fault")] = (
        0.0
    )
    point: Annotated[CrashPoint, key("point at which a trap kills the process")] = "before-202"
    spread: Annotated[float, seconds("over which the returns of several targets are spread uniformly")] = 0.5


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
    name: Annotated[str, key("name of the scenario, for the report", pattern="^[A-Za-z0-9_.-]{1,60}$")] = (
        "unnamed"
    )
    says: Annotated[str, key("description of the scenario in one line")] = ""
    seed: Annotated[int, key("seed of all random numbers of the run", ge=0, lt=2**62)] = 1
    length: Annotated[float, seconds("of traffic; the run then waits for open requests", gt=0, le=86400)] = (
        40.0
    )
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


def default_scenario() -> Scenario:
    """Return the scenario that is run if no file is named.

    A quarter of the workers crash together and come back cold; an overlapping fault slows down all workers.
    Jobs are many and short, so that the results of runs with different seeds are similar.
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


WORKER_FAULTS = frozenset(("kill", "vanish", "hang", "pause", "slow", "drain", "reset", "trap"))
DISPATCHER_FAULTS = frozenset(
    ("kill-dispatcher", "restart-dispatcher", "trap-dispatcher", "talk-cut", "talk-cut-one-way")
)
PERCENTAGE = re.compile(r"(\d{1,3})%")


def resolve_targets(scenario: Scenario, fault: FaultSpec) -> tuple[list[int], float]:
    """Return the numbers of the named targets, and the fraction of all to draw if a percentage is given.

    Raises ValueError with the part of `whom` that matches no target.
    """
    count = scenario.fleet.dispatchers if fault.what in DISPATCHER_FAULTS else scenario.fleet.workers
    prefix = "d" if fault.what in DISPATCHER_FAULTS else "w"
    numbers: list[int] = []
    for name in (name.strip() for name in fault.whom.split(",")):
        if name == "all":
            numbers += range(count)
        elif percentage := PERCENTAGE.fullmatch(name):
            if not 0 < int(percentage[1]) <= 100 or "," in fault.whom:
                raise ValueError(name)
            return [], int(percentage[1]) / 100
        elif re.fullmatch(prefix + r"\d{1,4}", name) and int(name[1:]) < count:
            numbers.append(int(name[1:]))
        elif re.fullmatch(r"zone\d{1,2}", name) and int(name[4:]) < scenario.fleet.zones:
            numbers += [index for index in range(count) if index % scenario.fleet.zones == int(name[4:])]
        elif prefix == "w" and name in (kind.name for kind in scenario.fleet.kinds):
            kinds = assign_worker_types(scenario)
            numbers += [index for index in range(count) if kinds[index].name == name]
        else:
            raise ValueError(name)
    return sorted(set(numbers)), 0.0


def assign_worker_types(scenario: Scenario) -> list[WorkerTypeSpec]:
    """Return each worker's type, interleaved so that any consecutive workers have about the types' shares."""
    kinds, total = scenario.fleet.kinds, sum(kind.share for kind in scenario.fleet.kinds)
    credits, assigned = [0.0] * len(kinds), []
    for _ in range(scenario.fleet.workers):
        credits = [credit + kind.share / total for credit, kind in zip(credits, kinds, strict=True)]
        largest = max(range(len(kinds)), key=lambda index: credits[index])
        credits[largest] -= 1.0
        assigned.append(kinds[largest])
    return assigned


def check(scenario: Scenario) -> Scenario:
    """Check what the types cannot express; raise ConfigFileError with all errors found."""
    faults: list[ConfigError] = []
    names = [service_class.name for service_class in scenario.grade]
    if not names:
        faults.append(ConfigError.mismatch("grade", expected="at least one service grade", found="none"))
    if not scenario.fleet.kinds:
        faults.append(ConfigError.mismatch("fleet.kinds", expected="at least one kind", found="none"))
    for index, service_class in enumerate(scenario.grade):
        if service_class.name in names[:index]:
            faults.append(
                ConfigError.mismatch(
                    f"grade[{index}].name",
                    expected="a name of its own",
                    found=f"{service_class.name!r} again",
                )
            )
        if service_class.soft >= service_class.limit:
            faults.append(
                ConfigError.mismatch(
                    f"grade[{index}].soft",
                    expected=f"less than limit ({service_class.limit:g})",
                    found=f"{service_class.soft:g}",
                )
            )
        if scenario.fleet.kinds and service_class.width > min(kind.cores for kind in scenario.fleet.kinds):
            faults.append(
                ConfigError.mismatch(
                    f"grade[{index}].width",
                    expected="no more than the cores of each kind",
                    found=f"{service_class.width}",
                )
            )
    for index, name in enumerate(scenario.durable.grades):
        if name not in names:
            faults.append(
                ConfigError.mismatch(
                    f"durable.grades[{index}]", expected=f"one of {', '.join(names)}", found=f"{name!r}"
                )
            )
    for index, fault in enumerate(scenario.incident):
        where = f"incident[{index}]"
        at_worker = fault.point in WORKER_CRASH_POINTS
        if fault.what == "trap" and not at_worker or fault.what == "trap-dispatcher" and at_worker:
            faults.append(
                ConfigError.mismatch(
                    f"{where}.point", expected="a point of the trapped process", found=f"{fault.point!r}"
                )
            )
        if fault.at >= scenario.length:
            faults.append(
                ConfigError.mismatch(
                    f"{where}.at", expected=f"less than length ({scenario.length:g})", found=f"{fault.at:g}"
                )
            )
        if fault.what in WORKER_FAULTS | DISPATCHER_FAULTS or fault.what == "partition":
            try:
                numbers, percentage = resolve_targets(scenario, fault) if scenario.fleet.kinds else ([0], 0.0)
                if fault.what == "partition" and (percentage or not fault.whom.startswith("zone")):
                    raise ValueError(fault.whom)
            except ValueError as found:
                prefix = "d" if fault.what in DISPATCHER_FAULTS else "w"
                count = scenario.fleet.dispatchers if prefix == "d" else scenario.fleet.workers
                zones = f"zone0 to zone{scenario.fleet.zones - 1}"
                wanted = f"{prefix}0 to {prefix}{count - 1}, {zones}, a kind, N% or all"
                if fault.what == "partition":
                    wanted = zones
                faults.append(
                    ConfigError.mismatch(f"{where}.whom", expected=f"{wanted}", found=f"{str(found)!r}")
                )
    faults += tenant_faults(scenario)
    if faults:
        raise ConfigFileError(faults)
    return scenario


def load(path: Path) -> Scenario:
    """Read a scenario file; raise ConfigFileError for a faulty one."""
    return check(read_file(Scenario, path))


def parse(text: str, name: str = "script") -> Scenario:
    return check(read_text(Scenario, text, name))
