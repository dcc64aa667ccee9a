"""Decaying sum: decays to 1/e of its value in each span."""

from __future__ import annotations

from math import e

import pytest

from locktide.scheduler.estimators.decaying_sum import DecayingSum

SPAN = 1_000_000


def test_a_sum_that_was_never_added_to_is_zero() -> None:
    assert DecayingSum(SPAN).read(5 * SPAN) == 0.0


def test_an_amount_decays_by_1_over_e_in_each_span() -> None:
    decaying = DecayingSum(SPAN)
    decaying.add(2.0, SPAN)
    assert decaying.read(SPAN) == 2.0
    assert decaying.read(2 * SPAN) == pytest.approx(2.0 / e)
    assert decaying.read(4 * SPAN) == pytest.approx(2.0 / e**3)


def test_an_amount_is_added_to_what_is_left_of_the_earlier_ones() -> None:
    decaying = DecayingSum(SPAN)
    decaying.add(2.0, 0)
    decaying.add(-0.5, SPAN)
    assert decaying.read(SPAN) == pytest.approx(2.0 / e - 0.5)
