"""How fast worker types are beside each other."""

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


def test_a_single_run_does_not_decide() -> None:
    """The first request at a worker type happened to be a heavy one.

    By that run alone its type would count as four times slower and get a sixteenth of the draws. Two ends at
    the usual run come first, so that a single end halves the speed at most.
    """
    throughput = ThroughputEstimator()
    throughput.add("box", 1.0, 0)
    throughput.add("crate", 4.0, 0)
    assert throughput.relative_speeds == {"box": 1.0, "crate": 0.5}
