"""How fast types of workers are beside each other."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum


class ThroughputEstimator:
    """How long each worker type runs what we send it, in parts of the usual run."""

    def __init__(self) -> None:
        self._sums: dict[str, tuple[DecayingSum, DecayingSum]] = {}  # of relative run times, and of ends
        self.relative_speeds: dict[str, float] = {}  # of each type, in parts of the fastest one's

    def add(self, worker_type: str, relative_run_time: float, now: int) -> None:
        """Counts an end after `relative_run_time` times the usual run."""
        # A minute: types keep their speeds, and one of many dispatchers sees an end in some seconds.
        total, count = self._sums.setdefault(worker_type, (DecayingSum(60_000_000), DecayingSum(60_000_000)))
        total.add(relative_run_time, now)
        count.add(1.0, now)
        # Two ends at the usual pace come first: a single run does not decide.
        paces = {
            name: (total.read(now) + 2.0) / (count.read(now) + 2.0)
            for name, (total, count) in self._sums.items()
        }
        least = min(paces.values())
        self.relative_speeds = {name: least / pace for name, pace in paces.items()}
