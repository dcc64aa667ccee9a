"""Turns an installation into the start configuration of a dispatcher.

An installation is rendered as a start document of the platform and read like one, so that both kinds of
files have the same reader and the same checks.
"""

from __future__ import annotations

from typing import Any, TypeVar

from locktide.config import platform_keys
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.config.installation import spellings
from locktide.config.installation.document import Installation
from locktide.config.installation.service_classes import ServiceClassSection
from locktide.config.installation.workers import KnownWorkerSection
from locktide.config.json_reader import JsonObject
from locktide.config.platform_keys import (
    CeilingsKey,
    CostsKey,
    EndpointKey,
    EndpointListMode,
    LimitsKey,
    ObjectiveKey,
    RulesKey,
    ServiceClassKey,
    SettingsKey,
    StartKey,
    TenantKey,
    WorkloadKey,
)
from locktide.config.settings import ANY_WORKER_TYPE
from locktide.config.start import Start, endpoint_list, start_from_document
from locktide.scheduler.types import Effect

Value = TypeVar("Value")

MILLISECONDS_PER_SECOND = 1000


def _translate(file_values: dict[str, Value], platform_values: dict[str, Value]) -> dict[str, str]:
    """Map each spelling of the file to the platform's spelling of the same value."""
    platform_spellings = {value: spelling for spelling, value in platform_values.items()}
    return {spelling: platform_spellings[value] for spelling, value in file_values.items()}


#: The platform's spelling of each `effect`, and of each `group`.
PLATFORM_EFFECTS = _translate(spellings.EFFECTS, platform_keys.EFFECTS)
PLATFORM_SCOPES = _translate(spellings.DEDUPLICATION_SCOPES, platform_keys.DEDUPLICATION_SCOPES)


def start_from_installation(installation: Installation, random_seed: int) -> Start:
    """Return the start configuration; `random_seed` is used where the file gives no seed.

    Raises:
        ConfigFileError: the reader of the settings rejects a value that the types of the file allow.
    """
    try:
        return start_from_document(JsonObject(_start_document(installation, random_seed)), environment={})
    except ConfigError as error:
        raise ConfigFileError([error]) from error


def _start_document(installation: Installation, random_seed: int) -> dict[str, Any]:
    serve, limits = installation.serve, installation.limits
    return {
        StartKey.NAME: serve.name,
        StartKey.LISTEN: serve.listen,
        StartKey.DISCOVERY: serve.discovery,
        StartKey.SEED: f"{serve.seed or random_seed:x}",
        StartKey.LIMITS: {
            LimitsKey.DESCRIPTORS: limits.descriptors,
            LimitsKey.MEMORY_MEGABYTES: limits.memory_mb,
        },
        StartKey.CACHED_ENDPOINTS: endpoint_list(
            [_endpoint_document(worker) for worker in installation.known_workers]
        ),
        StartKey.SETTINGS: settings_document(installation),
    }


def _endpoint_document(worker: KnownWorkerSection) -> dict[str, Any]:
    return {
        EndpointKey.WORKER: worker.uid,
        EndpointKey.ADDRESS: worker.endpoint,
        EndpointKey.ZONE: worker.zone,
        EndpointKey.WORKER_TYPE: worker.worker_type,
        EndpointKey.CELL: worker.cell,
        EndpointKey.STATE: platform_keys.ACTIVE_ENDPOINT,
    }


def settings_document(installation: Installation) -> dict[str, Any]:
    """Return the deployment's settings of an installation; times are in milliseconds."""
    serve, workers, objective = installation.serve, installation.workers, installation.objective
    return {
        SettingsKey.ROUND_INTERVAL: _milliseconds(installation.attempts.round_interval),
        SettingsKey.DISPATCHER_COUNT: workers.dispatcher_count,
        SettingsKey.WORKER_TYPES: _worker_types(installation),
        SettingsKey.ZONE: serve.zone,
        SettingsKey.ENDPOINT_LIST_MODE: EndpointListMode.POLLED if serve.polled else EndpointListMode.PUSHED,
        SettingsKey.RATING_KIND: workers.ratings,
        SettingsKey.BEYOND_QUOTA_WEIGHT: objective.beyond_quota_weight,
        SettingsKey.OBJECTIVE: {ObjectiveKey.WORST_CLASS_WEIGHT: objective.worst_class_weight},
        SettingsKey.COSTS: {
            CostsKey.CONNECTION: objective.connection_cost,
            CostsKey.CROSS_ZONE: objective.cross_zone_cost,
        },
        SettingsKey.TENANTS: [
            {TenantKey.NAME: tenant.name, TenantKey.QUOTA: tenant.rate} for tenant in installation.tenants
        ],
        SettingsKey.SERVICE_CLASSES: [
            _service_class_document(service_class) for service_class in installation.service_classes
        ],
        SettingsKey.WORKLOAD: _workload_document(installation),
        SettingsKey.CEILINGS: _ceilings_document(installation),
        SettingsKey.RULES: _rules_document(installation),
    }


def _worker_types(installation: Installation) -> list[str]:
    """Return the worker types that service classes name, each once."""
    names = {service_class.worker_type for service_class in installation.service_classes}
    return sorted(names - {""})


def _service_class_document(service_class: ServiceClassSection) -> dict[str, Any]:
    # Only requests with an idempotency key are deduplicated: others have no cell that drops their repeats.
    is_deduplicated = spellings.EFFECTS[service_class.effect] is Effect.IDEMPOTENT_WITH_KEY
    scope = service_class.deduplication_scope if is_deduplicated else "everyone"
    document = {
        ServiceClassKey.NAME: service_class.name,
        ServiceClassKey.EFFECT: PLATFORM_EFFECTS[service_class.effect],
        ServiceClassKey.DEDUPLICATION_SCOPE: PLATFORM_SCOPES[scope],
        ServiceClassKey.DEDUPLICATION_WINDOW: _milliseconds(service_class.deduplication_window),
        ServiceClassKey.LATENCY_OBJECTIVE: _milliseconds(service_class.latency_objective),
        ServiceClassKey.TIMEOUT: _milliseconds(service_class.timeout),
        ServiceClassKey.PRIORITY_WEIGHT: service_class.priority_weight,
        ServiceClassKey.OVERDUE_WEIGHT: service_class.overdue_weight,
    }
    if service_class.allowed_worker_types:
        document[ServiceClassKey.ALLOWED_WORKER_TYPES] = service_class.allowed_worker_types
    if service_class.allowed_zones:
        document[ServiceClassKey.ALLOWED_ZONES] = service_class.allowed_zones
    return document


def _workload_document(installation: Installation) -> dict[str, Any]:
    worker_types = _worker_types(installation)
    service_classes = installation.service_classes
    return {
        WorkloadKey.STRETCHES: [service_class.stretch for service_class in service_classes],
        WorkloadKey.WORKER_TYPE_INDEXES: [
            worker_types.index(service_class.worker_type) if service_class.worker_type else ANY_WORKER_TYPE
            for service_class in service_classes
        ],
        WorkloadKey.REPORTS_START: installation.workers.reports_start,
        WorkloadKey.REPORT_INTERVAL: _milliseconds(installation.workers.report_interval),
    }


def _ceilings_document(installation: Installation) -> dict[str, Any]:
    attempts = installation.attempts
    return {
        CeilingsKey.MAX_ATTEMPTS: attempts.max_attempts,
        CeilingsKey.CAN_CANCEL: attempts.can_cancel,
        CeilingsKey.GIVES_RETRY_AFTER: attempts.max_retry_after > 0,
        CeilingsKey.MAX_RETRY_AFTER: _milliseconds(attempts.max_retry_after),
        CeilingsKey.CONNECT_TIMEOUT: _milliseconds(attempts.connect_timeout),
        CeilingsKey.IDLE_TIMEOUT: _milliseconds(attempts.idle_timeout),
    }


def _rules_document(installation: Installation) -> dict[str, Any]:
    workers = installation.workers
    return {
        RulesKey.OVERLOAD_FACTOR: workers.overload_factor,
        RulesKey.OVERLOAD_WINDOW: _milliseconds(workers.overload_window),
        RulesKey.INITIAL_CAPACITY: workers.initial_capacity,
        RulesKey.WARMUP: _milliseconds(workers.warmup),
        RulesKey.POLL_WITHIN: _milliseconds(installation.serve.poll_within),
        RulesKey.CLOSE_IDLE_WITHIN: _milliseconds(workers.close_idle_within),
    }


def _milliseconds(seconds: float) -> float:
    return seconds * MILLISECONDS_PER_SECOND
