"""Revocations of loans, which the allocator queues until its caller sends them."""

from __future__ import annotations

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.messages import Ballot, LeaseRevocation, MemberId, QuotaIndex
from locktide.cluster.quota.outstanding_grants import OutstandingGrants

#: A revocation and its receiver.
PendingRevocation = tuple[MemberId, LeaseRevocation]


class RevocationQueue:
    """Queues revocations of loans to members.

    A revocation only ends a loan sooner: without it the loan ends when it expires.

    Attributes:
        term: the term of the leader.
        grants: the most that each member may hold.
        loan_allocator: plans the loans; None if nothing may be lent.
        pending: the revocations that are to be sent.
    """

    def __init__(self, term: Ballot, grants: OutstandingGrants, loan_allocator: LoanAllocator | None) -> None:
        self.term = term
        self.grants = grants
        self.loan_allocator = loan_allocator
        self.pending: list[PendingRevocation] = []

    def revoke(self, lenders: list[QuotaIndex], now: int) -> None:
        """Queue a revocation to all members that may hold a part of these quotas."""
        for member_id, account in self.grants.accounts.items():
            worst = account.worst_case(now)
            self._add(member_id, [lender for lender in lenders if worst.get(lender)])

    def revoke_again(self, lenders: list[QuotaIndex], now: int) -> None:
        """Queue another revocation to members that have sent no request since the lender was reclaimed."""
        if self.loan_allocator is None or not lenders:
            return
        for member_id, account in self.grants.accounts.items():
            worst = account.worst_case(now)
            unconfirmed = [
                lender
                for lender in lenders
                if worst.get(lender)
                and account.request_received_at < self.loan_allocator.reclaimed_at(lender)
            ]
            self._add(member_id, unconfirmed)

    def take(self) -> list[PendingRevocation]:
        """Return the revocations that are to be sent, and clear the queue."""
        pending = self.pending
        self.pending = []
        return pending

    def _add(self, member_id: MemberId, lenders: list[QuotaIndex]) -> None:
        if lenders:
            self.pending.append((member_id, LeaseRevocation(self.term, lenders)))
