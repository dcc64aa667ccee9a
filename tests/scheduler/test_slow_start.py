"""What a cold worker gets from all dispatchers together, as it counts it itself: in any window, in work."""

from __future__ import annotations

from heapq import heappop, heappush
from math import sqrt
from random import Random
from typing import Any

import pytest
from helpers import listed

from locktide.dispatcher.settings import SLOW_START_MARGIN
from locktide.scheduler.commands import CancelAttempt, SetTimer, StartAttempt
from locktide.scheduler.config import (
    ClientConfig,
    CostConfig,
    EndpointListConfig,
    ObjectiveConfig,
    ProgressConfig,
    QuotaConfig,
    RetryConfig,
    SchedulerConfig,
    ServiceClass,
    SlowStartConfig,
)
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, DeduplicationScope, Effect, ListUpdateKind

STEP, SLOTS, SPAN, WAY = 4_000, 3, 12_000_000, 3_000
SPEEDS = (1.5, 1.0, 0.6)  # of the kinds
WORK = {"view": 550_000, "long": 3_300_000}  # usual, at speed 1
SHARES = {"view": 0.35, "long": 0.65}
FACTOR, WINDOW, COLD_FROM, WARM_AFTER = 4.0, 2_000_000, 0.35, 8_000_000


class Burst:
    """Dispatchers of which each sees its own part, and workers of three kinds, some of them just started."""

    def __init__(self, seed: int, fleet: int, warm: int, cold: int, margin: float) -> None:
        self.dice, self.events, self.made, self.now = Random(seed), list[Any](), 0, 0
        grades = [
            ServiceClass(
                "view",
                Effect.IDEMPOTENT,
                DeduplicationScope.FLEET,
                0,
                250_000,
                2.0,
                6_000_000,
                5.0,
                0.5,
                None,
            ),
            ServiceClass(
                "long",
                Effect.IDEMPOTENT,
                DeduplicationScope.FLEET,
                0,
                2_000_000,
                2.0,
                25_000_000,
                5.0,
                0.5,
                None,
            ),
        ]
        config = SchedulerConfig(
            STEP,
            fleet,
            grades,
            RetryConfig(4, True, False),
            ClientConfig(0),
            QuotaConfig({}, 1.0),
            ObjectiveConfig(0.4),
            SlowStartConfig(FACTOR, WINDOW, COLD_FROM, WARM_AFTER, margin),
            EndpointListConfig(False, 10_000_000),
            ProgressConfig(True, 1_000_000),
            CostConfig(),
        )
        self.fleet = [Scheduler(seed * 1000 + one, config) for one in range(fleet)]
        self.begun = 10_000_000
        self.names = [f"warm{one}" for one in range(warm)] + [f"cold{one}" for one in range(cold)]
        self.speed = {name: SPEEDS[place % 3] for place, name in enumerate(self.names)}
        self.got: dict[str, list[tuple[int, float]]] = {name: [] for name in self.names}
        self.running = dict.fromkeys(self.names, 0)
        self.queue: dict[str, list[tuple[int, int]]] = {name: [] for name in self.names}
        self.work: dict[int, float] = {}
        self.usual = sum(SHARES[grade] * work for grade, work in WORK.items())
        entries = [
            listed(name, started_at=self.begun * name.startswith("cold"), kind=f"at {self.speed[name]}")
            for name in self.names
        ]
        for one in range(fleet):
            self.at(self.begun, self.tell, one, EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))
        rate = 1.1 * SLOTS * sum(self.speed.values()) / self.usual
        moment, number = float(self.begun), 0
        while moment < self.begun + SPAN:
            moment, number = moment + self.dice.expovariate(rate), number + 1
            self.at(int(moment), self.come, self.dice.randrange(fleet), number)

    def at(self, moment: int, what: Any, *given: Any) -> None:
        self.made += 1
        heappush(self.events, (moment, self.made, what, given))

    def run(self) -> float:
        """The most that a cold worker got in a window, beside what fells it."""
        while self.events and self.events[0][0] < self.begun + SPAN:
            self.now, _, what, given = heappop(self.events)
            what(*given)
        return max(self.worst(name) for name in self.names if name.startswith("cold"))

    def warmth(self, name: str) -> float:
        age = self.now - self.begun
        fresh = name.startswith("cold") and age < WARM_AFTER
        return COLD_FROM + (1.0 - COLD_FROM) * age / WARM_AFTER if fresh else 1.0

    def worst(self, name: str) -> float:
        most, got = 0.0, self.got[name]
        for self.now, _ in got:
            if self.now < self.begun + WARM_AFTER:
                sent = sum(work for at, work in got if self.now - WINDOW < at <= self.now) / self.usual
                bears = FACTOR * WINDOW * SLOTS * self.speed[name] * self.warmth(name) / self.usual
                most = max(most, sent / (bears + 2.0 * sqrt(bears) + 2.0))
        return most

    def come(self, one: int, number: int) -> None:
        grade = self.dice.choices(list(SHARES), list(SHARES.values()))[0]
        self.work[number] = self.dice.lognormvariate(-0.125, 0.5) * WORK[grade]
        self.tell(one, RequestArrived(number, grade, self.now + 25_000_000))

    def tell(self, one: int, news: Any) -> None:
        for order in self.fleet[one].step(self.now, [news]):
            if type(order) is SetTimer:
                self.at(self.now + max(STEP, order.delay), self.tell, one, TimerFired(order.timer_id))
            elif type(order) is StartAttempt:
                self.at(self.now + WAY, self.reach, one, order.request_id, order.worker)
            elif type(order) is CancelAttempt:
                self.at(self.now + 2 * WAY, self.give_up, one, order)

    def reach(self, one: int, number: int, name: str) -> None:
        self.got[name].append((self.now, self.work[number]))
        if self.running[name] < SLOTS:
            self.begin(one, number, name)
        else:
            self.queue[name].append((one, number))

    def begin(self, one: int, number: int, name: str) -> None:
        self.running[name] += 1
        place = len(self.fleet[one].requests.open[number].attempts) - 1
        self.tell(one, AttemptStarted(number, place))
        took = int(self.work[number] / self.speed[name] / self.warmth(name))
        self.at(self.now + took, self.end, one, number, place, name)

    def end(self, one: int, number: int, place: int, name: str) -> None:
        self.running[name] -= 1
        if number in self.fleet[one].requests.open:
            self.tell(one, AttemptEnded(number, place, AttemptOutcome.DONE, True))
        while self.queue[name] and self.running[name] < SLOTS:
            other, waiting = self.queue[name].pop(0)
            if waiting in self.fleet[other].requests.open:
                self.begin(other, waiting, name)

    def give_up(self, one: int, order: CancelAttempt) -> None:
        for queue in self.queue.values():
            if (waiting := (one, int(order.request_id))) in queue:
                queue.remove(waiting)
                self.tell(one, AttemptEnded(order.request_id, order.attempt, AttemptOutcome.CANCELLED, False))
                return


@pytest.mark.parametrize("warm, cold", [(6, 6), (0, 12)])
def test_thirty_together_stay_under_what_fells_a_cold_worker(warm: int, cold: int) -> None:
    worst = [Burst(seed, 30, warm, cold, SLOW_START_MARGIN).run() for seed in range(8)]
    assert 0.3 < max(worst) <= 1.0, worst
