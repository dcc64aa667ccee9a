"""Mechanisms 1 and 2 at one worker: its cap, its rests, its health posterior."""

from __future__ import annotations

from typing import Any
from zlib import crc32

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import PlacementConstraint

# News of most ratings since a worker's own was renewed, that one counted. Two: the next came without it.
OVERDUE = 2


class Endpoint:
    __slots__ = (
        "id",
        "zone",
        "kind",
        "cell",
        "state",
        "started_at",
        "own",
        "cap",
        "waiting",
        "rest_until",
        "heard_at",
        "good",
        "bad",
        "drawn_at",
        "sent_cold",
        "full_until",
        "salt",
        "load",
        "odds",
        "size",
        "missed",
        "kept",
        "rated",
    )

    def __init__(self, entry: EndpointEntry, cap: float) -> None:
        self.id = entry.worker
        self.own, self.cap = 0.0, cap  # slots of ours outstanding there, and how many may be
        # Ten seconds: past the longest pause of a sound worker, short beside a lasting outage.
        self.good, self.bad = DecayingSum(10_000_000), DecayingSum(10_000_000)
        self.rest_until = 0  # while the cap is under one: when we have held our share there on average
        self.sent_cold = DecayingSum(1_000_000)
        self.heard_at = self.drawn_at = self.full_until = 0  # first, when it last gave a sign of life
        self.salt = crc32(str(entry.worker).encode())
        self.waiting: dict[Any, None] = {}  # dispatches of ours there that have not started, oldest first
        self.update(entry)
        self.kept: list[int] = []  # until when connections of ours to it are kept open and free
        self.unrated()

    def unrated(self) -> None:
        # What it holds a core, its odds in a draw, the rating of one of its kind that holds nothing, how many
        # news lacked its own, and its own.
        self.load, self.odds, self.size, self.missed, self.rated = 0.0, 1.0, 0.0, 0, 0.0

    def update(self, entry: EndpointEntry) -> None:
        self.zone, self.kind, self.cell = entry.zone, entry.worker_type, entry.cell
        self.state, self.started_at = entry.state, entry.started_at

    def stands_on(self, ground: PlacementConstraint) -> bool:
        kinds, zones = ground
        return (kinds is None or self.kind in kinds) and (zones is None or self.zone in zones)

    def has_room(self, width: float, now: int, prompt: int) -> bool:
        if not self.own:
            return now >= max(self.rest_until, self.full_until)
        if self.own + width > self.cap or now < self.full_until:
            return False
        # Guards against stacking up behind a queue or on a worker that has gone silent.
        return not self.waiting or now - next(iter(self.waiting)).sent_at <= prompt

    def doubtful(self, now: int) -> bool:
        return self.missed >= OVERDUE or self.bad.read(now) >= 0.5

    def succeeded(self, now: int) -> None:
        self.heard_at = now
        self.good.add(1.0, now)
        # Guards against shunning a worker that has come back: two good ends outweigh one bad.
        self.bad.add(-0.5 * self.bad.read(now), now)

    def failed(self, now: int) -> None:
        # Guards against a long good record that hides a fresh outage: a failure cuts it to a quarter.
        self.good.add(-0.75 * self.good.read(now), now)
        self.bad.add(1.0, now)

    def trusted(self, now: int, chance: LinearCongruentialGenerator) -> bool:
        """For a doubtful worker: whether it gets one more submission, drawn anew at most once a second."""
        if now < self.drawn_at + 1_000_000:
            return False
        self.drawn_at = now
        # The a-th smallest of a + b - 1 uniform draws is distributed as Beta(a, b). Eight of each suffice.
        a, b = 1 + min(8, round(self.good.read(now))), 1 + min(8, round(self.bad.read(now)) + self.missed)
        draws = sorted([chance.below(1 << 20) for _ in range(a + b - 1)])
        return draws[a - 1] > 1 << 19

    def left(self, stay: int, now: int) -> None:
        # Guards against many dispatchers that each keep one submission on every worker: with a cap under one
        # we stay away so long that our own outstanding work there is the cap on average.
        if not self.own and self.cap < 1.0:
            self.rest_until = now + int(stay * (1.0 / self.cap - 1.0))
