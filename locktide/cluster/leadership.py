"""The duties of a member while it is the leader: it runs an allocator and answers lease requests."""

from __future__ import annotations

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.config import ClusterConfig
from locktide.cluster.election.participant import ElectionParticipant
from locktide.cluster.election.proposer import Outgoing
from locktide.cluster.messages import Ballot, LeaseRequest, MemberId, QuotaIndex
from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.allocator import Allocator, AllocatorConfig
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.cluster.quota.token_bucket import UNITS_PER_TOKEN
from locktide.cluster.quota.types import QuotaShares
from locktide.cluster.quota_names import QuotaNames

#: Time between two heartbeats of a leader, in microseconds. It is short enough that a member that missed one
#: receives the next before its leases expire.
HEARTBEAT_INTERVAL = REQUEST_INTERVAL


class Leadership:
    """Follows the election, and leads while this member is elected; times are microseconds of its clock.

    Attributes:
        allocator: the allocator of the term in which this member is the leader; None while it is not.
        next_heartbeat_at: when the next heartbeats are due while this member is the leader.
    """

    def __init__(
        self,
        config: ClusterConfig,
        election: ElectionParticipant | None,
        quota_names: QuotaNames,
        local_quota: LocalQuota,
        now: int,
    ) -> None:
        """`election` is None for a member that is not an acceptor and so never becomes the leader."""
        self.config = config
        self.election = election
        self.quota_names = quota_names
        self.local_quota = local_quota
        self.allocator: Allocator | None = None
        self.next_heartbeat_at = now

    def follow_election(self, now: int) -> None:
        """Create an allocator when this member becomes the leader, and drop it when its term ends."""
        term = self.election.term_as_leader(now) if self.election is not None else None
        if term is None:
            self.allocator = None
        elif self.allocator is None or self.allocator.term != term:
            self.allocator = self._new_allocator(term, now)
            self.next_heartbeat_at = now

    def set_borrowing_order(self, tenants: list[str]) -> None:
        """Set the order in which tenants borrow, if this member is the leader."""
        if self.allocator is not None:
            self.allocator.set_borrowing_order(self.quota_names.known_indices(tenants))

    def take_due_heartbeat(self, now: int) -> Ballot | None:
        """Return the term if heartbeats are due, and count them as sent; return None otherwise."""
        if self.allocator is None or now < self.next_heartbeat_at:
            return None
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL
        return self.allocator.term

    def answer(self, sender: MemberId, request: LeaseRequest, now: int) -> Outgoing:
        """Return the revocations that a lease request causes, and the grant.

        A request of another term, or of a member whose configured quotas differ, is not answered.
        """
        allocator = self.allocator
        if allocator is None or request.term != allocator.term:
            return []
        if request.names_checksum != self.quota_names.checksum:
            return []
        grant = allocator.handle_request(sender, request, now)
        answers: Outgoing = []
        for (holder_name, _), revocation in allocator.take_revocations():
            answers.append((holder_name, revocation))
        if grant is not None:
            answers.append((sender[0], grant))
        return answers

    def resign(self) -> None:
        """Give up the leader lease."""
        if self.election is not None:
            self.election.proposer.resign()
        self.allocator = None

    def _new_allocator(self, term: Ballot, now: int) -> Allocator:
        divisible = dict.fromkeys(range(len(self.quota_names)), self.local_quota.divisible)
        config = AllocatorConfig(divisible, self.local_quota.guaranteed_minimum)
        return Allocator(term, config, now, self._new_loan_allocator(divisible, now))

    def _new_loan_allocator(self, divisible: QuotaShares, now: int) -> LoanAllocator | None:
        rates = self._lendable_rates()
        if not rates:
            return None
        lent_fraction = int(self.config.lendable_fraction * WHOLE)
        return LoanAllocator(rates=rates, divisible=divisible, lent_fraction=lent_fraction, now=now)

    def _lendable_rates(self) -> dict[QuotaIndex, int]:
        """Return the rates of the quotas that may be lent, in millionths of a token a second."""
        if not self.config.lendable_fraction:
            return {}
        return {
            self.quota_names.indices[quota.name]: int(quota.rate * UNITS_PER_TOKEN)
            for quota in self.config.quotas
            if quota.lendable and quota.rate
        }
