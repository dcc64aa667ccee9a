"""News, from the host to the decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class EndpointEntry:
    worker: Any
    zone: str
    kind: str
    cell: int
    state: str
    rating: float
    started_at: int


@dataclass(slots=True)
class EndpointListUpdate:
    kind: str
    entries: list[EndpointEntry]


@dataclass(slots=True)
class RequestArrived:
    submission: Any
    grade: str
    time_limit_at: int
    width: float = 1.0
    work_hint: int = 0
    tenant: Any = None
    retry: bool = False
    patient: bool = False  # nobody waits for it: it is kept to its time limit rather than denied
    key: int | None = None  # what it is about, where submissions that share one go together


@dataclass(slots=True)
class RecoveredAttempt:
    """A dispatch that an earlier process made, as far as it is known. `outcome` is None while it may still
    run; the zone and cell are the worker's of then."""

    worker: Any
    zone: str
    cell: int
    sent_at: int
    outcome: str | None


@dataclass(slots=True)
class RequestRecovered:
    """A submission that an earlier process had taken. Its dispatches count on from those that are told."""

    arrival: RequestArrived
    arrived_at: int
    dispatches: list[RecoveredAttempt]


@dataclass(slots=True)
class AttemptSent:
    """The last byte of a dispatch is on its way. A host that tells it keeps its own delays from being taken
    for the worker's; where it is not told, a dispatch counts as sent with its order."""

    submission: Any
    number: int


@dataclass(slots=True)
class AttemptStarted:
    submission: Any
    number: int


@dataclass(slots=True)
class AttemptProgressed:
    submission: Any
    number: int
    share: float


@dataclass(slots=True)
class ResponseStarted:
    submission: Any
    number: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of one dispatch. `final` says that the submission itself has its answer."""

    submission: Any
    number: int
    outcome: str
    final: bool
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    submission: Any


@dataclass(slots=True)
class TimerFired:
    mark: int


@dataclass(slots=True)
class ProbeCompleted:
    worker: Any
    outcome: str
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ConfigReloaded:
    """The start terms anew, in their order: they hold from now on, also for what is open, but for the grade
    that each submission came with."""

    terms: tuple[Any, ...]


@dataclass(slots=True)
class QuotaStage:
    """Parts of tenants' quotas that are in force before a moment; `lent` is what each was lent beside its
    own, in parts of its own quota."""

    until: int
    parts: dict[Any, float]
    lent: dict[Any, float] = field(default_factory=dict)


@dataclass(slots=True)
class QuotaSharesUpdated:
    """Our parts of tenants' quotas, as the dispatchers have agreed: one stage after the other. Who is not
    named has the even part, as all have where this is never told and after the last stage. `over` hold more
    than their fair share of a contended fleet, as far as is known before `over_until`."""

    stages: list[QuotaStage]
    over: frozenset[Any] = frozenset()
    over_until: int = 0
