"""One vote on who divides the budgets: an acceptor of PaxosLease (Trencseni, Gazso, Reinhardt, 2012).

Nothing is kept on disk. An elector that has just started does not know what it had promised before, so it is
silent until any lease that it may have helped to give is over at whoever holds it.
"""

from __future__ import annotations

from locktide.cluster.messages import Accepted, Ballot, MemberId, Prepare, Promise, Propose
from locktide.cluster.quota.lease_timing import LEADER_LEASE, lifetime_at_grantor

NONE: Ballot = (0, "", 0)


class Acceptor:
    def __init__(self, now: int, lead: int = LEADER_LEASE) -> None:
        self.lasts = lifetime_at_grantor(lead)
        self.silent_until = now + self.lasts
        self.promised = NONE
        self.owner: MemberId | None = None
        self.until = 0

    def prepare(self, word: Prepare, now: int) -> Promise | None:
        if now < self.silent_until:
            return None
        if word.ballot < self.promised:
            return Promise(word.ballot, self.promised, None, True)
        self.promised = word.ballot
        return Promise(word.ballot, word.ballot, self.owner if now < self.until else None, False)

    def propose(self, word: Propose, now: int) -> Accepted | None:
        if now < self.silent_until:
            return None
        if word.ballot < self.promised:
            return Accepted(word.ballot, self.promised, True)
        self.promised, self.owner, self.until = word.ballot, word.owner, now + self.lasts
        return Accepted(word.ballot, word.ballot, False)
