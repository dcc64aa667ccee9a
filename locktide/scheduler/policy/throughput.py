"""How fast kinds of machines are, where no ratings follow load."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum


class ThroughputEstimator:
    """How fast each kind of machine runs what we send it, beside the others. Guards against even draws where
    we see too few ends on any one worker for its cap to follow its speed: slow kinds get too much."""

    def __init__(self) -> None:
        self.sums: dict[str, tuple[DecayingSum, DecayingSum]] = {}
        self.taking: dict[str, float] = {}  # the chance that a draw of an empty worker of this kind holds

    def add(self, kind: str, pace: float, now: int) -> None:
        # A minute: kinds keep their speeds, and one of many dispatchers sees an end in some seconds.
        took, count = self.sums.setdefault(kind, (DecayingSum(60_000_000), DecayingSum(60_000_000)))
        took.add(pace, now)
        count.add(1.0, now)
        # Two ends at the usual pace come first: a single run does not decide.
        paces = {of: (sum.read(now) + 2.0) / (n.read(now) + 2.0) for of, (sum, n) in self.sums.items()}
        least = min(paces.values())
        # The square, so that waits become even and not only loads; the plain ratio scored less on all three.
        self.taking = {kind: (least / pace) ** 2 for kind, pace in paces.items()}
