"""The order in which members are probed."""

from __future__ import annotations

from locktide.cluster.membership.probing import ProbeOrder
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


def test_each_round_probes_each_member_once_in_a_new_order() -> None:
    members = [f"d{number}" for number in range(20)]
    order = ProbeOrder(LinearCongruentialGenerator(1))
    rounds = [[order.next_target(members) for _ in members] for _ in range(3)]
    assert all(sorted(targets) == sorted(members) for targets in rounds)
    assert rounds[0] != rounds[1] != rounds[2] != rounds[0]


def test_members_that_have_gone_are_skipped_and_new_ones_wait_for_the_next_round() -> None:
    order = ProbeOrder(LinearCongruentialGenerator(1))
    first = order.next_target(["d0", "d1", "d2"])
    remaining = [name for name in ("d0", "d1", "d2") if name != first]
    assert order.next_target([remaining[0], "d3"]) == remaining[0]
    assert {order.next_target(["d3", "d4"]) for _ in range(2)} == {"d3", "d4"}
