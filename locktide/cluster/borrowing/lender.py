"""One quota whose idle part may be lent, as the leader sees it; whole numbers, no I/O."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE = 1_000_000
# A quota without demand for so long (microseconds) is idle; after its return it lends nothing for as long.
# Three seconds: of a tenant with two requests a second one gap in four hundred is longer.
IDLE_AFTER = 3_000_000
# What a lender uses counts at its peak, which halves in two seconds, and twice: requests come in bunches.
PEAK_HALF_LIFE = 2_000_000
HEADROOM = 2


@dataclass(slots=True)
class Lender:
    """Rates are in millionths of a token a second, times in microseconds of the leader's clock."""

    rate: int  # of its whole
    divisible: int  # millionths of its whole that may be divided at all
    last_demand_at: int
    used_rate: int = 0
    used_rate_at: int = 0
    reclaimed_at: int = 0
    lends_again_at: int = 0
    retained: int = WHOLE  # of its whole, beside what was planned to be lent

    def record_rate(self, rate: int, now: int) -> None:
        """Take in the rate that is demanded of it now."""
        decay = min(PEAK_HALF_LIFE, now - self.used_rate_at)
        self.used_rate = max(rate, self.used_rate - self.used_rate * decay // (2 * PEAK_HALF_LIFE))
        self.used_rate_at = now

    def reclaim(self, now: int) -> None:
        """Lend nothing for a while."""
        self.reclaimed_at, self.lends_again_at, self.retained = now, now + IDLE_AFTER, WHOLE

    def is_reclaiming(self, now: int) -> bool:
        """Whether it was reclaimed so lately that it lends nothing."""
        return now < self.lends_again_at

    def lendable_share(self, lent_fraction: int, now: int) -> int:
        """Return the millionths of its whole that may be lent; `lent_fraction` of what is unused."""
        if self.is_reclaiming(now) or not self.rate:
            return 0
        unused = self.divisible - HEADROOM * self.used_rate * WHOLE // self.rate
        return max(0, unused * lent_fraction // WHOLE)
