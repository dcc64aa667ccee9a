"""The budget of open sockets: a connection takes a place before it opens and gives it back once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable

# Standard streams (3), the loop's own (3), the listening socket, the one just accepted, the watch and its
# successor; the rest for those that are closed but not yet given up by the loop.
RESERVED_DESCRIPTORS = 16
# Rounds of the loop from bytes at a socket until their connection no longer counts as idle: the poll, the
# stream, the read, the wait for it, the session; and one more.
READ_ROUNDS = 6


async def run_pending_reads() -> None:
    """Lets all be read that has come by now: the call to close takes a shorter way than bytes do."""
    for _ in range(READ_ROUNDS):
        await asyncio.sleep(0)


def split_descriptors(descriptors: int) -> tuple[DescriptorBudget, DescriptorBudget]:
    """Divides a process's descriptors into the budget of clients and that of workers.

    A worker connection serves one attempt after another, a client's is held for as long as the request runs:
    so three in four go to clients.
    """
    clients = (descriptors - RESERVED_DESCRIPTORS) * 3 // 4
    return DescriptorBudget(clients), DescriptorBudget(descriptors - RESERVED_DESCRIPTORS - clients)


class DescriptorBudget:
    """A number of places for connections.

    Where none is free, the connection that has been idle longest is closed for the next one, of those that
    have not proven themselves first: a flood of newcomers displaces none but newcomers.

    One is evicted for each that waits, and none beside: an eviction takes some rounds of the loop, and what
    became idle meanwhile, as does each that was just opened, was closed with its first message unread.

    Attributes:
        limit: How many places there are.
        used: How many are taken.
        waiting: One future for each connection that waits for a place, the first one first.
        evicted: Connections that were closed for others and have not given back their places yet.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        # How each idle connection is closed, idle longest first: those not proven, then the others.
        self.idle_unproven: dict[Hashable, Callable[[], None]] = {}
        self.idle_proven: dict[Hashable, Callable[[], None]] = {}
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.evicted: set[Hashable] = set()
        self.eviction: asyncio.Task[None] | None = None

    async def acquire(self) -> None:
        """Takes a place, once there is one."""
        while self.used >= self.limit:
            place = asyncio.get_running_loop().create_future()
            self.waiting.append(place)
            self.schedule_eviction()
            try:
                await place
            except asyncio.CancelledError:
                if not place.cancelled():
                    self.wake_next()  # it was ours and goes to the next
                raise
        self.used += 1

    def release(self, connection: Hashable) -> None:
        """Gives back the place of a connection that is closed."""
        self.used -= 1
        self.mark_busy(connection)
        self.evicted.discard(connection)
        self.wake_next()

    def wake_next(self) -> None:
        """Lets the first that still waits try to take a place."""
        while self.waiting:
            place = self.waiting.popleft()
            if not place.done():
                place.set_result(None)
                return

    def mark_idle(self, connection: Hashable, close: Callable[[], None], proven: bool = True) -> None:
        """Notes that a connection may be closed for another one, by calling `close`."""
        (self.idle_proven if proven else self.idle_unproven)[connection] = close
        if self.waiting:
            self.schedule_eviction()

    def mark_busy(self, connection: Hashable) -> None:
        """Notes that a connection may not be closed for another one."""
        self.idle_proven.pop(connection, None)
        self.idle_unproven.pop(connection, None)

    def schedule_eviction(self) -> None:
        """Starts an eviction where none is under way."""
        if self.eviction is None:
            self.eviction = asyncio.create_task(self.evict())

    async def evict(self) -> None:
        """Closes an idle connection for each that waits."""
        try:
            # Guards against closing one in the turn in which its message comes.
            await run_pending_reads()
            wanted = sum(not place.done() for place in self.waiting) - len(self.evicted)
            for _ in range(wanted):
                if candidates := self.idle_unproven or self.idle_proven:
                    connection = next(iter(candidates))
                    close = candidates.pop(connection)
                    self.evicted.add(connection)
                    close()
        finally:
            self.eviction = None
