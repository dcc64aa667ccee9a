"""How long the requests of a service class run."""

from __future__ import annotations

from math import sqrt

from locktide.scheduler.estimators.decaying_sum import DecayingSum

#: Decay of the sums, in microseconds: long enough for some tens of ends at ten a second, short enough to
#: follow a slowdown of all workers.
SPAN = 10_000_000
#: Decayed number of ends below which the mean is not taken from them.
FEWEST_FOR_MEAN = 0.1
#: Decayed number of ends below which no run counts as long.
FEWEST_FOR_DEVIATION = 5.0
#: Standard deviations over the mean from which a run counts as long.
LONG_DEVIATIONS = 3.0
#: What counts as long while few ends are known, in microseconds: more than any run.
NEVER_LONG = 1e12
#: Least mean, in microseconds: a start and an end that are reported together make a run time of zero.
MIN_MEAN = 1.0


class RunTimeEstimator:
    """The run times of a service class over all workers, from start to successful end, in microseconds.

    Attributes:
        initial_estimate: what counts as the mean while no end and no hint is known, in microseconds.
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
        """Return the mean of the ends of about the last `SPAN`.

        While no end is known that is the hint, or the initial estimate without one.
        """
        count = self._count.read(now)
        if count > FEWEST_FOR_MEAN:
            return max(MIN_MEAN, self._times.read(now) / count)
        return hint or self.initial_estimate

    def long(self, now: int) -> float:
        """Return the run time from which a run is longer than usual runs differ."""
        mean = self.mean(now)
        count = self._count.read(now)
        # Read even where it is not used, as each reading changes how the later decay is rounded.
        squares = self._squares.read(now)
        if count < FEWEST_FOR_DEVIATION:
            return NEVER_LONG
        variance = squares / count - mean * mean
        return mean + LONG_DEVIATIONS * sqrt(max(0.0, variance))
