"""The amount of each quota that one member may spend.

It consists of the guaranteed minimum, which needs no communication, the share in force, and loans of other
quotas.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.token_bucket import TokenBucket

#: Shares by the name of the quota, in millionths of the whole quota.
NamedShares = dict[str, int]
#: Demand by the name of the quota, in tokens.
NamedDemand = dict[str, int]
#: The names of the lending and the borrowing quota.
LoanNames = tuple[str, str]
#: Loans, in millionths of the whole lending quota.
NamedLoans = dict[LoanNames, int]


@dataclass(frozen=True, slots=True)
class QuotaSpec:
    """A whole quota.

    Attributes:
        name: the name of the quota.
        rate: its rate, in tokens a second; 0 for a quota that is only divided, whose use is counted
            elsewhere.
        burst: its burst, in tokens.
        lendable: whether its unused part may be lent; always False for the capacity of workers that are
            warming up.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    lendable: bool = False


class LocalQuota:
    """Shares and loans in force with their token buckets, and the demand seen by this member.

    Times are microseconds of the member's clock.

    Attributes:
        guaranteed_minimum: this member's part of each quota without a lease, in millionths of its whole.
        divisible: the part of each quota less the minimums of all members, in the same unit.
        specs: the quotas by name.
        shares: the shares in force, including the minimum.
        shares_until: when the lease of the shares expires; 0 if there is none.
        buckets: the token buckets of the shares, by quota; none for a quota that is only divided.
        demand_counts: the tokens that were demanded, halved at each decay.
        demand_peaks: the values of `demand_counts` just before the last decay.
        loans: the loans in force.
        loans_until: when the loans expire; 0 if there are none.
        loan_buckets: the token buckets of the loans.
    """

    def __init__(self, specs: list[QuotaSpec], reserve: float, max_processes: int, now: int) -> None:
        """Start with the guaranteed minimums.

        Args:
            specs: the quotas.
            reserve: the fraction of each whole that is spread evenly as guaranteed minimums.
            max_processes: how many processes may run at once; the reserve is spread over that many.
            now: the time.
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
        self.demand_counts: NamedDemand = {spec.name: 0 for spec in specs}
        self.demand_peaks: NamedDemand = dict(self.demand_counts)
        self.loans: NamedLoans = {}
        self.loans_until = 0
        self.loan_buckets: dict[LoanNames, TokenBucket] = {}

    def update(
        self, held: NamedShares, shares_until: int, loans: NamedLoans, loans_until: int, now: int
    ) -> bool:
        """Put the leases in force that the member holds from now on; return whether anything has changed.

        Args:
            held: the leased shares, in addition to the guaranteed minimum.
            shares_until: when the lease of the shares expires.
            loans: the leased loans.
            loans_until: when the loans expire.
            now: the time.
        """
        changed = self.expire(now)
        for name, previous in self.shares.items():
            share = self.guaranteed_minimum + held.get(name, 0)
            if share != previous:
                changed = True
                self._set_share(name, share, now)
        if loans != self.loans:
            changed = True
            self._set_loans(loans, now)
        self.shares_until = shares_until
        self.loans_until = loans_until
        return changed

    def _set_share(self, name: str, share: int, now: int) -> None:
        self.shares[name] = share
        if name in self.buckets:
            self.buckets[name].set_share(share, now)

    def _set_loans(self, loans: NamedLoans, now: int) -> None:
        """Put loans in force; a loan that grows brings no tokens, and one that ends drops its tokens."""
        for names in self.loan_buckets.keys() - loans.keys():
            del self.loan_buckets[names]
        for names, share in loans.items():
            lender_name, _ = names
            lender = self.specs[lender_name]
            if names not in self.loan_buckets:
                self.loan_buckets[names] = TokenBucket(lender.rate, lender.burst, share, now)
            self.loan_buckets[names].set_share(share, now)
        self.loans = dict(loans)

    def expire(self, now: int) -> bool:
        """End the expired leases, as of the moment of their expiry; return whether anything has changed.

        This is called before tokens are spent as well. A process that was stopped past an expiry may receive
        a request before its timer fires: if it spent tokens of an expired lease, all members together would
        spend more than the whole. tests/cluster/test_quota.py and test_borrowing.py stop a process in this
        way.
        """
        loans_ended = self._expire_loans(now)
        shares_ended = self._expire_shares(now)
        return loans_ended or shares_ended

    def _expire_loans(self, now: int) -> bool:
        """End the loans at their expiry, or at the expiry of the shares if that is earlier."""
        if not self.loans or now < min(self.loans_until, self.shares_until):
            return False
        self._set_loans({}, now)
        return True

    def _expire_shares(self, now: int) -> bool:
        """Set all shares to the guaranteed minimum at their expiry."""
        minimum = self.guaranteed_minimum
        if now < self.shares_until or all(share == minimum for share in self.shares.values()):
            return False
        for name in self.shares:
            self._set_share(name, minimum, self.shares_until)
        return True

    def record_demand(self, name: str, tokens: int = 1) -> bool:
        """Count tokens as demand, which the division follows; return whether there was no demand before."""
        previous = self.demand_counts.get(name, 0)
        self.demand_counts[name] = previous + tokens
        return previous == 0

    def decay_demand(self) -> None:
        """Halve the demand; this is called with each regular request."""
        self.demand_peaks = dict(self.demand_counts)
        self.demand_counts = {name: count // 2 for name, count in self.demand_counts.items()}

    @property
    def demand(self) -> NamedDemand:
        """The demand as reported to the leader; steady demand gives the same value at any moment."""
        return {
            name: max(count, self.demand_peaks.get(name, 0)) for name, count in self.demand_counts.items()
        }

    def spend(self, name: str, now: int, tokens: int = 1) -> str | None:
        """Take tokens for a request of that quota.

        Returns the name of the quota whose tokens were taken: `name`, or a quota that lends to `name`.
        Returns None if no bucket had enough tokens.
        """
        self.expire(now)
        bucket = self.buckets.get(name)
        if bucket is not None and bucket.spend(now, tokens):
            return name
        for (lender, borrower), loan_bucket in self.loan_buckets.items():
            if borrower == name and loan_bucket.spend(now, tokens):
                return lender
        return None
