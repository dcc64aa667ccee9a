"""Complete dispatchers in a cluster, with tenants, in virtual time and as processes; the report on them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from locktide.cluster.quota import allocator
from locktide.config.errors import ConfigFileError
from locktide.simulation import cluster_report, outcome
from locktide.simulation import run as simulation_run
from locktide.simulation.model import scenario as scenarios
from locktide.simulation.model import traffic

REPOSITORY = Path(__file__).parents[2]
CLUSTER_SCENARIOS = sorted((REPOSITORY / "deploy" / "scenarios").glob("accord-*.toml"))


def shortened(name: str, **changes: Any) -> scenarios.Scenario:
    scenario = scenarios.load(REPOSITORY / "deploy" / "scenarios" / f"{name}.toml")
    incidents = [
        msgspec.structs.replace(one, at=one.at / 2, length=one.length / 2) for one in scenario.incident
    ]
    return msgspec.structs.replace(scenario, length=scenario.length / 3, incident=incidents[:3], **changes)


def test_every_shipped_scenario_is_valid_and_named_after_its_file() -> None:
    assert len(CLUSTER_SCENARIOS) == 6
    for path in CLUSTER_SCENARIOS:
        scenario = scenarios.load(path)
        assert scenario.name == path.stem and scenario.accord.on and scenario.tenant


def test_cut_and_lost_datagrams_break_no_rule_and_a_repeated_run_is_identical() -> None:
    scenario = shortened("accord-cut")
    first = simulation_run.in_virtual_time(scenario).outcome
    assert not outcome.count_violations(first), first["accord"]
    assert first["accord"]["changes"] > 20 and first["accord"]["ledgers_at_the_end"] == 1
    second = simulation_run.in_virtual_time(scenario).outcome
    assert json.dumps(second) == json.dumps(first)


def test_an_overrun_of_whole_dispatchers_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def whole(self: Any, who: Any, budget: int, held: int, steps: bool, now: int) -> int:
        return int(self.divisible[budget])

    monkeypatch.setattr(allocator.Allocator, "share_for", whole)
    result = simulation_run.in_virtual_time(shortened("accord-calm")).outcome
    assert result["accord"]["overruns"] and outcome.count_violations(result)


def test_processes_lend_while_an_owner_is_idle_and_it_has_its_own_again(tmp_path: Path) -> None:
    scenario = shortened("accord-lend")
    tenants = [msgspec.structs.replace(one, idle=[[0.5, 7.0]] if one.idle else []) for one in scenario.tenant]
    scenario = msgspec.structs.replace(scenario, tenant=tenants)
    result = asyncio.run(simulation_run.on_loopback(scenario, REPOSITORY, tmp_path)).outcome
    cluster_section = result["accord"]
    assert (
        not cluster_section["overruns"]
        and cluster_section["loans"]
        and cluster_section["ledgers_at_the_end"] == 1
    )
    assert not cluster_section["late_reclaims"]


def test_tenants_are_dealt_by_their_shares_their_homes_and_their_idle_times() -> None:
    scenario = scenarios.load(REPOSITORY / "deploy" / "scenarios" / "accord-lend.toml")
    requests = traffic.draw_requests(scenario)
    names = [request.tenant for request in requests]
    assert set(names) == {"dairy", "goats", "sheep"} and names.count("dairy") > 3 * names.count("goats")
    assert not [
        request for request in requests if request.tenant == "goats" and 0.5 <= request.at / 1e6 < 14.0
    ]
    assert {request.home for request in requests if request.tenant == "sheep"} == {2}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (("home = 2", "home = 9"), "tenant[2].home"),
        (("idle = [[0.5, 17.0]]", "idle = [[17.0, 0.5]]"), "tenant[2].idle"),
        (('name = "sheep"', 'name = "goats"'), "tenant[2].name"),
        (("rate = 50.0", "rate = 0.5"), "tenant[0].rate"),
        (("holds = {slots = 1.0", "holds = {salt = 1.0"), "grade[0].holds"),
    ],
)
def test_a_faulty_tenant_names_its_key(change: tuple[str, str], key: str) -> None:
    text = (REPOSITORY / "deploy" / "scenarios" / "accord-lend.toml").read_text()
    assert change[0] in text
    with pytest.raises(ConfigFileError) as found:
        scenarios.parse(text.replace(*change))
    assert key in str(found.value)


def test_late_reclaims_and_unequal_ledgers_are_violations() -> None:
    valid_section = {"overruns": 0, "late_reclaims": 0, "ledgers_at_the_end": 1}
    assert (
        cluster_report.count_cluster_violations(None)
        == cluster_report.count_cluster_violations(valid_section)
        == 0
    )
    for key, value in (("overruns", 2), ("late_reclaims", 1), ("ledgers_at_the_end", 2)):
        assert cluster_report.count_cluster_violations(valid_section | {key: value})
