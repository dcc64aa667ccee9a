"""What one member may spend: its floor, which needs no talk, the part that it holds just now, and what it has
been lent of others' budgets.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.token_bucket import TokenBucket

Parts = dict[str, int]
Loans = dict[tuple[str, str], int]  # by owner and borrower: millionths of the owner's whole


@dataclass(frozen=True, slots=True)
class QuotaSpec:
    """A whole: a rate with its burst, in tokens (a second); or, with a rate of 0, only parts of something
    that is counted elsewhere. `lends`: what is not used of it may be lent; never of what cold workers bear.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    lends: bool = False


class LocalQuota:
    def __init__(self, budgets: list[QuotaSpec], reserve: float, most: int, now: int) -> None:
        """`reserve`: the part of each whole that is spread evenly as floors over `most` processes."""
        self.floor = int(WHOLE * reserve) // most
        self.movable = WHOLE - self.floor * most
        self.budgets = {budget.name: budget for budget in budgets}
        self.parts: Parts = {budget.name: self.floor for budget in budgets}
        self.until = 0
        self.buckets = {
            budget.name: TokenBucket(budget.rate, budget.burst, self.floor, now)
            for budget in budgets
            if budget.rate
        }
        self.counts: Parts = {budget.name: 0 for budget in budgets}  # of what was asked for; they fade
        self.peaks: Parts = dict(self.counts)  # the same, just before they last faded
        self.loans: Loans = {}
        self.loans_until = 0
        self.borrowed: dict[tuple[str, str], TokenBucket] = {}

    def settle(self, held: Parts, until: int, loans: Loans, loans_until: int, now: int) -> bool:
        """Takes in what is held now, until then; whether anything has moved."""
        moved = self.lapse(now)
        for name, part in self.parts.items():
            own = self.floor + held.get(name, 0)
            if own != part:
                moved = True
                self.parts[name] = own
                if name in self.buckets:
                    self.buckets[name].move(own, now)
        if loans != self.loans:
            moved = True
            self.borrow(loans, now)
        self.until, self.loans_until = until, loans_until
        return moved

    def borrow(self, loans: Loans, now: int) -> None:
        """A loan that has grown brings no tokens, as any part; one that is over takes them with it."""
        for pair in self.borrowed.keys() - loans.keys():
            del self.borrowed[pair]
        for pair, part in loans.items():
            of = self.budgets[pair[0]]
            if pair not in self.borrowed:
                self.borrowed[pair] = TokenBucket(of.rate, of.burst, part, now)
            self.borrowed[pair].move(part, now)
        self.loans = dict(loans)

    def lapse(self, now: int) -> bool:
        """Back to the floors, from the very moment on at which what was held is over; loans before that."""
        moved = False
        if self.loans and now >= min(self.loans_until, self.until):
            self.borrow({}, now)
            moved = True
        if now < self.until or all(part == self.floor for part in self.parts.values()):
            return moved
        for name in self.parts:
            self.parts[name] = self.floor
            if name in self.buckets:
                self.buckets[name].move(self.floor, self.until)
        return True

    def wanted(self, name: str, tokens: int = 1) -> bool:
        """Counts as demand, which the division follows; whether there was none before."""
        before = self.counts.get(name, 0)
        self.counts[name] = before + tokens
        return not before

    def fade(self) -> None:
        """By half, with each regular question."""
        self.peaks = dict(self.counts)
        self.counts = {name: count // 2 for name, count in self.counts.items()}

    @property
    def wants(self) -> Parts:
        """The demand as it is told: the same at whatever moment between two fadings, while it is steady."""
        return {name: max(count, self.peaks.get(name, 0)) for name, count in self.counts.items()}

    def spend(self, name: str, now: int, tokens: int = 1) -> str | None:
        """Of which budget so much was there: its own, or one that it has been lent of."""
        self.lapse(now)
        bucket = self.buckets.get(name)
        if bucket is not None and bucket.spend(now, tokens):
            return name
        for (owner, borrower), lent in self.borrowed.items():
            if borrower == name and lent.spend(now, tokens):
                return owner
        return None
