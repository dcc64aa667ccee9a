"""The ledger: merged alike in whatever order, equal soon after quiet, and fair as published."""

from __future__ import annotations

import random
from fractions import Fraction
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.cluster.fairness import replicated_ledger as replicated_ledger_module
from locktide.cluster.fairness import standing as standing_module
from locktide.cluster.fairness.dominant_share import ONE, dominant_share, progressive_filling
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
from locktide.simulation.cluster.fairness_runs import Fair, solved

SECOND = 1_000_000

# --- rows


ENTRIES = st.builds(LedgerRow, st.integers(0, 3), st.integers(1, 9), st.just([1, 2]), st.just([0, 0]))


def versioned(row: LedgerRow) -> LedgerRow:
    """What a version of a row says: the same wherever it is read."""
    return LedgerRow(row.index, row.version, [row.version, row.index], [0, row.version])


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.sampled_from("ab"), st.integers(1, 2), ENTRIES),
        st.tuples(st.just("close"), st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 9)),
    ),
    max_size=14,
)


def taken(steps: list[Any]) -> ReplicatedLedger:
    book = ReplicatedLedger()
    for what, name, start, told in steps:
        if what == "put":
            book.put((name, start), versioned(told))
        else:
            book.close(name, (start, told))
    return book


def plain(book: ReplicatedLedger) -> Any:
    return sorted((who, row.index, row.version) for who, row in book.rows()), sorted(book.closed.items())


@given(STEPS, st.randoms())
def test_merging_depends_neither_on_order_nor_on_how_often(steps: list[Any], drawn: random.Random) -> None:
    mixed = steps * 2
    drawn.shuffle(mixed)
    first, second = taken(steps), taken(mixed)
    assert plain(first) == plain(second) and first.digest == second.digest


def test_a_group_that_leaves_a_hole_is_not_taken() -> None:
    here = ReplicatedLedger()
    row = LedgerRow(0, 5, [1], [0])
    assert not here.merge(WriterDelta("a", 1, 3, [row])) and here.read_version(("a", 1)) == 0
    assert here.merge(WriterDelta("a", 1, 0, [row])) and here.read_version(("a", 1)) == 5
    assert not here.merge(WriterDelta("a", 1, 5, [])), "nothing new"


def test_the_capacity_is_the_lower_median_of_what_open_writers_see() -> None:
    here = ReplicatedLedger()
    for number, seen in enumerate((8, 12, 100)):
        here.put((f"d{number}", 1), LedgerRow(CAPACITY_INDEX, 1, [seen], [0]))
    assert agreed_capacity(here, 1) == [12]
    here.close("d2", (1, 1))
    assert agreed_capacity(here, 1) == [8]


# --- filling


def test_the_published_example() -> None:
    """Nine processors, eighteen of memory; tasks of (1, 4) and (3, 1): three of one and two of the other."""
    shares = progressive_filling(
        [9_000, 18_000], {0: [100_000, 400_000], 1: [300_000, 100_000]}, {0: 1, 1: 1}
    )
    assert all(abs(Fraction(part, ONE) - Fraction(2, 3)) < Fraction(1, 10**9) for part in shares.values())


VECTORS = st.lists(st.integers(0, 5_000), min_size=2, max_size=2)
DEMANDS = st.dictionaries(st.integers(0, 5), VECTORS, min_size=1, max_size=6)
NEAR = 1e-6


@settings(max_examples=300)
@given(
    st.lists(st.integers(500, 5_000), min_size=2, max_size=2),
    DEMANDS,
    st.lists(st.integers(1, 4), min_size=6, max_size=6),
)
def test_as_an_independent_solver_has_it(capacity: list[int], demands: Any, weights: list[int]) -> None:
    weigh = dict(enumerate(weights))
    found = progressive_filling(capacity, demands, weigh)
    for name, part in solved(capacity, demands, weigh).items():
        assert abs(found[name] / ONE - part) < NEAR
    for place, whole in enumerate(capacity):
        used = sum(
            found[name] / max(1, dominant_share(demand, capacity)) * demand[place]
            for name, demand in demands.items()
        )
        assert used <= whole * (1 + NEAR)


@given(st.lists(st.integers(500, 5_000), min_size=2, max_size=2), DEMANDS)
def test_each_has_at_least_its_even_part_or_all_it_asks_for(capacity: list[int], demands: Any) -> None:
    found = progressive_filling(capacity, demands, dict.fromkeys(demands, 1))
    for name, demand in demands.items():
        assert found[name] / ONE >= min(dominant_share(demand, capacity) / ONE, 1 / len(demands)) - NEAR


@given(st.lists(st.integers(500, 5_000), min_size=2, max_size=2), DEMANDS)
def test_nobody_would_rather_have_what_another_has(capacity: list[int], demands: Any) -> None:
    found = progressive_filling(capacity, demands, dict.fromkeys(demands, 1))

    def tasks(name: int, of: int) -> float:
        """How much of its demand one could do with what another was given."""
        most = dominant_share(demands[of], capacity)
        part = found[of] / most if most else 0.0
        return min(
            [1.0, *[part * demands[of][place] / wants for place, wants in enumerate(demands[name]) if wants]]
        )

    for name in demands:
        if any(demands[name]):
            assert tasks(name, name) >= max(tasks(name, of) for of in demands) - NEAR


@settings(max_examples=200)
@given(st.lists(st.integers(500, 5_000), min_size=2, max_size=2), DEMANDS, VECTORS)
def test_who_asks_for_what_it_does_not_need_gains_none(capacity: list[int], demands: Any, lie: Any) -> None:
    name = min(demands)
    if not any(demands[name]):
        return

    def useful(told: Any) -> float:
        given_ = progressive_filling(capacity, demands | {name: told}, dict.fromkeys(demands, 1))[name]
        most = dominant_share(told, capacity)
        part = given_ / most if most else 0.0
        return min([1.0, *[part * told[place] / wants for place, wants in enumerate(demands[name]) if wants]])

    assert useful(lie) <= useful(demands[name]) + NEAR


# --- what a dispatcher writes


def test_what_waits_and_what_is_out_follows_the_news_and_orders() -> None:
    here = UsageTracker({"dairy": 0}, {"view": [1000, 50]}, [4000, 0])
    here.observe(RequestArrived("a", "view", 9, width=2.0, tenant="dairy"))
    here.observe(RequestArrived("b", "view", 9, tenant="nobody"))
    assert here.waiting == {0: [2000, 100]} and not here.in_use
    here.observe(StartAttempt("a", "w"))
    here.observe(StartAttempt("a", "v"))
    assert here.in_use == {0: [4000, 200]} and here.waiting == {0: [0, 0]}
    here.observe(AttemptEnded("a", 0, AttemptOutcome.FULL, False))
    here.observe(AttemptEnded("a", 1, AttemptOutcome.FULL, False))
    assert here.in_use == {0: [0, 0]} and here.waiting == {0: [2000, 100]}
    here.observe(StartAttempt("a", "w"))
    here.observe(FailRequest("a"))
    assert here.in_use == {0: [2000, 100]} and here.open_requests, "it runs on"
    here.observe(AttemptEnded("a", 2, AttemptOutcome.CANCELLED, False))
    assert not here.open_requests and here.in_use == here.waiting == {0: [0, 0]}
    entry = EndpointEntry("w", "z", "k", 0, EndpointState.READY, 1.0, 0)
    here.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, [entry]))
    assert here.capacity() == [4000, 0]
    here.observe(
        EndpointListUpdate(
            ListUpdateKind.DELTA, [EndpointEntry("w", "z", "k", 0, EndpointState.DRAINING, 1.0, 0)]
        )
    )
    assert here.capacity() == [0, 0]


def test_what_its_client_has_left_waits_no_more() -> None:
    here = UsageTracker({"dairy": 0}, {"view": [1000]}, [4000])
    for job in ("a", "b"):
        here.observe(RequestArrived(job, "view", 9, tenant="dairy"))
    here.observe(StartAttempt("b", "w"))
    here.observe(ClientDisconnected("a"))
    here.observe(ClientDisconnected("b"))
    assert here.waiting == {0: [0]} and here.in_use == {0: [1000]} and list(here.open_requests) == ["b"]
    here.observe(AttemptEnded("b", 0, AttemptOutcome.CANCELLED, False))
    assert not here.open_requests and here.in_use == {0: [0]}


def test_a_peer_that_tells_of_writers_without_end_fills_no_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replicated_ledger_module, "MAX_WRITERS", 5)
    here = ReplicatedLedger()
    for number in range(50):
        here.put((f"x{number}", 1), LedgerRow(0, 1, [1], [0]))
        here.put(("x0", 1), LedgerRow(1000 + number, 2, [1], [0]))
        here.close(f"y{number}", (1, 1))
    assert len(here.writers) == len(here.closed) == 5 and len(here.writers["x0", 1].rows) == 1


# --- many of them


@pytest.mark.parametrize("lose", [0.0, 0.1])
def test_ledgers_are_equal_within_two_seconds_of_quiet_and_fair(lose: float) -> None:
    here = Fair(3, 9, lose=lose)
    here.run(8.0)
    here.world.net.lose = 0.0
    assert here.until_equal() <= 2.0
    assert here.distance() < 1e-3
    standings = [one.agent.ledger.standing for one in here.world.all]
    assert len({(str(one.dominant_shares), str(one.fair_shares), tuple(one.order)) for one in standings}) == 1
    assert standings[0].contended and standings[0].over_share


def test_rows_of_the_dead_count_until_their_jobs_must_have_ended_and_are_closed_for_all() -> None:
    here = Fair(4, 5)
    here.run(4.0)
    dead = here.world.all[0]
    who = dead.agent.member_id
    dead.kill()
    here.world.run(here.world.now + 4 * SECOND)
    rest = here.world.all[1:]
    assert all(who in one.agent.ledger.replica.writers for one in rest), "its jobs may run"
    here.world.run(here.world.now + 25 * SECOND)
    assert not any(who in one.agent.ledger.replica.writers for one in rest)
    here.quiet()
    assert here.until_equal() <= 2.0


def test_who_was_thought_dead_writes_its_rows_anew() -> None:
    here = Fair(4, 5)
    here.run(4.0)
    alone = here.world.all[4]
    pairs = {pair for one in here.world.names for pair in ((alone.name, one), (one, alone.name))}
    here.world.net.cut = set(pairs)
    here.world.run(here.world.now + 30 * SECOND)
    assert alone.agent.member_id not in here.world.all[0].agent.ledger.replica.writers
    here.world.net.cut = set()
    here.world.run(here.world.now + 25 * SECOND)
    assert alone.agent.member_id in here.world.all[0].agent.ledger.replica.writers
    here.quiet()
    assert here.until_equal() <= 2.0


def test_a_row_counted_twice_is_found_by_a_recount(monkeypatch: pytest.MonkeyPatch) -> None:
    def twice(book: ReplicatedLedger, resources: int) -> Any:
        held, asked = tenant_totals(book, resources)
        who, row = next(
            (who, row) for who, row in book.rows() if row.index != CAPACITY_INDEX and any(row.in_use)
        )
        return held | {row.index: [a + b for a, b in zip(held[row.index], row.in_use, strict=True)]}, asked

    here = Fair(3, 3)
    here.run(6.0)
    assert here.until_equal() <= 2.0 and here.distance() < 1e-3
    monkeypatch.setattr(standing_module, "tenant_totals", twice)
    here.run(1.0)
    here.until_equal()
    assert here.distance() > 1e-3
    assert replicated_ledger_module.tenant_totals is tenant_totals
