"""The deployment's `settings`, the same object on the simulator's wire and in a real dispatcher's JSON."""

from __future__ import annotations

from math import inf

from locktide.config.checks import ConfigError, Table, number
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
from locktide.scheduler.types import DeduplicationScope, Effect

EFFECTS = {
    "free": Effect.IDEMPOTENT,
    "guarded": Effect.IDEMPOTENT_WITH_KEY,
    "single_shot": Effect.AT_MOST_ONCE,
}
WEIGHTS = {kind: kind for kind in ("silent", "nominal", "rough", "live")}
GROUPS = {"all": DeduplicationScope.FLEET, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def grades(told: Table, domain: Table) -> list[ServiceClass]:
    kinds = told.row("Kinds", [])
    wanted, stretches = domain.row("ClassKind", []), domain.row("ClassStretch", [])
    found = []
    for place, entry in enumerate(told.tables("ServiceGrades")):
        kind = wanted[place] if place < len(wanted) else -1
        if place < len(stretches):
            stretch = number(domain.key(f"ClassStretch[{place}]"), stretches[place], least=-inf)
        else:
            stretch = entry.number("AimStretch", 0.0)
        found.append(
            ServiceClass(
                entry.text("Name"),
                entry.one_of(EFFECTS, "Semantics"),
                entry.one_of(GROUPS, "Group", "all"),
                entry.span("MemorySpan", 0),
                entry.span("SoftLimit"),
                stretch,
                entry.span("TimeLimit"),
                entry.number("Revenue", 1.0),
                entry.number("OverdueRevenue", 0.0),
                kinds[kind] if isinstance(kind, int) and 0 <= kind < len(kinds) else None,
                entry.texts("KindsAllowed"),
                entry.texts("ConfinedTo"),
            )
        )
    if not found:
        raise ConfigError(told.key("ServiceGrades"), "expected at least one service grade")
    return found


def scheduler_config(told: Table) -> SchedulerConfig:
    """Reads the configuration of the scheduler out of the settings; ConfigError names a faulty key."""
    domain, ceilings = told.table("Domain", {}), told.table("Ceilings", {})
    limits, prices = told.table("Rules", {}), told.table("Prices", {})
    quotas = {realm.text("Name"): realm.number("QuotaPerS", 0.0) for realm in told.tables("Realms", [])}
    return SchedulerConfig(
        told.span("Step", 1.0),
        told.whole("FleetSize", 1, least=1),
        grades(told, domain),
        RetryConfig(ceilings.whole("MaxDispatches", 1, least=1), ceilings.flag("MayCancel", False)),
        ClientConfig(ceilings.span("MaxRetryAfter", 0) if ceilings.flag("RetryAfter", False) else 0),
        QuotaConfig(quotas, told.number("BeyondShareRevenue", 1.0)),
        ObjectiveConfig(told.table("ObjectiveMix", {}).number("WorstClass", 0.0)),
        SlowStartConfig(
            limits.number("OverloadFactor", 1.0),
            limits.span("OverloadFor", 0),
            limits.number("ColdFrom", 1.0),
            limits.span("Cold", 0),
        ),
        EndpointListConfig(
            told.get("Discovery", "automatic") == "subscribe",
            limits.span("AskWithin", 10000),
            told.one_of(WEIGHTS, "WeightKind", "silent") == "live",
            limits.span("HangUpWithin", 0),
        ),
        ProgressConfig(domain.flag("TellsStart", False), domain.span("Progress", 0)),
        CostConfig(
            prices.number("Handshake", 0.0),
            prices.number("CrossZone", 0.0),
            told.text("Zone", ""),
            ceilings.span("IdleClose", 0),
        ),
    )
