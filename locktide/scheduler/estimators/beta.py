"""Draws from a beta distribution."""

from locktide.scheduler.estimators.random import PROBABILITY_STEPS, LinearCongruentialGenerator


def draw_beta(random: LinearCongruentialGenerator, a: int, b: int) -> float:
    """Draw from Beta(a, b), for integer parameters.

    The a-th smallest of a + b - 1 uniform draws has this distribution, so a call makes a + b - 1 random
    draws.
    """
    draws = sorted([random.below(PROBABILITY_STEPS) for _ in range(a + b - 1)])
    return draws[a - 1] / PROBABILITY_STEPS
