"""Estimates the run time of the requests of a service class."""

from __future__ import annotations

from math import sqrt

from locktide.scheduler.estimators.decaying_sum import DecayingSum

#: Decay time of the sums, in microseconds: long enough for some tens of completed runs at ten per second,
#: short enough to follow a slowdown of all workers.
SPAN = 10_000_000
#: Decayed number of completed runs up to which the mean is not computed from them.
MIN_RUNS_FOR_MEAN = 0.1
#: Decayed number of completed runs below which no run counts as long.
MIN_RUNS_FOR_DEVIATION = 5.0
#: Standard deviations above the mean from which a run counts as long.
LONG_DEVIATIONS = 3.0
#: Long run time while few completed runs are known, in microseconds: more than any run takes.
NO_LONG_RUN_TIME = 1e12
#: Minimum mean, in microseconds: a start and an end that are reported together give a run time of zero.
MIN_MEAN = 1.0


class RunTimeEstimator:
    """The run times of a service class over all workers, from start to successful end, in microseconds.

    Attributes:
        initial_estimate: the mean while no completed run and no hint is known, in microseconds.
    """

    def __init__(self, initial_estimate: int) -> None:
        self.initial_estimate = initial_estimate
        self._times = DecayingSum(SPAN)
        self._squares = DecayingSum(SPAN)
        self._count = DecayingSum(SPAN)

    def add(self, run_time: int, now: int) -> None:
        """Count the run time of a request that ended now."""
        self._times.add(run_time, now)
        self._squares.add(run_time * run_time, now)
        self._count.add(1.0, now)

    def mean(self, now: int, hint: int = 0) -> float:
        """Return the mean of the runs completed within about the last `SPAN`.

        While no completed run is known, return the hint, or the initial estimate if there is no hint.
        """
        count = self._count.read(now)
        if count > MIN_RUNS_FOR_MEAN:
            return max(MIN_MEAN, self._times.read(now) / count)
        return hint or self.initial_estimate

    def long_run_time(self, now: int) -> float:
        """Return the run time from which a run is unusually long."""
        mean = self.mean(now)
        count = self._count.read(now)
        # The sum is read even if its value is not used, as each read affects the rounding of the later decay.
        squares = self._squares.read(now)
        if count < MIN_RUNS_FOR_DEVIATION:
            return NO_LONG_RUN_TIME
        variance = squares / count - mean * mean
        return mean + LONG_DEVIATIONS * sqrt(max(0.0, variance))
