"""Members that are thought dead, or outdone by a later process of their name, and live."""

from __future__ import annotations

import pytest

from locktide.cluster.membership.member_table import DEAD
from locktide.cluster.membership.suspicion import PERIOD
from locktide.cluster.membership.swim import WHOLE_EVERY, Address, Swim
from locktide.cluster.messages import VERSION, Envelope, FullSync, MemberRecord, Ping
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.simulation.cluster import random_runs as days


def member(name: str, start: int = 1, port: int = 0) -> Swim:
    address = ("10.0.0.1", port or 9000 + int(name[1:]))
    return Swim(
        (name, start), address, [("10.0.0.1", 9000)], LinearCongruentialGenerator(int(name[1:]) + start), 0
    )


def know(of: Swim, *others: Swim) -> None:
    for other in others:
        of.learn(other.me, 0, other.who[0])


def dead(row: MemberRecord) -> MemberRecord:
    return MemberRecord(row.name, row.start, row.turn, DEAD, row.address)


def pass_on(sends: list[tuple[Address, object]], sender: Swim, to: Swim, now: int) -> None:
    for address, word in sends:
        if address == to.me.address:
            to.hear(Envelope(VERSION, *sender.who, word), now)


def test_one_that_counts_as_dead_and_speaks_hears_it_and_refutes() -> None:
    """Nobody asked it anything any more, and the news of its death was told no longer."""
    one, other = member("d0"), member("d1")
    know(one, other)
    know(other, one)
    one.learn(dead(other.me), 0, "d0")
    one.rumours.told.clear()
    pass_on(one.hear(Envelope(VERSION, *other.who, Ping(7, None, [])), 1000), one, other, 1000)
    assert other.me.turn == 1
    pass_on(other.tick(PERIOD), other, one, PERIOD)
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
                one.learn(dead(other.me), 0, one.who[0])
        one.rumours.told.clear()
        if forgotten:
            one.table.forget(10 * WHOLE_EVERY)
            assert len(one.table.rows) == 2
    now = 0
    while now < 6 * WHOLE_EVERY and any(len(one.alive()) < 4 for one in all_of_them):
        now = min(one.due for one in all_of_them)
        queue = [(one, send) for one in all_of_them if one.due <= now for send in one.tick(now)]
        while queue:
            sender, (address, word) = queue.pop(0)
            for to in all_of_them:
                if to.me.address == address:
                    queue += [(to, send) for send in to.hear(Envelope(VERSION, *sender.who, word), now)]
    assert all(len(one.alive()) == 4 for one in all_of_them)


@pytest.mark.parametrize("known", [True, False])
def test_an_earlier_process_is_told_of_the_later_one_at_its_own_address(known: bool) -> None:
    """What was meant for the name went to the later one, also when that was dead; the earlier never heard."""
    one, earlier, later = member("d0"), member("d1"), member("d1", start=5, port=9501)
    know(one, *((earlier, later) if known else (later,)))
    one.learn(dead(later.me), 0, "d0")
    word = Ping(7, None, []) if known else FullSync([earlier.me], True)  # else its own words tell where it is
    sends = one.hear(Envelope(VERSION, *earlier.who, word), 1000)
    assert any(address == earlier.me.address and isinstance(word, FullSync) for address, word in sends)
    told = [word for address, word in sends if address == earlier.me.address and isinstance(word, FullSync)]
    assert not any(word.answer for word in told)
    # What only tells is not answered: two that are both outdone would go on for ever (drawn day 59).
    assert one.hear(Envelope(VERSION, *earlier.who, FullSync([earlier.me], False)), 1000) == []
    pass_on(sends, one, earlier, 1000)
    assert earlier.replaced and not later.replaced


def test_names_that_are_forgotten_leave_nothing_behind() -> None:
    """A peer that makes up names, each started twice, must not fill the memory."""
    one = member("d0")
    for number in range(1, 50):
        know(one, member(f"d{number}"), member(f"d{number}", start=5, port=9501))
        one.learn(dead(one.table.rows[f"d{number}"]), 0, "d0")
    assert len(one.reunion.outdone) == 49
    one.tick(10 * WHOLE_EVERY)
    assert not one.reunion.outdone and list(one.table.rows) == ["d0"]


@pytest.mark.parametrize("seed", [8, 38, 56, 59])
def test_days_on_which_members_and_ledgers_differed_after_quiet(seed: int) -> None:
    came = days.play(seed)
    assert came.agree and came.ledgers == 1 and came.overruns == 0
