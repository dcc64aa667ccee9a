"""Connections to workers: opened when needed, reused for the next request, closed before a worker would."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from locktide.config.address import Address, format_address
from locktide.protocol.client_connection import ClientHttpConnection, UpstreamRequest, UpstreamResponse
from locktide.protocol.errors import ProtocolError
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import SendResult, TransportFailure
from locktide.transport.streams import (
    CountingStreamReader,
    DrainNotifyingProtocol,
    open_upstream,
    read_response,
)

# Seconds in which a connection carries no further request after a response that ended an attempt. A worker
# may send a response twice, some milliseconds apart: the second was read as that to the next request, and a
# job that runs was taken for rejected. A 202 sent twice only says of the next what is as good as so.
DUPLICATE_RESPONSE_WINDOW = 0.05


class CallOnce:
    """Passes on the first of its calls, and notes that it came."""

    __slots__ = ("callback", "was_called")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.was_called = False

    def __call__(self) -> None:
        """Calls the callback, the first time."""
        if not self.was_called:
            self.was_called = True
            self.callback()


class UpstreamConnection:
    """A connection to a worker, which carries one request at a time.

    Attributes:
        worker: Name of the worker.
        address: Its address.
        http: Encodes requests and parses responses.
        is_connected: Whether it has come up.
        is_reused: Whether it has carried a request before this one.
        idle_since: When it became idle, in seconds of the event loop.
        received_when_idle: How many bytes had come in by then.
        reusable_at: When it may carry the next request, in seconds of the event loop.
    """

    __slots__ = (
        "worker",
        "address",
        "reader",
        "writer",
        "protocol",
        "http",
        "is_connected",
        "is_reused",
        "idle_since",
        "received_when_idle",
        "reusable_at",
    )

    reader: CountingStreamReader
    writer: asyncio.StreamWriter
    protocol: DrainNotifyingProtocol

    def __init__(self, worker: str, address: Address) -> None:
        self.worker = worker
        self.address = address
        self.http = ClientHttpConnection(format_address(address))
        self.is_connected = False
        self.is_reused = False
        self.idle_since = 0.0
        self.received_when_idle = 0
        self.reusable_at = 0.0

    async def connect(self) -> None:
        """Opens the connection; raises OSError."""
        self.reader, self.writer, self.protocol = await open_upstream(*self.address)
        self.is_connected = True

    async def write(self, request: UpstreamRequest, on_written: Callable[[], None]) -> None:
        """Writes a request, and calls `on_written` once the kernel has its last byte; raises OSError.

        Before that call the request has not been sent.
        """
        transport = self.writer.transport
        self.protocol.on_drained = on_written
        try:
            self.writer.writelines(self.http.encode_request(request))
            if not transport.is_closing() and not transport.get_write_buffer_size():
                on_written()
            else:
                await self.writer.drain()
        finally:
            self.protocol.on_drained = None

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has come since the last response: neither an end nor bytes without a request."""
        # Guards against a response that is sent twice: the second would be taken for that to the next
        # request.
        nothing_came = not self.is_reused or self.reader.received_bytes == self.received_when_idle
        return nothing_came and not self.reader.at_eof() and not self.writer.is_closing()


class UpstreamPool:
    """Owns all connections to workers; `close` is the one place where one is given back.

    Attributes:
        descriptors: Budget of these connections.
        idle: Idle connections by worker, idle longest first.
    """

    def __init__(self, descriptors: DescriptorBudget, connect_within: int, idle_close: int) -> None:
        """Begins without connections; for the times see `set_spans`."""
        self.descriptors = descriptors
        self.set_spans(connect_within, idle_close)
        self.idle: dict[str, list[UpstreamConnection]] = {}

    def set_spans(self, connect_within: int, idle_close: int) -> None:
        """Sets the timeouts; connections that are idle are judged by them from now on, too.

        Args:
            connect_within: How long a connection may take to come up, in microseconds.
            idle_close: How long a worker keeps an idle connection, in microseconds.
        """
        self.connect_timeout = connect_within / 1e6
        # Half: what we write must not cross the worker's own closing, however late either of us runs.
        self.idle_timeout = idle_close / 2e6

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        sent: Callable[[], None],
        fresh: bool = False,
    ) -> SendResult:
        """Sends a request; returns its response, or what became of it in place of one.

        Cancelled, it closes the connection.

        Args:
            worker: Name of the worker.
            address: Its address.
            build: Called right before the first byte; returns None where nothing must go out any more.
            sent: Called once the last byte is written.
            fresh: Whether to send it on a new connection.
        """
        try:
            connection = await self.open(worker, address, fresh)
        except OSError:
            return AttemptOutcome.NO_CONNECTION
        if connection is None:
            return AttemptOutcome.NEVER_SENT
        on_written = CallOnce(sent)
        try:
            request = build()
            if request is None:
                return AttemptOutcome.NEVER_SENT
            await connection.write(request, on_written)
            return await self.receive(connection)
        except (OSError, ProtocolError):
            if not on_written.was_called:
                return AttemptOutcome.NO_CONNECTION
            return self.classify_failure(connection)
        finally:
            self.give_back(connection)

    @staticmethod
    async def receive(connection: UpstreamConnection) -> UpstreamResponse:
        """Reads the response; raises OSError or ProtocolError."""
        response = await read_response(connection.reader, connection.http)
        if response.status != 202:
            now = asyncio.get_running_loop().time()
            connection.reusable_at = now + DUPLICATE_RESPONSE_WINDOW
        return response

    @staticmethod
    def classify_failure(connection: UpstreamConnection) -> AttemptOutcome | TransportFailure:
        """Returns what became of a request that was sent on a connection that broke before its response."""
        if connection.http.has_received:
            return TransportFailure.INVALID_RESPONSE
        # Guards against blaming a worker that has closed an idle connection before it would have to.
        return AttemptOutcome.CONNECTION_CLOSED if connection.is_reused else AttemptOutcome.RESET

    async def open(self, worker: str, address: Address, fresh: bool) -> UpstreamConnection | None:
        """Returns an idle connection, else a new one; None where no place came free in time.

        Raises:
            OSError: It did not come up.
        """
        connection = None if fresh else self.take_idle(worker, address)
        if connection is not None:
            return connection
        try:
            await asyncio.wait_for(self.descriptors.acquire(), self.connect_timeout)
        except TimeoutError:
            return None
        connection = UpstreamConnection(worker, address)
        try:
            await asyncio.wait_for(connection.connect(), self.connect_timeout)
        except BaseException:
            self.close(connection)
            raise
        return connection

    def take_idle(self, worker: str, address: Address) -> UpstreamConnection | None:
        """Returns the idle connection used last, and closes those met that cannot be used any more."""
        now = asyncio.get_running_loop().time()
        for connection in reversed(self.idle.get(worker, [])[:]):
            if connection.reusable_at > now:
                continue
            self.idle[worker].remove(connection)
            self.descriptors.mark_busy(connection)
            if connection.is_quiet and connection.address == address:
                return connection
            self.close(connection)
        return None

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keeps a connection for the next request, or closes it where it cannot carry one."""
        connection.is_reused = False  # what came up to here came for the request
        if not connection.http.is_idle or not connection.is_quiet:
            self.close(connection)
            return
        connection.is_reused = True
        connection.received_when_idle = connection.reader.received_bytes
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.setdefault(connection.worker, []).append(connection)
        self.descriptors.mark_idle(connection, lambda: self.close_one_idle(connection))

    def close_one_idle(self, connection: UpstreamConnection) -> None:
        """Closes a connection that is idle."""
        self.idle[connection.worker].remove(connection)
        self.close(connection)

    def close(self, connection: UpstreamConnection) -> None:
        """Closes a connection that is not idle and gives back its place."""
        self.descriptors.mark_busy(connection)
        if connection.is_connected:
            connection.writer.transport.abort()
        self.descriptors.release(connection)

    def close_idle(self, worker: str) -> None:
        """Closes a worker's idle connections: it is gone, has moved, or has restarted."""
        for connection in self.idle.pop(worker, []):
            self.close(connection)

    def close_expired(self) -> None:
        """Closes the connections that were idle long enough or were closed by the worker."""
        expiry = asyncio.get_running_loop().time() - self.idle_timeout
        for connections in self.idle.values():
            for connection in connections[:]:
                if connection.idle_since < expiry or not connection.is_quiet:
                    self.close_one_idle(connection)
