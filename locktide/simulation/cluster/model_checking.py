"""An explicit-state search of elections and quota leases: three members, every order of events.

The search begins in a state in which one member leads and the others hold shares. Each step is one of these:
time advances; a member ticks; a message in flight arrives, arrives and remains in flight (doubled), or is
lost; a member dies and restarts without its state. A member that does not tick for long is like a paused one.
In every state the shares in force must not sum to more than the whole. Two states are the same if all that
any member remembers is the same.
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
#: Durations in steps of time. A lease lasts for two requests, and its grantor counts it as two steps longer.
LEADER_LEASE, SHARE_LEASE, RENEWAL_INTERVAL, REQUEST_INTERVAL = 4, 4, 2, 2
TIMING = LeaseTiming(share_lease=SHARE_LEASE, request_interval=REQUEST_INTERVAL)
#: Most messages that may be in flight; further messages are lost.
MAX_MESSAGES_IN_FLIGHT = 5


class ModelMember:
    """The acceptor, proposer, allocator and lease holder of one member.

    Only the first two members are proposers: a third would add the same states under other names.

    Attributes:
        member_id: name and generation of the member.
        acceptor: its acceptor.
        proposer: its proposer; None for the third member.
        allocator: its allocator; None unless it leads.
        holder: its lease holder.
        next_heartbeat: when it sends the next heartbeats if it leads.
    """

    def __init__(self, name: str, generation: int, now: int) -> None:
        self.member_id = (name, generation)
        self.acceptor = Acceptor(now, LEADER_LEASE)
        is_proposer = name in NAMES[:2]
        self.proposer = (
            Proposer(
                self.member_id,
                list(NAMES),
                LinearCongruentialGenerator(1),
                now,
                LeaderLeaseTiming(LEADER_LEASE, RENEWAL_INTERVAL),
            )
            if is_proposer
            else None
        )
        self.allocator: Allocator | None = None
        self.holder = LeaseHolder(self.member_id, now, TIMING)
        self.next_heartbeat = now

    def tick(self, now: int) -> list[tuple[str, Message]]:
        """Perform the work that is due; return the messages with their receivers."""
        outgoing: list[tuple[str, Message]] = []
        if self.proposer is not None:
            outgoing += self.proposer.tick(now)
            if not self.proposer.is_leader(now):
                self.allocator = None
            elif self.allocator is None or self.allocator.term != self.proposer.term:
                assert self.proposer.term is not None
                config = AllocatorConfig({0: WHOLE}, timing=TIMING)
                self.allocator, self.next_heartbeat = Allocator(self.proposer.term, config, now), now
            if self.allocator is not None and now >= self.next_heartbeat:
                self.next_heartbeat = now + REQUEST_INTERVAL
                outgoing += [(name, LeaderHeartbeat(self.allocator.term)) for name in NAMES]
        # The member that is no proposer has nearly all of the demand, so that shares have to move.
        if request := self.holder.next_request({0: 9 if self.member_id[0] == "c" else 1}, now):
            outgoing.append((request.term[1], request))
        return outgoing

    def handle(self, sender_id: MemberId, message: Any, now: int) -> list[tuple[str, Message]]:
        """Handle a message; return the reply with its receiver."""
        reply: Message | None = None
        sender = sender_id[0]
        if isinstance(message, Prepare):
            reply = self.acceptor.handle_prepare(message, now)
        elif isinstance(message, Propose):
            reply = self.acceptor.handle_propose(message, now)
        elif isinstance(message, Promise) and self.proposer is not None:
            return self.proposer.handle_promise(sender, message, now)
        elif isinstance(message, Accepted) and self.proposer is not None:
            self.proposer.handle_accepted(sender, message, now)
        elif isinstance(message, LeaderHeartbeat):
            self.holder.observe_leader(message.term, now)
        elif isinstance(message, LeaseGrant):
            self.holder.accept_grant(message, now)
        elif isinstance(message, LeaseRequest) and self.proposer is not None and self.proposer.is_leader(now):
            if self.allocator is not None and message.term == self.allocator.term:
                reply = self.allocator.handle_request(sender_id, message, now)
        return [(sender, reply)] if reply is not None else []


@dataclass
class ModelState:
    """One state of the search.

    Attributes:
        now: the time, in steps.
        start_count: how many members were restarted; the last one has this generation.
        restart_count: how many restarts there were on the path to this state.
        members: the members by name.
        in_flight: the messages in flight: sender, receiver and message.
    """

    now: int = 0
    start_count: int = 0
    restart_count: int = 0
    members: dict[str, ModelMember] = field(default_factory=dict)
    in_flight: list[tuple[MemberId, str, Any]] = field(default_factory=list)

    def send(self, sender: str, outgoing: list[tuple[str, Any]]) -> None:
        """Put messages in flight; those of a member to itself arrive at once."""
        member_id = self.members[sender].member_id
        for name, message in outgoing:
            if name == sender:
                self.send(sender, self.members[name].handle(member_id, message, self.now))
            elif len(self.in_flight) < MAX_MESSAGES_IN_FLIGHT:
                self.in_flight.append((member_id, name, message))

    def total_shares(self) -> int:
        """Return the sum of the shares in force."""
        return sum(member.holder.current_shares(self.now).get(0, 0) for member in self.members.values())

    def leader_count(self) -> int:
        """Return how many members lead."""
        return sum(
            member.proposer is not None and member.proposer.is_leader(self.now)
            for member in self.members.values()
        )


def initial_state() -> ModelState:
    """Return a state in which one member leads and shares are granted, reached without loss or delay."""
    state = ModelState(members={name: ModelMember(name, 0, 0) for name in NAMES})
    while state.now < 60 and not (state.total_shares() >= WHOLE * 0.9 and state.leader_count()):
        state.now += 1
        for name, member in state.members.items():
            state.send(name, member.tick(state.now))
        while state.in_flight:
            sender, receiver, message = state.in_flight.pop(0)
            state.send(receiver, state.members[receiver].handle(sender, message, state.now))
    assert state.leader_count() == 1
    return state


def next_states(state: bytes, max_restarts: int) -> Iterator[tuple[str, ModelState]]:
    """Yield each state that may follow a pickled state, with the description of the step to it."""

    def copy() -> ModelState:
        copied: ModelState = pickle.loads(state)
        return copied

    first = copy()
    state_later = copy()
    state_later.now += 1
    yield "time", state_later
    for name in NAMES:
        state_woken = copy()
        outgoing = state_woken.members[name].tick(state_woken.now)
        if outgoing:
            state_woken.send(name, outgoing)
            yield f"{name} wakes", state_woken
        if first.restart_count < max_restarts:
            state_restarted = copy()
            state_restarted.start_count, state_restarted.restart_count = (
                state_restarted.start_count + 1,
                state_restarted.restart_count + 1,
            )
            state_restarted.members[name] = ModelMember(
                name, state_restarted.start_count, state_restarted.now
            )
            yield f"{name} begins anew", state_restarted
    for index, (sender, receiver, message) in enumerate(first.in_flight):
        for event in ("arrives", "is doubled", "is lost"):
            state_moved = copy()
            if event != "is doubled":
                del state_moved.in_flight[index]
            if event != "is lost":
                state_moved.send(
                    receiver, state_moved.members[receiver].handle(sender, message, state_moved.now)
                )
            yield f"{type(message).__name__} {sender[0]}>{receiver} {event}", state_moved


@dataclass
class SearchResult:
    """The result of a search.

    Attributes:
        states: how many different states were found.
        depth: the number of steps up to which all states were checked.
        breach: the steps that lead to the first unsafe state; empty if there is none.
    """

    states: int
    depth: int
    breach: list[str]


def search(
    max_states: int, max_restarts: int = 1, is_safe: Callable[[ModelState], bool] | None = None
) -> SearchResult:
    """Search breadth first, until `max_states` states or an unsafe one were found.

    Args:
        max_states: the number of states after which the search ends.
        max_restarts: how many restarts a path may have.
        is_safe: whether a state is safe; by default it is if the shares in force sum to at most the whole.
    """
    is_safe = is_safe or (lambda state: state.total_shares() <= WHOLE)
    first = pickle.dumps(initial_state())
    visited, layer, depth = {hash(first)}, [(first, ())], 0
    while layer and len(visited) < max_states:
        next_layer: list[tuple[bytes, tuple[Any, ...]]] = []
        for state, path in layer:
            for step, state_after in next_states(state, max_restarts):
                if not is_safe(state_after):
                    return SearchResult(len(visited), depth + 1, [*unroll(path), step])
                state_after.in_flight.sort(key=repr)
                pickled = pickle.dumps(state_after)
                if hash(pickled) not in visited:
                    visited.add(hash(pickled))
                    next_layer.append((pickled, (path, step)))
            if len(visited) >= max_states:
                return SearchResult(len(visited), depth, [])
        layer, depth = next_layer, depth + 1
    return SearchResult(len(visited), depth, [])


def unroll(path: Any) -> list[str]:
    """Return the steps of a path, which is a pair of the path before and its last step."""
    found: list[str] = []
    while path:
        path, step = path
        found.append(step)
    return found[::-1]
