"""Acceptor of the leader lease: votes on ballots (PaxosLease; Trencseni, Gazso, Reinhardt, 2012).

Nothing is kept on disk. An acceptor that has just started has lost its earlier promises, so it is silent
until any lease that it may have helped to grant has expired at its owner. The package docstring has the
safety argument.
"""

from __future__ import annotations

from locktide.cluster.messages import Accepted, Ballot, MemberId, Prepare, Promise, Propose
from locktide.cluster.quota.lease_timing import LEADER_LEASE, lifetime_at_grantor

#: Lower than any ballot of a proposer, whose counters begin at 1.
LOWEST_BALLOT: Ballot = (0, "", 0)


class Acceptor:
    """A voter in the election of the leader. Times are microseconds of its own clock.

    Attributes:
        lease_duration: how long a lease counts here, in microseconds; longer than at its owner.
        silent_until: time before which no message is answered.
        promised: the highest ballot that was promised.
        lease_owner: the owner of the last accepted lease; None before the first one.
        lease_until: when that lease ends by this acceptor's clock.
    """

    def __init__(self, now: int, lease: int = LEADER_LEASE) -> None:
        """`lease` is the duration of the lease at its owner, in microseconds."""
        self.lease_duration = lifetime_at_grantor(lease)
        self.silent_until = now + self.lease_duration
        self.promised = LOWEST_BALLOT
        self.lease_owner: MemberId | None = None
        self.lease_until = 0

    def handle_prepare(self, message: Prepare, now: int) -> Promise | None:
        """Promise to accept no lower ballot and name the owner of a running lease; return None if silent."""
        if now < self.silent_until:
            return None
        ballot = message.ballot
        if ballot < self.promised:
            return Promise(requested=ballot, promised=self.promised, lease_owner=None, refused=True)
        self.promised = ballot
        lease_owner = self.lease_owner if now < self.lease_until else None
        return Promise(requested=ballot, promised=ballot, lease_owner=lease_owner, refused=False)

    def handle_propose(self, message: Propose, now: int) -> Accepted | None:
        """Grant the lease unless a higher ballot was promised; return None if silent."""
        if now < self.silent_until:
            return None
        ballot = message.ballot
        if ballot < self.promised:
            return Accepted(requested=ballot, promised=self.promised, refused=True)
        self.promised = ballot
        self.lease_owner = message.lease_owner
        self.lease_until = now + self.lease_duration
        return Accepted(requested=ballot, promised=ballot, refused=False)
