"""Random draws: uniform or weighted, and the same for a seed on every platform."""

from __future__ import annotations

import pytest

from locktide.scheduler.estimators.random import LinearCongruentialGenerator


def test_draws_below_a_bound_are_even() -> None:
    generator, seen = LinearCongruentialGenerator(7), [0] * 5
    for _ in range(5000):
        seen[generator.below(5)] += 1
    assert min(seen) > 900


def test_a_seed_gives_the_same_draws_on_every_platform() -> None:
    """A recorded run is replayed on another platform or with a later version of Python.

    There the generator of the standard library may give other draws, and each decision after the first draw
    would differ. The draws of a seed must never change.
    """
    generator = LinearCongruentialGenerator(7)
    assert [generator.below(1000) for _ in range(6)] == [493, 955, 906, 272, 266, 138]


def test_only_the_lower_64_bits_of_a_seed_count() -> None:
    assert LinearCongruentialGenerator(7 + (1 << 64)).below(1 << 32) == LinearCongruentialGenerator(7).below(
        1 << 32
    )


@pytest.mark.parametrize(
    ("probability", "least", "most"), [(0.0, 0, 0), (0.25, 1150, 1350), (1.0, 5000, 5000)]
)
def test_true_is_drawn_with_the_given_probability(probability: float, least: int, most: int) -> None:
    generator = LinearCongruentialGenerator(7)
    assert least <= sum(generator.bernoulli(probability) for _ in range(5000)) <= most


def test_an_index_is_drawn_in_proportion_to_its_weight() -> None:
    generator, seen = LinearCongruentialGenerator(7), [0] * 3
    for _ in range(6000):
        seen[generator.weighted_index([1.0, 0.0, 2.0])] += 1
    assert seen[1] == 0 and 1850 < seen[0] < 2150
