"""Terms, given at the start and at a reload."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from locktide.scheduler.types import PlacementConstraint


@dataclass(slots=True)
class ServiceClass:
    """A service grade. `kind` is the one kind of worker that runs it, or None for any; `kinds` and `zones`
    are those to which it may be sent at all, or None for all."""

    name: str
    effect: str
    group: str
    memory_span: int
    soft_limit: int
    stretch: float
    time_limit: int
    revenue: float
    overdue_revenue: float
    kind: str | None
    kinds: frozenset[str] | None = None
    zones: frozenset[str] | None = None

    @property
    def ground(self) -> PlacementConstraint | None:
        """To which kinds and zones it is bound; the same for grades that are bound alike."""
        kinds = self.kinds if self.kind is None else frozenset([self.kind])
        return None if kinds is None and self.zones is None else (kinds, self.zones)


@dataclass(slots=True)
class RetryConfig:
    """How often and how one submission may be dispatched.

    `counts_unsent`: whether one of which no last byte went out is among the most that there may be.
    """

    most_dispatches: int
    may_withdraw: bool
    counts_unsent: bool = True


@dataclass(slots=True)
class ClientConfig:
    """What clients may be told."""

    longest_advice: int


@dataclass(slots=True)
class QuotaConfig:
    """How many submissions a second each tenant may ask of all dispatchers; what more than that is worth."""

    quotas: dict[Any, float]
    beyond_share: float


@dataclass(slots=True)
class ObjectiveConfig:
    """What service is measured by: how much of it the worst-served grade decides, from 0 to 1."""

    worst_grade: float


@dataclass(slots=True)
class SlowStartConfig:
    """When a freshly started worker falls over. Of what the settings allow all dispatchers together may plan
    to send `margin`, as sizes and draws differ by chance.
    """

    factor: float
    window: int
    cold_from: float
    warm_after: int
    margin: float = 1.0


@dataclass(slots=True)
class EndpointListConfig:
    """How the worker list is had: pushed, or only when asked for. `live`: ratings fall with the work that a
    worker holds, as size / (1 + submissions held a core) some time ago; else they tell sizes.
    """

    must_ask: bool
    ask_within: int
    live: bool = False
    hang_up_within: int = 0  # in which idle connections to a draining worker have to be closed; 0: no matter
    # So long after it could be had a change counts as told, whatever became of our calls; 0: unbound.
    told_within: int = 0


@dataclass(slots=True)
class CostConfig:
    """What a dispatch costs beside its work, in parts of what a usual submission earns: a new connection, and
    a worker in another zone than `zone`, our own. Workers close a connection that was idle for `idle_close`.
    """

    connection: float = 0.0
    crossing: float = 0.0
    zone: str = ""
    idle_close: int = 0


@dataclass(slots=True)
class ProgressConfig:
    """What workers tell: the start of a job, and its progress every so often."""

    tells_start: bool
    progress_every: int
