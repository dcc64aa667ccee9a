"""Proposer of the leader lease: acquires, renews and resigns it (PaxosLease).

The owner counts the duration of the lease from before its first proposal is sent, and each acceptor from when
it has accepted, so the lease ends at the owner first. A lease is renewed by a new ballot while it runs: a
Promise that names our own lease counts like one that names none. A leader keeps its `term`, the ballot with
which it acquired the lease, as long as it holds the lease without a gap. The package docstring has the safety
argument.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.election.acceptor import LOWEST_BALLOT
from locktide.cluster.messages import Accepted, Ballot, MemberId, Message, Prepare, Promise, Propose
from locktide.cluster.quota.lease_timing import LEADER_LEASE, LEADER_RENEWAL_INTERVAL
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

#: Messages to send, each with the name of its receiver.
Outgoing = list[tuple[str, Message]]
#: Later than any time of any clock, in microseconds.
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class LeaderLeaseTiming:
    """Durations of the leader lease.

    Attributes:
        duration: how long the lease lasts, in microseconds.
        renew_interval: the longest time between two ballots of its owner, in microseconds.
    """

    duration: int = LEADER_LEASE
    renew_interval: int = LEADER_RENEWAL_INTERVAL


class Proposer:
    """A candidate for the leader lease. Times are microseconds of its own clock.

    Attributes:
        member_id: name and generation of the candidate.
        acceptors: the names of the members that vote.
        lease_duration: how long an acquired lease lasts, in microseconds.
        renew_interval: the longest time between two ballots, in microseconds.
        ballot: the last ballot that it has begun.
        highest_seen: the highest ballot that any acceptor has named.
        promised_by: the acceptors that have promised `ballot`.
        accepted_by: the acceptors that have accepted `ballot`.
        proposal_until: when the proposed lease ends; 0 before the proposals are sent.
        lease_until: when its current lease ends; 0 if it has none.
        term: the ballot with which it acquired the lease that it has held since without a gap; None while it
            is not the leader.
        other_leader_until: time before which another member is presumed to hold the lease, so that a ballot
            would fail.
        next_prepare_at: when the next ballot begins.
    """

    def __init__(
        self,
        member_id: MemberId,
        acceptors: list[str],
        generator: LinearCongruentialGenerator,
        now: int,
        timing: LeaderLeaseTiming | None = None,
    ) -> None:
        timing = timing or LeaderLeaseTiming()
        self.member_id = member_id
        self.acceptors = acceptors
        self.generator = generator
        self.lease_duration = timing.duration
        self.renew_interval = timing.renew_interval
        self.ballot = LOWEST_BALLOT
        self.highest_seen = LOWEST_BALLOT
        self.promised_by: set[str] = set()
        self.accepted_by: set[str] = set()
        self.proposal_until = 0
        self.lease_until = 0
        self.term: Ballot | None = None
        self.other_leader_until = 0
        self.next_prepare_at = now + generator.below(self.renew_interval)

    @property
    def quorum(self) -> int:
        """How many acceptors are a majority."""
        return len(self.acceptors) // 2 + 1

    def is_leader(self, now: int) -> bool:
        """Return whether this member holds the lease; end the term once the lease has expired."""
        if now >= self.lease_until:
            self.term = None
        return self.term is not None

    @property
    def next_wakeup(self) -> int:
        """When `tick` has to be called next."""
        return self.next_prepare_at

    def tick(self, now: int) -> Outgoing:
        """Begin a ballot if it is time to acquire or renew the lease; return the messages to send."""
        was_leader = self.is_leader(now)
        if now < self.next_prepare_at:
            return []
        # A random time from a half to a whole interval. With a fixed interval, proposers that begin a ballot
        # at the same moment once would do so every time, and each would void the other's ballot.
        half_interval = self.renew_interval // 2
        self.next_prepare_at = now + half_interval + self.generator.below(half_interval)
        if not was_leader and now < self.other_leader_until:
            return []
        self._begin_ballot()
        return [(name, Prepare(self.ballot)) for name in self.acceptors]

    def _begin_ballot(self) -> None:
        """Choose a ballot higher than any seen so far, and clear the votes."""
        highest_counter, _, _ = max(self.ballot, self.highest_seen)
        self.ballot = (highest_counter + 1, *self.member_id)
        self.promised_by = set()
        self.accepted_by = set()
        self.proposal_until = 0

    def handle_promise(self, sender: str, message: Promise, now: int) -> Outgoing:
        """Count a promise; once a majority has promised, propose the lease for this member."""
        self.highest_seen = max(self.highest_seen, message.promised)
        is_current = message.requested == self.ballot and not self.proposal_until
        if not is_current or message.refused or sender not in self.acceptors:
            return []
        if message.lease_owner is not None and message.lease_owner != self.member_id:
            self.other_leader_until = now + self.renew_interval
            return []
        self.promised_by.add(sender)
        if len(self.promised_by) < self.quorum:
            return []
        self.proposal_until = now + self.lease_duration
        return [(name, Propose(self.ballot, self.member_id)) for name in self.acceptors]

    def handle_accepted(self, sender: str, message: Accepted, now: int) -> None:
        """Count an acceptance; once a majority has accepted, this member holds the lease."""
        self.highest_seen = max(self.highest_seen, message.promised)
        if message.requested != self.ballot or message.refused or sender not in self.acceptors:
            return
        self.accepted_by.add(sender)
        if len(self.accepted_by) >= self.quorum and now < self.proposal_until:
            was_leader = self.is_leader(now)
            self.lease_until = self.proposal_until
            if not was_leader:
                self.term = self.ballot

    def resign(self) -> None:
        """Give up the lease early; acceptors that still count it only delay the next leader."""
        self.lease_until = 0
        self.term = None
        self.next_prepare_at = NEVER
