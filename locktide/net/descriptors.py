"""The budget of open sockets: each connection takes a place before it opens and gives it back once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

# Standard streams (3), the loop's own (3), the listening socket, the one just accepted, the watch and its
# successor; the rest for those that are closed but not yet given up by the loop.
APART = 16


def divide(descriptors: int) -> tuple[DescriptorBudget, DescriptorBudget]:
    """Clients' part and workers' part. A worker connection serves one dispatch after another, a client's is
    held for as long as the submission runs: so three in four go to clients."""
    clients = (descriptors - APART) * 3 // 4
    return DescriptorBudget(clients), DescriptorBudget(descriptors - APART - clients)


class DescriptorBudget:
    """So many places. At the edge the connection that has rested longest is closed for the next one, of those
    that have not proven themselves first: a flood of newcomers displaces none but newcomers."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        # How each idle connection is closed, longest first: those not proven, then the others.
        self.unproven: dict[Any, Callable[[], None]] = {}
        self.resting: dict[Any, Callable[[], None]] = {}
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def acquire(self) -> None:
        while self.used >= self.limit:
            if ranks := self.unproven or self.resting:
                ranks.pop(next(iter(ranks)))()
                if self.used < self.limit:
                    break
            place = asyncio.get_running_loop().create_future()
            self.waiting.append(place)
            try:
                await place
            except asyncio.CancelledError:
                if not place.cancelled():
                    self.wake()  # it was ours and goes to the next
                raise
        self.used += 1

    def release(self) -> None:
        self.used -= 1
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
            self.mark_busy(connection)
            close()

    def mark_busy(self, connection: Any) -> None:
        self.resting.pop(connection, None)
        self.unproven.pop(connection, None)
