"""A sum whose amounts decay exponentially with time."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that decays to 1/e of its value in each `span`; it is updated when it is read or added to.

    Reading it affects the rounding of its later decay, so a replayed decision has to read it at the same
    times.

    Attributes:
        span: the time in which an amount decays to 1/e, in microseconds.
        total: the sum as of `updated_at`.
        updated_at: when the sum was last updated, in microseconds.
    """

    __slots__ = ("span", "total", "updated_at")

    def __init__(self, span: int) -> None:
        self.span = span
        self.total = 0.0
        self.updated_at = 0

    def read(self, now: int) -> float:
        """Return the sum, decayed until now."""
        if now != self.updated_at:
            self.total *= exp((self.updated_at - now) / self.span)
            self.updated_at = now
        return self.total

    def peek(self, now: int) -> float:
        """Return the same as `read`, without affecting the rounding of later decay."""
        return self.total * exp((self.updated_at - now) / self.span)

    def add(self, amount: float, now: int) -> None:
        """Add an amount, which may be negative."""
        self.total = self.read(now) + amount
