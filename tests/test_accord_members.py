"""Members that are thought dead, or outdone by a later process of their name, and live."""

from __future__ import annotations

import pytest

from locktide.cluster.membership.suspicion import PROBE_INTERVAL
from locktide.cluster.membership.swim import FULL_SYNC_INTERVAL, Address, Swim
from locktide.cluster.messages import VERSION, Envelope, FullSync, MemberRecord, MemberState, Ping
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.simulation.cluster import random_runs as days


def member(name: str, start: int = 1, port: int = 0) -> Swim:
    address = ("10.0.0.1", port or 9000 + int(name[1:]))
    return Swim(
        (name, start), address, [("10.0.0.1", 9000)], LinearCongruentialGenerator(int(name[1:]) + start), 0
    )


def know(of: Swim, *others: Swim) -> None:
    for other in others:
        of.view.merge(other.view.own_record, 0, other.member_id[0])


def dead(row: MemberRecord) -> MemberRecord:
    return MemberRecord(row.name, row.generation, row.incarnation, MemberState.DEAD, row.address)


def pass_on(sends: list[tuple[Address, object]], sender: Swim, to: Swim, now: int) -> None:
    for address, word in sends:
        if address == to.view.own_record.address:
            to.handle(Envelope(VERSION, *sender.member_id, word), now)


def test_one_that_counts_as_dead_and_speaks_hears_it_and_refutes() -> None:
    """Nobody asked it anything any more, and the news of its death was told no longer."""
    one, other = member("d0"), member("d1")
    know(one, other)
    know(other, one)
    one.view.merge(dead(other.view.own_record), 0, "d0")
    one.view.gossip.queued.clear()
    pass_on(one.handle(Envelope(VERSION, *other.member_id, Ping(7, None, [])), 1000), one, other, 1000)
    assert other.view.own_record.incarnation == 1
    pass_on(other.tick(PROBE_INTERVAL), other, one, PROBE_INTERVAL)
    assert one.alive() == ["d0", "d1"]


@pytest.mark.parametrize("forgotten", [False, True])
def test_two_groups_that_hold_each_other_dead_find_each_other_again(forgotten: bool) -> None:
    """After a minute the dead are forgotten: then it is the seeds that bring them together."""
    all_of_them = [member(f"d{number}") for number in range(4)]
    for one in all_of_them:
        know(one, *[other for other in all_of_them if other is not one])
    for one in all_of_them:
        for other in all_of_them:
            if (all_of_them.index(one) < 2) != (all_of_them.index(other) < 2):
                one.view.merge(dead(other.view.own_record), 0, one.member_id[0])
        one.view.gossip.queued.clear()
        if forgotten:
            one.view.table.forget(10 * FULL_SYNC_INTERVAL)
            assert len(one.view.table.records) == 2
    now = 0
    while now < 6 * FULL_SYNC_INTERVAL and any(len(one.alive()) < 4 for one in all_of_them):
        now = min(one.next_wakeup for one in all_of_them)
        queue = [(one, send) for one in all_of_them if one.next_wakeup <= now for send in one.tick(now)]
        while queue:
            sender, (address, word) = queue.pop(0)
            for to in all_of_them:
                if to.view.own_record.address == address:
                    queue += [
                        (to, send) for send in to.handle(Envelope(VERSION, *sender.member_id, word), now)
                    ]
    assert all(len(one.alive()) == 4 for one in all_of_them)


@pytest.mark.parametrize("known", [True, False])
def test_an_earlier_process_is_told_of_the_later_one_at_its_own_address(known: bool) -> None:
    """What was meant for the name went to the later one, also when that was dead; the earlier never heard."""
    one, earlier, later = member("d0"), member("d1"), member("d1", start=5, port=9501)
    know(one, *((earlier, later) if known else (later,)))
    one.view.merge(dead(later.view.own_record), 0, "d0")
    word = (
        Ping(7, None, []) if known else FullSync([earlier.view.own_record], True)
    )  # else its own words tell where it is
    sends = one.handle(Envelope(VERSION, *earlier.member_id, word), 1000)
    assert any(
        address == earlier.view.own_record.address and isinstance(word, FullSync) for address, word in sends
    )
    told = [
        word
        for address, word in sends
        if address == earlier.view.own_record.address and isinstance(word, FullSync)
    ]
    assert not any(word.reply_wanted for word in told)
    # What only tells is not answered: two that are both outdone would go on for ever (drawn day 59).
    notice = FullSync([earlier.view.own_record], False)
    assert one.handle(Envelope(VERSION, *earlier.member_id, notice), 1000) == []
    pass_on(sends, one, earlier, 1000)
    assert earlier.view.superseded and not later.view.superseded


def test_names_that_are_forgotten_leave_nothing_behind() -> None:
    """A peer that makes up names, each started twice, must not fill the memory."""
    one = member("d0")
    for number in range(1, 50):
        know(one, member(f"d{number}"), member(f"d{number}", start=5, port=9501))
        one.view.merge(dead(one.view.table.records[f"d{number}"]), 0, "d0")
    assert len(one.view.partition_healing.superseded) == 49
    one.tick(10 * FULL_SYNC_INTERVAL)
    assert not one.view.partition_healing.superseded and list(one.view.table.records) == ["d0"]


@pytest.mark.parametrize("seed", [8, 38, 56, 59])
def test_days_on_which_members_and_ledgers_differed_after_quiet(seed: int) -> None:
    came = days.play(seed)
    assert came.agree and came.ledgers == 1 and came.overruns == 0
