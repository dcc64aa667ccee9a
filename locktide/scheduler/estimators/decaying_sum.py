"""A sum in which old amounts count ever less."""

from __future__ import annotations

from math import exp


class DecayingSum:
    """A sum that decays by 1/e in each `span`, brought up to date when it is read or added to.

    Times and `span` are in microseconds.
    """

    __slots__ = ("span", "total", "updated_at")

    def __init__(self, span: int) -> None:
        self.total, self.updated_at, self.span = 0.0, 0, span

    def read(self, now: int) -> float:
        """The sum as decayed until now."""
        if now != self.updated_at:
            self.total *= exp((self.updated_at - now) / self.span)
            self.updated_at = now
        return self.total

    def add(self, amount: float, now: int) -> None:
        """Adds an amount, which may be negative."""
        self.total = self.read(now) + amount
