"""Configuration of the scheduler, given at its start and at a reload; spans are in microseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from locktide.scheduler.types import DeduplicationScope, Effect, PlacementConstraint, TenantId


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What all requests of one class have in common.

    Attributes:
        name: the name that requests give.
        effect: how far a request may be repeated.
        deduplication_scope: which workers drop a repeat, where requests carry an idempotency key.
        deduplication_window: how long after the first attempt they drop it, in microseconds.
        latency_objective: within what time a response is on time, in microseconds, before `stretch` is added.
        stretch: by what multiple of its run time the latency objective of a request grows.
        timeout: the longest time until the response, in microseconds.
        priority_weight: what a response on time is worth.
        overdue_weight: what a later one is worth.
        worker_type: the one worker type that runs the class; None: any.
        allowed_worker_types: the worker types that its requests may be sent to; None: all.
        allowed_zones: the zones that its requests may be sent to; None: all.
    """

    name: str
    effect: Effect
    deduplication_scope: DeduplicationScope
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
        """The worker types and zones that it is confined to; None where it may go anywhere.

        Equal for service classes that are confined alike.
        """
        worker_types = (
            self.allowed_worker_types if self.worker_type is None else frozenset([self.worker_type])
        )
        if worker_types is None and self.allowed_zones is None:
            return None
        return (worker_types, self.allowed_zones)


@dataclass(frozen=True, slots=True)
class RetryConfig:
    """How often and how one request may be attempted.

    Attributes:
        max_attempts: the most attempts of one request, the first included.
        can_cancel: whether an attempt in flight may be cancelled.
        counts_unsent: whether an attempt whose last byte was never sent counts as one of `max_attempts`.
    """

    max_attempts: int
    can_cancel: bool
    counts_unsent: bool = True


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """What clients may be advised.

    Attributes:
        max_retry_after: the longest wait that a rejection may advise, in microseconds; 0: no advice.
    """

    max_retry_after: int


@dataclass(frozen=True, slots=True)
class QuotaConfig:
    """Request rates granted to tenants.

    Attributes:
        quotas: requests per second that each tenant may send to all dispatchers together.
        beyond_quota_weight: what a request beyond its tenant's quota is worth, relative to one within it.
    """

    quotas: Mapping[TenantId, float]
    beyond_quota_weight: float


@dataclass(frozen=True, slots=True)
class ObjectiveConfig:
    """What the service is measured by.

    Attributes:
        worst_class_weight: how much of the result the worst-served service class decides, from 0 to 1.
    """

    worst_class_weight: float


@dataclass(frozen=True, slots=True)
class SlowStartConfig:
    """When a freshly started worker is overloaded.

    Attributes:
        overload_factor: how many times its present capacity it may be sent within a window.
        window: the length of that window, in microseconds.
        initial_capacity: its capacity at its start, as a fraction of that of a warm worker.
        warmup: how long it takes until it is warm, in microseconds; 0: it starts warm.
        margin: the fraction of that limit that all dispatchers together may plan to send, below 1 where run
            times and draws that differ by chance have to be allowed for.
    """

    overload_factor: float
    window: int
    initial_capacity: float
    warmup: int
    margin: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointListConfig:
    """How the endpoint list is obtained.

    Attributes:
        polled: whether the list is fetched at the scheduler's command; else updates are pushed.
        poll_within: within what time after its start each dispatcher should fetch it, in microseconds.
        live_ratings: whether ratings fall with the load of a worker, as size / (1 + requests held per core)
            of some time ago; else they state its size.
        close_idle_within: within what time idle connections to a draining worker have to be closed, in
            microseconds; 0: they may stay.
        notified_within: how long after a change could be fetched the dispatcher counts as notified of it,
            whatever became of its fetches, in microseconds; 0: no such limit.
    """

    polled: bool
    poll_within: int
    live_ratings: bool = False
    close_idle_within: int = 0
    notified_within: int = 0


@dataclass(frozen=True, slots=True)
class CostConfig:
    """What an attempt costs beside its work, as fractions of what a usual request earns.

    Attributes:
        connection: the cost of a new connection.
        cross_zone: the cost of a worker in another zone.
        zone: the zone of this dispatcher.
        idle_timeout: after what idle time workers close a connection, in microseconds.
    """

    connection: float = 0.0
    cross_zone: float = 0.0
    zone: str = ""
    idle_timeout: int = 0


@dataclass(frozen=True, slots=True)
class ProgressConfig:
    """What workers report of a running job.

    Attributes:
        reports_start: whether they report its start.
        report_interval: the time between two reports of its progress, in microseconds; 0: none.
    """

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
