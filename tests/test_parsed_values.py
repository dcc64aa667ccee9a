"""Parsed values: what is read at a start means the same, whatever the program calls it.

Each file under `data/parsed/inputs/` is parsed, rendered as plain data with the stable labels of `SHAPES`,
and compared with its fixture; the shipped files have to parse to the same as their copies. A renaming edits
the part of this file above "the comparison" and nothing else, and leaves `data/parsed/` alone.

`python tests/test_parsed_values.py` writes the fixtures of inputs that have none yet, and no others.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest

from locktide.bench_adapter import decoding
from locktide.bench_adapter import line as wire_line
from locktide.cluster.bootstrap import cluster_config as accord_terms
from locktide.cluster.config import ClusterConfig as AccordTerms
from locktide.cluster.fairness.ledger import FairnessConfig as LedgerTerms
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.config import start
from locktide.config.installation.attempts import AttemptsSection
from locktide.config.installation.cluster import AcceptorSection, ClusterSection, ResourceSection
from locktide.config.installation.dispatcher import LimitsSection, LogSection, ServeSection
from locktide.config.installation.document import Installation
from locktide.config.installation.durable_jobs import DurableJobsSection
from locktide.config.installation.loading import load_installation
from locktide.config.installation.objective import ObjectiveSection
from locktide.config.installation.service_classes import ServiceClassSection
from locktide.config.installation.start import start_from_installation
from locktide.config.installation.tenants import TenantSection
from locktide.config.installation.workers import KnownWorkerSection, WorkersSection
from locktide.config.json_reader import JsonObject
from locktide.durable.bootstrap import job_config as durable_terms
from locktide.durable.job_config import JobConfig as JobTerms
from locktide.durable.leases import LeaseConfig as LeaseTerms
from locktide.protocol import discovery
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
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import DeduplicationScope, Effect, EndpointState
from locktide.simulation import rendered_config as told
from locktide.simulation.model import scenario as script
from locktide.simulation.model import tenants

ROOT = Path(__file__).resolve().parents[1]
DATA = Path(__file__).parent / "data" / "parsed"
INPUTS = DATA / "inputs"

# --- translation: the only part that knows the program's names

SHIPPED_INSTALLATION = ROOT / "deploy" / "locktide.toml"
SHIPPED_SCENARIOS = ROOT / "deploy" / "scenarios"

# Of each class a stable tag and its fields, in a stable order, as LABEL or, once renamed, LABEL=ATTRIBUTE.
SHAPES: dict[type, tuple[str, str]] = {
    ServeSection: (
        "installation-serve",
        "name listen roster=discovery seed zone ask=polled ask_within=poll_within",
    ),
    LimitsSection: ("installation-limits", "descriptors memory_mb"),
    LogSection: ("installation-logging", "format"),
    AttemptsSection: (
        "installation-dispatches",
        "most=max_attempts may_withdraw=can_cancel connect=connect_timeout idle=idle_timeout "
        "longest_advice=max_retry_after round=round_interval",
    ),
    WorkersSection: (
        "installation-workers",
        "dispatchers=dispatcher_count hang_up=close_idle_within tells_start=reports_start "
        "progress=report_interval cold_from=initial_capacity cold_for=warmup "
        "fall_factor=overload_factor fall_for=overload_window ratings",
    ),
    ObjectiveSection: (
        "installation-worth",
        "worst_grade=worst_class_weight beyond_share=beyond_quota_weight connection=connection_cost "
        "crossing=cross_zone_cost",
    ),
    TenantSection: ("installation-tenant", "name rate weight"),
    KnownWorkerSection: ("installation-known", "uid endpoint zone model=worker_type cell"),
    ServiceClassSection: (
        "installation-grade",
        "name effect group=deduplication_scope memory=deduplication_window soft=latency_objective stretch "
        "limit=timeout revenue=priority_weight late=overdue_weight model=worker_type "
        "models=allowed_worker_types zones=allowed_zones holds=resource_needs",
    ),
    DurableJobsSection: (
        "installation-durable",
        "on=enabled directory grades=service_classes limit=detached_timeout keep=retention "
        "most_open=max_open_jobs start_within=start_timeout beat_within=heartbeat_timeout "
        "pace=resume_rate segment_mb damaged",
    ),
    Installation: (
        "installation",
        "serve limits log dispatches=attempts workers durable=durable_jobs accord=cluster worth=objective "
        "known=known_workers tenant=tenants grade=service_classes",
    ),
    AcceptorSection: ("accord-elector", "name address"),
    ResourceSection: ("accord-resource", "name each=worker_capacity"),
    ClusterSection: (
        "accord",
        "on=enabled listen reach=advertised_address electors=acceptors seeds reserve=reserved_fraction "
        "most=max_members burst lend=lendable_fraction resource=resources trace",
    ),
    script.WorkerTypeSpec: ("script-kind", "name share cores speed"),
    script.FleetSpec: ("script-fleet", "dispatchers workers zones pod kinds"),
    script.WorkerSpec: (
        "script-worker",
        "queue cold_from cold_for fall_factor fall_for spread pause_every pause error_rate handshake "
        "connections idle_close progress early twice call_tries call_gap cancels hands_back",
    ),
    script.SharedCapacitySpec: ("script-shared", "capacity"),
    script.DiscoverySpec: ("script-roster", "notice add spread whole call call_waits ask_within"),
    script.ClientSpec: ("script-clients", "load retries backoff honours impatient bodies"),
    script.ServiceClassSpec: (
        "script-grade",
        "name share work sigma width soft stretch limit revenue late effect memory holds",
    ),
    script.NetworkSpec: ("script-network", "same cross client jitter shred"),
    script.LoadBalancerSpec: ("script-front", "notice check"),
    script.DurableSpec: (
        "script-durable",
        "on grades asks limit start_within beat_within sync segment_kb zeros",
    ),
    script.DispatcherSpec: (
        "script-dispatcher",
        "dispatches drain_grace longest_advice connect sockets memory_mb settings",
    ),
    script.FaultSpec: ("script-incident", "at length what whom factor share gap point spread"),
    script.Scenario: (
        "script",
        "name says seed length fleet worker shared roster clients network front dispatcher durable "
        "grade tenant accord incident",
    ),
    tenants.TenantSpec: ("script-tenant", "name rate weight share skew home idle"),
    tenants.ClusterSpec: ("script-accord", "on reserve spare burst lend resource beyond"),
    EndpointEntry: ("listed", "worker zone kind=worker_type cell state rating started_at"),
    ServiceClass: (
        "grade",
        "name effect group=deduplication_scope memory_span=deduplication_window "
        "soft_limit=latency_objective stretch time_limit=timeout revenue=priority_weight "
        "overdue_revenue=overdue_weight kind=worker_type "
        "kinds=allowed_worker_types zones=allowed_zones",
    ),
    RetryConfig: ("dispatch-terms", "most_dispatches=max_attempts may_withdraw=can_cancel counts_unsent"),
    ClientConfig: ("client-terms", "longest_advice=max_retry_after"),
    QuotaConfig: ("share-terms", "quotas beyond_share=beyond_quota_weight"),
    ObjectiveConfig: ("goal-terms", "worst_grade=worst_class_weight"),
    SlowStartConfig: (
        "cold-terms",
        "factor=overload_factor window cold_from=initial_capacity warm_after=warmup " "margin",
    ),
    EndpointListConfig: (
        "list-terms",
        "must_ask=polled ask_within=poll_within live=live_ratings "
        "hang_up_within=close_idle_within told_within=notified_within",
    ),
    ProgressConfig: ("sign-terms", "tells_start=reports_start progress_every=report_interval"),
    CostConfig: ("price-terms", "connection crossing=cross_zone zone idle_close=idle_timeout"),
    start.Start: (
        "start",
        "name listen discovery seed descriptors memory known=cached_endpoints "
        "connect_within idle_close terms=scheduler_config",
    ),
    discovery.DiscoveryUpdate: (
        "list-update",
        "version whole=is_snapshot entries addresses unclear=unreadable faults",
    ),
    AccordTerms: (
        "accord-terms",
        "who=member_id address electors=acceptors seeds budgets=quotas reserve=reserved_fraction "
        "most=max_members seed=random_seed lend=lendable_fraction ledger=fairness",
    ),
    QuotaSpec: ("budget", "name rate burst lends=lendable"),
    LedgerTerms: ("ledger-terms", "resources weights needs each=worker_capacity longest=max_job_time"),
    JobTerms: (
        "job-terms",
        "grades=service_classes limit=detached_timeout keep=retention most_open=max_open_jobs "
        "pace=resume_rate leases",
    ),
    LeaseTerms: ("lease-terms", "start_within=start_timeout beat_within=heartbeat_timeout"),
}
# What differs at each start, and what a description may say anew.
LEFT_OUT: dict[type, frozenset[str]] = {
    AccordTerms: frozenset({"who", "seed"}),
    script.Scenario: frozenset({"says"}),
}
# The scheduler's configuration: a stable label of each section, in the program's order.
SECTIONS = (
    "step",
    "fleet",
    "grades",
    "dispatching",
    "clients",
    "shares",
    "goal",
    "cold",
    "listing",
    "signs",
    "prices",
)
# Constants of the program, once they are no plain words any more.
WORDS: dict[Enum, str] = {
    Effect.IDEMPOTENT: "reissuable",
    Effect.IDEMPOTENT_WITH_KEY: "numbered",
    Effect.AT_MOST_ONCE: "at-most-once",
    DeduplicationScope.FLEET: "everyone",
    DeduplicationScope.ZONE: "same zone",
    DeduplicationScope.CELL: "same cell",
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
    EndpointState.GONE: "gone",
}


def sections(configuration: SchedulerConfig) -> dict[str, Any]:
    parts = [getattr(configuration, field.name) for field in dataclasses.fields(configuration)]
    return dict(zip(SECTIONS, parts, strict=True))


SPECIAL: dict[tuple[type, str], Callable[[Any], Any]] = {(start.Start, "scheduler_config"): sections}


def parse_start(path: Path) -> dict[str, Any]:
    """The platform's JSON: alone, with every variable set, and read again at a reload."""
    alone = {"GW_CONFIG": str(path)}
    variables = alone | {"GW_NAME": "other", "GW_LISTEN": "127.0.0.9:1", "GW_DISCOVERY": "127.0.0.9:2"}
    begun = start.read_start(alone)
    return {
        "start": begun,
        "with variables": start.read_start(variables),
        "again": start.read_start(variables, is_reload=True),
        "known list": discovery.read(begun.cached_endpoints, "known"),
    }


def parse_installation(path: Path) -> dict[str, Any]:
    parsed = load_installation(path)
    begun = start_from_installation(parsed, 5)
    return {
        "installation": parsed,
        "start": begun,
        "known list": discovery.read(begun.cached_endpoints, "known"),
        "durable": durable_terms(parsed.durable_jobs),
        "accord": accord_terms(parsed),
    }


def parse_scenario(path: Path) -> dict[str, Any]:
    """A script, and what its dispatchers are started with by it."""
    parsed = script.load(path)
    known = {"rev": 0, "all": True, "targets": []}
    config = told.config(parsed, 1, "127.0.0.1:7070", "127.0.0.1:8500", known)
    found = {
        "script": parsed,
        "start": start.start_from_document(JsonObject(config), {}),
        "kinds": [kind.name for kind in script.assign_worker_types(parsed)],
        "whom": [named(parsed, incident) for incident in parsed.incident],
    }
    if parsed.durable.on:
        found["durable"] = told.durable(parsed)
    if parsed.accord.on:
        places = [f"127.0.0.1:{7100 + number}" for number in range(parsed.fleet.dispatchers)]
        agreed = told.agreed(parsed, places[0], "", places, "")
        found["agreed"] = agreed
        found["accord"] = accord_terms(told.installation(parsed, "d0", agreed))
    return found


def named(parsed: script.Scenario, incident: script.FaultSpec) -> Any:
    """Whom an incident concerns; None for those that concern nobody by name."""
    try:
        return script.whom(parsed, incident)
    except ValueError:
        return None


def parse_wire_start(path: Path) -> dict[str, Any]:
    """The simulator's start messages, a line each."""
    found = []
    for line in path.read_text(encoding="utf-8").splitlines():
        message, fields = wire_line.parse_line(line)
        config = decoding.decode_config(fields["Config"])
        found.append([message, wire_line.read_integer(fields, "RngSeed"), sections(config)])
    return {"starts": found}


def parse_wire_list(path: Path) -> dict[str, Any]:
    return {
        "entries": [decoding.decode_endpoint(line) for line in path.read_text(encoding="utf-8").splitlines()]
    }


def parse_embedded(_: Path) -> dict[str, Any]:
    return {"script": script.embedded()}


# --- the comparison: nothing below here changes in a renaming

PARSERS: dict[str, Callable[[Path], dict[str, Any]]] = {
    "starts": parse_start,
    "installations": parse_installation,
    "scenarios": parse_scenario,
    "wire": lambda path: parse_wire_start(path) if path.stem == "start" else parse_wire_list(path),
}


def attributes(shape: str) -> list[tuple[str, str]]:
    """Pairs of label and attribute."""
    pairs = [word.partition("=") for word in shape.split()]
    return [(label, attribute or label) for label, _, attribute in pairs]


def rendered(value: Any) -> Any:
    """Plain data; floats and whole numbers stay apart, as JSON text shows them."""
    if type(value) in SHAPES:
        return rendered_fields(value)
    if isinstance(value, Enum):
        return WORDS[value]
    if isinstance(value, dict):
        return {str(rendered(key)): rendered(held) for key, held in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(rendered(member) for member in value)
    if isinstance(value, list | tuple):
        return [rendered(member) for member in value]
    assert value is None or type(value) in (bool, int, float, str), f"no shape for {type(value)}"
    return value


def rendered_fields(value: Any) -> dict[str, Any]:
    kind = type(value)
    tag, shape = SHAPES[kind]
    found: dict[str, Any] = {"is": tag}
    for label, attribute in attributes(shape):
        if label not in LEFT_OUT.get(kind, frozenset()):
            special = SPECIAL.get((kind, attribute), lambda held: held)
            found[label] = rendered(special(getattr(value, attribute)))
    return found


def as_text(parts: dict[str, Any]) -> str:
    return json.dumps(rendered(parts), sort_keys=True, ensure_ascii=False) + "\n"


def parsed_input(path: Path) -> str:
    return as_text(PARSERS[path.parent.name](path))


def fixture(path: Path) -> Path:
    return DATA / f"{path.parent.name}-{path.stem}.json"


def inputs() -> list[Path]:
    return sorted(path for path in INPUTS.glob("*/*") if path.is_file())


def expected(path: Path) -> str:
    return fixture(path).read_text(encoding="utf-8")


@pytest.mark.parametrize("path", inputs(), ids=lambda path: f"{path.parent.name}-{path.stem}")
def test_a_recorded_file_parses_to_the_recorded_values(path: Path) -> None:
    assert parsed_input(path) == expected(path)


def test_the_shipped_installation_parses_to_the_recorded_values() -> None:
    copy = INPUTS / "installations" / "locktide.toml"
    assert as_text(parse_installation(SHIPPED_INSTALLATION)) == expected(copy)


@pytest.mark.parametrize("path", sorted(SHIPPED_SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_a_shipped_scenario_parses_to_the_recorded_values(path: Path) -> None:
    assert as_text(parse_scenario(path)) == expected(INPUTS / "scenarios" / path.name)


def test_every_recorded_scenario_is_shipped() -> None:
    own = {"all-defaults", "every-key"}
    recorded = {path.stem for path in inputs() if path.parent.name == "scenarios"}
    assert {path.stem for path in SHIPPED_SCENARIOS.glob("*.toml")} == recorded - own


def test_the_embedded_scenario_has_the_recorded_values() -> None:
    assert as_text(parse_embedded(INPUTS)) == (DATA / "embedded.json").read_text(encoding="utf-8")


@pytest.mark.parametrize("kind", SHAPES, ids=lambda kind: f"{kind.__module__}.{kind.__name__}")
def test_a_shape_names_every_field(kind: type[Any]) -> None:
    if issubclass(kind, msgspec.Struct):
        names = [field.name for field in msgspec.structs.fields(kind)]
    else:
        names = [field.name for field in dataclasses.fields(kind)]
    assert sorted(attribute for _, attribute in attributes(SHAPES[kind][1])) == sorted(names)


def test_every_shape_takes_part() -> None:
    texts = "".join(path.read_text(encoding="utf-8") for path in DATA.glob("*.json"))
    assert [tag for tag, _ in SHAPES.values() if f'"is": "{tag}"' not in texts] == []


def record_missing() -> None:
    for path in inputs():
        if not fixture(path).exists():
            fixture(path).write_text(parsed_input(path), encoding="utf-8")
    if not (DATA / "embedded.json").exists():
        (DATA / "embedded.json").write_text(as_text(parse_embedded(INPUTS)), encoding="utf-8")


if __name__ == "__main__":
    record_missing()
