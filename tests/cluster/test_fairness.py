"""Fairness: replicas become equal whatever the order of merging, and fair shares are those of the paper."""

from __future__ import annotations

import random
from fractions import Fraction
from typing import Any

import pytest
from cluster_helpers import ledger_of
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.cluster.fairness import replicated_ledger as replicated_ledger_module
from locktide.cluster.fairness import standing as standing_module
from locktide.cluster.fairness.dominant_share import FULL_SHARE, dominant_share, progressive_filling
from locktide.cluster.fairness.replicated_ledger import (
    CAPACITY_INDEX,
    ReplicatedLedger,
    agreed_capacity,
    tenant_totals,
)
from locktide.cluster.fairness.usage import UsageTracker
from locktide.cluster.messages import LedgerRow, WriterDelta
from locktide.scheduler.commands import FailRequest, StartAttempt
from locktide.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
)
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.simulation.cluster.fairness_runs import FairnessRun, solve_dominant_shares

SECOND = 1_000_000

# --- replicas


ROWS = st.builds(LedgerRow, st.integers(0, 3), st.integers(1, 9), st.just([1, 2]), st.just([0, 0]))
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from("ab"), st.integers(1, 2), ROWS),
        st.tuples(st.just("close"), st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 9)),
    ),
    max_size=14,
)


def row_of_version(row: LedgerRow) -> LedgerRow:
    """Return a row whose amounts depend only on its index and version, as every reader gets the same ones."""
    return LedgerRow(row.index, row.version, [row.version, row.index], [0, row.version])


def replica_after(operations: list[Any]) -> ReplicatedLedger:
    replica = ReplicatedLedger()
    for operation, name, generation, value in operations:
        if operation == "put":
            replica.put((name, generation), row_of_version(value))
        else:
            replica.close(name, (generation, value))
    return replica


def contents(replica: ReplicatedLedger) -> Any:
    rows = sorted((writer, row.index, row.version) for writer, row in replica.rows())
    return rows, sorted(replica.closed.items())


@given(OPERATIONS, st.randoms())
def test_merging_gives_the_same_replica_in_any_order_and_when_repeated(
    operations: list[Any], generator: random.Random
) -> None:
    shuffled = operations * 2
    generator.shuffle(shuffled)
    first, second = replica_after(operations), replica_after(shuffled)
    assert contents(first) == contents(second) and first.digest == second.digest


def test_delta_that_would_leave_a_gap_is_not_merged() -> None:
    replica = ReplicatedLedger()
    row = LedgerRow(0, 5, [1], [0])
    assert not replica.merge(WriterDelta("a", 1, 3, [row])) and replica.read_version(("a", 1)) == 0
    assert replica.merge(WriterDelta("a", 1, 0, [row])) and replica.read_version(("a", 1)) == 5
    assert not replica.merge(WriterDelta("a", 1, 5, [])), "nothing new"


def test_agreed_capacity_is_the_lower_median_of_what_open_writers_see() -> None:
    replica = ReplicatedLedger()
    for number, seen in enumerate((8, 12, 100)):
        replica.put((f"d{number}", 1), LedgerRow(CAPACITY_INDEX, 1, [seen], [0]))
    assert agreed_capacity(replica, 1) == [12]
    replica.close("d2", (1, 1))
    assert agreed_capacity(replica, 1) == [8]


def test_peer_that_names_writers_without_end_does_not_fill_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replicated_ledger_module, "MAX_WRITERS", 5)
    replica = ReplicatedLedger()
    for number in range(50):
        replica.put((f"x{number}", 1), LedgerRow(0, 1, [1], [0]))
        replica.put(("x0", 1), LedgerRow(1000 + number, 2, [1], [0]))
        replica.close(f"y{number}", (1, 1))
    assert len(replica.writers) == len(replica.closed) == 5
    assert len(replica.writers["x0", 1].rows) == 1


# --- progressive filling


def test_published_example_gives_each_two_thirds_of_its_dominant_resource() -> None:
    """The fleet has 9 processors and 18 units of memory; one tenant's tasks need (1, 4), the other's (3, 1).

    The paper's result is three tasks of the first tenant and two of the second.
    """
    demands = {0: [100_000, 400_000], 1: [300_000, 100_000]}
    shares = progressive_filling([9_000, 18_000], demands, {0: 1, 1: 1})
    assert all(
        abs(Fraction(share, FULL_SHARE) - Fraction(2, 3)) < Fraction(1, 10**9) for share in shares.values()
    )


VECTORS = st.lists(st.integers(0, 5_000), min_size=2, max_size=2)
CAPACITIES = st.lists(st.integers(500, 5_000), min_size=2, max_size=2)
DEMANDS = st.dictionaries(st.integers(0, 5), VECTORS, min_size=1, max_size=6)
TOLERANCE = 1e-6


def served_fraction(share: int, demand: list[int], capacity: list[int], needed: list[int]) -> float:
    """Return the fraction of `needed` that the dominant share `share` of a tenant with `demand` covers."""
    demanded_share = dominant_share(demand, capacity)
    fraction = share / demanded_share if demanded_share else 0.0
    return min(
        [1.0, *[fraction * demand[resource] / amount for resource, amount in enumerate(needed) if amount]]
    )


@settings(max_examples=300)
@given(CAPACITIES, DEMANDS, st.lists(st.integers(1, 4), min_size=6, max_size=6))
def test_fair_shares_are_those_of_an_independent_solver_and_exceed_no_capacity(
    capacity: list[int], demands: Any, weight_list: list[int]
) -> None:
    weights = dict(enumerate(weight_list))
    fair = progressive_filling(capacity, demands, weights)
    for tenant, share in solve_dominant_shares(capacity, demands, weights).items():
        assert abs(fair[tenant] / FULL_SHARE - share) < TOLERANCE
    for resource, total in enumerate(capacity):
        used = sum(
            fair[tenant] / max(1, dominant_share(demand, capacity)) * demand[resource]
            for tenant, demand in demands.items()
        )
        assert used <= total * (1 + TOLERANCE)


@given(CAPACITIES, DEMANDS)
def test_each_tenant_has_at_least_an_even_share_or_all_it_demands(capacity: list[int], demands: Any) -> None:
    fair = progressive_filling(capacity, demands, dict.fromkeys(demands, 1))
    for tenant, demand in demands.items():
        wanted = dominant_share(demand, capacity) / FULL_SHARE
        assert fair[tenant] / FULL_SHARE >= min(wanted, 1 / len(demands)) - TOLERANCE


@given(CAPACITIES, DEMANDS)
def test_no_tenant_would_do_more_with_what_another_has(capacity: list[int], demands: Any) -> None:
    fair = progressive_filling(capacity, demands, dict.fromkeys(demands, 1))

    def served_with(tenant: int, other: int) -> float:
        return served_fraction(fair[other], demands[other], capacity, demands[tenant])

    for tenant in demands:
        if any(demands[tenant]):
            best = max(served_with(tenant, other) for other in demands)
            assert served_with(tenant, tenant) >= best - TOLERANCE


@settings(max_examples=200)
@given(CAPACITIES, DEMANDS, VECTORS)
def test_tenant_that_misstates_its_demand_gains_nothing(
    capacity: list[int], demands: Any, misstated: Any
) -> None:
    tenant = min(demands)
    if not any(demands[tenant]):
        return

    def served_when_stating(stated: Any) -> float:
        fair = progressive_filling(capacity, demands | {tenant: stated}, dict.fromkeys(demands, 1))
        return served_fraction(fair[tenant], stated, capacity, demands[tenant])

    assert served_when_stating(misstated) <= served_when_stating(demands[tenant]) + TOLERANCE


# --- usage of one dispatcher


def test_usage_in_use_and_waiting_follows_events_and_commands() -> None:
    tracker = UsageTracker({"dairy": 0}, {"view": [1000, 50]}, [4000, 0])
    tracker.observe(RequestArrived("a", "view", 9, width=2.0, tenant="dairy"))
    tracker.observe(RequestArrived("b", "view", 9, tenant="nobody"))
    assert tracker.waiting == {0: [2000, 100]} and not tracker.in_use
    tracker.observe(StartAttempt("a", "w"))
    tracker.observe(StartAttempt("a", "v"))
    assert tracker.in_use == {0: [4000, 200]} and tracker.waiting == {0: [0, 0]}
    tracker.observe(AttemptEnded("a", 0, AttemptOutcome.FULL, False))
    tracker.observe(AttemptEnded("a", 1, AttemptOutcome.FULL, False))
    assert tracker.in_use == {0: [0, 0]} and tracker.waiting == {0: [2000, 100]}
    tracker.observe(StartAttempt("a", "w"))
    tracker.observe(FailRequest("a"))
    assert tracker.in_use == {0: [2000, 100]} and tracker.open_requests, "the attempt still runs"
    tracker.observe(AttemptEnded("a", 2, AttemptOutcome.CANCELLED, False))
    assert not tracker.open_requests and tracker.in_use == tracker.waiting == {0: [0, 0]}


def test_capacity_counts_ready_workers_only() -> None:
    tracker = UsageTracker({"dairy": 0}, {"view": [1000, 50]}, [4000, 0])
    ready = EndpointEntry("w", "z", "k", 0, EndpointState.READY, 1.0, 0)
    tracker.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, [ready]))
    assert tracker.capacity() == [4000, 0]
    draining = EndpointEntry("w", "z", "k", 0, EndpointState.DRAINING, 1.0, 0)
    tracker.observe(EndpointListUpdate(ListUpdateKind.DELTA, [draining]))
    assert tracker.capacity() == [0, 0]


def test_request_whose_client_has_left_no_longer_counts_as_waiting() -> None:
    tracker = UsageTracker({"dairy": 0}, {"view": [1000]}, [4000])
    for request_id in ("a", "b"):
        tracker.observe(RequestArrived(request_id, "view", 9, tenant="dairy"))
    tracker.observe(StartAttempt("b", "w"))
    tracker.observe(ClientDisconnected("a"))
    tracker.observe(ClientDisconnected("b"))
    assert tracker.waiting == {0: [0]} and tracker.in_use == {0: [1000]}
    assert list(tracker.open_requests) == ["b"]
    tracker.observe(AttemptEnded("b", 0, AttemptOutcome.CANCELLED, False))
    assert not tracker.open_requests and tracker.in_use == {0: [0]}


# --- many members


@pytest.mark.parametrize("lose", [0.0, 0.1])
def test_replicas_are_equal_within_two_seconds_of_quiet_and_standings_are_fair(lose: float) -> None:
    run = FairnessRun(3, 9, lose=lose)
    run.run(8.0)
    run.cluster.network.lose = 0.0
    assert run.run_until_equal() <= 2.0
    assert run.measure_share_error() < 1e-3
    standings = [ledger_of(process).standing for process in run.cluster.processes]
    distinct = {
        (str(standing.dominant_shares), str(standing.fair_shares), tuple(standing.order))
        for standing in standings
    }
    assert len(distinct) == 1
    assert standings[0].contended and standings[0].over_share


def test_rows_of_a_dead_writer_count_until_its_jobs_have_ended_and_are_closed_for_all() -> None:
    """A dispatcher is killed while its jobs run on workers, where they may run until their deadlines.

    If its rows were dropped at once, capacity in use would count as free; if they were kept for good, their
    tenants would count as busy forever. They must count until the last job must have ended, and be closed for
    all members then.
    """
    run = FairnessRun(4, 5)
    run.run(4.0)
    dead = run.cluster.processes[0]
    writer = dead.member.member_id
    dead.kill()
    run.cluster.run(run.cluster.now + 4 * SECOND)
    rest = run.cluster.processes[1:]
    assert all(writer in ledger_of(process).replica.writers for process in rest), "its jobs may still run"
    run.cluster.run(run.cluster.now + 25 * SECOND)
    assert not any(writer in ledger_of(process).replica.writers for process in rest)
    run.drop_jobs_of_dead_members()
    assert run.run_until_equal() <= 2.0


def test_writer_that_was_declared_dead_writes_its_rows_again() -> None:
    """A dispatcher was cut off for so long that the others closed its rows, and then it was reachable again.

    Its rows had not changed meanwhile, so it wrote none, and the others ignored its earlier versions: its
    tenants counted as idle. It must write all of its rows again, with new versions.
    """
    run = FairnessRun(4, 5)
    run.run(4.0)
    isolated, other = run.cluster.processes[4], run.cluster.processes[0]
    run.cluster.network.cut = {
        link for name in run.cluster.names for link in ((isolated.name, name), (name, isolated.name))
    }
    run.cluster.run(run.cluster.now + 30 * SECOND)
    assert isolated.member.member_id not in ledger_of(other).replica.writers
    run.cluster.network.cut = set()
    run.cluster.run(run.cluster.now + 25 * SECOND)
    assert isolated.member.member_id in ledger_of(other).replica.writers
    run.drop_jobs_of_dead_members()
    assert run.run_until_equal() <= 2.0


def test_recount_finds_a_row_that_is_counted_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    def count_one_row_twice(replica: ReplicatedLedger, resource_count: int) -> Any:
        in_use, demand = tenant_totals(replica, resource_count)
        row = next(row for _, row in replica.rows() if row.index != CAPACITY_INDEX and any(row.in_use))
        doubled = [used + more for used, more in zip(in_use[row.index], row.in_use, strict=True)]
        return in_use | {row.index: doubled}, demand

    run = FairnessRun(3, 3)
    run.run(6.0)
    assert run.run_until_equal() <= 2.0 and run.measure_share_error() < 1e-3
    monkeypatch.setattr(standing_module, "tenant_totals", count_one_row_twice)
    run.run(1.0)
    run.run_until_equal()
    assert run.measure_share_error() > 1e-3
    assert replicated_ledger_module.tenant_totals is tenant_totals
