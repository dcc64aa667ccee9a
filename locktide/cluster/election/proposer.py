"""Stands for the lease and holds it: a proposer of PaxosLease.

The span of the lease begins before the first proposal is sent, and each elector's after it has taken one, so
the owner stops first. A lease is renewed by a new ballot while it runs: electors that tell of our own lease
count as open ones. It keeps a `term`, the ballot with which it began, as long as there was no gap.
"""

from __future__ import annotations

from locktide.cluster.election.acceptor import NONE
from locktide.cluster.messages import Accepted, Ballot, MemberId, Message, Prepare, Promise, Propose
from locktide.cluster.quota.lease_timing import LEADER_LEASE, LEADER_RENEWAL_INTERVAL
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

Outgoing = list[tuple[str, Message]]


class Proposer:
    def __init__(
        self,
        who: MemberId,
        electors: list[str],
        chance: LinearCongruentialGenerator,
        now: int,
        lead: int = LEADER_LEASE,
        renew: int = LEADER_RENEWAL_INTERVAL,
    ) -> None:
        self.member_id, self.acceptors, self.generator = who, electors, chance
        self.lease_duration, self.renew_interval = lead, renew
        self.ballot, self.highest_seen = NONE, NONE
        self.promised_by: set[str] = set()
        self.accepted_by: set[str] = set()
        self.proposal_until = 0  # of the ballot under way; 0 before its proposals are out
        self.lease_until = 0  # the lease is ours before that, by our clock
        self.term: Ballot | None = None
        self.other_leader_until = (
            0  # somebody else holds it, as far as we were told: no use in standing before
        )
        self.next_prepare_at = now + chance.below(renew)

    @property
    def quorum(self) -> int:
        return len(self.acceptors) // 2 + 1

    def is_leader(self, now: int) -> bool:
        if now >= self.lease_until:
            self.term = None
        return self.term is not None

    @property
    def next_wakeup(self) -> int:
        return self.next_prepare_at

    def tick(self, now: int) -> Outgoing:
        self.is_leader(now)
        if now < self.next_prepare_at:
            return []
        # Drawn, so that those that stand at the same moment do not go on doing so.
        self.next_prepare_at = now + self.renew_interval // 2 + self.generator.below(self.renew_interval // 2)
        if self.term is None and now < self.other_leader_until:
            return []
        count = max(self.ballot, self.highest_seen)[0] + 1
        self.ballot, self.promised_by, self.accepted_by = (count, *self.member_id), set(), set()
        self.proposal_until = 0
        return [(name, Prepare(self.ballot)) for name in self.acceptors]

    def handle_promise(self, sender: str, word: Promise, now: int) -> Outgoing:
        self.highest_seen = max(self.highest_seen, word.promised)
        if word.requested != self.ballot or self.proposal_until or sender not in self.acceptors:
            return []
        if word.refused:
            return []
        if word.lease_owner is not None and word.lease_owner != self.member_id:
            self.other_leader_until = now + self.renew_interval
            return []
        self.promised_by.add(sender)
        if len(self.promised_by) < self.quorum:
            return []
        self.proposal_until = now + self.lease_duration
        return [(name, Propose(self.ballot, self.member_id)) for name in self.acceptors]

    def handle_accepted(self, sender: str, word: Accepted, now: int) -> None:
        self.highest_seen = max(self.highest_seen, word.promised)
        if word.requested != self.ballot or word.refused or sender not in self.acceptors:
            return
        self.accepted_by.add(sender)
        if len(self.accepted_by) >= self.quorum and now < self.proposal_until:
            held = self.is_leader(now)
            self.lease_until = self.proposal_until
            if not held:
                self.term = self.ballot

    def resign(self) -> None:
        """Gives the lease up early: what electors still count only delays the next."""
        self.lease_until, self.term, self.next_prepare_at = 0, None, 1 << 62
