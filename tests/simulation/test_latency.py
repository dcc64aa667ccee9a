"""Connections of the loopback backend that take as long as the emulated link does."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from helpers import wait_until

from locktide.simulation.latency import DelayedDirection
from locktide.simulation.model.network import CLIENT, DISPATCHER, Machine

PIECES = 200


@dataclass
class FallingDelays:
    """Links whose delay falls with each piece, so that each is due with the one before it."""

    delay_left: int = 50_000
    directions: dict[DelayedDirection, None] = field(default_factory=dict)

    @property
    def links(self) -> FallingDelays:
        return self

    def cut(self, source: Machine, target: Machine) -> bool:
        return False

    def delay(self, source: Machine, target: Machine) -> int:
        self.delay_left = max(1_000, self.delay_left - 5_000)
        return self.delay_left


def test_pieces_that_are_due_at_one_moment_arrive_in_their_order() -> None:
    """A run on loopback counted a response as broken, now and then, that its dispatcher had sent whole.

    The end of the connection was due at the same moment as the last piece of the response, and the event loop
    keeps no order among such timers: the end came first. What was pushed first must arrive first.
    """

    async def run() -> list[int]:
        arrived: list[int] = []
        links = FallingDelays()
        direction = DelayedDirection(links, Machine(CLIENT, 0, 0), Machine(DISPATCHER, 0, 0))  # type: ignore[arg-type]
        for number in range(PIECES):
            direction.push(arrived.append, number)
        await wait_until(lambda: len(arrived) == PIECES)
        return arrived

    assert asyncio.run(run()) == list(range(PIECES))
