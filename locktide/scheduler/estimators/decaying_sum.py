"""A sum in which old amounts count ever less."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that decays by 1/e in each `span`, brought up to date when it is read or added to.

    Reading it changes how its later decay is rounded, so a decision that is to be played again has to read it
    at the same moments.

    Attributes:
        span: the time in which an amount decays by 1/e, in microseconds.
        total: the sum as of `updated_at`.
        updated_at: when it was last brought up to date, in microseconds.
    """

    __slots__ = ("span", "total", "updated_at")

    def __init__(self, span: int) -> None:
        self.span = span
        self.total = 0.0
        self.updated_at = 0

    def read(self, now: int) -> float:
        """Return the sum as decayed until now."""
        if now != self.updated_at:
            self.total *= exp((self.updated_at - now) / self.span)
            self.updated_at = now
        return self.total

    def peek(self, now: int) -> float:
        """Return the same as `read`, and leave the rounding of later decay as it is."""
        return self.total * exp((self.updated_at - now) / self.span)

    def add(self, amount: float, now: int) -> None:
        """Add an amount, which may be negative."""
        self.total = self.read(now) + amount
