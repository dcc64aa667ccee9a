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
        self.who, self.electors, self.chance = who, electors, chance
        self.lead, self.renew = lead, renew
        self.ballot, self.highest = NONE, NONE
        self.promises: set[str] = set()
        self.accepted: set[str] = set()
        self.proposed_until = 0  # of the ballot under way; 0 before its proposals are out
        self.until = 0  # the lease is ours before that, by our clock
        self.term: Ballot | None = None
        self.other_until = 0  # somebody else holds it, as far as we were told: no use in standing before
        self.stand_at = now + chance.below(renew)

    @property
    def enough(self) -> int:
        return len(self.electors) // 2 + 1

    def leads(self, now: int) -> bool:
        if now >= self.until:
            self.term = None
        return self.term is not None

    @property
    def due(self) -> int:
        return self.stand_at

    def tick(self, now: int) -> Outgoing:
        self.leads(now)
        if now < self.stand_at:
            return []
        # Drawn, so that those that stand at the same moment do not go on doing so.
        self.stand_at = now + self.renew // 2 + self.chance.below(self.renew // 2)
        if self.term is None and now < self.other_until:
            return []
        count = max(self.ballot, self.highest)[0] + 1
        self.ballot, self.promises, self.accepted = (count, *self.who), set(), set()
        self.proposed_until = 0
        return [(name, Prepare(self.ballot)) for name in self.electors]

    def promise(self, sender: str, word: Promise, now: int) -> Outgoing:
        self.highest = max(self.highest, word.ballot)
        if word.asked != self.ballot or self.proposed_until or sender not in self.electors:
            return []
        if word.refused:
            return []
        if word.owner is not None and word.owner != self.who:
            self.other_until = now + self.renew
            return []
        self.promises.add(sender)
        if len(self.promises) < self.enough:
            return []
        self.proposed_until = now + self.lead
        return [(name, Propose(self.ballot, self.who)) for name in self.electors]

    def was_accepted(self, sender: str, word: Accepted, now: int) -> None:
        self.highest = max(self.highest, word.ballot)
        if word.asked != self.ballot or word.refused or sender not in self.electors:
            return
        self.accepted.add(sender)
        if len(self.accepted) >= self.enough and now < self.proposed_until:
            held = self.leads(now)
            self.until = self.proposed_until
            if not held:
                self.term = self.ballot

    def resign(self) -> None:
        """Gives the lease up early: what electors still count only delays the next."""
        self.until, self.term, self.stand_at = 0, None, 1 << 62
