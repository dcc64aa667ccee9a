"""The leader's state of one quota whose idle part may be lent; integer arithmetic, no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.allocation import WHOLE

#: Time without demand after which a quota counts as idle, and time for which it lends nothing after it was
#: reclaimed, in microseconds. At two requests a second, one gap between requests in four hundred is longer.
IDLE_AFTER = 3_000_000
#: Time in which the recorded peak of a lender's demand halves, in microseconds.
PEAK_HALF_LIFE = 2_000_000
#: How many times its peak demand a lender retains, because requests arrive in bursts.
HEADROOM = 2


@dataclass(slots=True)
class Lender:
    """The state of one quota; times are microseconds of the leader's clock.

    Attributes:
        rate: the rate of the whole quota, in millionths of a token a second.
        divisible: how much of the whole may be divided among the members, in millionths.
        last_demand_at: when it last had demand.
        used_rate: the decaying peak of its demand, in millionths of a token a second.
        used_rate_at: when that peak was last updated.
        reclaimed_at: when its loans were last reclaimed.
        lends_again_at: when it may lend again after it was reclaimed.
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
        """Update the peak with the rate of the quota's current demand."""
        elapsed = min(PEAK_HALF_LIFE, now - self.used_rate_at)
        decayed_peak = self.used_rate - self.used_rate * elapsed // (2 * PEAK_HALF_LIFE)
        self.used_rate = max(rate, decayed_peak)
        self.used_rate_at = now

    def reclaim(self, now: int) -> None:
        """Stop lending for `IDLE_AFTER`."""
        self.reclaimed_at = now
        self.lends_again_at = now + IDLE_AFTER
        self.retained = WHOLE

    def is_reclaiming(self, now: int) -> bool:
        """Return whether the quota was reclaimed so recently that it still lends nothing."""
        return now < self.lends_again_at

    def lendable_share(self, lent_fraction: int, now: int) -> int:
        """Return how much of the quota may be lent: `lent_fraction` of the unused part, all in millionths."""
        if self.is_reclaiming(now) or not self.rate:
            return 0
        needed = HEADROOM * self.used_rate * WHOLE // self.rate
        unused = self.divisible - needed
        return max(0, unused * lent_fraction // WHOLE)
