"""The budget of open sockets: a connection takes a descriptor before it opens and returns it once closed."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Hashable
from dataclasses import dataclass
from itertools import islice

#: Descriptors outside the budgets: standard streams (3), the event loop's own (3), the listening socket, the
#: connection just accepted, a watch of the endpoint list (two) and the calls that it awaits of earlier ones
#: (four); the rest is for connections that are closed but not yet released by the loop.
RESERVED_DESCRIPTORS = 16
#: Percentage of the remaining descriptors that is for clients: a connection to a worker carries one attempt
#: after another, while a client's connection is in use for as long as its request runs.
CLIENT_PERCENTAGE = 75
#: Turns of the event loop from the arrival of bytes at a socket until the connection no longer counts as
#: idle: the poll, the stream, the read, the wait for it, the session; and one more.
READ_TURNS = 6


async def run_pending_reads() -> None:
    """Wait until all bytes that have arrived by now are read.

    A close takes fewer turns of the event loop than bytes need to reach their reader.
    """
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)


def split_descriptors(descriptors: int) -> tuple[DescriptorBudget, DescriptorBudget]:
    """Divide the descriptors of a process into the budgets of clients and of workers."""
    available = descriptors - RESERVED_DESCRIPTORS
    clients = available * CLIENT_PERCENTAGE // 100
    return DescriptorBudget(clients), DescriptorBudget(available - clients)


@dataclass(frozen=True, slots=True)
class EvictionCandidate:
    """An idle connection that may be closed to free its descriptor.

    Attributes:
        connection: The connection.
        close: Closes it.
        evictable_at: When it may be closed at the earliest, in seconds of the event loop.
        number: Value of `DescriptorBudget.idle_count` when it became idle.
    """

    connection: Hashable
    close: Callable[[], None]
    evictable_at: float
    number: int


class DescriptorBudget:
    """A limited number of descriptors for connections.

    If no descriptor is free, the connection that has been idle longest is evicted (closed) for the next one.
    Connections that have not proven themselves are evicted first, so that a flood of newcomers displaces only
    newcomers. While each of these is so new that its first message may be on its way, the next connection
    waits.

    Exactly one connection is evicted for each connection that waits. An eviction takes some turns of the
    event loop, in which other connections become idle, for example those just opened: if these were evicted
    as well, they would be closed with their first message unread
    (test_one_connection_is_evicted_for_each_that_waits_and_no_more).

    Attributes:
        limit: Number of descriptors.
        used: Number of descriptors in use.
        idle_unproven: The idle connections that have not proven themselves, idle longest first.
        idle_proven: The other idle connections, idle longest first.
        idle_count: How many times a connection has become idle.
        waiting: One future for each connection that waits for a descriptor, in order of arrival.
        evicted: Evicted connections that have not released their descriptors yet.
        eviction: The task of the current eviction.
        eviction_timer: Starts the next eviction once a connection that is too new now may be evicted.
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
        """Take a descriptor; wait until one is free."""
        while self.used >= self.limit:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            self.schedule_eviction()
            try:
                await waiter
            except asyncio.CancelledError:
                if not waiter.cancelled():
                    self.wake_next()  # passes the descriptor on to the next one that waits
                raise
        self.used += 1

    def release(self, connection: Hashable) -> None:
        """Return the descriptor of a closed connection."""
        self.used -= 1
        self.mark_busy(connection)
        self.evicted.discard(connection)
        self.wake_next()

    def wake_next(self) -> None:
        """Wake the first connection that still waits for a descriptor."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def mark_idle(
        self,
        connection: Hashable,
        close: Callable[[], None],
        is_proven: bool = True,
        evictable_at: float = 0.0,
    ) -> None:
        """Record that a connection may be closed to free its descriptor.

        Args:
            connection: The connection.
            close: Closes it.
            is_proven: Whether its peer has shown that it is a client or a worker.
            evictable_at: When it may be closed at the earliest, in seconds of the event loop; at once by
                default.
        """
        self.idle_count += 1
        idle = self.idle_proven if is_proven else self.idle_unproven
        idle[connection] = EvictionCandidate(connection, close, evictable_at, self.idle_count)
        if self.waiting:
            self.schedule_eviction()

    def mark_busy(self, connection: Hashable) -> None:
        """Record that a connection must not be closed to free its descriptor."""
        self.idle_proven.pop(connection, None)
        self.idle_unproven.pop(connection, None)

    def schedule_eviction(self) -> None:
        """Start an eviction unless one is running."""
        if self.eviction is None:
            self.eviction = asyncio.create_task(self.evict())

    def missing_evictions(self) -> int:
        """Return how many more connections have to be evicted, so that there is one for each that waits."""
        return sum(not waiter.done() for waiter in self.waiting) - len(self.evicted)

    async def evict(self) -> None:
        """Evict an idle connection for each that waits; set a timer if those left are too new."""
        try:
            last_number = 0
            while self.missing_evictions() > 0 and self.idle_count > last_number:
                last_number = self.idle_count
                # A connection may be closed only after all bytes that have arrived are read: otherwise a
                # request that was at the socket before the eviction is lost
                # (test_message_that_has_come_is_read_before_an_eviction). Bytes on connections that become
                # idle meanwhile may still be unread; these connections are left to the next iteration.
                await run_pending_reads()
                self.close_idle(last_number)
        finally:
            self.eviction = None
        if self.missing_evictions() > 0:
            self.schedule_next_eviction()

    def candidates(self) -> Collection[EvictionCandidate]:
        """Return the idle connections from which the next is evicted, idle longest first."""
        return (self.idle_unproven or self.idle_proven).values()

    def close_idle(self, last_number: int) -> None:
        """Evict an idle connection for each that waits, only of those numbered up to `last_number`."""
        now = asyncio.get_running_loop().time()
        evictable = (
            idle for idle in self.candidates() if idle.evictable_at <= now and idle.number <= last_number
        )
        for idle in list(islice(evictable, max(0, self.missing_evictions()))):
            self.mark_busy(idle.connection)
            self.evicted.add(idle.connection)
            idle.close()

    def schedule_next_eviction(self) -> None:
        """Set a timer for the time at which the first of the too new connections may be evicted."""
        candidates = self.candidates()
        if not candidates or self.eviction_timer is not None:
            return
        evictable_at = min(idle.evictable_at for idle in candidates)
        self.eviction_timer = asyncio.get_running_loop().call_at(evictable_at, self.evict_on_timer)

    def evict_on_timer(self) -> None:
        """Start the eviction that the timer was set for."""
        self.eviction_timer = None
        if self.waiting:
            self.schedule_eviction()
