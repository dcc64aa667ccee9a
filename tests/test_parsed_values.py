"""Parsed values: configuration that is read at a start has the same values after a rename in the program.

Each file under `data/parsed/inputs/` is parsed, rendered as plain data with the stable labels of `SHAPES`,
and compared with its fixture; the shipped files must parse to the same values as their copies. A rename in
the program changes only the part of this file above "the comparison", and no file below `data/parsed/`.

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
from locktide.cluster.bootstrap import cluster_config
from locktide.cluster.config import ClusterConfig
from locktide.cluster.fairness.ledger import FairnessConfig
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
from locktide.durable.bootstrap import job_config
from locktide.durable.job_config import JobConfig
from locktide.durable.leases import LeaseConfig
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
from locktide.simulation import rendered_config
from locktide.simulation.model import scenario as scenarios
from locktide.simulation.model import tenants

ROOT = Path(__file__).resolve().parents[1]
DATA = Path(__file__).parent / "data" / "parsed"
INPUTS = DATA / "inputs"

# --- translation: the only part that depends on the program's names

SHIPPED_INSTALLATION = ROOT / "deploy" / "locktide.toml"
SHIPPED_SCENARIOS = ROOT / "deploy" / "scenarios"

# The stable tag and fields of each class: LABEL, or LABEL=ATTRIBUTE where the attribute was renamed.
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
    scenarios.WorkerTypeSpec: ("script-kind", "name share cores speed"),
    scenarios.FleetSpec: ("script-fleet", "dispatchers workers zones pod kinds"),
    scenarios.WorkerSpec: (
        "script-worker",
        "queue cold_from cold_for fall_factor fall_for spread pause_every pause error_rate handshake "
        "connections idle_close progress early twice call_tries call_gap cancels hands_back",
    ),
    scenarios.SharedCapacitySpec: ("script-shared", "capacity"),
    scenarios.DiscoverySpec: ("script-roster", "notice add spread whole call call_waits ask_within"),
    scenarios.ClientSpec: ("script-clients", "load retries backoff honours impatient bodies"),
    scenarios.ServiceClassSpec: (
        "script-grade",
        "name share work sigma width soft stretch limit revenue late effect memory holds",
    ),
    scenarios.NetworkSpec: ("script-network", "same cross client jitter shred"),
    scenarios.LoadBalancerSpec: ("script-front", "notice check"),
    scenarios.DurableSpec: (
        "script-durable",
        "on grades asks limit start_within beat_within sync segment_kb zeros",
    ),
    scenarios.DispatcherSpec: (
        "script-dispatcher",
        "dispatches drain_grace longest_advice connect sockets memory_mb settings",
    ),
    scenarios.FaultSpec: ("script-incident", "at length what whom factor share gap point spread"),
    scenarios.Scenario: (
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
        "must_ask=is_polled ask_within=poll_within live=has_live_ratings "
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
    ClusterConfig: (
        "accord-terms",
        "who=member_id address electors=acceptors seeds budgets=quotas reserve=reserved_fraction "
        "most=max_members seed=random_seed lend=lendable_fraction ledger=fairness",
    ),
    QuotaSpec: ("budget", "name rate burst lends=lendable"),
    FairnessConfig: ("ledger-terms", "resources weights needs each=worker_capacity longest=max_job_time"),
    JobConfig: (
        "job-terms",
        "grades=service_classes limit=detached_timeout keep=retention most_open=max_open_jobs "
        "pace=resume_rate leases",
    ),
    LeaseConfig: ("lease-terms", "start_within=start_timeout beat_within=heartbeat_timeout"),
}
# Fields that differ at each start, and a description that may be reworded.
LEFT_OUT: dict[type, frozenset[str]] = {
    ClusterConfig: frozenset({"who", "seed"}),
    scenarios.Scenario: frozenset({"says"}),
}
# A stable label of each section of the scheduler's configuration, in the program's order.
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
# The stable word for each member of an enum of the program.
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
    """Parse the platform's JSON: without variables, with every variable set, and again as at a reload."""
    file_only = {"GW_CONFIG": str(path)}
    variables = file_only | {"GW_NAME": "other", "GW_LISTEN": "127.0.0.9:1", "GW_DISCOVERY": "127.0.0.9:2"}
    parsed_start = start.read_start(file_only)
    return {
        "start": parsed_start,
        "with variables": start.read_start(variables),
        "again": start.read_start(variables, is_reload=True),
        "known list": discovery.read(parsed_start.cached_endpoints, "known"),
    }


def parse_installation(path: Path) -> dict[str, Any]:
    parsed = load_installation(path)
    parsed_start = start_from_installation(parsed, 5)
    return {
        "installation": parsed,
        "start": parsed_start,
        "known list": discovery.read(parsed_start.cached_endpoints, "known"),
        "durable": job_config(parsed.durable_jobs),
        "accord": cluster_config(parsed),
    }


def parse_scenario(path: Path) -> dict[str, Any]:
    """Parse a scenario, and the configuration that its dispatchers start with."""
    parsed = scenarios.load(path)
    known = {"rev": 0, "all": True, "targets": []}
    config = rendered_config.config(parsed, 1, "127.0.0.1:7070", "127.0.0.1:8500", known)
    parts = {
        "script": parsed,
        "start": start.start_from_document(JsonObject(config), {}),
        "kinds": [kind.name for kind in scenarios.assign_worker_types(parsed)],
        "whom": [find_targets(parsed, fault) for fault in parsed.incident],
    }
    if parsed.durable.on:
        parts["durable"] = rendered_config.durable(parsed)
    if parsed.accord.on:
        addresses = [f"127.0.0.1:{7100 + number}" for number in range(parsed.fleet.dispatchers)]
        cluster_section = rendered_config.cluster_section(parsed, addresses[0], "", addresses, "")
        parts["agreed"] = cluster_section
        parts["accord"] = cluster_config(rendered_config.installation(parsed, "d0", cluster_section))
    return parts


def find_targets(parsed: scenarios.Scenario, fault: scenarios.FaultSpec) -> Any:
    """Return the targets of a fault; None where it names none."""
    try:
        return scenarios.resolve_targets(parsed, fault)
    except ValueError:
        return None


def parse_wire_start(path: Path) -> dict[str, Any]:
    """Parse the simulator's start messages, one a line."""
    starts = []
    for line in path.read_text(encoding="utf-8").splitlines():
        message, fields = wire_line.parse_line(line)
        config = decoding.decode_config(fields["Config"])
        starts.append([message, wire_line.read_integer(fields, "RngSeed"), sections(config)])
    return {"starts": starts}


def parse_wire_list(path: Path) -> dict[str, Any]:
    return {
        "entries": [decoding.decode_endpoint(line) for line in path.read_text(encoding="utf-8").splitlines()]
    }


def parse_embedded(_: Path) -> dict[str, Any]:
    return {"script": scenarios.default_scenario()}


# --- the comparison: a rename in the program changes nothing below

PARSERS: dict[str, Callable[[Path], dict[str, Any]]] = {
    "starts": parse_start,
    "installations": parse_installation,
    "scenarios": parse_scenario,
    "wire": lambda path: parse_wire_start(path) if path.stem == "start" else parse_wire_list(path),
}


def attributes(shape: str) -> list[tuple[str, str]]:
    """Return pairs of label and attribute."""
    pairs = [word.partition("=") for word in shape.split()]
    return [(label, attribute or label) for label, _, attribute in pairs]


def rendered(value: Any) -> Any:
    """Return plain data; floats and whole numbers remain distinct, as in JSON text."""
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
