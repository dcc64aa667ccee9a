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
    lendable: bool = False


class LocalQuota:
    def __init__(self, budgets: list[QuotaSpec], reserve: float, most: int, now: int) -> None:
        """`reserve`: the part of each whole that is spread evenly as floors over `most` processes."""
        self.guaranteed_minimum = int(WHOLE * reserve) // most
        self.divisible = WHOLE - self.guaranteed_minimum * most
        self.specs = {budget.name: budget for budget in budgets}
        self.shares: Parts = {budget.name: self.guaranteed_minimum for budget in budgets}
        self.shares_until = 0
        self.buckets = {
            budget.name: TokenBucket(budget.rate, budget.burst, self.guaranteed_minimum, now)
            for budget in budgets
            if budget.rate
        }
        self.demand_counts: Parts = {budget.name: 0 for budget in budgets}  # of what was asked for; they fade
        self.demand_peaks: Parts = dict(self.demand_counts)  # the same, just before they last faded
        self.loans: Loans = {}
        self.loans_until = 0
        self.loan_buckets: dict[tuple[str, str], TokenBucket] = {}

    def update(self, held: Parts, until: int, loans: Loans, loans_until: int, now: int) -> bool:
        """Takes in what is held now, until then; whether anything has moved."""
        moved = self.expire(now)
        for name, part in self.shares.items():
            own = self.guaranteed_minimum + held.get(name, 0)
            if own != part:
                moved = True
                self.shares[name] = own
                if name in self.buckets:
                    self.buckets[name].set_share(own, now)
        if loans != self.loans:
            moved = True
            self.set_loans(loans, now)
        self.shares_until, self.loans_until = until, loans_until
        return moved

    def set_loans(self, loans: Loans, now: int) -> None:
        """A loan that has grown brings no tokens, as any part; one that is over takes them with it."""
        for pair in self.loan_buckets.keys() - loans.keys():
            del self.loan_buckets[pair]
        for pair, part in loans.items():
            of = self.specs[pair[0]]
            if pair not in self.loan_buckets:
                self.loan_buckets[pair] = TokenBucket(of.rate, of.burst, part, now)
            self.loan_buckets[pair].set_share(part, now)
        self.loans = dict(loans)

    def expire(self, now: int) -> bool:
        """Back to the floors, from the very moment on at which what was held is over; loans before that."""
        moved = False
        if self.loans and now >= min(self.loans_until, self.shares_until):
            self.set_loans({}, now)
            moved = True
        if now < self.shares_until or all(part == self.guaranteed_minimum for part in self.shares.values()):
            return moved
        for name in self.shares:
            self.shares[name] = self.guaranteed_minimum
            if name in self.buckets:
                self.buckets[name].set_share(self.guaranteed_minimum, self.shares_until)
        return True

    def record_demand(self, name: str, tokens: int = 1) -> bool:
        """Counts as demand, which the division follows; whether there was none before."""
        before = self.demand_counts.get(name, 0)
        self.demand_counts[name] = before + tokens
        return not before

    def decay_demand(self) -> None:
        """By half, with each regular question."""
        self.demand_peaks = dict(self.demand_counts)
        self.demand_counts = {name: count // 2 for name, count in self.demand_counts.items()}

    @property
    def demand(self) -> Parts:
        """The demand as it is told: the same at whatever moment between two fadings, while it is steady."""
        return {
            name: max(count, self.demand_peaks.get(name, 0)) for name, count in self.demand_counts.items()
        }

    def spend(self, name: str, now: int, tokens: int = 1) -> str | None:
        """Of which budget so much was there: its own, or one that it has been lent of."""
        self.expire(now)
        bucket = self.buckets.get(name)
        if bucket is not None and bucket.spend(now, tokens):
            return name
        for (owner, borrower), lent in self.loan_buckets.items():
            if borrower == name and lent.spend(now, tokens):
                return owner
        return None
