"""Estimates the relative speeds of worker types."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum

#: Decay time of the sums, in microseconds: worker types keep their speeds, and each of many dispatchers sees
#: a completed run only every few seconds.
SPAN = 60_000_000
#: Assumed completed runs with the usual run time for each type, added to its own: limits the effect of a
#: single run.
PRIOR_RUNS = 2.0


class _TypeRunTimes:
    """Sums over the completed runs of one worker type."""

    __slots__ = ("completions", "relative_run_times")

    def __init__(self) -> None:
        self.relative_run_times = DecayingSum(SPAN)
        self.completions = DecayingSum(SPAN)

    def mean(self, now: int) -> float:
        """Return the mean relative run time, including the assumed completed runs."""
        total = self.relative_run_times.read(now) + PRIOR_RUNS
        return total / (self.completions.read(now) + PRIOR_RUNS)


class ThroughputEstimator:
    """Learns the speed of each worker type from the run times of our attempts there.

    Attributes:
        relative_speeds: the speed of each type with a completed run, as a fraction of the fastest type's
            speed.
    """

    def __init__(self) -> None:
        self._types: dict[str, _TypeRunTimes] = {}
        self.relative_speeds: dict[str, float] = {}

    def add(self, worker_type: str, relative_run_time: float, now: int) -> None:
        """Count a run that was completed after `relative_run_time` times the usual run time."""
        observed = self._types.setdefault(worker_type, _TypeRunTimes())
        observed.relative_run_times.add(relative_run_time, now)
        observed.completions.add(1.0, now)
        means = {name: each.mean(now) for name, each in self._types.items()}
        fastest = min(means.values())
        self.relative_speeds = {name: fastest / mean for name, mean in means.items()}
