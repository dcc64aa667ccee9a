"""What a dispatcher of a rehearsal is told at its start: the JSON that GW_CONFIG names."""

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
    """The fleet's terms in the form of the deployment's settings; times in milliseconds."""
    terms, dispatcher = scenario.worker, scenario.dispatcher
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
    told: dict[str, Any] = {
        "Step": 4.0,
        "FleetSize": scenario.fleet.dispatchers,
        "ServiceGrades": grades,
        "Domain": {
            "ClassStretch": [grade.stretch for grade in scenario.grade],
            "TellsStart": True,
            "Progress": terms.progress * 1000,
        },
        "Ceilings": {
            "MaxDispatches": dispatcher.dispatches,
            "SecondCopies": False,
            "MayCancel": True,
            "RetryAfter": True,
            "MaxRetryAfter": dispatcher.longest_advice * 1000,
            "ConnectTimeout": dispatcher.connect * 1000,
            "IdleClose": terms.idle_close * 1000,
        },
        "Kinds": [kind.name for kind in scenario.fleet.kinds],
        "ObjectiveMix": {"Whole": 0.5, "WorstClass": 0.4, "WorstWindow": 0.1},
        "Discovery": "subscribe" if scenario.roster.call else "automatic",
        "Realms": [{"Name": tenant.name, "QuotaPerS": tenant.rate} for tenant in scenario.tenant],
        "BeyondShareRevenue": scenario.accord.beyond if scenario.tenant else 1.0,
        "Rules": {
            "AskWithin": scenario.roster.ask_within * 1000,
            "OverloadFactor": terms.fall_factor,
            "OverloadFor": terms.fall_for * 1000,
            "ColdFrom": terms.cold_from,
            "Cold": terms.cold_for * 1000,
            "DrainGrace": dispatcher.drain_grace * 1000,
        },
    }
    return overlaid(told, dispatcher.settings)


def overlaid(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Tables are laid over key by key, everything else is replaced."""
    made = dict(below)
    for key, value in above.items():
        under = made.get(key)
        made[key] = overlaid(under, value) if isinstance(value, dict) and isinstance(under, dict) else value
    return made


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


def kept_grades(scenario: Scenario) -> list[str]:
    """The grades whose jobs are durable."""
    if not scenario.durable.on:
        return []
    return scenario.durable.grades or [grade.name for grade in scenario.grade]


def durable(scenario: Scenario) -> DurableJobsSection:
    terms = scenario.durable
    return DurableJobsSection(
        enabled=True,
        service_classes=kept_grades(scenario),
        detached_timeout=terms.limit,
        retention=3600.0,
        start_timeout=terms.start_within,
        heartbeat_timeout=terms.beat_within,
        segment_mb=terms.segment_kb / 1024,
    )


def electors(scenario: Scenario) -> int:
    """So many dispatchers, the first ones, choose who divides: three or five."""
    return 5 if scenario.fleet.dispatchers >= 5 else 3 if scenario.fleet.dispatchers >= 3 else 1


def agreed(scenario: Scenario, listen: str, reach: str, places: list[str], trace: str) -> ClusterSection:
    """The accord of one dispatcher, as an installation has it; `places` are where all are reached."""
    terms = scenario.accord
    return ClusterSection(
        enabled=True,
        listen=listen,
        advertised_address=reach,
        acceptors=[AcceptorSection(name=f"d{n}", address=places[n]) for n in range(electors(scenario))],
        reserved_fraction=terms.reserve,
        max_members=scenario.fleet.dispatchers + terms.spare,
        burst=terms.burst,
        lendable_fraction=terms.lend,
        resources=terms.resource,
        trace=trace,
    )


def installation(scenario: Scenario, name: str, accord: ClusterSection) -> Installation:
    """As much of an installation as the accord is told by."""
    return Installation(
        serve=ServeSection(name=name),
        cluster=accord,
        tenants=[TenantSection(name=one.name, rate=one.rate, weight=one.weight) for one in scenario.tenant],
        service_classes=[
            ServiceClassSection(name=one.name, timeout=one.limit, resource_needs=one.holds)
            for one in scenario.grade
        ],
    )


def as_file(
    scenario: Scenario, told: dict[str, Any], directory: Path, accord: ClusterSection | None = None
) -> str:
    """What `config` tells, as an installation's file, with durable jobs in that directory or with an accord.

    For `locktide serve`: the platform's start has no such parts.
    """
    terms, dispatcher, kept = scenario.worker, scenario.dispatcher, durable(scenario)
    tables: dict[str, dict[str, Any]] = {
        "serve": {"name": told["name"], "listen": told["listen"], "roster": told["discovery"]},
        "limits": {"descriptors": dispatcher.sockets, "memory_mb": dispatcher.memory_mb},
        "dispatches": {
            "most": dispatcher.dispatches,
            "connect": dispatcher.connect,
            "idle": terms.idle_close,
            "longest_advice": dispatcher.longest_advice,
        },
        "workers": {
            "dispatchers": scenario.fleet.dispatchers,
            "progress": terms.progress,
            "cold_from": terms.cold_from,
            "cold_for": terms.cold_for,
            "fall_factor": terms.fall_factor,
            "fall_for": terms.fall_for,
        },
        "worth": {"worst_grade": 0.4, "beyond_share": scenario.accord.beyond if scenario.tenant else 1.0},
        "durable": {
            "on": scenario.durable.on,
            "directory": str(directory),
            "grades": kept.service_classes,
            "limit": kept.detached_timeout,
            "keep": kept.retention,
            "start_within": kept.start_timeout,
            "beat_within": kept.heartbeat_timeout,
            "segment_mb": kept.segment_mb,
        },
    }
    lines = []
    for name, table in tables.items():
        lines += [f"[{name}]", *assigned(table)]
    if accord is not None:
        plain = msgspec.to_builtins(accord)
        tables_of = {"electors": plain.pop("electors"), "resource": plain.pop("resource")}
        lines += ["[accord]", *assigned(plain)]
        for name, rows in tables_of.items():
            for row in rows:
                lines += [f"[[accord.{name}]]", *assigned(row)]
    for one in scenario.tenant:
        lines += ["[[tenant]]", *assigned({"name": one.name, "rate": one.rate, "weight": one.weight})]
    for entry in told["known"]["targets"]:
        known = {
            "uid": entry["uid"],
            "endpoint": entry["endpoint"],
            "zone": entry["az"],
            "model": entry["model"],
            "cell": entry["pod_group"],
        }
        lines += ["[[known]]", *assigned(known)]
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
        lines += ["[[grade]]", *assigned(service)]
        if grade.holds and accord is not None:
            lines += ["[grade.holds]", *assigned(grade.holds)]
    return "\n".join(lines) + "\n"


def assigned(table: dict[str, Any]) -> list[str]:
    """A string, a number, a truth and a list of strings are spelled in JSON as in TOML."""
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]
