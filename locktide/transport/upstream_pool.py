"""The pool of connections to workers: opens them on demand, reuses them, closes them before workers do."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from locktide.config.address import Address
from locktide.protocol.client_connection import UpstreamRequest
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.errors import ConnectError, NoDescriptorError
from locktide.transport.idle_connections import IdleConnections
from locktide.transport.interfaces import SendResult
from locktide.transport.units import MICROSECONDS_PER_SECOND
from locktide.transport.upstream_connection import UpstreamConnection
from locktide.transport.upstream_exchange import exchange

#: An idle connection is closed here after this fraction of the time for which a worker keeps it: a request
#: must not cross the worker's own close, even if either side is late.
IDLE_TIMEOUT_FRACTION = 0.5


class UpstreamPool:
    """Owns all connections to workers; only `close` releases the descriptor of a connection.

    Attributes:
        descriptors: Budget of these connections.
        idle: The idle connections.
        not_reused: Workers to which no connection is kept idle.
        connect_timeout: Timeout for opening a connection, and for the wait for its descriptor, in seconds.
        idle_timeout: How long a connection may be idle, in seconds.
    """

    def __init__(self, descriptors: DescriptorBudget, connect_within: int, idle_close: int) -> None:
        """Create a pool without connections; the times are those of `set_timeouts`."""
        self.descriptors = descriptors
        self.idle = IdleConnections()
        self.not_reused: set[str] = set()
        self.set_timeouts(connect_within, idle_close)

    def set_timeouts(self, connect_within: int, idle_close: int) -> None:
        """Set the timeouts; they apply to connections that are idle already as well.

        Args:
            connect_within: Timeout for opening a connection, in microseconds.
            idle_close: How long a worker keeps an idle connection, in microseconds.
        """
        self.connect_timeout = connect_within / MICROSECONDS_PER_SECOND
        self.idle_timeout = IDLE_TIMEOUT_FRACTION * idle_close / MICROSECONDS_PER_SECOND

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        on_sent: Callable[[], None],
        on_new_connection: bool = False,
    ) -> SendResult:
        """Send a request; see `RequestSender.send`."""
        try:
            connection = await self._acquire(worker, address, on_new_connection)
        except NoDescriptorError:
            return AttemptOutcome.NEVER_SENT
        except ConnectError:
            return AttemptOutcome.NO_CONNECTION
        try:
            return await exchange(connection, build, on_sent)
        finally:
            self._give_back(connection)

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker that is gone, has a new address or has restarted."""
        for connection in self.idle.remove_worker(worker):
            self.close(connection)

    def stop_reuse(self, worker: str) -> None:
        """Close the idle connections to a worker that drains, and others as soon as they become idle.

        A connection may carry a cancellation or wait for a late response when the idle ones are closed
        (test_connection_that_becomes_idle_at_a_draining_worker_is_closed).
        """
        self.not_reused.add(worker)
        self.close_idle(worker)

    def allow_reuse(self, worker: str) -> None:
        """Keep idle connections to a worker that is ready."""
        self.not_reused.discard(worker)

    def close_expired(self) -> None:
        """Close the idle connections that have expired or were closed by the worker."""
        now = asyncio.get_running_loop().time()
        for connection in self.idle.expired(now - self.idle_timeout):
            self._close_one_idle(connection)

    def close(self, connection: UpstreamConnection) -> None:
        """Close a connection that is not idle, and release its descriptor."""
        self.descriptors.mark_busy(connection)
        connection.abort()
        self.descriptors.release(connection)

    async def _acquire(self, worker: str, address: Address, on_new_connection: bool) -> UpstreamConnection:
        """Return an idle connection, or a new one if there is none or `on_new_connection` is set.

        Raises:
            NoDescriptorError: No descriptor became free in time.
            ConnectError: The new connection could not be established.
        """
        connection = None if on_new_connection else self._take_idle(worker, address)
        return connection or await self._open(worker, address)

    async def _open(self, worker: str, address: Address) -> UpstreamConnection:
        """Return a new connection; raise as `_acquire` does."""
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self.descriptors.acquire()
        except TimeoutError as error:
            raise NoDescriptorError(worker) from error
        connection = UpstreamConnection(worker, address)
        try:
            async with asyncio.timeout(self.connect_timeout):
                await connection.connect()
        except BaseException as error:  # also on cancellation: the descriptor is released in any case
            self.close(connection)
            if isinstance(error, OSError):
                raise ConnectError(worker, address) from error
            raise
        return connection

    def _take_idle(self, worker: str, address: Address) -> UpstreamConnection | None:
        """Return the last used idle connection that is usable; close unusable ones found on the way."""
        now = asyncio.get_running_loop().time()
        for connection in self.idle.reusable(worker, now):
            self.idle.remove(connection)
            self.descriptors.mark_busy(connection)
            if connection.is_quiet and connection.address == address:
                return connection
            self.close(connection)
        return None

    def _give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, or close it if it cannot carry one."""
        if not connection.end_exchange() or connection.worker in self.not_reused:
            self.close(connection)
            return
        connection.become_idle()
        self.idle.add(connection)
        self.descriptors.mark_idle(connection, lambda: self._close_one_idle(connection))

    def _close_one_idle(self, connection: UpstreamConnection) -> None:
        self.idle.remove(connection)
        self.close(connection)
