"""Draws from a beta distribution."""

from __future__ import annotations

import pytest

from locktide.scheduler.estimators.beta import draw_beta
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@pytest.mark.parametrize(("a", "b"), [(1, 1), (1, 3), (9, 1), (4, 9)])
def test_draws_have_the_mean_of_the_distribution(a: int, b: int) -> None:
    random = LinearCongruentialGenerator(1)
    draws = [draw_beta(random, a, b) for _ in range(4000)]
    assert all(0.0 <= draw < 1.0 for draw in draws)
    assert sum(draws) / len(draws) == pytest.approx(a / (a + b), abs=0.02)


def test_a_draw_takes_one_uniform_draw_less_than_both_parameters() -> None:
    random, counted = LinearCongruentialGenerator(7), LinearCongruentialGenerator(7)
    draw_beta(random, 3, 4)
    for _ in range(6):
        counted.below(2)
    assert random.state == counted.state
