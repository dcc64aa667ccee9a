"""Random draws from a seed, the same on every platform and in every version of Python."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from itertools import accumulate

# Knuth's MMIX constants.
MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
MASK_64_BITS = 0xFFFFFFFFFFFFFFFF
#: Number of steps between the probabilities 0 and 1.
PROBABILITY_STEPS = 1 << 20


class LinearCongruentialGenerator:
    """A linear congruential generator with 64 bits of state, of which only the upper 32 are used.

    Attributes:
        state: the number from which the next draw is computed.
    """

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK_64_BITS

    def below(self, bound: int) -> int:
        """Draw an integer from 0 to `bound` - 1 uniformly; `bound` is at most 2**32."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & MASK_64_BITS
        return ((self.state >> 32) * bound) >> 32

    def bernoulli(self, probability: float) -> bool:
        """Draw True with the given probability."""
        return self.below(PROBABILITY_STEPS) < probability * PROBABILITY_STEPS

    def weighted_index(self, weights: Sequence[float]) -> int:
        """Draw an index with a probability proportional to its weight."""
        sums = list(accumulate(weights))
        drawn = sums[-1] * self.below(PROBABILITY_STEPS) / PROBABILITY_STEPS
        return min(len(sums) - 1, bisect(sums, drawn))
