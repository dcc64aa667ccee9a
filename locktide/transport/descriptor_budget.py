"""The budget of open sockets: each connection takes a place before it opens and gives it back once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

# Standard streams (3), the loop's own (3), the listening socket, the one just accepted, the watch and its
# successor; the rest for those that are closed but not yet given up by the loop.
APART = 16
# Rounds of the loop from bytes at a socket until their connection no longer counts as at rest: the poll, the
# stream, the read, the wait for it, the conversation; and one more.
READ_FIRST = 6


async def read_first() -> None:
    """Lets all be read that has come by now: the word to close takes a shorter way than bytes do."""
    for _ in range(READ_FIRST):
        await asyncio.sleep(0)


def divide(descriptors: int) -> tuple[DescriptorBudget, DescriptorBudget]:
    """Clients' part and workers' part. A worker connection serves one dispatch after another, a client's is
    held for as long as the submission runs: so three in four go to clients."""
    clients = (descriptors - APART) * 3 // 4
    return DescriptorBudget(clients), DescriptorBudget(descriptors - APART - clients)


class DescriptorBudget:
    """So many places. At the edge the connection that has rested longest is closed for the next one, of those
    that have not proven themselves first: a flood of newcomers displaces none but newcomers.

    One is evicted for each that waits, and none beside: an eviction takes some rounds of the loop, and what
    came to rest meanwhile, as does each that was just opened, was closed with its first message unread.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        # How each idle connection is closed, longest first: those not proven, then the others.
        self.unproven: dict[Any, Callable[[], None]] = {}
        self.resting: dict[Any, Callable[[], None]] = {}
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.evicted: set[Any] = set()  # told to close, and their places not given back yet
        self.evicting: asyncio.Task[None] | None = None

    async def acquire(self) -> None:
        while self.used >= self.limit:
            place = asyncio.get_running_loop().create_future()
            self.waiting.append(place)
            self.evict_soon()
            try:
                await place
            except asyncio.CancelledError:
                if not place.cancelled():
                    self.wake()  # it was ours and goes to the next
                raise
        self.used += 1

    def release(self, connection: Any) -> None:
        self.used -= 1
        self.mark_busy(connection)
        self.evicted.discard(connection)
        self.wake()

    def wake(self) -> None:
        while self.waiting:
            place = self.waiting.popleft()
            if not place.done():
                place.set_result(None)
                return

    def mark_idle(self, connection: Any, close: Callable[[], None], proven: bool = True) -> None:
        (self.resting if proven else self.unproven)[connection] = close
        if self.waiting:
            self.evict_soon()

    def mark_busy(self, connection: Any) -> None:
        self.resting.pop(connection, None)
        self.unproven.pop(connection, None)

    def evict_soon(self) -> None:
        if self.evicting is None:
            self.evicting = asyncio.create_task(self.evict())

    async def evict(self) -> None:
        try:
            # Guards against closing one in the turn in which its message comes.
            await read_first()
            wanted = sum(not place.done() for place in self.waiting) - len(self.evicted)
            for _ in range(wanted):
                if ranks := self.unproven or self.resting:
                    connection = next(iter(ranks))
                    close = ranks.pop(connection)
                    self.evicted.add(connection)
                    close()
        finally:
            self.evicting = None
