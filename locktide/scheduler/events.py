"""News, from the host to the decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from locktide.scheduler.config import SchedulerConfig


@dataclass(slots=True)
class EndpointEntry:
    worker: Any
    zone: str
    worker_type: str
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
    request_id: Any
    service_class: str
    deadline: int
    width: float = 1.0
    work_hint: int = 0
    tenant: Any = None
    is_retry: bool = False
    background: bool = False  # nobody waits for it: it is kept to its time limit rather than denied
    affinity_key: int | None = None  # what it is about, where submissions that share one go together


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
    attempts: list[RecoveredAttempt]


@dataclass(slots=True)
class AttemptSent:
    """The last byte of a dispatch is on its way. A host that tells it keeps its own delays from being taken
    for the worker's; where it is not told, a dispatch counts as sent with its order."""

    request_id: Any
    attempt: int


@dataclass(slots=True)
class AttemptStarted:
    request_id: Any
    attempt: int


@dataclass(slots=True)
class AttemptProgressed:
    request_id: Any
    attempt: int
    fraction_done: float


@dataclass(slots=True)
class ResponseStarted:
    request_id: Any
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of one dispatch. `final` says that the submission itself has its answer."""

    request_id: Any
    attempt: int
    outcome: str
    final: bool
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    request_id: Any


@dataclass(slots=True)
class TimerFired:
    timer_id: int


@dataclass(slots=True)
class ProbeCompleted:
    worker: Any
    outcome: str
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ConfigReloaded:
    """A configuration in place of the one before, in force from now on.

    It holds for open requests, too; each of them keeps the service class that it arrived with.
    """

    config: SchedulerConfig


@dataclass(slots=True)
class QuotaStage:
    """Parts of tenants' quotas that are in force before a moment; `lent` is what each was lent beside its
    own, in parts of its own quota."""

    until: int
    shares: dict[Any, float]
    borrowed: dict[Any, float] = field(default_factory=dict)


@dataclass(slots=True)
class QuotaSharesUpdated:
    """Our parts of tenants' quotas, as the dispatchers have agreed: one stage after the other. Who is not
    named has the even part, as all have where this is never told and after the last stage. `over` hold more
    than their fair share of a contended fleet, as far as is known before `over_until`."""

    stages: list[QuotaStage]
    over_fair_share: frozenset[Any] = frozenset()
    over_fair_share_until: int = 0
