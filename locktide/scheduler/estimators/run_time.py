"""How long the requests of a service class run."""

from __future__ import annotations

from math import sqrt

from locktide.scheduler.estimators.decaying_sum import DecayingSum

# Long enough for some tens of ends at ten a second, short enough to follow a slowdown of all workers.
SPAN = 10_000_000
# Below this decayed number of ends the mean is not taken from them.
FEWEST_FOR_MEAN = 0.1
# Below this decayed number of ends no run counts as long.
FEWEST_FOR_DEVIATION = 5.0
NEVER_LONG = 1e12


class RunTimeEstimator:
    """The run times of a service class over all workers, from start to successful end, in microseconds."""

    def __init__(self, initial_estimate: int) -> None:
        self.times = DecayingSum(SPAN)
        self.squares = DecayingSum(SPAN)
        self.count = DecayingSum(SPAN)
        self.initial_estimate = initial_estimate  # while no end is known

    def add(self, run_time: int, now: int) -> None:
        """Takes in the run time of a request that ended now."""
        self.times.add(run_time, now)
        self.squares.add(run_time * run_time, now)
        self.count.add(1.0, now)

    def mean(self, now: int, hint: int = 0) -> float:
        """The mean of about the last ten seconds; the hint or the initial estimate while no end is known."""
        count = self.count.read(now)
        if count > FEWEST_FOR_MEAN:
            # At least a microsecond: a start and an end reported together make a run time of zero.
            return max(1.0, self.times.read(now) / count)
        return hint or self.initial_estimate

    def long(self, now: int) -> float:
        """The mean and three standard deviations; longer than any run while few ends are known."""
        mean, count = self.mean(now), self.count.read(now)
        # Read also where it is not used: decay in two steps rounds otherwise than in one, and decisions that
        # are played again have to be the same to the last bit.
        squares = self.squares.read(now)
        if count < FEWEST_FOR_DEVIATION:
            return NEVER_LONG
        variance = squares / count - mean * mean
        return mean + 3.0 * sqrt(max(0.0, variance))
