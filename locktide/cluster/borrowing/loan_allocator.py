"""The leader's plan of loans between quotas; no I/O, integer arithmetic.

A quota lends a configured fraction of its unused part. When its first request after an idle time arrives, or
its demand exceeds the part that it retained, all its loans are revoked and it lends nothing for a while. No
quota lends while it borrows or borrows while it lends, so a borrowed amount is never lent on.
"""

from __future__ import annotations

from locktide.cluster.borrowing.lender import IDLE_AFTER, Lender
from locktide.cluster.borrowing.matching import LoanRates, Rates, fill_evenly, match_loans
from locktide.cluster.messages import QuotaIndex
from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.token_bucket import MICROSECONDS_PER_SECOND, UNITS_PER_TOKEN
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares

#: Smallest lendable part of a quota, in millionths of the whole: a smaller part is not worth the cost of
#: its leases.
MIN_LOAN = 20_000
#: Ratio of demand to the whole rate above which a quota is short, as numerator and denominator.
SHORT_RATIO = (21, 20)
#: How many request intervals of demand a report covers while demand is steady: the count of the last interval
#: plus half of the previous report, which is as large as this one.
REPORTED_INTERVALS = 2


def rate_of_demand(demand: int) -> int:
    """Return the rate of a steady demand from its report, in millionths of a token a second.

    `demand` is the reported count of tokens, which the member halves with each request.
    """
    reported_time = REPORTED_INTERVALS * REQUEST_INTERVAL
    return demand * UNITS_PER_TOKEN * MICROSECONDS_PER_SECOND // reported_time


class LoanAllocator:
    """Keeps the planned loans, of which the allocator grants as much as is available.

    Times are microseconds of the leader's clock.

    Attributes:
        lent_fraction: how much of an unused part may be lent, in millionths.
        lenders: the state of each quota that may be lent.
        planned_loans: the loans of the last plan, in millionths of the whole lending quota.
    """

    def __init__(self, rates: Rates, divisible: QuotaShares, lent_fraction: int, now: int) -> None:
        """Start with all lenders in full use.

        Args:
            rates: the rates of the quotas that may be lent, in millionths of a token a second.
            divisible: how much of each quota is divided, in millionths of its whole.
            lent_fraction: how much of an unused part may be lent, in millionths.
            now: the time.
        """
        self.lent_fraction = lent_fraction
        self.lenders = {
            quota: Lender(
                rate=rate, divisible=divisible[quota], last_demand_at=now, used_rate=rate, used_rate_at=now
            )
            for quota, rate in rates.items()
        }
        self.planned_loans: Loans = {}

    def record_demand(self, quota: QuotaIndex, now: int) -> bool:
        """Record demand for the quota; return whether its loans have to be revoked because of it."""
        lender = self.lenders.get(quota)
        if lender is None:
            return False
        was_idle = now - lender.last_demand_at >= IDLE_AFTER
        lender.last_demand_at = now
        return was_idle and self.reclaim(quota, now)

    def reclaim(self, quota: QuotaIndex, now: int) -> bool:
        """Drop all planned loans of the quota, which lends nothing for a while; return whether it had any."""
        self.lenders[quota].reclaim(now)
        lent = [key for key in self.planned_loans if key.lender == quota]
        for key in lent:
            del self.planned_loans[key]
        return bool(lent)

    def is_reclaiming(self, quota: QuotaIndex, now: int) -> bool:
        """Return whether the quota was reclaimed so recently that it still lends nothing."""
        lender = self.lenders.get(quota)
        return lender is not None and lender.is_reclaiming(now)

    def reclaimed_at(self, quota: QuotaIndex) -> int:
        """Return when the quota was last reclaimed."""
        return self.lenders[quota].reclaimed_at

    def replan(
        self, demand: QuotaDemand, borrowing_order: list[QuotaIndex], outstanding: Loans, now: int
    ) -> list[QuotaIndex]:
        """Make a new plan of the loans from the demand of all members.

        Args:
            demand: the reported demand by quota, in tokens.
            borrowing_order: quotas that borrow first, in this order.
            outstanding: the loans that may be in force at this moment.
            now: the time.

        Returns:
            The quotas whose loans have to be revoked.
        """
        demanded = {quota: rate_of_demand(demand.get(quota, 0)) for quota in self.lenders}
        reclaimed = self._reclaim_exceeded(demanded, now)
        lending = {lender for lender, _ in outstanding}
        borrowing = {borrower for _, borrower in outstanding}
        shortfalls = self._shortfalls(demanded, lending, borrowing_order)
        lendable = self._lendable_rates(borrowing | shortfalls.keys(), now)
        allocated = fill_evenly(shortfalls, sum(lendable.values()))
        loan_rates = match_loans(allocated, lendable, self._planned_rates())
        self.planned_loans = self._loans_of_rates(loan_rates)
        for quota, lender in self.lenders.items():
            lender.retained = WHOLE - self._lent_share(quota)
        return reclaimed

    def _reclaim_exceeded(self, demanded: Rates, now: int) -> list[QuotaIndex]:
        """Reclaim the quotas whose demand exceeds the part that they retain; return those that had loans."""
        reclaimed: list[QuotaIndex] = []
        for quota, lender in self.lenders.items():
            lender.record_rate(demanded[quota], now)
            lends = any(key.lender == quota for key in self.planned_loans)
            exceeds = demanded[quota] * WHOLE > lender.retained * lender.rate
            if lends and exceeds and self.reclaim(quota, now):
                reclaimed.append(quota)
        return reclaimed

    def _shortfalls(
        self, demanded: Rates, lending: set[QuotaIndex], borrowing_order: list[QuotaIndex]
    ) -> Rates:
        """Return the shortfall of each short quota, its demand less its rate, in the order of borrowing."""
        numerator, denominator = SHORT_RATIO
        short = {
            quota: demanded[quota] - lender.rate
            for quota, lender in self.lenders.items()
            if denominator * demanded[quota] > numerator * lender.rate and quota not in lending
        }
        first = [quota for quota in borrowing_order if quota in short]
        return {quota: short[quota] for quota in [*first, *sorted(short.keys() - set(first))]}

    def _lendable_rates(self, excluded: set[QuotaIndex], now: int) -> Rates:
        shares = {
            quota: self.lenders[quota].lendable_share(self.lent_fraction, now)
            for quota in sorted(self.lenders)
            if quota not in excluded
        }
        return {
            quota: share * self.lenders[quota].rate // WHOLE
            for quota, share in shares.items()
            if share >= MIN_LOAN
        }

    def _loans_of_rates(self, rates: LoanRates) -> Loans:
        """Return the loans in millionths of their lenders; omit those of less than a millionth."""
        shares = {key: rate * WHOLE // self.lenders[key.lender].rate for key, rate in rates.items()}
        return {key: share for key, share in shares.items() if share}

    def _planned_rates(self) -> LoanRates:
        return {
            key: share * self.lenders[key.lender].rate // WHOLE for key, share in self.planned_loans.items()
        }

    def _lent_share(self, quota: QuotaIndex) -> int:
        return sum(share for key, share in self.planned_loans.items() if key.lender == quota)
