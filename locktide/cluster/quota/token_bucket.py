"""A token bucket for a changing share of a rate with a burst.

A token is a million units, so that all arithmetic is exact. A share that grows brings no tokens with it: the
burst of the added part counts as spent, whichever member held that part before. A share that shrinks loses
the tokens that the smaller bucket cannot hold. So over any span all members together spend at most the whole
burst plus what the whole rate produces in that span.
"""

from __future__ import annotations

from locktide.cluster.quota.lease_timing import MAX_CLOCK_DRIFT, MILLION

#: Units of a bucket's level in one token.
UNITS_PER_TOKEN = 1_000_000
#: Millionths in a whole quota, and microseconds in a second.
MILLIONTHS = MILLION
MICROSECONDS_PER_SECOND = MILLION


class TokenBucket:
    """The token bucket of one share of a quota.

    Attributes:
        rate: the rate of the whole quota, in units a second.
        burst: the burst of the whole quota, in units.
        share: this bucket's share of both, in millionths.
        level: the units that may be spent at `filled_at`.
        filled_at: the time of the last refill, in microseconds.
        remainder: the fraction of a unit left over from the last refill, in millionths of millionths.
    """

    def __init__(self, rate: float, burst: float, share: int, now: int) -> None:
        """Start empty; `rate` is in tokens a second and `burst` in tokens, both of the whole quota."""
        # The rate is lowered by the largest clock drift, so that a fast clock does not produce extra tokens.
        self.rate = int(rate * UNITS_PER_TOKEN) * (MILLION - MAX_CLOCK_DRIFT) // MILLION
        self.burst = int(burst * UNITS_PER_TOKEN)
        self.share = share
        self.level = 0
        self.filled_at = now
        self.remainder = 0

    def refill(self, now: int) -> None:
        """Add the tokens produced since the last refill, up to the share's burst."""
        if now <= self.filled_at:
            return
        produced = self.rate * self.share * (now - self.filled_at) + self.remainder
        added, self.remainder = divmod(produced, MILLIONTHS * MICROSECONDS_PER_SECOND)
        self.filled_at = now
        self.level = min(self.capacity, self.level + added)

    @property
    def capacity(self) -> int:
        """The share's burst, in units."""
        return self.burst * self.share // MILLIONTHS

    def set_share(self, share: int, now: int) -> None:
        """Change the share from `now` on; drop the tokens that a smaller bucket cannot hold."""
        self.refill(now)
        self.share = share
        self.level = min(self.level, self.capacity)

    def spend(self, now: int, tokens: int = 1) -> bool:
        """Take the tokens if all of them are available; return whether they were."""
        self.refill(now)
        units = tokens * UNITS_PER_TOKEN
        if self.level < units:
            return False
        self.level -= units
        return True
