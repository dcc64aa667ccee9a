"""Throughput estimator: the relative speeds of worker types."""

from __future__ import annotations

import pytest

from locktide.scheduler.estimators.throughput import ThroughputEstimator


def test_speeds_are_fractions_of_the_fastest_type() -> None:
    throughput = ThroughputEstimator()
    for _ in range(1000):
        throughput.add("box", 0.5, 0)
        throughput.add("crate", 1.5, 0)
    assert throughput.relative_speeds["box"] == 1.0
    assert throughput.relative_speeds["crate"] == pytest.approx(1 / 3, rel=0.01)


def test_a_single_slow_run_at_most_halves_the_speed_of_a_type() -> None:
    """The first request at a worker type happened to be a heavy one.

    By this run alone the type would count as four times slower and would be sent a sixteenth of the requests.
    Two assumed runs of the usual length are added, so that this run only halves the speed.
    """
    throughput = ThroughputEstimator()
    throughput.add("box", 1.0, 0)
    throughput.add("crate", 4.0, 0)
    assert throughput.relative_speeds == {"box": 1.0, "crate": 0.5}
