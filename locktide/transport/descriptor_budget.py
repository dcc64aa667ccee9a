"""The budget of open sockets: a connection takes a descriptor before it opens, and returns it once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass
from itertools import islice

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


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """An idle connection that may be closed for another one.

    Attributes:
        connection: The connection.
        close: Closes it for another one.
        evictable_at: From when on that may be, in seconds of the event loop.
        number: Counts how often connections became idle.
    """

    connection: Hashable
    close: Callable[[], None]
    evictable_at: float
    number: int


class DescriptorBudget:
    """A number of descriptors for connections.

    Where none is free, the connection that has been idle longest is closed for the next one, first of those
    that have not proven themselves: a flood of newcomers displaces only newcomers. While each of these is so
    new that its first message may be on its way, the next one waits.

    One is evicted for each that waits, and no more. An eviction takes some turns of the loop, and connections
    become idle meanwhile, as each does that was just opened: evicted as well, they were closed with their
    first message unread (test_one_connection_is_evicted_for_each_that_waits_and_no_more).

    Attributes:
        limit: How many descriptors there are.
        used: How many are in use.
        idle_unproven: The idle connections that have not proven themselves, idle longest first.
        idle_proven: The other idle connections, idle longest first.
        idle_count: How often connections became idle.
        waiting: One future for each connection that waits for a descriptor, the first one first.
        evicted: Connections that were closed for others and have not returned their descriptors yet.
        eviction: The eviction under way.
        eviction_timer: Starts the next eviction, once a connection may be evicted that is too new now.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.idle_unproven: dict[Hashable, EvictionCandidate] = {}
        self.idle_proven: dict[Hashable, EvictionCandidate] = {}
        self.idle_count = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.evicted: set[Hashable] = set()
        self.eviction: asyncio.Task[None] | None = None
        self.eviction_timer: asyncio.TimerHandle | None = None

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

    def mark_idle(
        self, connection: Hashable, close: Callable[[], None], proven: bool = True, evictable_at: float = 0.0
    ) -> None:
        """Record that a connection may be closed for another one.

        Args:
            connection: The connection.
            close: Closes it.
            proven: Whether its peer has shown that it is a client or a worker.
            evictable_at: From when on it may be closed, in seconds of the event loop; at once by default.
        """
        self.idle_count += 1
        idle = self.idle_proven if proven else self.idle_unproven
        idle[connection] = EvictionCandidate(connection, close, evictable_at, self.idle_count)
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

    def wanted(self) -> int:
        """Return how many connections are to be evicted: one for each that waits."""
        return sum(not place.done() for place in self.waiting) - len(self.evicted)

    async def evict(self) -> None:
        """Close an idle connection for each that waits, or wait until one may be closed."""
        try:
            last_number = 0
            while self.wanted() > 0 and self.idle_count > last_number:
                last_number = self.idle_count
                # A connection may be closed only after what has come was read: else a request is lost that
                # was at the socket before the eviction
                # (test_message_that_has_come_is_read_before_an_eviction). What becomes idle meanwhile has
                # not been read in turn, and is left to the next round.
                await run_pending_reads()
                self.close_idle(last_number)
        finally:
            self.eviction = None
        if self.wanted() > 0:
            self.schedule_next_eviction()

    def candidates(self) -> Collection[EvictionCandidate]:
        """Return the idle connections of which one may be closed, idle longest first."""
        return (self.idle_unproven or self.idle_proven).values()

    def close_idle(self, last_number: int) -> None:
        """Close an idle connection for each that waits, of those that became idle up to that number."""
        now = asyncio.get_running_loop().time()
        evictable = (
            idle for idle in self.candidates() if idle.evictable_at <= now and idle.number <= last_number
        )
        for idle in list(islice(evictable, max(0, self.wanted()))):
            self.mark_busy(idle.connection)
            self.evicted.add(idle.connection)
            idle.close()

    def schedule_next_eviction(self) -> None:
        """Set a timer for when the first of the connections that are too new now may be evicted."""
        candidates = self.candidates()
        if not candidates or self.eviction_timer is not None:
            return
        evictable_at = min(idle.evictable_at for idle in candidates)
        self.eviction_timer = asyncio.get_running_loop().call_at(evictable_at, self.evict_after_wait)

    def evict_after_wait(self) -> None:
        """Start the eviction for which the timer was set."""
        self.eviction_timer = None
        if self.waiting:
            self.schedule_eviction()
