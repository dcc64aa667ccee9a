"""An explicit-state search of the lease and budget machines: three members, every order of what may happen.

From a state in which one member leads and two hold parts, each step is one of: time goes on; a member wakes;
a message under way arrives, arrives and stays under way (doubled), or is lost; a member dies and begins anew
with nothing. A member that is not woken for long is one that is paused. At every state the parts in force
must not sum to more than the whole, and states are told apart by all that any member remembers.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from locktide.cluster.election.acceptor import Acceptor
from locktide.cluster.election.proposer import LeaderLeaseTiming, Proposer
from locktide.cluster.messages import (
    Accepted,
    LeaderHeartbeat,
    LeaseGrant,
    LeaseRequest,
    MemberId,
    Message,
    Prepare,
    Promise,
    Propose,
)
from locktide.cluster.quota.allocator import Allocator, AllocatorConfig
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import LeaseTiming
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

NAMES = ("a", "b", "c")
WHOLE = 100
# Spans in steps of the search: a lease outlives two questions, and the grantor counts one as longer by two.
LEAD, PART, RENEW, ASK = 4, 4, 2, 2
TIMING = LeaseTiming(share_lease=PART, request_interval=ASK)
MOST_UNDER_WAY = 5


class ModelMember:
    """The four machines of one process. Only the first two stand: more would be the same with other names."""

    def __init__(self, name: str, start: int, now: int) -> None:
        self.who = (name, start)
        self.elector = Acceptor(now, LEAD)
        stands = name in NAMES[:2]
        self.candidate = (
            Proposer(
                self.who, list(NAMES), LinearCongruentialGenerator(1), now, LeaderLeaseTiming(LEAD, RENEW)
            )
            if stands
            else None
        )
        self.giver: Allocator | None = None
        self.holder = LeaseHolder(self.who, now, TIMING)
        self.lead_at = now

    def tick(self, now: int) -> list[tuple[str, Message]]:
        sends: list[tuple[str, Message]] = []
        if self.candidate is not None:
            sends += self.candidate.tick(now)
            if not self.candidate.is_leader(now):
                self.giver = None
            elif self.giver is None or self.giver.term != self.candidate.term:
                assert self.candidate.term is not None
                config = AllocatorConfig({0: WHOLE}, timing=TIMING)
                self.giver, self.lead_at = Allocator(self.candidate.term, config, now), now
            if self.giver is not None and now >= self.lead_at:
                self.lead_at = now + ASK
                sends += [(name, LeaderHeartbeat(self.giver.term)) for name in NAMES]
        # The one that does not stand wants all, so that parts have to move.
        if ask := self.holder.next_request({0: 9 if self.who[0] == "c" else 1}, now):
            sends.append((ask.term[1], ask))
        return sends

    def hear(self, by: MemberId, word: Any, now: int) -> list[tuple[str, Message]]:
        reply: Message | None = None
        sender = by[0]
        if isinstance(word, Prepare):
            reply = self.elector.handle_prepare(word, now)
        elif isinstance(word, Propose):
            reply = self.elector.handle_propose(word, now)
        elif isinstance(word, Promise) and self.candidate is not None:
            return self.candidate.handle_promise(sender, word, now)
        elif isinstance(word, Accepted) and self.candidate is not None:
            self.candidate.handle_accepted(sender, word, now)
        elif isinstance(word, LeaderHeartbeat):
            self.holder.observe_leader(word.term, now)
        elif isinstance(word, LeaseGrant):
            self.holder.accept_grant(word, now)
        elif isinstance(word, LeaseRequest) and self.candidate is not None and self.candidate.is_leader(now):
            if self.giver is not None and word.term == self.giver.term:
                reply = self.giver.handle_request(by, word, now)
        return [(sender, reply)] if reply is not None else []


@dataclass
class ModelState:
    now: int = 0
    starts: int = 0
    restarts: int = 0
    members: dict[str, ModelMember] = field(default_factory=dict)
    under_way: list[tuple[MemberId, str, Any]] = field(default_factory=list)  # sender, receiver, word

    def add(self, sender: str, sends: list[tuple[str, Any]]) -> None:
        """What one says to itself arrives at once."""
        who = self.members[sender].who
        for name, word in sends:
            if name == sender:
                self.add(sender, self.members[name].hear(who, word, self.now))
            elif len(self.under_way) < MOST_UNDER_WAY:
                self.under_way.append((who, name, word))

    def in_force(self) -> int:
        return sum(one.holder.current_shares(self.now).get(0, 0) for one in self.members.values())

    def leaders(self) -> int:
        return sum(
            one.candidate is not None and one.candidate.is_leader(self.now) for one in self.members.values()
        )


def begin() -> ModelState:
    """Nothing is lost or late until one leads and the others hold parts."""
    state = ModelState(members={name: ModelMember(name, 0, 0) for name in NAMES})
    while state.now < 60 and not (state.in_force() >= WHOLE * 0.9 and state.leaders()):
        state.now += 1
        for name, member in state.members.items():
            state.add(name, member.tick(state.now))
        while state.under_way:
            sender, receiver, word = state.under_way.pop(0)
            state.add(receiver, state.members[receiver].hear(sender, word, state.now))
    assert state.leaders() == 1
    return state


def steps(state: bytes, restarts: int) -> Iterator[tuple[str, ModelState]]:
    """Each state that may follow, and by what."""

    def copy() -> ModelState:
        made: ModelState = pickle.loads(state)
        return made

    first = copy()
    later = copy()
    later.now += 1
    yield "time", later
    for name in NAMES:
        woken = copy()
        sends = woken.members[name].tick(woken.now)
        if sends:
            woken.add(name, sends)
            yield f"{name} wakes", woken
        if first.restarts < restarts:
            anew = copy()
            anew.starts, anew.restarts = anew.starts + 1, anew.restarts + 1
            anew.members[name] = ModelMember(name, anew.starts, anew.now)
            yield f"{name} begins anew", anew
    for place, (sender, receiver, word) in enumerate(first.under_way):
        for what in ("arrives", "is doubled", "is lost"):
            moved = copy()
            if what != "is doubled":
                del moved.under_way[place]
            if what != "is lost":
                moved.add(receiver, moved.members[receiver].hear(sender, word, moved.now))
            yield f"{type(word).__name__} {sender[0]}>{receiver} {what}", moved


@dataclass
class SearchResult:
    states: int
    depth: int  # to which all were looked at
    breach: list[str]  # the steps that led to the first one


def search(
    most_states: int, restarts: int = 1, good: Callable[[ModelState], bool] | None = None
) -> SearchResult:
    """Breadth first until so many states were seen, or a breach was."""
    good = good or (lambda state: state.in_force() <= WHOLE)
    first = pickle.dumps(begin())
    seen, layer, depth = {hash(first)}, [(first, ())], 0
    while layer and len(seen) < most_states:
        after: list[tuple[bytes, tuple[Any, ...]]] = []
        for state, path in layer:
            for what, made in steps(state, restarts):
                if not good(made):
                    return SearchResult(len(seen), depth + 1, [*unrolled(path), what])
                made.under_way.sort(key=repr)
                frozen = pickle.dumps(made)
                if hash(frozen) not in seen:
                    seen.add(hash(frozen))
                    after.append((frozen, (path, what)))
            if len(seen) >= most_states:
                return SearchResult(len(seen), depth, [])
        layer, depth = after, depth + 1
    return SearchResult(len(seen), depth, [])


def unrolled(path: Any) -> list[str]:
    found: list[str] = []
    while path:
        path, what = path
        found.append(what)
    return found[::-1]
