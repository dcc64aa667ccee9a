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
        self.lease_duration = lifetime_at_grantor(lead)
        self.silent_until = now + self.lease_duration
        self.promised = NONE
        self.lease_owner: MemberId | None = None
        self.lease_until = 0

    def handle_prepare(self, word: Prepare, now: int) -> Promise | None:
        if now < self.silent_until:
            return None
        if word.ballot < self.promised:
            return Promise(word.ballot, self.promised, None, True)
        self.promised = word.ballot
        return Promise(word.ballot, word.ballot, self.lease_owner if now < self.lease_until else None, False)

    def handle_propose(self, word: Propose, now: int) -> Accepted | None:
        if now < self.silent_until:
            return None
        if word.ballot < self.promised:
            return Accepted(word.ballot, self.promised, True)
        self.promised, self.lease_owner, self.lease_until = (
            word.ballot,
            word.lease_owner,
            now + self.lease_duration,
        )
        return Accepted(word.ballot, word.ballot, False)
