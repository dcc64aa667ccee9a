"""Idle capacity lent: within the owner's whole, never passed on, and back within a second of its return."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from locktide.cluster.borrowing.lender import IDLE_AFTER
from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.borrowing.matching import fill_evenly, match_loans
from locktide.cluster.quota import lease_holder as holder
from locktide.cluster.quota import local_quota as purse
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster import borrowing_runs as idle
from locktide.simulation.cluster.quota_checker import QuotaChecker
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

SECOND = 1_000_000
AMOUNTS = st.dictionaries(st.integers(0, 9), st.integers(1, 10**9), max_size=6)


PAIRS = st.dictionaries(st.tuples(st.integers(0, 9), st.integers(0, 9)), st.integers(0, 10**9))


@given(AMOUNTS, AMOUNTS, PAIRS)
def test_no_more_is_matched_than_is_free_and_nothing_is_left_that_somebody_is_short_of(
    short: dict[int, int], free: dict[int, int], before: dict[tuple[int, int], int]
) -> None:
    given_ = fill_evenly(short, sum(free.values()))
    assert sum(given_.values()) == min(sum(short.values()), sum(free.values()))
    assert all(given_[name] <= short[name] for name in short)
    found = match_loans(given_, free, before)
    for owner, has in free.items():
        assert sum(part for pair, part in found.items() if pair[0] == owner) <= has
    for name, amount in given_.items():
        assert sum(part for pair, part in found.items() if pair[1] == name) == amount


def test_who_is_short_of_less_gets_all_of_it_and_the_order_decides_on_the_rest() -> None:
    assert fill_evenly({1: 10, 2: 100, 3: 100}, 70) == {1: 10, 2: 30, 3: 30}
    assert fill_evenly({5: 9, 4: 9}, 1) == {5: 1, 4: 0}


def wants(rate: float) -> int:
    """The demand that a steady rate is told as."""
    return int(rate * 0.6)


def broker() -> LoanAllocator:
    rates = {0: 100 * 10**6, 1: 100 * 10**6, 2: 50 * 10**6}
    made = LoanAllocator(rates, dict.fromkeys(range(3), 900_000), 800_000, 0)
    for step in range(120):
        made.replan({0: wants(250)}, [], {}, step * SECOND // 4)
    return made


def test_what_an_owner_does_not_use_is_lent_and_it_lends_nothing_for_a_while_after_it_is_back() -> None:
    here, now = broker(), 30 * SECOND
    assert here.planned_loans[1, 0] == pytest.approx(720_000, abs=9_000)
    assert here.planned_loans[2, 0] == pytest.approx(720_000, abs=9_000)
    assert here.record_demand(1, now) and not here.record_demand(1, now + 1), "it is called back once"
    assert (1, 0) not in here.planned_loans
    for step in range(1, 12):
        here.replan({0: wants(250)}, [], {}, now + step * IDLE_AFTER // 12)
        assert (1, 0) not in here.planned_loans, "it flaps at its own cost, not at others'"
    for step in range(12, 30):
        here.replan({0: wants(250)}, [], {}, now + step * IDLE_AFTER // 12)
    assert (1, 0) in here.planned_loans


def test_an_owner_that_uses_a_part_lends_the_rest_and_calls_it_back_once_it_wants_more() -> None:
    here, now = broker(), 30 * SECOND
    for step in range(40):
        here.record_demand(1, now)
        now += SECOND // 4
        assert not here.replan({0: wants(250), 1: wants(20)}, [], {}, now) or step < 2
    lent = here.planned_loans[1, 0]
    assert 300_000 < lent < 500_000
    assert here.replan({0: wants(250), 1: wants(95)}, [], {(1, 0): lent}, now + 1) == [1]
    assert (1, 0) not in here.planned_loans


def test_nobody_lends_while_it_borrows_nor_borrows_while_it_lends() -> None:
    here, now = broker(), 30 * SECOND
    lent = dict(here.planned_loans)
    assert lent
    # Who lent is short itself now; all that it lent is still out, by the books.
    here.replan({0: wants(250), 1: wants(300)}, [], lent, now)
    assert not any(1 in pair for pair in here.planned_loans)
    here.replan({2: wants(300)}, [], {(1, 0): 700_000}, now + 1)
    assert not any(pair[0] == 0 for pair in here.planned_loans), "what it was lent may still be spent"


@pytest.mark.parametrize("trouble", [trouble for trouble in idle.TROUBLES if trouble != "who divides killed"])
def test_a_returning_owner_has_its_own_again_within_a_second(trouble: str) -> None:
    told = idle.returns(2, trouble)
    assert not told.overruns and len(told.reclaims) == 3
    assert all(one.loans_over <= SECOND for one in told.reclaims)
    assert all(0 <= one.whole <= SECOND for one in told.reclaims)
    assert told.after > 0.85


def test_loans_end_within_a_second_also_where_nobody_is_left_to_call_them_back() -> None:
    told = idle.returns(2, "who divides killed")
    assert not told.overruns and told.reclaims[0].loans_over <= SECOND


def test_lending_serves_more_and_overruns_nothing() -> None:
    alone, lent = idle.worth(2, 0.0), idle.worth(2, 0.8)
    assert not lent.overruns and lent.served > alone.served + 0.3


def world(budgets: tuple[QuotaSpec, ...]) -> VirtualCluster:
    made = VirtualCluster(3, ["d0", "d1", "d2"], 3, 4, budgets=budgets, lend=0.8)
    for name in made.names:
        made.begin(name)
    return made


def asked(made: VirtualCluster, until: int) -> None:
    while made.now < until:
        made.run(made.now + 20_000)
        for process in made.all:
            for _ in range(3):
                process.spend("busy")


def test_what_cold_workers_bear_is_never_lent() -> None:
    made = world(
        (
            QuotaSpec("busy", 20.0, 20.0, True),
            QuotaSpec("cold"),
            QuotaSpec("cold windows", 50.0, 50.0, False),
            QuotaSpec("idle", 50.0, 50.0, True),
        )
    )
    asked(made, 14 * SECOND)
    lenders = {pair[0] for told in made.meter.told.values() for one in told for pair in one.loans}
    assert lenders == {"idle"} and not made.meter.overruns()


# --- that the meter can fail


def passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Who is lent something lends it to another."""
    settle = purse.LocalQuota.update

    def hands_on(self: Any, held: Any, until: int, loans: Any, loans_until: int, now: int) -> bool:
        more = {(borrower, "other"): part // 2 for (_, borrower), part in loans.items()}
        return settle(self, held, until, loans | more, loans_until, now)

    monkeypatch.setattr(purse.LocalQuota, "update", hands_on)


def kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """A loan's end is ignored, and so is its recall."""
    settle = purse.LocalQuota.update

    def endless(self: Any, held: Any, until: int, loans: Any, loans_until: int, now: int) -> bool:
        return settle(self, held, until, loans, 1 << 60 if loans else 0, now)

    monkeypatch.setattr(holder.LeaseHolder, "current_loans", lambda self, now: self.loans)
    monkeypatch.setattr(holder.LeaseHolder, "accept_revocation", lambda self, word, now: None)
    monkeypatch.setattr(purse.LocalQuota, "update", endless)
    monkeypatch.setattr(purse.LocalQuota, "expire", lambda self, now: False)


@pytest.mark.parametrize("fault", [None, passed_on, kept])
def test_the_meter_finds_a_loan_that_is_passed_on_or_kept(
    fault: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    if fault:
        fault(monkeypatch)
    made = world(
        (
            QuotaSpec("busy", 20.0, 20.0, True),
            QuotaSpec("idle", 50.0, 50.0, True),
            QuotaSpec("other", 50.0, 50.0),
        )
    )
    asked(made, 14 * SECOND)
    borrower = next(one for one in made.all if one.agent.local_quota.loans and one.agent.allocator is None)
    made.net.cut = {pair for name in made.names for pair in ((borrower.name, name), (name, borrower.name))}
    back = next(one for one in made.all if one is not borrower)
    for _ in range(200):
        made.run(made.now + 20_000)
        back.spend("idle")
    assert bool(made.meter.overruns()) == bool(fault)


def test_the_meter_times_a_reclaim_by_hand() -> None:
    meter = QuotaChecker({"x": (0.0, 0.0)})
    meter.in_force("a", 0, {"x": 200_000}, 10**9, 0, {("x", "y"): 700_000}, 10**9)
    meter.ask("x", 0)
    meter.ask("x", 5 * SECOND)
    meter.in_force("a", 5 * SECOND + 300, {"x": 200_000}, 10**9, 0)
    meter.in_force("a", 5 * SECOND + 900, {"x": 950_000}, 10**9, 0)
    told = meter.reclaims(3 * SECOND)
    assert [(one.loans_over, one.whole) for one in told] == [(300, 900)]
    assert not meter.reclaims(6 * SECOND) and not meter.overruns()
