"""Borrowing: loans stay within the lender's whole, are not lent on, and end soon once it has demand again."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from locktide.cluster.borrowing.lender import IDLE_AFTER
from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.borrowing.matching import fill_evenly, match_loans
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.local_quota import LocalQuota, QuotaSpec
from locktide.cluster.quota.types import LoanKey
from locktide.simulation.cluster import borrowing_runs
from locktide.simulation.cluster.quota_checker import QuotaChecker
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

SECOND = 1_000_000

# --- matching

AMOUNTS = st.dictionaries(st.integers(0, 9), st.integers(1, 10**9), max_size=6)
PAIRS = st.dictionaries(st.tuples(st.integers(0, 9), st.integers(0, 9)), st.integers(0, 10**9))


@given(AMOUNTS, AMOUNTS, PAIRS)
def test_matched_loans_stay_within_what_is_free_and_leave_no_shortfall_that_could_be_met(
    shortfalls: dict[int, int], lendable: dict[int, int], previous: dict[Any, int]
) -> None:
    filled = fill_evenly(shortfalls, sum(lendable.values()))
    assert sum(filled.values()) == min(sum(shortfalls.values()), sum(lendable.values()))
    assert all(filled[borrower] <= shortfalls[borrower] for borrower in shortfalls)
    loans = match_loans(filled, lendable, previous)
    for lender, amount in lendable.items():
        assert sum(lent for key, lent in loans.items() if key[0] == lender) <= amount
    for borrower, amount in filled.items():
        assert sum(lent for key, lent in loans.items() if key[1] == borrower) == amount


def test_smallest_shortfall_is_met_in_full_and_the_remainder_goes_by_order() -> None:
    assert fill_evenly({1: 10, 2: 100, 3: 100}, 70) == {1: 10, 2: 30, 3: 30}
    assert fill_evenly({5: 9, 4: 9}, 1) == {5: 1, 4: 0}


# --- planning


def demand_of(rate: float) -> int:
    """Return the demand that a member reports for a steady rate."""
    return int(rate * 0.6)


def settled_allocator() -> LoanAllocator:
    """Return an allocator for which quota 0 was short for thirty seconds, and quotas 1 and 2 were idle."""
    rates = {0: 100 * 10**6, 1: 100 * 10**6, 2: 50 * 10**6}
    allocator = LoanAllocator(rates, dict.fromkeys(range(3), 900_000), 800_000, 0)
    for step in range(120):
        allocator.replan({0: demand_of(250)}, [], {}, step * SECOND // 4)
    return allocator


def test_idle_quota_is_lent_and_once_its_demand_returns_lends_nothing_for_a_while() -> None:
    allocator, now = settled_allocator(), 30 * SECOND
    assert allocator.planned_loans[LoanKey(1, 0)] == pytest.approx(720_000, abs=9_000)
    assert allocator.planned_loans[LoanKey(2, 0)] == pytest.approx(720_000, abs=9_000)
    assert allocator.record_demand(1, now) and not allocator.record_demand(1, now + 1), "revoked once"
    assert (1, 0) not in allocator.planned_loans
    for step in range(1, 12):
        allocator.replan({0: demand_of(250)}, [], {}, now + step * IDLE_AFTER // 12)
        assert (1, 0) not in allocator.planned_loans, "intermittent demand costs only the lender itself"
    for step in range(12, 30):
        allocator.replan({0: demand_of(250)}, [], {}, now + step * IDLE_AFTER // 12)
    assert (1, 0) in allocator.planned_loans


def test_partly_used_quota_lends_the_rest_and_is_reclaimed_once_demand_exceeds_what_it_retained() -> None:
    allocator, now = settled_allocator(), 30 * SECOND
    for step in range(40):
        allocator.record_demand(1, now)
        now += SECOND // 4
        assert not allocator.replan({0: demand_of(250), 1: demand_of(20)}, [], {}, now) or step < 2
    lent = allocator.planned_loans[LoanKey(1, 0)]
    assert 300_000 < lent < 500_000
    assert allocator.replan({0: demand_of(250), 1: demand_of(95)}, [], {LoanKey(1, 0): lent}, now + 1) == [1]
    assert (1, 0) not in allocator.planned_loans


def test_no_quota_lends_while_it_borrows_nor_borrows_while_it_lends() -> None:
    allocator, now = settled_allocator(), 30 * SECOND
    outstanding = dict(allocator.planned_loans)
    assert outstanding
    # The lender is short itself now; by the accounts all of its loans may still be in force.
    allocator.replan({0: demand_of(250), 1: demand_of(300)}, [], outstanding, now)
    assert not any(1 in key for key in allocator.planned_loans)
    allocator.replan({2: demand_of(300)}, [], {LoanKey(1, 0): 700_000}, now + 1)
    assert not any(key[0] == 0 for key in allocator.planned_loans), "quota 0 may still spend its loans"


# --- many members


@pytest.mark.parametrize("fault", [fault for fault in borrowing_runs.FAULTS if fault != "who divides killed"])
def test_returning_lender_has_its_whole_again_within_a_second(fault: str) -> None:
    result = borrowing_runs.measure_reclaims(2, fault)
    assert not result.overruns and len(result.reclaims) == 3
    assert all(reclaim.loans_over_after <= SECOND for reclaim in result.reclaims)
    assert all(0 <= reclaim.share_restored_after <= SECOND for reclaim in result.reclaims)
    assert result.served_after_return > 0.85


def test_loans_end_within_a_second_when_no_leader_is_left_to_revoke_them() -> None:
    result = borrowing_runs.measure_reclaims(2, "who divides killed")
    assert not result.overruns and result.reclaims[0].loans_over_after <= SECOND


def test_lending_serves_more_requests_and_overruns_nothing() -> None:
    without, lending = borrowing_runs.measure_service(2, 0.0), borrowing_runs.measure_service(2, 0.8)
    assert not lending.overruns and lending.served > without.served + 0.3


def cluster_with(quotas: tuple[QuotaSpec, ...]) -> VirtualCluster:
    cluster = VirtualCluster(3, ["d0", "d1", "d2"], 3, 4, quotas=quotas, lendable_fraction=0.8)
    for name in cluster.names:
        cluster.start(name)
    return cluster


def run_with_busy_demand(cluster: VirtualCluster, until: int) -> None:
    while cluster.now < until:
        cluster.run(cluster.now + 20_000)
        for process in cluster.processes:
            for _ in range(3):
                process.spend("busy")


def test_quota_that_is_not_lendable_is_never_lent() -> None:
    """In particular, the capacity of workers that are warming up must not be lent."""
    cluster = cluster_with(
        (
            QuotaSpec("busy", 20.0, 20.0, True),
            QuotaSpec("cold"),
            QuotaSpec("cold windows", 50.0, 50.0, False),
            QuotaSpec("idle", 50.0, 50.0, True),
        )
    )
    run_with_busy_demand(cluster, 14 * SECOND)
    reports = [
        report for process_reports in cluster.checker.quotas_by_process.values() for report in process_reports
    ]
    lenders = {names[0] for report in reports for names in report.loans}
    assert lenders == {"idle"} and not cluster.checker.overruns()


@pytest.mark.parametrize("late", [0, 1, 10 * SECOND])
@pytest.mark.parametrize(
    ("loans_until", "shares_until"), [(3 * SECOND, 9 * SECOND), (9 * SECOND, 3 * SECOND)]
)
def test_quota_spends_nothing_of_a_loan_once_the_loan_or_its_lease_has_expired(
    loans_until: int, shares_until: int, late: int
) -> None:
    """A dispatcher was stopped while it held a loan, and when it resumed, a request arrived before its timer.

    If a loan ended only at the next update, the dispatcher would spend an expired loan that its lender spends
    as well, and both together would exceed the lender's whole. A loan must end by the clock alone, at its own
    expiry or at that of the lease.
    """
    expiry = min(loans_until, shares_until)

    def spent_of(now: int) -> set[str | None]:
        specs = [QuotaSpec("busy"), QuotaSpec("idle", rate=100.0, burst=100.0, lendable=True)]
        quota = LocalQuota(specs, reserve=0.0, max_processes=3, now=0)
        quota.update({}, shares_until, {("idle", "busy"): 500_000}, loans_until, 0)
        return {quota.spend("busy", now) for _ in range(100)}

    assert spent_of(expiry - 1) == {"idle", None}
    assert spent_of(expiry + late) == {None}


def test_borrower_stopped_past_its_loan_spends_none_of_it_before_its_next_tick() -> None:
    """The same in a running cluster: a borrower is stopped until its loan has expired, then gets requests.

    Neither a message nor its timer reaches the borrower before the requests. Its lender counts the loan as
    returned by then, so each request must take a token of the borrower's own quota or get none.
    """
    cluster = cluster_with((QuotaSpec("busy", 20.0, 20.0, True), QuotaSpec("idle", 50.0, 50.0, True)))
    run_with_busy_demand(cluster, 14 * SECOND)
    borrower = next(
        process
        for process in cluster.processes
        if process.member.local_quota.loans and process.member.allocator is None
    )
    quota = borrower.member.local_quota
    borrower.pause()
    while borrower.clock() < quota.loans_until - 20_000:
        cluster.run(cluster.now + 10_000)
    assert "idle" in {
        borrower.member.spend("busy", borrower.clock()) for _ in range(12)
    }, "the loan is in force"
    while borrower.clock() < quota.loans_until:
        cluster.run(cluster.now + 10_000)
    assert quota.loans, "neither a message nor the timer has ended the loan"
    sources = {borrower.member.spend("busy", borrower.clock()) for _ in range(50)}
    assert sources <= {"busy", None}
    assert not quota.loans


# --- injected faults that the checker must find


def pass_loans_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a member lend half of what it borrows to another quota."""
    original_update = LocalQuota.update

    def lend_on(self: Any, held: Any, shares_until: int, loans: Any, loans_until: int, now: int) -> bool:
        passed_on = {(borrower, "other"): share // 2 for (_, borrower), share in loans.items()}
        return original_update(self, held, shares_until, loans | passed_on, loans_until, now)

    monkeypatch.setattr(LocalQuota, "update", lend_on)


def keep_expired_loans(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a member ignore the expiry and the revocation of its loans."""
    original_update = LocalQuota.update

    def update_without_expiry(
        self: Any, held: Any, shares_until: int, loans: Any, loans_until: int, now: int
    ) -> bool:
        return original_update(self, held, shares_until, loans, 1 << 60 if loans else 0, now)

    monkeypatch.setattr(LeaseHolder, "current_loans", lambda self, now: self.loans)
    monkeypatch.setattr(LeaseHolder, "accept_revocation", lambda self, revocation, now: None)
    monkeypatch.setattr(LocalQuota, "update", update_without_expiry)
    monkeypatch.setattr(LocalQuota, "expire", lambda self, now: False)


@pytest.mark.parametrize("fault", [None, pass_loans_on, keep_expired_loans])
def test_checker_finds_a_loan_that_is_passed_on_or_kept(fault: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault:
        fault(monkeypatch)
    cluster = cluster_with(
        (
            QuotaSpec("busy", 20.0, 20.0, True),
            QuotaSpec("idle", 50.0, 50.0, True),
            QuotaSpec("other", 50.0, 50.0),
        )
    )
    run_with_busy_demand(cluster, 14 * SECOND)
    borrower = next(
        process
        for process in cluster.processes
        if process.member.local_quota.loans and process.member.allocator is None
    )
    cluster.network.cut = {
        link for name in cluster.names for link in ((borrower.name, name), (name, borrower.name))
    }
    returning = next(process for process in cluster.processes if process is not borrower)
    for _ in range(200):
        cluster.run(cluster.now + 20_000)
        returning.spend("idle")
    assert bool(cluster.checker.overruns()) == bool(fault)


def test_checker_measures_how_long_a_reclaim_takes() -> None:
    checker = QuotaChecker({"x": (0.0, 0.0)})
    checker.record_quotas("a", 0, {"x": 200_000}, 10**9, 0, {("x", "y"): 700_000}, 10**9)
    checker.record_submission("x", 0)
    checker.record_submission("x", 5 * SECOND)
    checker.record_quotas("a", 5 * SECOND + 300, {"x": 200_000}, 10**9, 0)
    checker.record_quotas("a", 5 * SECOND + 900, {"x": 950_000}, 10**9, 0)
    reclaims = checker.reclaims(3 * SECOND)
    assert [(reclaim.loans_over_after, reclaim.share_restored_after) for reclaim in reclaims] == [(300, 900)]
    assert not checker.reclaims(6 * SECOND) and not checker.overruns()
