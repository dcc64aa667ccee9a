"""Quotas: the shares and loans in force never sum to more than the whole, whatever fails."""

from __future__ import annotations

from typing import Any

import pytest
from cluster_helpers import SECOND, settled_cluster
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.cluster.election.proposer import Proposer
from locktide.cluster.member import ClusterMember
from locktide.cluster.quota.allocation import target_shares
from locktide.cluster.quota.allocator import Allocator
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import MAX_CLOCK_DRIFT, SHARE_LEASE, lifetime_at_grantor
from locktide.cluster.quota.local_quota import LocalQuota, QuotaSpec
from locktide.cluster.quota.token_bucket import TokenBucket
from locktide.simulation.cluster import model_checking, random_runs
from locktide.simulation.cluster.quota_checker import QuotaChecker
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

# --- quotas


@given(st.integers(1, 10**12), st.integers(0, MAX_CLOCK_DRIFT), st.integers(0, MAX_CLOCK_DRIFT))
def test_holder_stops_before_grantor_whatever_the_rates_of_their_clocks(
    span: int, fast: int, slow: int
) -> None:
    at_holder = span * 1_000_000 / (1_000_000 - slow)
    at_grantor = lifetime_at_grantor(span) * 1_000_000 / (1_000_000 + fast)
    assert at_holder <= at_grantor


@given(st.dictionaries(st.text(max_size=5), st.integers(0, 10**6), max_size=9), st.integers(0, 10**6))
def test_targets_never_sum_to_more_than_there_is(demand: dict[str, int], divisible: int) -> None:
    for minimum in (0, 1, divisible // 7, 10**6):
        targets = target_shares(demand, divisible, minimum)
        assert targets.keys() == demand.keys()
        assert sum(targets.values()) <= divisible and all(share >= 0 for share in targets.values())
        assert targets == target_shares(dict(reversed(demand.items())), divisible, minimum)


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(1, 400_000), st.integers(0, 3), st.integers(0, 10**6)), max_size=60))
def test_buckets_whose_shares_move_spend_no_more_than_the_whole(steps: list[tuple[int, int, int]]) -> None:
    checker, now = QuotaChecker({"x": (50.0, 10.0)}), 0
    shares = [250_000] * 4
    buckets = [TokenBucket(50.0, 10.0, share, 0) for share in shares]
    for span, index, share in steps:
        now += span
        available = 1_000_000 - sum(shares) + shares[index]
        shares[index] = min(share, available)
        buckets[index].set_share(shares[index], now)
        for bucket in buckets:
            while bucket.spend(now):
                checker.record_spending("x", now)
    assert not checker.overruns()


def test_share_follows_demand_and_is_free_again_within_a_lease_and_a_second_of_its_holders_death() -> None:
    """One member gets all the demand, so that nearly the whole quota moves to it; then it is killed.

    The dead member cannot return its share. The share must not be granted to others while it may be in force,
    and must be granted to them within the lease and a second.
    """
    cluster = settled_cluster()
    busy = cluster.processes[0] if cluster.processes[0].member.allocator is None else cluster.processes[1]

    def spend_tokens() -> None:
        for _ in range(30):
            busy.spend("dairy")
        cluster.call_at(cluster.now + 100_000, spend_tokens)

    cluster.call_at(cluster.now, spend_tokens)
    cluster.run(10 * SECOND)
    assert busy.member.local_quota.shares["dairy"] > 600_000
    busy.kill()
    cluster.run(10 * SECOND + SHARE_LEASE + SECOND)
    shares = [process.member.local_quota.shares["dairy"] for process in cluster.processes if process.alive]
    assert sum(shares) > 900_000 - busy.member.local_quota.guaranteed_minimum
    assert not cluster.checker.overruns()


def test_death_of_the_leader_costs_shares_only_until_another_is_elected() -> None:
    """The leader is killed, so nobody grants leases until another member holds the leader lease.

    Shares may expire in the meantime. After that one member must lead, and the shares of the live members
    must sum to nearly the whole again, and to more than the whole at no moment.
    """
    cluster = settled_cluster()
    leader = next(process for process in cluster.processes if process.member.allocator is not None)
    leader.kill()
    cluster.run(14 * SECOND)
    live = [process for process in cluster.processes if process.alive]
    assert sum(process.member.allocator is not None for process in live) == 1
    assert sum(process.member.local_quota.shares["dairy"] for process in live) > 800_000
    assert not cluster.checker.overruns()


def test_member_that_is_cut_off_spends_its_guaranteed_minimum_and_no_more() -> None:
    """One member loses the network for longer than any lease, even one that it granted itself as the leader.

    If it kept its share, it would spend what others hold by then; if it had nothing, it would reject all of
    its clients. It must have its guaranteed minimum, which needs no message.
    """
    cluster = settled_cluster()
    isolated = cluster.processes[4]
    cluster.network.cut = {link for name in cluster.names for link in (("d4", name), (name, "d4"))}
    cluster.run(13 * SECOND)  # covers the leader lease, and a share that it granted itself at the end of it
    assert isolated.member.local_quota.shares["dairy"] == isolated.member.local_quota.guaranteed_minimum > 0
    spent = isolated.spent_tokens
    for _ in range(200):
        cluster.run(cluster.now + 50_000)
        isolated.spend("dairy")
    assert isolated.spent_tokens > spent, "the guaranteed minimum needs no messages"
    assert not cluster.checker.overruns()


@pytest.mark.parametrize("late", [0, 1, 10 * SECOND])
def test_quota_spends_its_minimum_from_the_expiry_of_its_lease_on(late: int) -> None:
    """A dispatcher was stopped past the expiry of its lease, and a request arrived before its timer fired.

    With the tokens of its expired share it would spend what others hold by then, so the lease must end by the
    clock. Of 100 tokens a second and a burst of 100, its minimum is three tokens, and the lease adds 50.
    """
    spec, expiry = QuotaSpec("dairy", 100.0, 100.0), 3 * SECOND

    def tokens_at(now: int) -> int:
        quota = LocalQuota([spec], reserve=0.15, max_processes=5, now=0)
        quota.update({"dairy": 500_000}, expiry, {}, 0, 0)
        return sum(quota.spend("dairy", now) is not None for _ in range(100))

    assert tokens_at(expiry - 1) == 53
    assert tokens_at(expiry + late) == 3


def test_process_stopped_past_its_lease_spends_its_minimum_before_its_next_tick() -> None:
    """The same in a running cluster: a process is stopped until its lease has expired, then gets requests.

    Neither a message nor its timer reaches the process before the requests. It must spend at most its
    guaranteed minimum.
    """
    cluster = settled_cluster()
    stopped = next(process for process in cluster.processes if process.member.allocator is None)
    member, rate, burst = stopped.member, 60, 60
    held, minimum = member.local_quota.shares["dairy"], member.local_quota.guaranteed_minimum
    assert held > 3 * minimum > 0
    stopped.pause()
    while stopped.clock() < member.local_quota.shares_until:
        cluster.run(cluster.now + 100_000)
    assert member.local_quota.shares["dairy"] == held, "neither a message nor the timer has ended the lease"
    spent = sum(member.spend("dairy", stopped.clock()) is not None for _ in range(rate + burst))
    assert spent <= burst * minimum // 1_000_000
    assert member.local_quota.shares["dairy"] == minimum


@pytest.mark.parametrize("seed", range(6))
def test_random_run_with_faults_overruns_no_quota(seed: int) -> None:
    outcome = random_runs.run(seed)
    assert not outcome.overruns, outcome.first
    assert outcome.has_leader and outcome.spent


def test_same_seed_gives_the_same_run() -> None:
    assert random_runs.run(2) == random_runs.run(2)


def test_no_order_of_events_overruns_a_quota() -> None:
    result = model_checking.search(4_000)
    assert not result.breach and result.depth >= 4


# --- injected faults that the checkers must find


def ignore_lease_expiry(monkeypatch: pytest.MonkeyPatch) -> None:
    original_update = LocalQuota.update

    def update_without_expiry(
        self: Any, held: Any, shares_until: int, loans: Any, loans_until: int, now: int
    ) -> bool:
        changed = original_update(self, held, shares_until, loans, loans_until, now)
        self.shares_until = 1 << 61 if held else 0
        return changed

    monkeypatch.setattr(LeaseHolder, "current_shares", lambda self, now: self.shares)
    monkeypatch.setattr(LocalQuota, "expire", lambda self, now: False)
    monkeypatch.setattr(LocalQuota, "update", update_without_expiry)


def skip_wait_for_earlier_grants(monkeypatch: pytest.MonkeyPatch) -> None:
    original_init = Allocator.__init__

    def init_without_wait(self: Any, *args: Any, **kwargs: Any) -> None:
        original_init(self, *args, **kwargs)
        self.renew_only_until = 0

    monkeypatch.setattr(Allocator, "__init__", init_without_wait)


def add_tokens_to_growing_shares(monkeypatch: pytest.MonkeyPatch) -> None:
    original_set_share = TokenBucket.set_share

    def set_share_with_tokens(self: Any, share: int, now: int) -> None:
        self.refill(now)
        added = self.burst * max(0, share - self.share) // 1_000_000
        original_set_share(self, share, now)
        self.level += added

    monkeypatch.setattr(TokenBucket, "set_share", set_share_with_tokens)


def elect_without_majority(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Proposer, "quorum", property(lambda self: 1))


@pytest.mark.parametrize("has_fault", [False, True])
def test_burst_that_moves_between_members_is_spent_once(
    has_fault: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if has_fault:
        add_tokens_to_growing_shares(monkeypatch)
    cluster = settled_cluster()
    for step in range(600):
        for process in cluster.processes:
            for _ in range(9 if process.name == f"d{step // 40 % 2}" else 1):
                process.spend("dairy")
        cluster.run(cluster.now + 50_000)
    assert bool(cluster.checker.overruns()) == has_fault


@pytest.mark.parametrize("fault", [ignore_lease_expiry, skip_wait_for_earlier_grants, elect_without_majority])
def test_checker_finds_each_injected_fault(fault: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    assert any(random_runs.run(seed).overruns for seed in range(40))


def test_model_checking_finds_an_allocator_that_does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    def grant_whole_quota(self: Any, member_id: Any, quota: str, held: int, may_step: bool, now: int) -> int:
        return int(self.divisible[quota])

    monkeypatch.setattr(Allocator, "share_for", grant_whole_quota)
    result = model_checking.search(4_000)
    assert result.breach


def test_checker_reports_overlapping_shares_and_excess_tokens() -> None:
    checker = QuotaChecker({"x": (10.0, 5.0)})
    checker.record_quotas("a", 0, {"x": 600_000}, 100, 50_000)
    checker.record_quotas("b", 100, {"x": 900_000}, 300, 50_000)
    assert not checker.overruns(), "a share that ends at an instant does not overlap one that begins then"
    checker.record_quotas("c", 150, {"x": 60_000}, 0, 60_000)
    assert [overrun.at for overrun in checker.overruns()] == [150]
    checker.record_end("a", 140)
    assert not checker.overruns()
    for moment in (0, 0, 0, 0, 0, 100_000):
        checker.record_spending("x", moment)
    assert not checker.overruns()
    checker.record_spending("x", 100_001)
    assert [overrun.at for overrun in checker.overruns()] == [100_001]


def test_virtual_cluster_runs_the_cluster_member() -> None:
    assert VirtualCluster(1, ["d0"]).member_factory is ClusterMember
