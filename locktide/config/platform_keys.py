"""The platform's spellings: each key and each value of its JSON documents, written once.

The start file (`StartKey` and below) and the settings inside it (`SettingsKey` and below) use them; the same
settings arrive on the wire of the simulator. Members are named by the terms of this project.
"""

from __future__ import annotations

from locktide.scheduler.types import DeduplicationScope, Effect, EndpointState


class Variable:
    """Environment variables of a dispatcher."""

    CONFIG_FILE = "GW_CONFIG"
    NAME = "GW_NAME"
    LISTEN = "GW_LISTEN"
    DISCOVERY = "GW_DISCOVERY"


class StartKey:
    """The start file that `GW_CONFIG` names."""

    NAME = "name"
    LISTEN = "listen"
    DISCOVERY = "discovery"
    SEED = "seed"
    LIMITS = "limits"
    CACHED_ENDPOINTS = "known"
    SETTINGS = "settings"


class LimitsKey:
    """`limits` of the start file."""

    DESCRIPTORS = "sockets"
    MEMORY_MEGABYTES = "memory_mb"


class EndpointListKey:
    """An endpoint list, as discovery sends it and as `known` of the start file has it."""

    VERSION = "rev"
    IS_SNAPSHOT = "all"
    ENDPOINTS = "targets"


class EndpointKey:
    """One entry of an endpoint list."""

    WORKER = "uid"
    ADDRESS = "endpoint"
    ZONE = "az"
    WORKER_TYPE = "model"
    CELL = "pod_group"
    STATE = "state"
    RATING = "capacity_hint"
    STARTED_AT = "boot_ms"  # milliseconds of Unix time


class SettingsKey:
    """`settings` of the start file."""

    ROUND_INTERVAL = "Step"
    DISPATCHER_COUNT = "FleetSize"
    WORKER_TYPES = "Kinds"
    ZONE = "Zone"
    ENDPOINT_LIST_MODE = "Discovery"
    RATING_KIND = "WeightKind"
    BEYOND_QUOTA_WEIGHT = "BeyondShareRevenue"
    OBJECTIVE = "ObjectiveMix"
    COSTS = "Prices"
    TENANTS = "Realms"
    SERVICE_CLASSES = "ServiceGrades"
    WORKLOAD = "Domain"
    CEILINGS = "Ceilings"
    RULES = "Rules"


class ServiceClassKey:
    """One entry of `ServiceGrades`; times are in milliseconds."""

    NAME = "Name"
    EFFECT = "Semantics"
    DEDUPLICATION_SCOPE = "Group"
    DEDUPLICATION_WINDOW = "MemorySpan"
    LATENCY_OBJECTIVE = "SoftLimit"
    STRETCH = "AimStretch"
    TIMEOUT = "TimeLimit"
    PRIORITY_WEIGHT = "Revenue"
    OVERDUE_WEIGHT = "OverdueRevenue"
    ALLOWED_WORKER_TYPES = "KindsAllowed"
    ALLOWED_ZONES = "ConfinedTo"


class TenantKey:
    """One entry of `Realms`."""

    NAME = "Name"
    QUOTA = "QuotaPerS"


class WorkloadKey:
    """`Domain`: lists have one item for each service class; times are in milliseconds."""

    STRETCHES = "ClassStretch"
    WORKER_TYPE_INDEXES = "ClassKind"
    REPORTS_START = "TellsStart"
    REPORT_INTERVAL = "Progress"


class CeilingsKey:
    """`Ceilings`; times are in milliseconds."""

    MAX_ATTEMPTS = "MaxDispatches"
    CAN_CANCEL = "MayCancel"
    GIVES_RETRY_AFTER = "RetryAfter"
    MAX_RETRY_AFTER = "MaxRetryAfter"
    CONNECT_TIMEOUT = "ConnectTimeout"
    IDLE_TIMEOUT = "IdleClose"


class RulesKey:
    """`Rules`; times are in milliseconds."""

    OVERLOAD_FACTOR = "OverloadFactor"
    OVERLOAD_WINDOW = "OverloadFor"
    INITIAL_CAPACITY = "ColdFrom"
    WARMUP = "Cold"
    POLL_WITHIN = "AskWithin"
    CLOSE_IDLE_WITHIN = "HangUpWithin"


class CostsKey:
    """`Prices`, as fractions of the value of an ordinary request."""

    CONNECTION = "Handshake"
    CROSS_ZONE = "CrossZone"


class ObjectiveKey:
    """`ObjectiveMix`."""

    WORST_CLASS_WEIGHT = "WorstClass"


#: `Semantics` of a service class.
EFFECTS = {
    "free": Effect.IDEMPOTENT,
    "guarded": Effect.IDEMPOTENT_WITH_KEY,
    "single_shot": Effect.AT_MOST_ONCE,
}

#: `Group` of a service class.
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.FLEET,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class EndpointListMode:
    """`Discovery` of the settings: whether the endpoint list is polled or pushed."""

    POLLED = "subscribe"
    PUSHED = "automatic"


#: `WeightKind` of the settings, and whether ratings then fall with the load of a worker.
RATING_KINDS = {"silent": False, "nominal": False, "rough": False, "live": True}

#: `state` of an entry of an endpoint list.
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}

#: `state` of an endpoint that takes requests.
ACTIVE_ENDPOINT = "active"
