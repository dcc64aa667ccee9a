"""Mechanism 4: the cold budget."""

from locktide.scheduler.config import SlowStartConfig
from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.policy.endpoint import Endpoint


class SlowStartBudget:
    """Our part of what may be sent to a worker that is not warm yet, and whether it allows some work."""

    def __init__(self, terms: SlowStartConfig) -> None:
        self.terms, self.sent = terms, DecayingSum(1_000_000)
        self.warm, self.summed_at, self.drawn_at, self.turned_at = 0.0, 0, 0, 0
        self.turn: Endpoint | None = None
        self.slots = 2.0  # how many a worker has, where no ratings tell: the most of ours seen running on one

    def is_cold(self, worker: Endpoint, now: int) -> bool:
        return worker.started_at != 0 and now < worker.started_at + self.terms.warmup

    def warmth(self, worker: Endpoint, now: int) -> float:
        """The least share of its capacity that a cold worker has by now."""
        if not self.is_cold(worker, now):
            return 1.0
        terms = self.terms
        return (
            terms.initial_capacity + (1.0 - terms.initial_capacity) * (now - worker.started_at) / terms.warmup
        )

    def allows(
        self,
        worker: Endpoint,
        work: float,
        part: float,
        now: int,
        chance: LinearCongruentialGenerator,
        ready: list[Endpoint],
    ) -> bool:
        need, most = (
            self.need(worker, work),
            self.terms.margin * self.terms.overload_factor * self.terms.window,
        )
        whole = most * self.warmth(worker, now)
        if need <= part * whole:
            return worker.sent_cold.read(now) + need <= part * whole
        # Guards against leaving fresh workers idle until warm where our part of one is under a submission:
        # our part of all cold ones together counts, which the draw spreads evenly, and what is left of it
        # under a submission is drawn for once a window. All keep to half of what would push one over; the
        # other half is for the odds of many draws, and for two that fall together.
        # A third: two large ones beside the usual draws still stay under what chance is allowed, where a half
        # went over it five times as often (tests/test_cold.py); two slots for a size count double and more.
        if need > (0.25 if worker.size else 0.35) * whole:
            return False
        if now >= self.summed_at + self.terms.window // 16:  # guards the CPU; warmth moves slowly beside it
            self.summed_at = now
            self.warm = sum([self.warmth(one, now) for one in ready if self.is_cold(one, now)])
        left = (0.2 if worker.size else 0.5) * part * most * self.warm - self.sent.read(now)
        if need <= left:
            return True
        if now < self.drawn_at + self.terms.window:
            return False
        self.drawn_at = now
        return chance.falls(max(0.0, left / need))

    def turn_of(self, ready: list[Endpoint], now: int, chance: LinearCongruentialGenerator) -> Endpoint:
        """The one that is ours for a window, drawn by warmth. Guards against all that turn to the only one of
        the cold with room (4 and 7 times what it could do)."""
        if not self.turn or now >= self.turned_at + self.terms.window or not self.is_cold(self.turn, now):
            cold = [one for one in ready if self.is_cold(one, now)]
            self.turn, self.turned_at = cold[chance.by([self.warmth(one, now) for one in cold])], now
        return self.turn

    def need(self, worker: Endpoint, work: float) -> float:
        return work / max(self.slots, worker.size)

    def count(self, worker: Endpoint, work: float, now: int) -> None:
        worker.sent_cold.span = self.sent.span = max(1, self.terms.window)
        worker.sent_cold.add(self.need(worker, work), now)
        self.sent.add(self.need(worker, work), now)
