"""Reads the deployment's settings, which start files and the wire of the simulator share."""

from __future__ import annotations

from math import inf
from typing import Any

from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject, read_number
from locktide.config.platform_keys import (
    DEDUPLICATION_SCOPES,
    EFFECTS,
    RATING_KINDS,
    CeilingsKey,
    CostsKey,
    EndpointListMode,
    ObjectiveKey,
    RulesKey,
    ServiceClassKey,
    SettingsKey,
    TenantKey,
    WorkloadKey,
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

#: Default time between two rounds of the pool, in milliseconds.
DEFAULT_ROUND_INTERVAL = 1.0
#: Default time within which a dispatcher should poll the endpoint list, in milliseconds.
DEFAULT_POLL_WITHIN = 10_000
#: Item of `ClassKind` for a service class that runs on any worker type.
ANY_WORKER_TYPE = -1


def scheduler_config(settings: JsonObject) -> SchedulerConfig:
    """Return the configuration of the scheduler.

    Raises:
        ConfigError: a key is missing or has an invalid value.
    """
    workload = settings.object(SettingsKey.WORKLOAD, {})
    ceilings = settings.object(SettingsKey.CEILINGS, {})
    rules = settings.object(SettingsKey.RULES, {})
    costs = settings.object(SettingsKey.COSTS, {})
    quotas = _read_quotas(settings)
    return SchedulerConfig(
        round_interval=settings.microseconds(SettingsKey.ROUND_INTERVAL, DEFAULT_ROUND_INTERVAL),
        dispatcher_count=settings.integer(SettingsKey.DISPATCHER_COUNT, 1, minimum=1),
        service_classes=_read_service_classes(settings, workload),
        retry=_read_retry(ceilings),
        clients=_read_clients(ceilings),
        quotas=QuotaConfig(
            quotas=quotas, beyond_quota_weight=settings.number(SettingsKey.BEYOND_QUOTA_WEIGHT, 1.0)
        ),
        objective=_read_objective(settings),
        slow_start=_read_slow_start(rules),
        endpoint_list=_read_endpoint_list(settings, rules),
        progress=_read_progress(workload),
        costs=_read_costs(settings, costs=costs, ceilings=ceilings),
    )


def _read_service_classes(settings: JsonObject, workload: JsonObject) -> list[ServiceClass]:
    worker_types = settings.items(SettingsKey.WORKER_TYPES, [])
    type_indexes = workload.items(WorkloadKey.WORKER_TYPE_INDEXES, [])
    stretches = workload.items(WorkloadKey.STRETCHES, [])
    service_classes = []
    for index, entry in enumerate(settings.objects(SettingsKey.SERVICE_CLASSES)):
        if index < len(stretches):
            stretch_key = f"{workload.key(WorkloadKey.STRETCHES)}[{index}]"
            stretch = read_number(stretch_key, stretches[index], minimum=-inf)
        else:
            stretch = entry.number(ServiceClassKey.STRETCH, 0.0)
        type_index = type_indexes[index] if index < len(type_indexes) else ANY_WORKER_TYPE
        worker_type = _worker_type(worker_types, type_index)
        service_classes.append(_read_service_class(entry, stretch, worker_type))
    if not service_classes:
        key = settings.key(SettingsKey.SERVICE_CLASSES)
        raise ConfigError(
            key, "expected at least one service grade", expected="at least one service grade", value=[]
        )
    return service_classes


def _read_service_class(entry: JsonObject, stretch: float, worker_type: str | None) -> ServiceClass:
    return ServiceClass(
        name=entry.text(ServiceClassKey.NAME),
        effect=entry.choice(EFFECTS, ServiceClassKey.EFFECT),
        deduplication_scope=entry.choice(DEDUPLICATION_SCOPES, ServiceClassKey.DEDUPLICATION_SCOPE, "all"),
        deduplication_window=entry.microseconds(ServiceClassKey.DEDUPLICATION_WINDOW, 0),
        latency_objective=entry.microseconds(ServiceClassKey.LATENCY_OBJECTIVE),
        stretch=stretch,
        timeout=entry.microseconds(ServiceClassKey.TIMEOUT),
        priority_weight=entry.number(ServiceClassKey.PRIORITY_WEIGHT, 1.0),
        overdue_weight=entry.number(ServiceClassKey.OVERDUE_WEIGHT, 0.0),
        worker_type=worker_type,
        allowed_worker_types=entry.text_set(ServiceClassKey.ALLOWED_WORKER_TYPES),
        allowed_zones=entry.text_set(ServiceClassKey.ALLOWED_ZONES),
    )


def _worker_type(worker_types: list[Any], index: Any) -> str | None:
    """Return the worker type at an index of the settings' list; None for an index outside it."""
    if isinstance(index, int) and 0 <= index < len(worker_types):
        worker_type: str = worker_types[index]
        return worker_type
    return None


def _read_quotas(settings: JsonObject) -> dict[str, float]:
    tenants = settings.objects(SettingsKey.TENANTS, [])
    return {tenant.text(TenantKey.NAME): tenant.number(TenantKey.QUOTA, 0.0) for tenant in tenants}


def _read_retry(ceilings: JsonObject) -> RetryConfig:
    return RetryConfig(
        max_attempts=ceilings.integer(CeilingsKey.MAX_ATTEMPTS, 1, minimum=1),
        can_cancel=ceilings.flag(CeilingsKey.CAN_CANCEL, False),
    )


def _read_clients(ceilings: JsonObject) -> ClientConfig:
    if not ceilings.flag(CeilingsKey.GIVES_RETRY_AFTER, False):
        return ClientConfig(max_retry_after=0)
    return ClientConfig(max_retry_after=ceilings.microseconds(CeilingsKey.MAX_RETRY_AFTER, 0))


def _read_objective(settings: JsonObject) -> ObjectiveConfig:
    objective = settings.object(SettingsKey.OBJECTIVE, {})
    return ObjectiveConfig(worst_class_weight=objective.number(ObjectiveKey.WORST_CLASS_WEIGHT, 0.0))


def _read_slow_start(rules: JsonObject) -> SlowStartConfig:
    return SlowStartConfig(
        overload_factor=rules.number(RulesKey.OVERLOAD_FACTOR, 1.0),
        window=rules.microseconds(RulesKey.OVERLOAD_WINDOW, 0),
        initial_capacity=rules.number(RulesKey.INITIAL_CAPACITY, 1.0),
        warmup=rules.microseconds(RulesKey.WARMUP, 0),
    )


def _read_endpoint_list(settings: JsonObject, rules: JsonObject) -> EndpointListConfig:
    mode = settings.get(SettingsKey.ENDPOINT_LIST_MODE, EndpointListMode.PUSHED)
    return EndpointListConfig(
        is_polled=mode == EndpointListMode.POLLED,
        poll_within=rules.microseconds(RulesKey.POLL_WITHIN, DEFAULT_POLL_WITHIN),
        has_live_ratings=settings.choice(RATING_KINDS, SettingsKey.RATING_KIND, "silent"),
        close_idle_within=rules.microseconds(RulesKey.CLOSE_IDLE_WITHIN, 0),
    )


def _read_progress(workload: JsonObject) -> ProgressConfig:
    return ProgressConfig(
        reports_start=workload.flag(WorkloadKey.REPORTS_START, False),
        report_interval=workload.microseconds(WorkloadKey.REPORT_INTERVAL, 0),
    )


def _read_costs(settings: JsonObject, *, costs: JsonObject, ceilings: JsonObject) -> CostConfig:
    return CostConfig(
        connection=costs.number(CostsKey.CONNECTION, 0.0),
        cross_zone=costs.number(CostsKey.CROSS_ZONE, 0.0),
        zone=settings.text(SettingsKey.ZONE, ""),
        idle_timeout=ceilings.microseconds(CeilingsKey.IDLE_TIMEOUT, 0),
    )
