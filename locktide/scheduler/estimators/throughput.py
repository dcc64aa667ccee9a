"""How fast worker types are beside each other."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum

#: Decay of the sums, in microseconds: types keep their speeds, and one of many dispatchers sees an end only
#: every few seconds.
SPAN = 60_000_000
#: Ends after the usual run that count for each type before its own: a single run does not decide.
PRIOR_ENDS = 2.0


class _TypeRunTimes:
    """What the ends at one worker type have summed up to."""

    __slots__ = ("ends", "relative_run_times")

    def __init__(self) -> None:
        self.relative_run_times = DecayingSum(SPAN)
        self.ends = DecayingSum(SPAN)

    def mean(self, now: int) -> float:
        """Return the mean relative run time, with the ends that count before its own."""
        total = self.relative_run_times.read(now) + PRIOR_ENDS
        return total / (self.ends.read(now) + PRIOR_ENDS)


class ThroughputEstimator:
    """Learns the speed of each worker type from how long it runs what we send there.

    Attributes:
        relative_speeds: the speed of each type with an end, as a fraction of the fastest one's.
    """

    def __init__(self) -> None:
        self._types: dict[str, _TypeRunTimes] = {}
        self.relative_speeds: dict[str, float] = {}

    def add(self, worker_type: str, relative_run_time: float, now: int) -> None:
        """Count an end after `relative_run_time` times the usual run."""
        observed = self._types.setdefault(worker_type, _TypeRunTimes())
        observed.relative_run_times.add(relative_run_time, now)
        observed.ends.add(1.0, now)
        means = {name: each.mean(now) for name, each in self._types.items()}
        fastest = min(means.values())
        self.relative_speeds = {name: fastest / mean for name, mean in means.items()}
