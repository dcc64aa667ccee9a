"""A token bucket for a changing share of a rate with a burst.

Whole tokens are a million units, so that all arithmetic is exact. A share that grows brings no tokens with
it: the burst that belongs to it counts as spent, wherever it was before. A share that shrinks takes with it
what the smaller bucket cannot hold. So over any span all members together spend at most the whole burst and
the whole rate.
"""

from __future__ import annotations

from locktide.cluster.quota.lease_timing import MAX_CLOCK_DRIFT

UNITS_PER_TOKEN = 1_000_000
MILLION = 1_000_000  # millionths in a whole, and microseconds in a second


class TokenBucket:
    """`rate` in tokens a second and `burst` in tokens are the whole quota's; shares are millionths of it."""

    def __init__(self, rate: float, burst: float, share: int, now: int) -> None:
        # By the slowest clock that may be right: a fast one must not make more tokens.
        self.rate = int(rate * UNITS_PER_TOKEN) * (MILLION - MAX_CLOCK_DRIFT) // MILLION
        self.burst = int(burst * UNITS_PER_TOKEN)
        self.share = share
        self.level = 0  # units
        self.filled_at = now
        self.remainder = 0  # of the last refill: less than a unit

    def refill(self, now: int) -> None:
        """Add the tokens made since the last refill, up to the share's burst."""
        if now <= self.filled_at:
            return
        # Units times millionths times microseconds; what is under one unit is kept for the next time.
        made = self.rate * self.share * (now - self.filled_at) + self.remainder
        added, self.remainder = divmod(made, MILLION * MILLION)
        self.filled_at = now
        self.level = min(self.capacity, self.level + added)

    @property
    def capacity(self) -> int:
        """Units that the share's burst holds."""
        return self.burst * self.share // MILLION

    def set_share(self, share: int, now: int) -> None:
        """Change the share from `now` on; drops the tokens that a smaller one cannot hold."""
        self.refill(now)
        self.share = share
        self.level = min(self.level, self.capacity)

    def spend(self, now: int, tokens: int = 1) -> bool:
        """Take the tokens if all of them are there; return whether they were."""
        self.refill(now)
        if self.level < tokens * UNITS_PER_TOKEN:
            return False
        self.level -= tokens * UNITS_PER_TOKEN
        return True
