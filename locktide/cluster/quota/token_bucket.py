"""A token bucket for a changing share of a rate with a burst.

Whole tokens are a million units, so that all arithmetic is exact. A share that grows brings no tokens with
it: the burst that belongs to it counts as spent, wherever it was before. A share that shrinks takes with it
what the smaller bucket cannot hold. So over any span all members together spend at most the whole burst and
the whole rate.
"""

from __future__ import annotations

from locktide.cluster.quota.lease_timing import MAX_CLOCK_DRIFT, MILLION

#: Units of a bucket's level in one token.
UNITS_PER_TOKEN = 1_000_000
#: Millionths in a whole quota, and microseconds in a second.
MILLIONTHS = MILLION
MICROSECONDS_PER_SECOND = MILLION


class TokenBucket:
    """Tokens of one share of a quota.

    Attributes:
        rate: the rate of the whole quota, in units a second.
        burst: the burst of the whole quota, in units.
        share: the share that this bucket has of both, in millionths.
        level: what may be spent at `filled_at`, in units.
        filled_at: until when tokens are counted, in microseconds.
        remainder: what the last refill made of a unit, in millionths of millionths.
    """

    def __init__(self, rate: float, burst: float, share: int, now: int) -> None:
        """Start empty; `rate` is in tokens a second and `burst` in tokens, both of the whole quota."""
        # By the slowest clock that may be right: a fast one must not make more tokens.
        self.rate = int(rate * UNITS_PER_TOKEN) * (MILLION - MAX_CLOCK_DRIFT) // MILLION
        self.burst = int(burst * UNITS_PER_TOKEN)
        self.share = share
        self.level = 0
        self.filled_at = now
        self.remainder = 0

    def refill(self, now: int) -> None:
        """Add the tokens made since the last refill, up to the share's burst."""
        if now <= self.filled_at:
            return
        made = self.rate * self.share * (now - self.filled_at) + self.remainder
        added, self.remainder = divmod(made, MILLIONTHS * MICROSECONDS_PER_SECOND)
        self.filled_at = now
        self.level = min(self.capacity, self.level + added)

    @property
    def capacity(self) -> int:
        """Units that the share's burst holds."""
        return self.burst * self.share // MILLIONTHS

    def set_share(self, share: int, now: int) -> None:
        """Change the share from `now` on; drops the tokens that a smaller one cannot hold."""
        self.refill(now)
        self.share = share
        self.level = min(self.level, self.capacity)

    def spend(self, now: int, tokens: int = 1) -> bool:
        """Take the tokens if all of them are there; return whether they were."""
        self.refill(now)
        units = tokens * UNITS_PER_TOKEN
        if self.level < units:
            return False
        self.level -= units
        return True
