"""Quotas: what is in force never sums to more than the whole, whatever fails."""

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
def test_targets_never_sum_to_more_than_there_is(wants: dict[str, int], whole: int) -> None:
    for floor in (0, 1, whole // 7, 10**6):
        found = target_shares(wants, whole, floor)
        assert found.keys() == wants.keys()
        assert sum(found.values()) <= whole and all(part >= 0 for part in found.values())
        assert found == target_shares(dict(reversed(wants.items())), whole, floor)


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(1, 400_000), st.integers(0, 3), st.integers(0, 10**6)), max_size=60))
def test_buckets_whose_shares_move_spend_no_more_than_the_whole(steps: list[tuple[int, int, int]]) -> None:
    checker, now = QuotaChecker({"x": (50.0, 10.0)}), 0
    parts = [250_000] * 4
    buckets = [TokenBucket(50.0, 10.0, part, 0) for part in parts]
    for span, place, part in steps:
        now += span
        free = 1_000_000 - sum(parts) + parts[place]
        parts[place] = min(part, free)
        buckets[place].set_share(parts[place], now)
        for one in buckets:
            while one.spend(now):
                checker.spend("x", now)
    assert not checker.overruns()


def test_share_follows_demand_and_is_free_again_within_a_lease_and_a_second_of_its_holders_death() -> None:
    """One member gets all the demand, so that nearly the whole quota moves to it; then it is killed.

    Its share cannot be returned any more. It must not be granted to others while it may be in force, and it
    must not be lost for longer than the lease and a second.
    """
    cluster = settled_cluster()
    busy = cluster.processes[0] if cluster.processes[0].member.allocator is None else cluster.processes[1]

    def ask() -> None:
        for _ in range(30):
            busy.spend("dairy")
        cluster.call_at(cluster.now + 100_000, ask)

    cluster.call_at(cluster.now, ask)
    cluster.run(10 * SECOND)
    assert busy.member.local_quota.shares["dairy"] > 600_000
    busy.kill()
    cluster.run(10 * SECOND + SHARE_LEASE + SECOND)
    left = [one.member.local_quota.shares["dairy"] for one in cluster.processes if one.alive]
    assert sum(left) > 900_000 - busy.member.local_quota.guaranteed_minimum
    assert not cluster.checker.overruns()


def test_death_of_the_leader_costs_shares_only_until_another_is_elected() -> None:
    """The leader is killed, so nobody grants leases until another member has the leader lease.

    Shares may expire meanwhile. After that one member has to lead, and the shares of those alive have to be
    nearly the whole again, without any moment at which they were more.
    """
    cluster = settled_cluster()
    leader = next(one for one in cluster.processes if one.member.allocator is not None)
    leader.kill()
    cluster.run(14 * SECOND)
    live = [one for one in cluster.processes if one.alive]
    assert sum(one.member.allocator is not None for one in live) == 1
    assert sum(one.member.local_quota.shares["dairy"] for one in live) > 800_000
    assert not cluster.checker.overruns()


def test_member_that_is_cut_off_spends_its_guaranteed_minimum_and_no_more() -> None:
    """One member loses the network for longer than any lease, also one that it granted itself as the leader.

    With its former share it would spend what others have by then, and with nothing it would reject all of its
    clients. It must have its guaranteed minimum, which needs no message.
    """
    cluster = settled_cluster()
    alone = cluster.processes[4]
    cluster.network.cut = {pair for name in cluster.names for pair in (("d4", name), (name, "d4"))}
    cluster.run(13 * SECOND)  # also if it led: its lease, and what it gave itself at the end of that
    assert alone.member.local_quota.shares["dairy"] == alone.member.local_quota.guaranteed_minimum > 0
    spent = alone.spent_tokens
    for _ in range(200):
        cluster.run(cluster.now + 50_000)
        alone.spend("dairy")
    assert alone.spent_tokens > spent, "a floor needs no talk"
    assert not cluster.checker.overruns()


@pytest.mark.parametrize("late", [0, 1, 10 * SECOND])
def test_quota_spends_its_minimum_from_the_expiry_of_its_lease_on(late: int) -> None:
    """A dispatcher was stopped past the expiry of its lease, and a request was the first thing to reach it.

    With the tokens of its former share it would spend what others have by then. Of 100 tokens a second and a
    burst of 100 it has a minimum of three tokens, and 50 more under the lease, which must end by the clock.
    """
    whole, expiry = QuotaSpec("dairy", 100.0, 100.0), 3 * SECOND

    def tokens_at(now: int) -> int:
        quota = LocalQuota([whole], reserve=0.15, max_processes=5, now=0)
        quota.update({"dairy": 500_000}, expiry, {}, 0, 0)
        return sum(quota.spend("dairy", now) is not None for _ in range(100))

    assert tokens_at(expiry - 1) == 53
    assert tokens_at(expiry + late) == 3


def test_process_stopped_past_its_lease_spends_its_minimum_before_its_next_tick() -> None:
    """The same in a running cluster: a process is stopped until its lease has expired, then gets requests.

    Neither a message nor its timer reaches it before them. It must spend its guaranteed minimum at most.
    """
    cluster = settled_cluster()
    stopped = next(process for process in cluster.processes if process.member.allocator is None)
    agent, rate, burst = stopped.member, 60, 60
    held, floor = agent.local_quota.shares["dairy"], agent.local_quota.guaranteed_minimum
    assert held > 3 * floor > 0
    stopped.pause()
    while stopped.clock() < agent.local_quota.shares_until:
        cluster.run(cluster.now + 100_000)
    assert agent.local_quota.shares["dairy"] == held, "nothing has reached it that could have ended the lease"
    spent = sum(agent.spend("dairy", stopped.clock()) is not None for _ in range(rate + burst))
    assert spent <= burst * floor // 1_000_000
    assert agent.local_quota.shares["dairy"] == floor


@pytest.mark.parametrize("seed", range(6))
def test_random_run_with_faults_overruns_no_quota(seed: int) -> None:
    outcome = random_runs.run(seed)
    assert not outcome.overruns, outcome.first
    assert outcome.has_leader and outcome.spent


def test_same_seed_gives_the_same_run() -> None:
    assert random_runs.run(2) == random_runs.run(2)


def test_no_order_of_events_overruns_a_quota() -> None:
    found = model_checking.search(4_000)
    assert not found.breach and found.depth >= 4


# --- that the proofs can fail: each fault is put in, and must be found


def forgets_expiry(monkeypatch: pytest.MonkeyPatch) -> None:
    settle = LocalQuota.update

    def kept(self: Any, held: Any, shares_until: int, loans: Any, loans_until: int, now: int) -> bool:
        moved = settle(self, held, shares_until, loans, loans_until, now)
        self.shares_until = 1 << 61 if held else 0
        return moved

    monkeypatch.setattr(LeaseHolder, "current_shares", lambda self, now: self.shares)
    monkeypatch.setattr(LocalQuota, "expire", lambda self, now: False)
    monkeypatch.setattr(LocalQuota, "update", kept)


def waits_out_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Allocator.__init__

    def eager(self: Any, *args: Any, **more: Any) -> None:
        begin(self, *args, **more)
        self.renew_only_until = 0

    monkeypatch.setattr(Allocator, "__init__", eager)


def doubles_the_burst(monkeypatch: pytest.MonkeyPatch) -> None:
    move = TokenBucket.set_share

    def brings(self: Any, part: int, now: int) -> None:
        self.refill(now)
        grown = self.burst * max(0, part - self.share) // 1_000_000
        move(self, part, now)
        self.level += grown

    monkeypatch.setattr(TokenBucket, "set_share", brings)


def elects_two(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Proposer, "quorum", property(lambda self: 1))


@pytest.mark.parametrize("doubled", [False, True])
def test_burst_that_moves_between_members_is_spent_once(
    doubled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if doubled:
        doubles_the_burst(monkeypatch)
    cluster = settled_cluster()
    for step in range(600):
        for process in cluster.processes:
            for _ in range(9 if process.name == f"d{step // 40 % 2}" else 1):
                process.spend("dairy")
        cluster.run(cluster.now + 50_000)
    assert bool(cluster.checker.overruns()) == doubled


@pytest.mark.parametrize("fault", [forgets_expiry, waits_out_nothing, elects_two])
def test_checker_finds_each_injected_fault(fault: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    assert any(random_runs.run(seed).overruns for seed in range(40))


def test_model_checking_finds_an_allocator_that_does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    def grasping(self: Any, who: Any, budget: str, held: int, steps: bool, now: int) -> int:
        return int(self.divisible[budget])

    monkeypatch.setattr(Allocator, "share_for", grasping)
    found = model_checking.search(4_000)
    assert found.breach


def test_checker_on_a_run_made_by_hand() -> None:
    checker = QuotaChecker({"x": (10.0, 5.0)})
    checker.in_force("a", 0, {"x": 600_000}, 100, 50_000)
    checker.in_force("b", 100, {"x": 900_000}, 300, 50_000)
    assert not checker.overruns(), "what ends at an instant does not overlap what begins there"
    checker.in_force("c", 150, {"x": 60_000}, 0, 60_000)
    assert [one.at for one in checker.overruns()] == [150]
    checker.end("a", 140)
    assert not checker.overruns()
    for at in (0, 0, 0, 0, 0, 100_000):
        checker.spend("x", at)
    assert not checker.overruns()
    checker.spend("x", 100_001)
    assert [one.at for one in checker.overruns()] == [100_001]


def test_virtual_cluster_runs_the_cluster_member() -> None:
    assert VirtualCluster(1, ["d0"]).member_factory is ClusterMember
