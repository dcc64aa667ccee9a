"""Acceptor of the leader lease: votes on ballots (PaxosLease; Trencseni, Gazso, Reinhardt, 2012).

Nothing is kept on disk. An acceptor that has just started does not know what it had promised before, so it is
silent until any lease that it may have helped to grant has expired at its owner. The package docstring has
the safety argument.
"""

from __future__ import annotations

from locktide.cluster.messages import Accepted, Ballot, MemberId, Prepare, Promise, Propose
from locktide.cluster.quota.lease_timing import LEADER_LEASE, lifetime_at_grantor

LOWEST_BALLOT: Ballot = (0, "", 0)


class Acceptor:
    """One vote in the election of the leader. Times are microseconds of its own clock."""

    def __init__(self, now: int, lease: int = LEADER_LEASE) -> None:
        """`lease` is the duration by which the owner counts."""
        self.lease_duration = lifetime_at_grantor(lease)
        self.silent_until = now + self.lease_duration
        self.promised = LOWEST_BALLOT
        self.lease_owner: MemberId | None = None
        self.lease_until = 0

    def handle_prepare(self, message: Prepare, now: int) -> Promise | None:
        """Promise to accept no lower ballot, and name the owner of a running lease; None while silent."""
        if now < self.silent_until:
            return None
        ballot = message.ballot
        if ballot < self.promised:
            return Promise(ballot, self.promised, None, True)
        self.promised = ballot
        lease_owner = self.lease_owner if now < self.lease_until else None
        return Promise(ballot, ballot, lease_owner, False)

    def handle_propose(self, message: Propose, now: int) -> Accepted | None:
        """Grant the lease unless a higher ballot was promised; None while silent."""
        if now < self.silent_until:
            return None
        ballot = message.ballot
        if ballot < self.promised:
            return Accepted(ballot, self.promised, True)
        self.promised = ballot
        self.lease_owner = message.lease_owner
        self.lease_until = now + self.lease_duration
        return Accepted(ballot, ballot, False)
