"""Comparison of two sets of outcomes on the same seeds: mean, spread, and interval of the difference."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

# Two-sided 95% points of Student's t for 1 to 30 degrees of freedom; beyond, the normal distribution is
# close enough.
T95 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)  # fmt: skip
NORMAL = 1.960


@dataclass(frozen=True, slots=True)
class Summary:
    count: int
    mean: float
    least: float
    most: float
    deviation: float  # of a single run


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """The mean of `second` minus `first`, paired by seed, with its 95% confidence interval."""

    count: int
    mean: float
    low: float
    high: float

    @property
    def is_significant(self) -> bool:
        return self.low > 0 or self.high < 0


def spread(values: list[float]) -> Summary:
    """Summarize values; raise ValueError if there are none."""
    if not values:
        raise ValueError("no values")
    mean = sum(values) / len(values)
    square = sum((value - mean) ** 2 for value in values)
    deviation = sqrt(square / (len(values) - 1)) if len(values) > 1 else 0.0
    return Summary(len(values), mean, min(values), max(values), deviation)


def paired(first: dict[int, float], second: dict[int, float]) -> PairedDifference:
    """Return the difference of two sets by seed; raise ValueError if they share fewer than two seeds."""
    seeds = sorted(first.keys() & second.keys())
    if len(seeds) < 2:
        raise ValueError("a paired interval needs at least two seeds that both variants have run")
    found = spread([second[seed] - first[seed] for seed in seeds])
    t = T95[found.count - 2] if found.count - 2 < len(T95) else NORMAL
    half = t * found.deviation / sqrt(found.count)
    return PairedDifference(found.count, found.mean, found.mean - half, found.mean + half)
