"""Membership of whole clusters in virtual time: deaths, leaves, slow members, names used twice."""

from __future__ import annotations

import random

from cluster_helpers import MEMBER_RECORDS, SECOND, live_member, settled_cluster
from hypothesis import given
from hypothesis import strategies as st

from locktide.cluster.membership.member_table import MemberTable
from locktide.cluster.membership.swim import Swim
from locktide.cluster.messages import FullSync, MemberRecord
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.simulation.cluster import random_runs
from locktide.simulation.cluster.virtual_cluster import VirtualCluster


@given(st.lists(MEMBER_RECORDS.filter(lambda record: record.name < "c"), max_size=12), st.randoms())
def test_merging_does_not_depend_on_the_order(records: list[MemberRecord], generator: random.Random) -> None:
    first, second = MemberTable(), MemberTable()
    for record in records:
        first.merge(record, 0)
    shuffled = records * 2
    generator.shuffle(shuffled)
    for record in shuffled:
        second.merge(record, 0)
    assert first.records == second.records and first.alive() == second.alive()


def test_a_death_and_a_clean_leave_become_known_to_all_and_a_restarted_member_is_alive_again() -> None:
    """One member is killed, another leaves, and later the killed one is started again under its name.

    Members that were not notified of the leave would still grant leases to the member that left. The record
    of the killed process must not apply to the later one, which has another generation and must be alive for
    all.
    """
    cluster = settled_cluster()
    killed, leaving = cluster.processes[1], cluster.processes[2]
    killed.kill()
    leaving.leave()
    cluster.run(9 * SECOND)
    assert all("d2" not in live_member(cluster, name).member.swim.alive() for name in ("d0", "d3", "d4"))
    cluster.run(20 * SECOND)
    for name in ("d0", "d3", "d4"):
        assert live_member(cluster, name).member.swim.alive() == ["d0", "d3", "d4"]
    cluster.start("d1")
    cluster.run(23 * SECOND)
    assert live_member(cluster, "d4").member.swim.alive() == ["d0", "d1", "d3", "d4"]


def test_a_member_that_was_paused_refutes_its_suspicion_and_declares_nobody_dead() -> None:
    cluster = settled_cluster()
    slow = cluster.processes[0]
    slow.pause()
    cluster.run(11 * SECOND)
    slow.resume()
    cluster.run(20 * SECOND)
    assert slow.member.swim.view.own_record.incarnation > 0, "it was suspected"
    assert all(len(process.member.swim.alive()) == 5 for process in cluster.processes)
    assert not [kind for _, _, kind, _ in cluster.events if kind == "dead"]


def test_of_two_processes_with_one_name_the_earlier_steps_down() -> None:
    cluster = settled_cluster()
    cluster.start("d3", 9500)
    cluster.run(11 * SECOND)
    assert cluster.processes[3].member.stepped_down and not cluster.processes[5].member.stepped_down
    assert cluster.processes[3].member.local_quota.shares == {"dairy": 0, "cold": 0}
    assert [name for _, name, kind, _ in cluster.events if kind == "superseded"] == ["d3"]
    assert not cluster.checker.overruns()


def test_a_member_that_has_stepped_down_is_not_woken_for_what_it_no_longer_does() -> None:
    """A second process of a name was started, and the first one stepped down but used a whole core.

    Its next wakeup still included those of lease requests and of its ledger, which it no longer served. So
    the wakeup was always in the past, and the timer fired without end.
    """
    cluster = VirtualCluster(3, ["d0", "d1", "d2"], fairness=random_runs.FAIRNESS, lendable_fraction=0.5)
    for name in cluster.names:
        cluster.start(name)
    cluster.run(4 * SECOND)
    first = live_member(cluster, "d1")
    cluster.start("d1", 9500)
    cluster.run(9 * SECOND)
    assert first.member.stepped_down and first.member.next_wakeup > first.clock(), "it would spin"


def test_a_member_that_knows_nobody_contacts_its_seeds_again_and_again() -> None:
    seeds = [("127.0.0.1", 9001)]
    member = Swim(("d0", 5), ("127.0.0.1", 9000), seeds, LinearCongruentialGenerator(1), 0)
    contacts = 0
    for _ in range(60):
        contacts += sum(type(message) is FullSync for _, message in member.tick(member.next_wakeup))
    assert contacts > 20 and member.alive() == ["d0"]
