"""Configuration of the scheduler, passed at its start and at each reload; time spans are in microseconds."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from locktide.scheduler.types import DeduplicationScope, Effect, PlacementConstraint, TenantId


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """Guarantees and limits that all requests of one class share.

    Attributes:
        name: the name by which requests refer to the class.
        effect: whether a request may be sent more than once.
        deduplication_scope: which workers drop repeats, if requests carry an idempotency key.
        deduplication_window: how long after the first attempt workers drop repeats, in microseconds.
        latency_objective: the time within which a response is on time, in microseconds, before `stretch` is
            added.
        stretch: multiple of a request's run time that is added to its latency objective.
        timeout: the longest time until the response, in microseconds.
        priority_weight: the value of a response on time.
        overdue_weight: the value of a response after the latency objective.
        worker_type: the only worker type that can run the class; None: any.
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
        """The worker types and zones to which the class is confined; None if it may run anywhere.

        Service classes with the same constraint return equal values.
        """
        worker_types = (
            self.allowed_worker_types if self.worker_type is None else frozenset([self.worker_type])
        )
        if worker_types is None and self.allowed_zones is None:
            return None
        return (worker_types, self.allowed_zones)


@dataclass(frozen=True, slots=True)
class RetryConfig:
    """How often a request may be attempted, and what is done with its attempts.

    Attributes:
        max_attempts: the maximum number of attempts of one request, including the first.
        can_cancel: whether an attempt in flight may be cancelled.
        counts_unsent: whether an attempt whose last byte was never sent counts as one of `max_attempts`.
    """

    max_attempts: int
    can_cancel: bool
    counts_unsent: bool = True


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """Advice that clients may get with a rejection.

    Attributes:
        max_retry_after: the longest wait that a rejection may advise, in microseconds; 0: no advice.
    """

    max_retry_after: int


@dataclass(frozen=True, slots=True)
class QuotaConfig:
    """Request rates granted to tenants.

    Attributes:
        quotas: requests per second that each tenant may send to all dispatchers together.
        beyond_quota_weight: the value of a request beyond its tenant's quota, relative to one within it.
    """

    quotas: Mapping[TenantId, float]
    beyond_quota_weight: float


@dataclass(frozen=True, slots=True)
class ObjectiveConfig:
    """How the result of the service is measured.

    Attributes:
        worst_class_weight: weight of the worst-served service class in the result, from 0 to 1.
    """

    worst_class_weight: float


@dataclass(frozen=True, slots=True)
class SlowStartConfig:
    """How much load a worker can take while it is warming up.

    Attributes:
        overload_factor: how many times its present capacity a worker may be sent within a window.
        window: the length of that window, in microseconds.
        initial_capacity: capacity of a worker at its start, as a fraction of that of a warm worker.
        warmup: time from its start until a worker is warm, in microseconds; 0: it starts warm.
        margin: the fraction of the load allowed by `overload_factor` that all dispatchers together may plan
            to send; below 1 to allow for random variation of run times and draws.
    """

    overload_factor: float
    window: int
    initial_capacity: float
    warmup: int
    margin: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointListConfig:
    """How the endpoint list is obtained and what its ratings mean.

    Attributes:
        is_polled: whether the scheduler commands each fetch of the list; otherwise updates are pushed.
        poll_within: time after its start within which each dispatcher should fetch the list, in microseconds.
        has_live_ratings: whether ratings fall with the load of a worker, as size / (1 + requests per core),
            with some delay; otherwise they state the size of the worker.
        close_idle_within: time within which idle connections to a draining worker have to be closed, in
            microseconds; 0: they may stay open.
        notified_within: how long after a change can be fetched the dispatcher counts as notified of it,
            whether or not its fetches succeeded, in microseconds; 0: no such limit.
    """

    is_polled: bool
    poll_within: int
    has_live_ratings: bool = False
    close_idle_within: int = 0
    notified_within: int = 0


@dataclass(frozen=True, slots=True)
class CostConfig:
    """Costs of an attempt in addition to its work, as fractions of the value of a usual request.

    Attributes:
        connection: the cost of a new connection.
        cross_zone: the cost of sending to a worker in another zone.
        zone: the zone of this dispatcher.
        idle_timeout: idle time after which workers close a connection, in microseconds.
    """

    connection: float = 0.0
    cross_zone: float = 0.0
    zone: str = ""
    idle_timeout: int = 0


@dataclass(frozen=True, slots=True)
class ProgressConfig:
    """What workers report about running jobs.

    Attributes:
        reports_start: whether workers report the start of a job.
        report_interval: the time between two progress reports of a job, in microseconds; 0: no reports.
    """

    reports_start: bool
    report_interval: int


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """The complete configuration of a scheduler.

    Attributes:
        round_interval: time between two rounds, in microseconds.
        dispatcher_count: the number of dispatchers that share the workers, including this one.
        service_classes: the service classes that requests may name; at least one.
        retry: how often a request may be attempted.
        clients: advice that clients may get with a rejection.
        quotas: request rates granted to tenants.
        objective: how the result of the service is measured.
        slow_start: how much load a worker can take while it is warming up.
        endpoint_list: how the endpoint list is obtained.
        progress: what workers report about running jobs.
        costs: costs of an attempt in addition to its work.
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
