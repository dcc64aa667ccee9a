"""What one member may hold at worst, as the one that divides counts it, by its own clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.cluster.messages import LeaseRequest, LoanTriple

Parts = dict[int, int]  # by the budget's place
Loans = dict[tuple[int, int], int]  # by owner and borrower


def loans_of(told: list[LoanTriple]) -> Loans:
    return {(owner, borrower): part for owner, borrower, part in told}


@dataclass(slots=True)
class OutstandingGrant:
    """Parts count before `until`, loans before `loans_until`, which is no later."""

    seq: int
    shares: Parts
    loans: Loans
    shares_until: int
    loans_until: int

    def amounts_at(self, now: int) -> Parts:
        """Of each budget, its part and what is lent of it."""
        own = self.shares if now < self.shares_until else {}
        if lent := self.loans_at(now):
            own = dict(own)
            for (owner, _), part in lent.items():
                own[owner] = own.get(owner, 0) + part
        return own

    def loans_at(self, now: int) -> Loans:
        return self.loans if now < self.loans_until else {}

    def expiries_after(self, now: int) -> list[int]:
        """When it counts less."""
        ends = (self.shares_until, self.loans_until if self.loans else 0)
        return [end for end in ends if now < end]


@dataclass(slots=True)
class HolderAccount:
    request_number: int = 0  # of the last Ask that was heard
    heard_at: int = 0
    demand: Parts = field(default_factory=dict)
    confirmed: OutstandingGrant | None = None  # as it said, in force there until then at the latest
    unconfirmed: OutstandingGrant | None = None  # a later grant, of which it has not told yet
    stepped_at: int = -(1 << 62)  # when its parts last made a damped step
    counted: Parts = field(default_factory=dict)  # its worst as it stands in the totals

    def outstanding(self, now: int) -> list[OutstandingGrant]:
        return [
            one for one in (self.confirmed, self.unconfirmed) if one is not None and now < one.shares_until
        ]

    def worst_case(self, now: int) -> Parts:
        found: Parts = {}
        for one in self.outstanding(now):
            for budget, amount in one.amounts_at(now).items():
                if amount > found.get(budget, 0):
                    found[budget] = amount
        return found

    def worst_case_loans(self, now: int) -> Loans:
        """The larger of what it may hold of each loan."""
        found: Loans = {}
        for one in self.outstanding(now):
            for pair, part in one.loans_at(now).items():
                found[pair] = max(part, found.get(pair, 0))
        return found

    def confirm(self, word: LeaseRequest, until: int, loans_until: int, same_term: bool) -> None:
        """It holds what it says, and no grant before this question can count there any more. What was counted
        with an earlier end keeps that.
        """
        for one in (self.confirmed, self.unconfirmed):
            if same_term and one is not None and one.seq == word.seq:
                until, loans_until = min(until, one.shares_until), min(loans_until, one.loans_until)
        self.confirmed = OutstandingGrant(
            word.seq, dict(word.held_shares), loans_of(word.loans), until, loans_until
        )
        self.unconfirmed = None
