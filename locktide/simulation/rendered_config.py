"""Start configuration of a dispatcher of a run: the JSON that GW_CONFIG names, or an installation file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from locktide.config.installation.cluster import AcceptorSection, ClusterSection
from locktide.config.installation.dispatcher import ServeSection
from locktide.config.installation.document import Installation
from locktide.config.installation.durable_jobs import DurableJobsSection
from locktide.config.installation.service_classes import ServiceClassSection
from locktide.config.installation.start import PLATFORM_EFFECTS
from locktide.config.installation.tenants import TenantSection
from locktide.simulation.model.scenario import Scenario


def settings(scenario: Scenario) -> dict[str, Any]:
    """Return the settings of a dispatcher in the form of the platform, with times in milliseconds."""
    config_section, dispatcher = scenario.worker, scenario.dispatcher
    grades = [
        {
            "Name": grade.name,
            "Semantics": PLATFORM_EFFECTS[grade.effect],
            "Group": "cell" if grade.effect == "numbered" else "all",
            "MemorySpan": grade.memory * 1000,
            "SoftLimit": grade.soft * 1000,
            "TimeLimit": grade.limit * 1000,
            "Revenue": grade.revenue,
            "OverdueRevenue": grade.late,
            "Stream": False,
        }
        for grade in scenario.grade
    ]
    rendered: dict[str, Any] = {
        "Step": 4.0,
        "FleetSize": scenario.fleet.dispatchers,
        "ServiceGrades": grades,
        "Domain": {
            "ClassStretch": [grade.stretch for grade in scenario.grade],
            "TellsStart": True,
            "Progress": config_section.progress * 1000,
        },
        "Ceilings": {
            "MaxDispatches": dispatcher.dispatches,
            "SecondCopies": False,
            "MayCancel": True,
            "RetryAfter": True,
            "MaxRetryAfter": dispatcher.longest_advice * 1000,
            "ConnectTimeout": dispatcher.connect * 1000,
            "IdleClose": config_section.idle_close * 1000,
        },
        "Kinds": [kind.name for kind in scenario.fleet.kinds],
        "ObjectiveMix": {"Whole": 0.5, "WorstClass": 0.4, "WorstWindow": 0.1},
        "Discovery": "subscribe" if scenario.roster.call else "automatic",
        "Realms": [{"Name": tenant.name, "QuotaPerS": tenant.rate} for tenant in scenario.tenant],
        "BeyondShareRevenue": scenario.accord.beyond if scenario.tenant else 1.0,
        "Rules": {
            "AskWithin": scenario.roster.ask_within * 1000,
            "OverloadFactor": config_section.fall_factor,
            "OverloadFor": config_section.fall_for * 1000,
            "ColdFrom": config_section.cold_from,
            "Cold": config_section.cold_for * 1000,
            "DrainGrace": dispatcher.drain_grace * 1000,
        },
    }
    return merged(rendered, dispatcher.settings)


def merged(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Merge two tables: tables are merged key by key, any other value is replaced."""
    result = dict(below)
    for key, value in above.items():
        existing = result.get(key)
        result[key] = (
            merged(existing, value) if isinstance(value, dict) and isinstance(existing, dict) else value
        )
    return result


def config(scenario: Scenario, number: int, listen: str, discovery: str, known: Any) -> dict[str, Any]:
    return {
        "name": f"d{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": "0",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.dispatcher.memory_mb,
            "sockets": scenario.dispatcher.sockets,
        },
        "known": known,
        "settings": {**settings(scenario), "Me": number},
    }


def durable_classes(scenario: Scenario) -> list[str]:
    """Return the names of the service classes whose jobs are durable."""
    if not scenario.durable.on:
        return []
    return scenario.durable.grades or [grade.name for grade in scenario.grade]


def durable(scenario: Scenario) -> DurableJobsSection:
    config_section = scenario.durable
    return DurableJobsSection(
        enabled=True,
        service_classes=durable_classes(scenario),
        detached_timeout=config_section.limit,
        retention=3600.0,
        start_timeout=config_section.start_within,
        heartbeat_timeout=config_section.beat_within,
        segment_mb=config_section.segment_kb / 1024,
    )


def acceptor_count(scenario: Scenario) -> int:
    """Return how many of the dispatchers are acceptors, counted from the first: five, three or one."""
    return 5 if scenario.fleet.dispatchers >= 5 else 3 if scenario.fleet.dispatchers >= 3 else 1


def cluster_section(
    scenario: Scenario, listen: str, reach: str, addresses: list[str], trace: str
) -> ClusterSection:
    """Return the cluster section of one dispatcher; `addresses` are those at which all are reached."""
    config_section = scenario.accord
    return ClusterSection(
        enabled=True,
        listen=listen,
        advertised_address=reach,
        acceptors=[
            AcceptorSection(name=f"d{n}", address=addresses[n]) for n in range(acceptor_count(scenario))
        ],
        reserved_fraction=config_section.reserve,
        max_members=scenario.fleet.dispatchers + config_section.spare,
        burst=config_section.burst,
        lendable_fraction=config_section.lend,
        resources=config_section.resource,
        trace=trace,
    )


def installation(scenario: Scenario, name: str, accord: ClusterSection) -> Installation:
    """Return an installation with only the parts that configure the cluster."""
    return Installation(
        serve=ServeSection(name=name),
        cluster=accord,
        tenants=[
            TenantSection(name=entry.name, rate=entry.rate, weight=entry.weight) for entry in scenario.tenant
        ],
        service_classes=[
            ServiceClassSection(name=entry.name, timeout=entry.limit, resource_needs=entry.holds)
            for entry in scenario.grade
        ],
    )


def as_file(
    scenario: Scenario, rendered: dict[str, Any], directory: Path, accord: ClusterSection | None = None
) -> str:
    """Return the result of `config`, `rendered`, as an installation file, with durable jobs or a cluster.

    Durable jobs are stored in `directory`. The file is for `locktide serve`, as the start document of the
    platform has no such parts.
    """
    config_section, dispatcher, durable_section = scenario.worker, scenario.dispatcher, durable(scenario)
    tables: dict[str, dict[str, Any]] = {
        "serve": {"name": rendered["name"], "listen": rendered["listen"], "roster": rendered["discovery"]},
        "limits": {"descriptors": dispatcher.sockets, "memory_mb": dispatcher.memory_mb},
        "dispatches": {
            "most": dispatcher.dispatches,
            "connect": dispatcher.connect,
            "idle": config_section.idle_close,
            "longest_advice": dispatcher.longest_advice,
        },
        "workers": {
            "dispatchers": scenario.fleet.dispatchers,
            "progress": config_section.progress,
            "cold_from": config_section.cold_from,
            "cold_for": config_section.cold_for,
            "fall_factor": config_section.fall_factor,
            "fall_for": config_section.fall_for,
        },
        "worth": {"worst_grade": 0.4, "beyond_share": scenario.accord.beyond if scenario.tenant else 1.0},
        "durable": {
            "on": scenario.durable.on,
            "directory": str(directory),
            "grades": durable_section.service_classes,
            "limit": durable_section.detached_timeout,
            "keep": durable_section.retention,
            "start_within": durable_section.start_timeout,
            "beat_within": durable_section.heartbeat_timeout,
            "segment_mb": durable_section.segment_mb,
        },
    }
    lines = []
    for name, table in tables.items():
        lines += [f"[{name}]", *toml_assignments(table)]
    if accord is not None:
        plain = msgspec.to_builtins(accord)
        tables_of = {"electors": plain.pop("electors"), "resource": plain.pop("resource")}
        lines += ["[accord]", *toml_assignments(plain)]
        for name, rows in tables_of.items():
            for row in rows:
                lines += [f"[[accord.{name}]]", *toml_assignments(row)]
    for tenant in scenario.tenant:
        lines += [
            "[[tenant]]",
            *toml_assignments({"name": tenant.name, "rate": tenant.rate, "weight": tenant.weight}),
        ]
    for entry in rendered["known"]["targets"]:
        known = {
            "uid": entry["uid"],
            "endpoint": entry["endpoint"],
            "zone": entry["az"],
            "model": entry["model"],
            "cell": entry["pod_group"],
        }
        lines += ["[[known]]", *toml_assignments(known)]
    for grade in scenario.grade:
        service = {
            "name": grade.name,
            "effect": grade.effect,
            "memory": grade.memory,
            "soft": grade.soft,
            "stretch": grade.stretch,
            "limit": grade.limit,
            "revenue": float(grade.revenue),
            "late": grade.late,
        }
        lines += ["[[grade]]", *toml_assignments(service)]
        if grade.holds and accord is not None:
            lines += ["[grade.holds]", *toml_assignments(grade.holds)]
    return "\n".join(lines) + "\n"


def toml_assignments(table: dict[str, Any]) -> list[str]:
    """Return TOML lines; strings, numbers, booleans and lists of strings are the same in JSON and TOML."""
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]
