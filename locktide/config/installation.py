"""An installation's file, deploy/locktide.toml, as typed tables; and what a dispatcher is told by it.

Every key has a default but the addresses and the grades. Spans are told in seconds; inside they are whole
microseconds.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from locktide.config import typed
from locktide.config.accord import Accord, accord_faults
from locktide.config.checks import ConfigError, Table
from locktide.config.start import Start, from_table
from locktide.config.typed import ConfigErrors, Section, key, seconds

# Spelling of an effect in a TOML file, and in the platform's JSON.
EFFECTS = {"reissuable": "free", "numbered": "guarded", "at-most-once": "single_shot"}
GROUPS = {"everyone": "all", "zone": "zone", "cell": "cell"}

PLACE = r"^[^\s]+:[0-9]{1,5}$"


class Serve(Section):
    name: Annotated[str, key("of this dispatcher, the same after a restart", pattern=".")] = "locktide"
    listen: Annotated[str, key("HOST:PORT where clients hand in and workers call back", pattern=PLACE)] = (
        "127.0.0.1:7070"
    )
    roster: Annotated[str, key("HOST:PORT of the worker list", pattern=PLACE)] = "127.0.0.1:8500"
    seed: Annotated[int, key("of chance; 0 for a new one at each start", ge=0, lt=2**62)] = 0
    zone: Annotated[str, key("data centre of this dispatcher", pattern="")] = ""
    ask: Annotated[bool, key("whether calls to the roster are work for others, and made sparingly")] = False
    ask_within: Annotated[float, seconds("within which each dispatcher should then ask", gt=0)] = 10.0


class Limits(Section):
    descriptors: Annotated[int, key("file descriptors that it may hold", ge=32)] = 1024
    memory_mb: Annotated[int, key("megabytes it may take", ge=24)] = 192


class Logging(Section):
    format: Annotated[Literal["text", "json"], key("how lines are written to standard error")] = "text"


class Dispatches(Section):
    most: Annotated[int, key("of one submission", ge=1, le=100)] = 4
    may_withdraw: Annotated[bool, key("whether workers take withdrawals")] = True
    connect: Annotated[float, seconds("until a connection to a worker has failed", gt=0)] = 0.25
    idle: Annotated[float, seconds("after which workers close idle connections", gt=0)] = 15.0
    longest_advice: Annotated[float, seconds("the longest Retry-After; 0 for none")] = 2.0
    round: Annotated[float, seconds("between two rounds of the pool", gt=0)] = 0.004


class Workers(Section):
    dispatchers: Annotated[int, key("how many dispatchers share the fleet", ge=1)] = 1
    hang_up: Annotated[float, seconds("within which idle connections to one that drains close; 0: any")] = 0.0
    tells_start: Annotated[bool, key("workers tell when a job starts")] = True
    progress: Annotated[float, seconds("between two words on a job's progress; 0 for none")] = 1.0
    cold_from: Annotated[float, key("part of its speed that a worker has at its start", gt=0, le=1)] = 0.3
    cold_for: Annotated[float, seconds("until it is warm")] = 9.0
    fall_factor: Annotated[float, key("so many times what it can do knocks a cold one over", gt=0)] = 4.0
    fall_for: Annotated[float, seconds("the window over which that is counted")] = 2.0
    ratings: Annotated[
        Literal["silent", "nominal", "rough", "live"],
        key("what the roster's capacity_hint is: nothing, a size, or, live, one that falls with load"),
    ] = "silent"


class Worth(Section):
    worst_grade: Annotated[float, key("part of the goal that the worst grade decides", ge=0, le=1)] = 0.0
    beyond_share: Annotated[float, key("worth of what is beyond its tenant's rate", ge=0, le=1)] = 1.0
    connection: Annotated[float, key("price of a new connection, in usual submissions", ge=0, le=1)] = 0.0
    crossing: Annotated[float, key("price of a dispatch to another zone, the same", ge=0, le=1)] = 0.0


class Tenant(Section):
    name: Annotated[str, key("as in the extras of a submission", pattern="^[!-+.-<>-~]{1,64}$")]
    rate: Annotated[float, key("submissions a second that it may ask of all dispatchers", ge=0)]
    weight: Annotated[float, key("its share of a contended fleet, beside others'", gt=0, le=1000)] = 1.0


class Known(Section):
    """A worker known at the start, until the roster answers."""

    uid: Annotated[str, key("as in the roster", pattern=".")]
    endpoint: Annotated[str, key("HOST:PORT", pattern=PLACE)]
    zone: Annotated[str, key("data centre", pattern="")] = ""
    model: Annotated[str, key("kind of machine", pattern="")] = ""
    cell: Annotated[int, key("the pod that shares a memory of repeats", ge=0)] = 0


class Grade(Section):
    name: Annotated[str, key("as in the path", pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,60}$")]
    effect: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], key("how far it may be repeated")
    ] = "reissuable"
    group: Annotated[Literal["everyone", "zone", "cell"], key("who drops a repeat of a numbered one")] = (
        "cell"
    )
    memory: Annotated[float, seconds("for which repeats are dropped")] = 40.0
    soft: Annotated[float, seconds("soft limit", gt=0)] = 1.0
    stretch: Annotated[float, key("the soft limit grows by this multiple of the work", ge=0)] = 0.0
    limit: Annotated[float, seconds("time limit", gt=0)] = 10.0
    revenue: Annotated[float, key("of one answered within the soft limit", ge=0)] = 1.0
    late: Annotated[float, key("part of the revenue after the soft limit", ge=0, le=1)] = 0.5
    model: Annotated[str, key("the one kind of worker that runs it; empty for any", pattern="")] = ""
    models: Annotated[list[str], key("kinds of worker to which it may be sent at all; empty for any")] = []
    zones: Annotated[list[str], key("zones to which it may be sent at all; empty for any")] = []
    holds: Annotated[
        dict[str, float], key("what one holds of each accord.resource, for each slot of its width")
    ] = {}


class Durable(Section):
    on: Annotated[bool, key("whether jobs are kept on disk")] = False
    directory: Annotated[str, key("where; one for each dispatcher, on a disk that lasts", pattern=".")] = (
        "/var/lib/locktide/jobs"
    )
    grades: Annotated[list[str], key("the service grades that are kept")] = []
    limit: Annotated[float, seconds("for a job for which nobody waits, until it is given up", gt=0)] = 300.0
    keep: Annotated[float, seconds("for which a final answer can be asked for", gt=0)] = 600.0
    most_open: Annotated[int, key("jobs at once; more are denied", ge=1)] = 100_000
    start_within: Annotated[float, seconds("a lease lasts until a start is told", gt=0)] = 60.0
    beat_within: Annotated[float, seconds("a lease lasts from one word to the next", gt=0)] = 15.0
    pace: Annotated[float, key("jobs taken up a second after a crash", gt=0)] = 200.0
    segment_mb: Annotated[float, key("megabytes after which the journal is compacted", gt=0)] = 16.0
    damaged: Annotated[Literal["refuse", "skip"], key("at a start with a damaged journal")] = "refuse"


class Installation(Section):
    serve: Serve = msgspec.field(default_factory=Serve)
    limits: Limits = msgspec.field(default_factory=Limits)
    log: Logging = msgspec.field(default_factory=Logging)
    dispatches: Dispatches = msgspec.field(default_factory=Dispatches)
    workers: Workers = msgspec.field(default_factory=Workers)
    durable: Durable = msgspec.field(default_factory=Durable)
    accord: Accord = msgspec.field(default_factory=Accord)
    worth: Worth = msgspec.field(default_factory=Worth)
    known: list[Known] = msgspec.field(default_factory=list)
    tenant: list[Tenant] = msgspec.field(default_factory=list)
    grade: list[Grade] = msgspec.field(default_factory=list)


def load(path: Path) -> Installation:
    """Raises Faults with everything that is wrong with the file."""
    return checked(typed.read_file(Installation, path))


def parse(text: str) -> Installation:
    return checked(typed.read_text(Installation, text, "installation"))


def checked(told: Installation) -> Installation:
    faults = []
    if not told.grade:
        faults.append("grade: expected at least one service grade, found none")
    for place, grade in enumerate(told.grade):
        if grade.name in [other.name for other in told.grade[:place]]:
            faults.append(f"grade[{place}].name: expected a name of its own, found {grade.name!r} again")
        if grade.soft > grade.limit:
            wanted = f"expected no more than limit ({grade.limit:g})"
            faults.append(f"grade[{place}].soft: {wanted}, found {grade.soft:g}")
    for place, worker in enumerate(told.known):
        if worker.uid in [other.uid for other in told.known[:place]]:
            faults.append(f"known[{place}].uid: expected a uid of its own, found {worker.uid!r} again")
    for place, tenant in enumerate(told.tenant):
        if tenant.name in [other.name for other in told.tenant[:place]]:
            faults.append(f"tenant[{place}].name: expected a name of its own, found {tenant.name!r} again")
    numbered = {grade.name for grade in told.grade}
    for place, name in enumerate(told.durable.grades):
        if name not in numbered:
            faults.append(f"durable.grades[{place}]: expected a service grade of this file, found {name!r}")
    if told.durable.on and not told.durable.grades:
        faults.append("durable.grades: expected at least one service grade, found none")
    if told.durable.on and "jobs" in numbered:
        faults.append("grade: expected no service grade 'jobs' beside durable.on, found one")
    if told.durable.on and told.workers.progress > told.durable.beat_within / 2:
        most = f"expected at least twice workers.progress ({told.workers.progress:g})"
        faults.append(f"durable.beat_within: {most}, found {told.durable.beat_within:g}")
    faults += accord_faults(told)
    ports = [("serve.listen", told.serve.listen), ("serve.roster", told.serve.roster)]
    ports += [("accord.listen", told.accord.listen), *(("accord.seeds", seed) for seed in told.accord.seeds)]
    ports += [("accord.reach", told.accord.reach)] if told.accord.reach else []
    ports += [
        (f"accord.electors[{place}].address", one.address) for place, one in enumerate(told.accord.electors)
    ]
    ports += [(f"known[{place}].endpoint", worker.endpoint) for place, worker in enumerate(told.known)]
    for name, place_told in ports:
        port = place_told.rpartition(":")[2]
        if not port.isdigit() or not 0 < int(port) < 65536:
            faults.append(f"{name}: expected a port from 1 to 65535, found {place_told!r}")
    if faults:
        raise ConfigErrors(faults)
    return told


def as_settings(told: Installation) -> dict[str, Any]:
    """In the form of the deployment's settings; times in milliseconds."""
    dispatches, workers = told.dispatches, told.workers
    kinds = sorted({grade.model for grade in told.grade if grade.model})
    return {
        "Step": dispatches.round * 1000,
        "FleetSize": workers.dispatchers,
        "Kinds": kinds,
        "Zone": told.serve.zone,
        "Discovery": "subscribe" if told.serve.ask else "automatic",
        "WeightKind": workers.ratings,
        "BeyondShareRevenue": told.worth.beyond_share,
        "ObjectiveMix": {"WorstClass": told.worth.worst_grade},
        "Prices": {"Handshake": told.worth.connection, "CrossZone": told.worth.crossing},
        "Realms": [{"Name": tenant.name, "QuotaPerS": tenant.rate} for tenant in told.tenant],
        "ServiceGrades": [
            {
                "Name": grade.name,
                "Semantics": EFFECTS[grade.effect],
                "Group": GROUPS[grade.group] if grade.effect == "numbered" else "all",
                "MemorySpan": grade.memory * 1000,
                "SoftLimit": grade.soft * 1000,
                "TimeLimit": grade.limit * 1000,
                "Revenue": grade.revenue,
                "OverdueRevenue": grade.late,
                **({"KindsAllowed": grade.models} if grade.models else {}),
                **({"ConfinedTo": grade.zones} if grade.zones else {}),
            }
            for grade in told.grade
        ],
        "Domain": {
            "ClassStretch": [grade.stretch for grade in told.grade],
            "ClassKind": [kinds.index(grade.model) if grade.model else -1 for grade in told.grade],
            "TellsStart": workers.tells_start,
            "Progress": workers.progress * 1000,
        },
        "Ceilings": {
            "MaxDispatches": dispatches.most,
            "MayCancel": dispatches.may_withdraw,
            "RetryAfter": dispatches.longest_advice > 0,
            "MaxRetryAfter": dispatches.longest_advice * 1000,
            "ConnectTimeout": dispatches.connect * 1000,
            "IdleClose": dispatches.idle * 1000,
        },
        "Rules": {
            "OverloadFactor": workers.fall_factor,
            "OverloadFor": workers.fall_for * 1000,
            "ColdFrom": workers.cold_from,
            "Cold": workers.cold_for * 1000,
            "AskWithin": told.serve.ask_within * 1000,
            "HangUpWithin": told.workers.hang_up * 1000,
        },
    }


def start(told: Installation, seed: int) -> Start:
    """Raises Faults where what the types allow is refused all the same."""
    known = [
        {
            "uid": worker.uid,
            "endpoint": worker.endpoint,
            "az": worker.zone,
            "model": worker.model,
            "pod_group": worker.cell,
            "state": "active",
        }
        for worker in told.known
    ]
    try:
        return from_table(
            Table(
                {
                    "name": told.serve.name,
                    "listen": told.serve.listen,
                    "discovery": told.serve.roster,
                    "seed": f"{told.serve.seed or seed:x}",
                    "limits": {"sockets": told.limits.descriptors, "memory_mb": told.limits.memory_mb},
                    "known": {"rev": 0, "all": True, "targets": known},
                    "settings": as_settings(told),
                }
            ),
            {},
        )
    except ConfigError as trouble:
        raise ConfigErrors([str(trouble)]) from None
