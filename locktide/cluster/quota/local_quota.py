"""What one member may spend of each quota.

That is its guaranteed minimum, which needs no communication, its share in force, and what it was lent of
other quotas.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.token_bucket import TokenBucket

NamedShares = dict[str, int]  # millionths of each quota's whole
NamedDemand = dict[str, int]
LoanNames = tuple[str, str]  # lender and borrower
NamedLoans = dict[LoanNames, int]  # millionths of the lender's whole


@dataclass(frozen=True, slots=True)
class QuotaSpec:
    """A whole quota: a rate with its burst, in tokens (a second).

    With a rate of 0 it is only divided, and what it limits is counted elsewhere. `lendable`: what is not used
    of it may be lent; never so for the capacity of workers that are warming up.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    lendable: bool = False


class LocalQuota:
    """Shares in force with their token buckets, loans in force with theirs, and the demand seen here."""

    def __init__(self, specs: list[QuotaSpec], reserve: float, max_processes: int, now: int) -> None:
        """Start with the guaranteed minimums.

        `reserve`: the part of each whole that is spread evenly as minimums over `max_processes`.
        """
        self.guaranteed_minimum = int(WHOLE * reserve) // max_processes
        self.divisible = WHOLE - self.guaranteed_minimum * max_processes
        self.specs = {spec.name: spec for spec in specs}
        self.shares: NamedShares = {spec.name: self.guaranteed_minimum for spec in specs}
        self.shares_until = 0
        self.buckets = {
            spec.name: TokenBucket(spec.rate, spec.burst, self.guaranteed_minimum, now)
            for spec in specs
            if spec.rate
        }
        self.demand_counts: NamedDemand = {spec.name: 0 for spec in specs}  # decaying
        self.demand_peaks: NamedDemand = dict(self.demand_counts)  # the same, just before the last decay
        self.loans: NamedLoans = {}
        self.loans_until = 0
        self.loan_buckets: dict[LoanNames, TokenBucket] = {}

    def update(
        self, held: NamedShares, shares_until: int, loans: NamedLoans, loans_until: int, now: int
    ) -> bool:
        """Put in force what is held from now on; return whether anything has changed."""
        changed = self.expire(now)
        for name, previous in self.shares.items():
            share = self.guaranteed_minimum + held.get(name, 0)
            if share != previous:
                changed = True
                self._set_share(name, share, now)
        if loans != self.loans:
            changed = True
            self._set_loans(loans, now)
        self.shares_until, self.loans_until = shares_until, loans_until
        return changed

    def _set_share(self, name: str, share: int, now: int) -> None:
        self.shares[name] = share
        if name in self.buckets:
            self.buckets[name].set_share(share, now)

    def _set_loans(self, loans: NamedLoans, now: int) -> None:
        """A loan that has grown brings no tokens, as with shares; one that is over takes them with it."""
        for names in self.loan_buckets.keys() - loans.keys():
            del self.loan_buckets[names]
        for names, share in loans.items():
            lender = self.specs[names[0]]
            if names not in self.loan_buckets:
                self.loan_buckets[names] = TokenBucket(lender.rate, lender.burst, share, now)
            self.loan_buckets[names].set_share(share, now)
        self.loans = dict(loans)

    def expire(self, now: int) -> bool:
        """Return to the guaranteed minimums, from the very end of the lease on; loans may end before that.

        Returns whether anything has changed.
        """
        changed = False
        if self.loans and now >= min(self.loans_until, self.shares_until):
            self._set_loans({}, now)
            changed = True
        minimum = self.guaranteed_minimum
        if now < self.shares_until or all(share == minimum for share in self.shares.values()):
            return changed
        for name in self.shares:
            self._set_share(name, minimum, self.shares_until)
        return True

    def record_demand(self, name: str, tokens: int = 1) -> bool:
        """Count tokens as demand, which the division follows; return whether there was none before."""
        before = self.demand_counts.get(name, 0)
        self.demand_counts[name] = before + tokens
        return not before

    def decay_demand(self) -> None:
        """Halve the demand; called with each regular request."""
        self.demand_peaks = dict(self.demand_counts)
        self.demand_counts = {name: count // 2 for name, count in self.demand_counts.items()}

    @property
    def demand(self) -> NamedDemand:
        """The demand as it is reported: while steady, the same at any moment between two decays."""
        return {
            name: max(count, self.demand_peaks.get(name, 0)) for name, count in self.demand_counts.items()
        }

    def spend(self, name: str, now: int, tokens: int = 1) -> str | None:
        """Take tokens for a request of that quota.

        Returns the name of the quota that they came from, its own or one that was lent to it, or None where
        no bucket had enough.
        """
        self.expire(now)
        bucket = self.buckets.get(name)
        if bucket is not None and bucket.spend(now, tokens):
            return name
        for (lender, borrower), loan_bucket in self.loan_buckets.items():
            if borrower == name and loan_bucket.spend(now, tokens):
                return lender
        return None
