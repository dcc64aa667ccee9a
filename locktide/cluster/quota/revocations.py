"""Revocations of loans, queued by the allocator until its caller sends them."""

from __future__ import annotations

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.messages import Ballot, LeaseRevocation, MemberId, QuotaIndex
from locktide.cluster.quota.outstanding_grants import OutstandingGrants

#: A revocation with the member that it is for.
PendingRevocation = tuple[MemberId, LeaseRevocation]


class RevocationQueue:
    """Notifies members to let go of loans. A revocation only makes haste: a loan ends by itself.

    Attributes:
        term: the term of the leader.
        grants: what each member may hold at worst.
        loan_allocator: plans the loans; None where nothing may be lent.
        pending: the revocations that are to be sent.
    """

    def __init__(self, term: Ballot, grants: OutstandingGrants, loan_allocator: LoanAllocator | None) -> None:
        self.term = term
        self.grants = grants
        self.loan_allocator = loan_allocator
        self.pending: list[PendingRevocation] = []

    def revoke(self, lenders: list[QuotaIndex], now: int) -> None:
        """Queue a revocation to all that may hold something of these quotas."""
        for member_id, account in self.grants.accounts.items():
            worst = account.worst_case(now)
            self._add(member_id, [lender for lender in lenders if worst.get(lender)])

    def revoke_again(self, lenders: list[QuotaIndex], now: int) -> None:
        """Queue another revocation to those that have sent no request since the lender's return."""
        if self.loan_allocator is None or not lenders:
            return
        for member_id, account in self.grants.accounts.items():
            worst = account.worst_case(now)
            unheard = [
                lender
                for lender in lenders
                if worst.get(lender) and account.heard_at < self.loan_allocator.reclaimed_at(lender)
            ]
            self._add(member_id, unheard)

    def take(self) -> list[PendingRevocation]:
        """Return what is to be sent, and forget it."""
        pending = self.pending
        self.pending = []
        return pending

    def _add(self, member_id: MemberId, lenders: list[QuotaIndex]) -> None:
        if lenders:
            self.pending.append((member_id, LeaseRevocation(self.term, lenders)))
