"""Whole dispatchers that agree, with tenants, in virtual time and as processes; what figures say of it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from locktide.cluster.quota import allocator as giver
from locktide.config.errors import ConfigFileError
from locktide.simulation import cluster_report as agreed
from locktide.simulation import outcome
from locktide.simulation import run as play
from locktide.simulation.model import scenario as scripts
from locktide.simulation.model import traffic

HERE = Path(__file__).parents[2]
SHIPPED = sorted((HERE / "deploy" / "scenarios").glob("accord-*.toml"))


def shorter(name: str, **changes: Any) -> scripts.Scenario:
    told = scripts.load(HERE / "deploy" / "scenarios" / f"{name}.toml")
    incidents = [msgspec.structs.replace(one, at=one.at / 2, length=one.length / 2) for one in told.incident]
    return msgspec.structs.replace(told, length=told.length / 3, incident=incidents[:3], **changes)


def test_all_that_is_shipped_is_read_and_named_after_its_file() -> None:
    assert len(SHIPPED) == 6
    for path in SHIPPED:
        told = scripts.load(path)
        assert told.name == path.stem and told.accord.on and told.tenant


def test_a_cut_and_lost_talk_breaks_no_promise_and_the_same_day_comes_again() -> None:
    script = shorter("accord-cut")
    first = play.in_virtual_time(script).outcome
    assert not outcome.count_violations(first), first["accord"]
    assert first["accord"]["changes"] > 20 and first["accord"]["ledgers_at_the_end"] == 1
    again = play.in_virtual_time(script).outcome
    assert json.dumps(again) == json.dumps(first)


def test_an_overrun_of_whole_dispatchers_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def whole(self: Any, who: Any, budget: int, held: int, steps: bool, now: int) -> int:
        return int(self.divisible[budget])

    monkeypatch.setattr(giver.Allocator, "share_for", whole)
    told = play.in_virtual_time(shorter("accord-calm")).outcome
    assert told["accord"]["overruns"] and outcome.count_violations(told)


def test_processes_lend_while_an_owner_is_idle_and_it_has_its_own_again(tmp_path: Path) -> None:
    script = shorter("accord-lend")
    tenants = [msgspec.structs.replace(one, idle=[[0.5, 7.0]] if one.idle else []) for one in script.tenant]
    script = msgspec.structs.replace(script, tenant=tenants)
    told = asyncio.run(play.on_loopback(script, HERE, tmp_path)).outcome
    accord = told["accord"]
    assert not accord["overruns"] and accord["loans"] and accord["ledgers_at_the_end"] == 1
    assert not accord["late_reclaims"]


def test_tenants_are_dealt_by_their_shares_their_homes_and_their_idle_times() -> None:
    script = scripts.load(HERE / "deploy" / "scenarios" / "accord-lend.toml")
    asks = traffic.draw_requests(script)
    names = [ask.tenant for ask in asks]
    assert set(names) == {"dairy", "goats", "sheep"} and names.count("dairy") > 3 * names.count("goats")
    assert not [ask for ask in asks if ask.tenant == "goats" and 0.5 <= ask.at / 1e6 < 14.0]
    assert {ask.home for ask in asks if ask.tenant == "sheep"} == {2}


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
    text = (HERE / "deploy" / "scenarios" / "accord-lend.toml").read_text()
    assert change[0] in text
    with pytest.raises(ConfigFileError) as found:
        scripts.parse(text.replace(*change))
    assert key in str(found.value)


def test_late_reclaims_and_unequal_ledgers_are_breaches() -> None:
    fine = {"overruns": 0, "late_reclaims": 0, "ledgers_at_the_end": 1}
    assert agreed.count_cluster_violations(None) == agreed.count_cluster_violations(fine) == 0
    for key, value in (("overruns", 2), ("late_reclaims", 1), ("ledgers_at_the_end", 2)):
        assert agreed.count_cluster_violations(fine | {key: value})
