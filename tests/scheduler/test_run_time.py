"""Run time estimator: the mean of recent runs, and from when on a run is unusually long."""

from __future__ import annotations

import pytest

from locktide.scheduler.estimators.run_time import NO_LONG_RUN_TIME, RunTimeEstimator

SECOND = 1_000_000


def ended(*run_times: int, now: int = SECOND) -> RunTimeEstimator:
    """Return an estimator that has counted these run times, all at the same time."""
    estimator = RunTimeEstimator(300_000)
    for run_time in run_times:
        estimator.add(run_time, now)
    return estimator


def test_the_mean_is_the_hint_or_else_the_initial_estimate_while_no_end_is_known() -> None:
    estimator = ended()
    assert estimator.mean(SECOND) == 300_000
    assert estimator.mean(SECOND, 70_000) == 70_000


def test_the_mean_is_that_of_the_ends_whatever_the_hint() -> None:
    assert ended(100_000, 300_000).mean(SECOND, 70_000) == pytest.approx(200_000)


def test_the_mean_is_the_initial_estimate_again_long_after_the_last_end() -> None:
    assert ended(100_000).mean(60 * SECOND) == 300_000


def test_the_mean_follows_the_latest_ends() -> None:
    estimator = ended(*[100_000] * 5)
    estimator.add(700_000, 31 * SECOND)
    assert 550_000 < estimator.mean(31 * SECOND) < 600_000


def test_a_run_time_of_zero_counts_as_one_microsecond() -> None:
    """A worker reported the start and the end of a job together, which gave a run time of zero.

    With a mean of zero the step of the scheduler failed with a division by zero. The mean must never be less
    than one microsecond.
    """
    assert ended(0).mean(SECOND) == 1.0


def test_nothing_is_long_while_fewer_than_five_ends_are_known() -> None:
    """Three to five of twelve healthy workers were suspected of slow progress within seconds of a start.

    The few run times known by then did not show how much normal runs differ. No run may count as long until
    five completed runs are known.
    """
    assert ended(*[100_000] * 4).long_run_time(SECOND) == NO_LONG_RUN_TIME


def test_long_is_three_standard_deviations_over_the_mean() -> None:
    run_times = [100_000, 300_000] * 4
    assert ended(*run_times).long_run_time(SECOND) == pytest.approx(200_000 + 3 * 100_000)


def test_equal_run_times_have_no_deviation() -> None:
    assert ended(*[100_000] * 8).long_run_time(SECOND) == pytest.approx(100_000)
