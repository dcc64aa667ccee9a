"""Arithmetic under the decisions: chance from a seed, sums that fade, and what runs take. Nothing here
decides.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from itertools import accumulate
from math import exp, sqrt
from typing import Protocol, TypeVar


class LinearCongruentialGenerator:
    """A linear congruential generator (Knuth's MMIX constants), of which only the high bits are used."""

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        self.state = seed & 0xFFFFFFFFFFFFFFFF

    def below(self, bound: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return ((self.state >> 32) * bound) >> 32

    def falls(self, odds: float) -> bool:
        return self.below(1 << 20) < odds * (1 << 20)

    def by(self, odds: Sequence[float]) -> int:
        """A place, drawn in the measure of the odds that stand there."""
        sums = list(accumulate(odds))
        return min(len(sums) - 1, bisect(sums, sums[-1] * self.below(1 << 20) / (1 << 20)))


class DecayingSum:
    """A sum that fades by 1/e in each span, brought up to date when it is read or added to."""

    __slots__ = ("sum", "at", "span")

    def __init__(self, span: int) -> None:
        self.sum, self.at, self.span = 0.0, 0, span

    def read(self, now: int) -> float:
        if now != self.at:
            self.sum *= exp((self.at - now) / self.span)
            self.at = now
        return self.sum

    def add(self, amount: float, now: int) -> None:
        self.sum = self.read(now) + amount


class RunTimeEstimator:
    """How long a grade's submissions run, from the start to a good end, over the whole fleet."""

    def __init__(self, guess: int) -> None:
        # Long enough for some tens of ends at ten a second, short enough to follow a slowdown of all.
        self.time, self.count, self.square = (
            DecayingSum(10_000_000),
            DecayingSum(10_000_000),
            DecayingSum(10_000_000),
        )
        self.guess = guess  # while no run is known

    def add(self, run: int, now: int) -> None:
        self.time.add(run, now)
        self.square.add(run * run, now)
        self.count.add(1.0, now)

    def mean(self, now: int, told: int = 0) -> float:
        """Of the last ten seconds or so; what was told, or the guess, while no end is known."""
        count = self.count.read(now)
        # At least a microsecond: a start and an end that are heard together make a run of none.
        return max(1.0, self.time.read(now) / count) if count > 0.1 else told or self.guess

    def long(self, now: int) -> float:
        """Three deviations over the mean; nothing is long while few runs are known."""
        mean, count = self.mean(now), self.count.read(now)
        variance = self.square.read(now) / max(5.0, count) - mean * mean
        return mean + 3.0 * sqrt(max(0.0, variance)) if count >= 5.0 else 1e12


class Salted(Protocol):
    salt: int


S = TypeVar("S", bound=Salted)


def rendezvous_order(those: list[S], key: int) -> list[S]:
    """In an order as good as drawn for this key, the same at all dispatchers."""
    ranks = []
    for one in those:
        state = (one.salt ^ key) * 6364136223846793005 + 1442695040888963407 & 0xFFFFFFFFFFFFFFFF
        ranks.append((state ^ state >> 29) * 6364136223846793005 & 0xFFFFFFFFFFFFFFFF)
    return [those[place] for place in sorted(range(len(those)), key=ranks.__getitem__)]
