"""The budget of open sockets: a connection takes a descriptor before it opens, and returns it once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable

#: Descriptors kept apart: standard streams (3), the loop's own (3), the listening socket, the one just
#: accepted, the watch and its successor; the rest for those that are closed but not yet released by the loop.
RESERVED_DESCRIPTORS = 16
#: Percentage of the other descriptors that is for clients: a connection to a worker serves one attempt after
#: another, a client's is in use for as long as its request runs.
CLIENT_PERCENTAGE = 75
#: Turns of the event loop from bytes at a socket until their connection no longer counts as idle: the poll,
#: the stream, the read, the wait for it, the session; and one more.
READ_TURNS = 6


async def run_pending_reads() -> None:
    """Let everything be read that has come by now: a call to close takes fewer turns than bytes do."""
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)


def split_descriptors(descriptors: int) -> tuple[DescriptorBudget, DescriptorBudget]:
    """Divide a process's descriptors into the budget of clients and that of workers."""
    available = descriptors - RESERVED_DESCRIPTORS
    clients = available * CLIENT_PERCENTAGE // 100
    return DescriptorBudget(clients), DescriptorBudget(available - clients)


class DescriptorBudget:
    """A number of descriptors for connections.

    Where none is free, the connection that has been idle longest is closed for the next one, first of those
    that have not proven themselves: a flood of newcomers displaces only newcomers.

    One is evicted for each that waits, and no more. An eviction takes some turns of the loop, and connections
    become idle meanwhile, as each does that was just opened: evicted as well, they were closed with their
    first message unread (test_one_connection_is_evicted_for_each_that_waits_and_no_more).

    Attributes:
        limit: How many descriptors there are.
        used: How many are in use.
        idle_unproven: How each idle connection that has not proven itself is closed, idle longest first.
        idle_proven: The same for the other idle connections.
        waiting: One future for each connection that waits for a descriptor, the first one first.
        evicted: Connections that were closed for others and have not returned their descriptors yet.
        eviction: The eviction under way.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.idle_unproven: dict[Hashable, Callable[[], None]] = {}
        self.idle_proven: dict[Hashable, Callable[[], None]] = {}
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.evicted: set[Hashable] = set()
        self.eviction: asyncio.Task[None] | None = None

    async def acquire(self) -> None:
        """Take a descriptor, once there is one."""
        while self.used >= self.limit:
            place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(place)
            self.schedule_eviction()
            try:
                await place
            except asyncio.CancelledError:
                if not place.cancelled():
                    self.wake_next()  # the descriptor was for this one, and is for the next now
                raise
        self.used += 1

    def release(self, connection: Hashable) -> None:
        """Return the descriptor of a connection that is closed."""
        self.used -= 1
        self.mark_busy(connection)
        self.evicted.discard(connection)
        self.wake_next()

    def wake_next(self) -> None:
        """Let the first that still waits take a descriptor."""
        while self.waiting:
            place = self.waiting.popleft()
            if not place.done():
                place.set_result(None)
                return

    def mark_idle(self, connection: Hashable, close: Callable[[], None], proven: bool = True) -> None:
        """Record that a connection may be closed for another one, by calling `close`."""
        idle = self.idle_proven if proven else self.idle_unproven
        idle[connection] = close
        if self.waiting:
            self.schedule_eviction()

    def mark_busy(self, connection: Hashable) -> None:
        """Record that a connection may not be closed for another one."""
        self.idle_proven.pop(connection, None)
        self.idle_unproven.pop(connection, None)

    def schedule_eviction(self) -> None:
        """Start an eviction where none is under way."""
        if self.eviction is None:
            self.eviction = asyncio.create_task(self.evict())

    async def evict(self) -> None:
        """Close an idle connection for each that waits."""
        try:
            # A connection may be closed only after what has come was read: else a request is lost that was at
            # the socket before the eviction (test_message_that_has_come_is_read_before_an_eviction).
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
