"""A rate with its burst, where the part of it that is ours moves.

Whole tokens are a million units, so that all is exact. A part that grows brings no tokens with it: the burst
that belongs to it counts as spent, wherever it was before. A part that shrinks takes with it what the smaller
one cannot hold. So over any span all members together spend at most the whole burst and the whole rate.
"""

from __future__ import annotations

from locktide.cluster.quota.lease_timing import SKEW

TOKEN = 1_000_000


class TokenBucket:
    """`rate` in tokens a second, `burst` in tokens, of the whole budget; parts in millionths of it."""

    def __init__(self, rate: float, burst: float, part: int, now: int) -> None:
        # By the slowest clock that may be right: a fast one must not make more tokens.
        self.rate = int(rate * TOKEN) * (1_000_000 - SKEW) // 1_000_000
        self.burst = int(burst * TOKEN)
        self.share, self.level, self.filled_at, self.remainder = part, 0, now, 0

    def refill(self, now: int) -> None:
        if now <= self.filled_at:
            return
        # Units times millionths times microseconds; what is under one unit is kept for the next time.
        made = self.rate * self.share * (now - self.filled_at) + self.remainder
        added, self.remainder = divmod(made, 1_000_000 * 1_000_000)
        self.filled_at = now
        full = self.burst * self.share // 1_000_000
        self.level = min(full, self.level + added)

    def set_share(self, part: int, now: int) -> None:
        self.refill(now)
        self.share = part
        self.level = min(self.level, self.burst * part // 1_000_000)

    def spend(self, now: int, tokens: int = 1) -> bool:
        self.refill(now)
        if self.level < tokens * TOKEN:
            return False
        self.level -= tokens * TOKEN
        return True
