"""Plans which quota lends to which, as the leader sees them; no I/O, whole numbers.

A quota lends a stated part of what it does not use. From its first request after it was idle on, or once its
demand exceeds what it had retained, all its loans are revoked and it lends nothing for a while. No quota
lends while it borrows or borrows while it lends, so no loan is ever passed on.
"""

from __future__ import annotations

from locktide.cluster.borrowing.lender import IDLE_AFTER, WHOLE, Lender
from locktide.cluster.borrowing.matching import LoanRates, Rates, fill_evenly, match_loans
from locktide.cluster.messages import QuotaIndex
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares

# Loans under a fiftieth of a lender's whole are not worth their leases.
MIN_LOAN = 20_000
# A quota is short whose demand exceeds its whole by more than a twentieth: 21 to 20.
SHORT_RATIO = (21, 20)


def rate_of_demand(demand: int) -> int:
    """Return millionths of a token a second for a reported demand, which halves with each request.

    Of a steady demand it holds the last two intervals' worth when it is reported.
    """
    return demand * 1_000_000 * 1_000_000 // (2 * REQUEST_INTERVAL)


class LoanAllocator:
    """Keeps the planned loans; the allocator grants of them what fits."""

    def __init__(self, rates: Rates, divisible: QuotaShares, lent_fraction: int, now: int) -> None:
        """Start with all lenders in full use.

        `rates` of the quotas that may be lent, in millionths of a token a second; `lent_fraction`: how many
        millionths of what is unused may be lent.
        """
        self.lent_fraction = lent_fraction
        self.lenders = {
            quota: Lender(rate, divisible[quota], now, used_rate=rate, used_rate_at=now)
            for quota, rate in rates.items()
        }
        self.planned_loans: Loans = {}

    def record_demand(self, quota: QuotaIndex, now: int) -> bool:
        """Note demand for the quota; return whether loans of it have to be revoked for that."""
        lender = self.lenders.get(quota)
        if lender is None:
            return False
        was_idle = now - lender.last_demand_at >= IDLE_AFTER
        lender.last_demand_at = now
        return was_idle and self.reclaim(quota, now)

    def reclaim(self, quota: QuotaIndex, now: int) -> bool:
        """Plan no loans of the quota any more; return whether there were any."""
        self.lenders[quota].reclaim(now)
        lent = [key for key in self.planned_loans if key.lender == quota]
        for key in lent:
            del self.planned_loans[key]
        return bool(lent)

    def is_reclaiming(self, quota: QuotaIndex, now: int) -> bool:
        """Whether the quota was reclaimed so lately that it lends nothing."""
        lender = self.lenders.get(quota)
        return lender is not None and lender.is_reclaiming(now)

    def reclaimed_at(self, quota: QuotaIndex) -> int:
        """Return when the quota was last reclaimed."""
        return self.lenders[quota].reclaimed_at

    def replan(
        self, demand: QuotaDemand, borrowing_order: list[QuotaIndex], outstanding: Loans, now: int
    ) -> list[QuotaIndex]:
        """Plan the loans anew from the demand of all members.

        `outstanding` is what may be lent at this moment, `borrowing_order` says who borrows first. Returns
        the quotas whose loans have to be revoked.
        """
        demanded = {quota: rate_of_demand(demand.get(quota, 0)) for quota in self.lenders}
        reclaimed = self._reclaim_exceeded(demanded, now)
        lending = {lender for lender, _ in outstanding}
        borrowing = {borrower for _, borrower in outstanding}
        shortfalls = self._shortfalls(demanded, lending, borrowing_order)
        lendable = self._lendable_rates(borrowing | shortfalls.keys(), now)
        previous = self._planned_rates()
        self.planned_loans = {}
        given = fill_evenly(shortfalls, sum(lendable.values()))
        for key, rate in match_loans(given, lendable, previous).items():
            if share := rate * WHOLE // self.lenders[key.lender].rate:
                self.planned_loans[key] = share
        for quota, lender in self.lenders.items():
            lender.retained = WHOLE - self._lent_share(quota)
        return reclaimed

    def _reclaim_exceeded(self, demanded: Rates, now: int) -> list[QuotaIndex]:
        """Reclaim the quotas whose demand exceeds what they have retained; return those with loans."""
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
        """Return by how much the demand of each short quota exceeds its whole, in the order of borrowing."""
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

    def _planned_rates(self) -> LoanRates:
        return {
            key: share * self.lenders[key.lender].rate // WHOLE for key, share in self.planned_loans.items()
        }

    def _lent_share(self, quota: QuotaIndex) -> int:
        return sum(share for key, share in self.planned_loans.items() if key.lender == quota)
