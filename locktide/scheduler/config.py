"""Terms, given at the start and at a reload."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from locktide.scheduler.types import PlacementConstraint


@dataclass(slots=True)
class ServiceClass:
    """A service grade. `kind` is the one kind of worker that runs it, or None for any; `kinds` and `zones`
    are those to which it may be sent at all, or None for all."""

    name: str
    effect: str
    deduplication_scope: str
    deduplication_window: int
    latency_objective: int
    stretch: float
    timeout: int
    priority_weight: float
    overdue_weight: float
    worker_type: str | None
    allowed_worker_types: frozenset[str] | None = None
    allowed_zones: frozenset[str] | None = None

    @property
    def placement(self) -> PlacementConstraint | None:
        """To which kinds and zones it is bound; the same for grades that are bound alike."""
        kinds = self.allowed_worker_types if self.worker_type is None else frozenset([self.worker_type])
        return None if kinds is None and self.allowed_zones is None else (kinds, self.allowed_zones)


@dataclass(slots=True)
class RetryConfig:
    """How often and how one submission may be dispatched.

    `counts_unsent`: whether one of which no last byte went out is among the most that there may be.
    """

    max_attempts: int
    can_cancel: bool
    counts_unsent: bool = True


@dataclass(slots=True)
class ClientConfig:
    """What clients may be told."""

    max_retry_after: int


@dataclass(slots=True)
class QuotaConfig:
    """How many submissions a second each tenant may ask of all dispatchers; what more than that is worth."""

    quotas: dict[Any, float]
    beyond_quota_weight: float


@dataclass(slots=True)
class ObjectiveConfig:
    """What service is measured by: how much of it the worst-served grade decides, from 0 to 1."""

    worst_class_weight: float


@dataclass(slots=True)
class SlowStartConfig:
    """When a freshly started worker falls over. Of what the settings allow all dispatchers together may plan
    to send `margin`, as sizes and draws differ by chance.
    """

    overload_factor: float
    window: int
    initial_capacity: float
    warmup: int
    margin: float = 1.0


@dataclass(slots=True)
class EndpointListConfig:
    """How the worker list is had: pushed, or only when asked for. `live`: ratings fall with the work that a
    worker holds, as size / (1 + submissions held a core) some time ago; else they tell sizes.
    """

    polled: bool
    poll_within: int
    live_ratings: bool = False
    close_idle_within: int = (
        0  # in which idle connections to a draining worker have to be closed; 0: no matter
    )
    # So long after it could be had a change counts as told, whatever became of our calls; 0: unbound.
    notified_within: int = 0


@dataclass(slots=True)
class CostConfig:
    """What a dispatch costs beside its work, in parts of what a usual submission earns: a new connection, and
    a worker in another zone than `zone`, our own. Workers close a connection that was idle for `idle_close`.
    """

    connection: float = 0.0
    cross_zone: float = 0.0
    zone: str = ""
    idle_timeout: int = 0


@dataclass(slots=True)
class ProgressConfig:
    """What workers tell: the start of a job, and its progress every so often."""

    reports_start: bool
    report_interval: int


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """What a scheduler is configured with at its start and at a reload.

    Attributes:
        round_interval: time between two rounds of the pool, in microseconds.
        dispatcher_count: dispatchers that share the workers, this one included.
        service_classes: the service classes that requests may name; at least one.
        retry: how often and how a request may be attempted.
        clients: what clients may be advised.
        quotas: request rates granted to tenants.
        objective: what the service is measured by.
        slow_start: how little a freshly started worker takes.
        endpoint_list: how the list of workers is obtained.
        progress: what workers report of a running job.
        costs: what an attempt costs beside its work.
    """

    round_interval: int
    dispatcher_count: int
    service_classes: Sequence[ServiceClass]
    retry: RetryConfig
    clients: ClientConfig
    quotas: QuotaConfig
    objective: ObjectiveConfig
    slow_start: SlowStartConfig
    endpoint_list: EndpointListConfig
    progress: ProgressConfig
    costs: CostConfig
