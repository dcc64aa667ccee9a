"""The allocator's account of the most that one member may hold, by the allocator's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.cluster.messages import LeaseRequest
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares, loans_from_wire

#: Earlier than any time of any clock, in microseconds.
LONG_AGO = -(1 << 62)


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that may be in force.

    Attributes:
        seq: the number of the grant in the allocator's term.
        shares: the shares that were granted.
        loans: the loans that were granted.
        shares_until: when the shares stop counting.
        loans_until: when the loans stop counting; never later than `shares_until`.
    """

    seq: int
    shares: QuotaShares
    loans: Loans
    shares_until: int
    loans_until: int

    def amounts_at(self, now: int) -> QuotaShares:
        """Return, for each quota, the share of it plus the loans of it."""
        amounts = self.shares if now < self.shares_until else {}
        if loans := self.loans_at(now):
            amounts = dict(amounts)
            for key, share in loans.items():
                amounts[key.lender] = amounts.get(key.lender, 0) + share
        return amounts

    def loans_at(self, now: int) -> Loans:
        """Return the loans that may be in force."""
        return self.loans if now < self.loans_until else {}

    def expiries_after(self, now: int) -> list[int]:
        """Return the future times at which part of the grant stops counting."""
        expiries = (self.shares_until, self.loans_until if self.loans else 0)
        return [expiry for expiry in expiries if now < expiry]


@dataclass(slots=True)
class HolderAccount:
    """The allocator's state of one member: its demand, and the two grants that it may hold.

    Attributes:
        request_number: the number of the last request that was received.
        request_received_at: when that request was received.
        demand: the demand that the member reported.
        confirmed: the grant that the member reported to hold.
        unconfirmed: a later grant, which the member has not reported yet.
        stepped_at: when its shares last changed by a damped step.
        counted: its worst case, as it is included in the totals of `OutstandingGrants`.
    """

    request_number: int = 0
    request_received_at: int = 0
    demand: QuotaDemand = field(default_factory=dict)
    confirmed: OutstandingGrant | None = None
    unconfirmed: OutstandingGrant | None = None
    stepped_at: int = LONG_AGO
    counted: QuotaShares = field(default_factory=dict)

    def outstanding(self, now: int) -> list[OutstandingGrant]:
        """Return the grants that may be in force."""
        grants = (self.confirmed, self.unconfirmed)
        return [grant for grant in grants if grant is not None and now < grant.shares_until]

    def worst_case(self, now: int) -> QuotaShares:
        """Return the most that the member may hold of each quota, loans of it included."""
        worst: QuotaShares = {}
        for grant in self.outstanding(now):
            for quota, amount in grant.amounts_at(now).items():
                if amount > worst.get(quota, 0):
                    worst[quota] = amount
        return worst

    def worst_case_loans(self, now: int) -> Loans:
        """Return the most that the member may hold of each loan."""
        worst: Loans = {}
        for grant in self.outstanding(now):
            for key, share in grant.loans_at(now).items():
                worst[key] = max(share, worst.get(key, 0))
        return worst

    def confirm(self, request: LeaseRequest, shares_until: int, loans_until: int, same_term: bool) -> None:
        """Record the leases that the member reports to hold.

        A grant that was sent before this request can no longer come into force at the member. A grant of the
        same term that was counted with an earlier expiry keeps that expiry.
        """
        for grant in (self.confirmed, self.unconfirmed):
            if same_term and grant is not None and grant.seq == request.seq:
                shares_until = min(shares_until, grant.shares_until)
                loans_until = min(loans_until, grant.loans_until)
        self.confirmed = OutstandingGrant(
            seq=request.seq,
            shares=dict(request.held_shares),
            loans=loans_from_wire(request.loans),
            shares_until=shares_until,
            loans_until=loans_until,
        )
        self.unconfirmed = None
