"""Members that are considered dead, or are superseded by a later process of their name, while they run."""

from __future__ import annotations

from typing import Any

import pytest

from locktide.cluster.membership.suspicion import PROBE_INTERVAL
from locktide.cluster.membership.swim import FULL_SYNC_INTERVAL, Swim
from locktide.cluster.membership.view import Address
from locktide.cluster.messages import VERSION, Envelope, FullSync, MemberRecord, MemberState, Message, Ping
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.simulation.cluster import random_runs

SEED_ADDRESS = ("10.0.0.1", 9000)


def new_member(name: str, generation: int = 1, port: int = 0) -> Swim:
    number = int(name[1:])
    address = ("10.0.0.1", port or 9000 + number)
    generator = LinearCongruentialGenerator(number + generation)
    return Swim((name, generation), address, [SEED_ADDRESS], generator, 0)


def introduce(member: Swim, *others: Swim) -> None:
    for other in others:
        member.view.merge(other.view.own_record, 0, other.member_id[0])


def as_dead(record: MemberRecord) -> MemberRecord:
    return MemberRecord(record.name, record.generation, record.incarnation, MemberState.DEAD, record.address)


def envelope_from(sender: Swim, message: Any) -> Envelope:
    return Envelope(VERSION, *sender.member_id, message)


def deliver(outgoing: list[tuple[Address, Message]], sender: Swim, receiver: Swim, now: int) -> None:
    for address, message in outgoing:
        if address == receiver.view.own_record.address:
            receiver.handle(envelope_from(sender, message), now)


def test_a_member_considered_dead_that_sends_a_ping_learns_of_it_and_refutes() -> None:
    """Nobody probes a member considered dead, and the gossip about its death has ended."""
    observer, accused = new_member("d0"), new_member("d1")
    introduce(observer, accused)
    introduce(accused, observer)
    observer.view.merge(as_dead(accused.view.own_record), 0, "d0")
    observer.view.gossip.queued.clear()
    replies = observer.handle(envelope_from(accused, Ping(7, None, [])), 1000)
    deliver(replies, observer, accused, 1000)
    assert accused.view.own_record.incarnation == 1
    deliver(accused.tick(PROBE_INTERVAL), accused, observer, PROBE_INTERVAL)
    assert observer.alive() == ["d0", "d1"]


@pytest.mark.parametrize("forgotten", [False, True])
def test_two_groups_that_consider_each_other_dead_merge_again(forgotten: bool) -> None:
    """Dead members are forgotten after a minute; from then on only the seeds can reconnect the groups."""
    members = [new_member(f"d{number}") for number in range(4)]
    for member in members:
        introduce(member, *[other for other in members if other is not member])
    for index, member in enumerate(members):
        for other_index, other in enumerate(members):
            if (index < 2) != (other_index < 2):
                member.view.merge(as_dead(other.view.own_record), 0, member.member_id[0])
        member.view.gossip.queued.clear()
        if forgotten:
            member.view.table.forget(10 * FULL_SYNC_INTERVAL)
            assert len(member.view.table.records) == 2
    now = 0
    while now < 6 * FULL_SYNC_INTERVAL and any(len(member.alive()) < 4 for member in members):
        now = min(member.next_wakeup for member in members)
        queue = [
            (member, send) for member in members if member.next_wakeup <= now for send in member.tick(now)
        ]
        while queue:
            sender, (address, message) = queue.pop(0)
            for receiver in members:
                if receiver.view.own_record.address == address:
                    replies = receiver.handle(envelope_from(sender, message), now)
                    queue += [(receiver, send) for send in replies]
    assert all(len(member.alive()) == 4 for member in members)


@pytest.mark.parametrize("known", [True, False])
def test_a_superseded_process_is_notified_of_the_later_one_at_its_own_address(known: bool) -> None:
    """Messages to a name go to the address of the later process, even if that one is dead.

    Without a notice to its own address the earlier process never learned that it was superseded.
    """
    observer, earlier = new_member("d0"), new_member("d1")
    later = new_member("d1", generation=5, port=9501)
    introduce(observer, *((earlier, later) if known else (later,)))
    observer.view.merge(as_dead(later.view.own_record), 0, "d0")
    # If the earlier process is not known, the observer learns its address from its own message.
    message = Ping(7, None, []) if known else FullSync([earlier.view.own_record], True)
    outgoing = observer.handle(envelope_from(earlier, message), 1000)
    notices = [
        sent
        for address, sent in outgoing
        if address == earlier.view.own_record.address and isinstance(sent, FullSync)
    ]
    assert notices
    assert not any(notice.reply_wanted for notice in notices)
    # A notice is not answered: two superseded processes would answer each other forever (random run 59).
    notice = FullSync([earlier.view.own_record], False)
    assert observer.handle(envelope_from(earlier, notice), 1000) == []
    deliver(outgoing, observer, earlier, 1000)
    assert earlier.view.superseded and not later.view.superseded


def test_names_that_are_forgotten_leave_nothing_behind() -> None:
    """A peer that invents names, each with two generations, must not fill the memory."""
    observer = new_member("d0")
    for number in range(1, 50):
        name = f"d{number}"
        introduce(observer, new_member(name), new_member(name, generation=5, port=9501))
        observer.view.merge(as_dead(observer.view.table.records[name]), 0, "d0")
    assert len(observer.view.partition_healing.superseded) == 49
    observer.tick(10 * FULL_SYNC_INTERVAL)
    assert not observer.view.partition_healing.superseded
    assert list(observer.view.table.records) == ["d0"]


@pytest.mark.parametrize("seed", [8, 38, 56, 59])
def test_members_and_ledgers_agree_after_quiet_on_seeds_that_once_left_them_different(seed: int) -> None:
    outcome = random_runs.run(seed)
    assert outcome.agree and outcome.ledgers == 1 and outcome.overruns == 0
