"""One quota whose idle part may be lent, as the leader sees it; whole numbers, no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.allocation import WHOLE

#: Time without demand after which a quota is idle, and for which it lends nothing after its return, in
#: microseconds. Of a tenant with two requests a second one gap in four hundred is longer.
IDLE_AFTER = 3_000_000
#: Time in which the peak of what a lender uses halves, in microseconds.
PEAK_HALF_LIFE = 2_000_000
#: How many times its peak a lender retains: requests come in bunches.
HEADROOM = 2


@dataclass(slots=True)
class Lender:
    """The state of one quota; times are microseconds of the leader's clock.

    Attributes:
        rate: the rate of the whole quota, in millionths of a token a second.
        divisible: how much of the whole may be divided at all, in millionths.
        last_demand_at: when there was demand for it last.
        used_rate: the decaying peak of what is demanded of it, in millionths of a token a second.
        used_rate_at: when that peak was last updated.
        reclaimed_at: when its loans were last reclaimed.
        lends_again_at: until when it lends nothing after that.
        retained: how much of the whole is not planned to be lent, in millionths.
    """

    rate: int
    divisible: int
    last_demand_at: int
    used_rate: int = 0
    used_rate_at: int = 0
    reclaimed_at: int = 0
    lends_again_at: int = 0
    retained: int = WHOLE

    def record_rate(self, rate: int, now: int) -> None:
        """Take in the rate that is demanded of it now."""
        elapsed = min(PEAK_HALF_LIFE, now - self.used_rate_at)
        decayed_peak = self.used_rate - self.used_rate * elapsed // (2 * PEAK_HALF_LIFE)
        self.used_rate = max(rate, decayed_peak)
        self.used_rate_at = now

    def reclaim(self, now: int) -> None:
        """Lend nothing for a while."""
        self.reclaimed_at = now
        self.lends_again_at = now + IDLE_AFTER
        self.retained = WHOLE

    def is_reclaiming(self, now: int) -> bool:
        """Return whether it was reclaimed so lately that it lends nothing."""
        return now < self.lends_again_at

    def lendable_share(self, lent_fraction: int, now: int) -> int:
        """Return how much of its whole may be lent: `lent_fraction` of what is unused, all in millionths."""
        if self.is_reclaiming(now) or not self.rate:
            return 0
        needed = HEADROOM * self.used_rate * WHOLE // self.rate
        unused = self.divisible - needed
        return max(0, unused * lent_fraction // WHOLE)
