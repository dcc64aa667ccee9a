"""An accepted connection: its state, reads and writes on it, and how it is closed."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from locktide.protocol.server_connection import ServerHttpConnection
from locktide.transport.client_stream import READ_SIZE, SharedBufferProtocol
from locktide.transport.connection_context import ConnectionContext
from locktide.transport.interfaces import Response
from locktide.transport.kernel_queue import time_since_data
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Seconds in which a message must be received completely: the first from the accept, a later one from its
#: first byte; also the time in which a peer that has not proven itself must begin another message. An honest
#: client sends at once; any other client must get a response or a close within 3 s of connecting, and part of
#: these 3 s may pass before the connection is accepted.
MESSAGE_TIMEOUT = 2.0
#: Seconds after its connect in which a newcomer is not closed to free its descriptor, as its first message
#: may be on its way. The next connection waits as long in the kernel's queue, which leaves each connection
#: most of its time.
NEWCOMER_GRACE = 0.05
#: Seconds in which the peer must read a response; clients read it as it arrives.
WRITE_TIMEOUT = 10.0
#: Seconds in which the transport must report that it is closed, before it is aborted.
CLOSE_TIMEOUT = 1.0
#: Turns of the event loop until bytes that have arrived reach the reader: the poll, then the stream.
PENDING_READ_TURNS = 2


class ConnectionState(Enum):
    """The stage of a connection; `docs/design/endings.md` lists the duties at each stage."""

    RECEIVING = "receiving"  # a message is being received, or may be on its way
    IDLE = "idle"  # between two messages
    SERVING = "serving"  # a message is complete and its response is not written yet
    LINGERING = "lingering"  # our side is shut: bytes that arrive are read and dropped
    CLOSED = "closed"


class PeerRole(Enum):
    """Who the peer is, as far as its messages have shown."""

    NEWCOMER = "newcomer"  # it has sent neither an acceptable request nor a callback
    CLIENT = "client"
    WORKER = "worker"  # it has sent a callback


class ClientConnection:
    """An accepted connection; does not interpret its messages.

    Attributes:
        http: Parses the bytes that are read and encodes the responses.
        state: Its stage; changed only by `enter`.
        peer: Who the peer is.
        pending_read: The read that is in progress, or whose bytes are not consumed yet.
        stored_bytes: Bytes of its messages that are stored; part of the listener's sum.
        consumed_bytes: Bytes fed to `http` so far.
        linger_timer: Closes the connection at the end of its lingering.
        message_deadline: When the current message must be received completely, in seconds of the event loop.
        evictable_at: When it may be closed as a newcomer to free its descriptor, in seconds of the event
            loop.
    """

    def __init__(
        self, context: ConnectionContext, protocol: SharedBufferProtocol, writer: asyncio.StreamWriter
    ) -> None:
        self.context = context
        self.protocol = protocol
        self.writer = writer
        self.http = ServerHttpConnection(context.timeouts, context.keyed_classes, context.keeps_jobs)
        self.state = ConnectionState.RECEIVING
        self.peer = PeerRole.NEWCOMER
        self.pending_read: asyncio.Task[bytes] | None = None
        self.stored_bytes = 0
        self.consumed_bytes = 0
        self.linger_timer: asyncio.TimerHandle | None = None
        self.message_deadline = self.now() + MESSAGE_TIMEOUT
        # Time in the kernel's queue counts: bytes that arrived meanwhile are read at once, and a flood of
        # connections that is accepted late does not delay those behind it a second time.
        self.evictable_at = self.now() - self.time_since_data() + NEWCOMER_GRACE

    def enter(self, state: ConnectionState) -> None:
        """Change the state; once our side is shut, only to CLOSED."""
        is_ending = self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED)
        if not is_ending or state is ConnectionState.CLOSED:
            self.state = state

    @property
    def is_proven(self) -> bool:
        """Whether the peer has shown that it is a client or a worker."""
        return self.peer is not PeerRole.NEWCOMER

    @property
    def is_idle(self) -> bool:
        """Whether no response is due here and the peer would resend a message that crosses a close."""
        return self.state is ConnectionState.IDLE and self.is_proven and self._is_quiet

    @property
    def is_awaiting_bytes(self) -> bool:
        """Return whether no message is complete here, and no bytes have arrived that might complete one."""
        return self.state in (ConnectionState.IDLE, ConnectionState.RECEIVING) and self._is_quiet

    @property
    def is_ending_idle(self) -> bool:
        """Return whether the connection ends as soon as it is idle, since the process stops.

        A client could use an idle connection up to the kill, too late for a response.
        """
        return self.context.is_stopping and self.peer is PeerRole.CLIENT

    @property
    def _is_quiet(self) -> bool:
        """Whether every byte that has arrived is consumed, and the peer has not ended its side."""
        return self.protocol.received_bytes == self.consumed_bytes and not self.protocol.has_ended

    def time_since_data(self) -> float:
        """Return how long ago bytes last arrived at this machine, in seconds; 0.0 if the system does not say.

        Before any bytes have arrived, return the time since the connect.
        """
        return time_since_data(self.writer.get_extra_info("socket")) / MICROSECONDS_PER_SECOND

    def data_received_at(self) -> float:
        """Return when the last bytes arrived here, as far as known, in seconds of the event loop."""
        return min(self.protocol.last_fed_at, self.now() - self.time_since_data())

    def mark_client(self) -> None:
        """Record that the peer has sent a client's message."""
        if self.peer is PeerRole.NEWCOMER:
            self.peer = PeerRole.CLIENT

    @staticmethod
    def now() -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def restart_message_timeout(self) -> None:
        """Give the next message its full time to be received."""
        self.message_deadline = self.now() + MESSAGE_TIMEOUT

    def read(self) -> asyncio.Task[bytes]:
        """Return the pending read, or start one; a read may outlast the wait for a response."""
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(self.protocol.reader.read(READ_SIZE))
        return self.pending_read

    async def wait_readable(self, seconds: float | None) -> bool:
        """Wait that many seconds, or without limit if None; return whether bytes or the end have arrived."""
        done, _ = await asyncio.wait([self.read()], timeout=seconds)
        if done:
            return True
        # The process may have been held up past the timeout: bytes that arrived meanwhile count as in time.
        for _ in range(PENDING_READ_TURNS):
            await asyncio.sleep(0)
        return self.read().done()

    def consume(self) -> bytes:
        """Feed the bytes of the finished read to `http` and return them; b"" at the end of the stream."""
        assert self.pending_read is not None
        data = self.pending_read.result()
        self.pending_read = None
        if data:
            self.consumed_bytes += len(data)
            self.http.feed(data)
        return data

    def store(self, size: int) -> bool:
        """Record how many bytes this connection stores; return whether the total is within the limit."""
        self.context.stored_bytes += size - self.stored_bytes
        self.stored_bytes = size
        return not size or self.context.stored_bytes <= self.context.max_stored_bytes

    async def write(self, response: Response) -> None:
        """Write a response; raise OSError if the peer is gone, TimeoutError if it does not read."""
        is_final = self.context.is_stopping and self.peer is not PeerRole.WORKER
        self.writer.writelines(
            self.http.encode_response(response.status, response.body, response.headers, is_final)
        )
        async with asyncio.timeout(WRITE_TIMEOUT):
            await self.writer.drain()
        self.restart_message_timeout()

    def mark_idle(self) -> None:
        """Allow the budget to close this connection to free its descriptor."""
        evictable_at = 0.0 if self.is_proven else self.evictable_at
        self.context.descriptors.mark_idle(self, self.writer.close, self.is_proven, evictable_at)

    def mark_busy(self) -> None:
        """Forbid the budget to close this connection to free its descriptor."""
        self.context.descriptors.mark_busy(self)

    def half_close(self, seconds: float) -> None:
        """Shut our side, and close the connection after that many seconds or once its descriptor is needed.

        Bytes that arrive from now on are read and dropped: unread bytes at the close would make the kernel
        reset the connection, and the peer would lose the part of our last response that it has not read.
        """
        if self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED):
            return
        self.enter(ConnectionState.LINGERING)
        self.store(0)
        self.protocol.is_discarding = True
        with suppress(OSError, RuntimeError):  # the peer has closed the connection
            self.writer.write_eof()
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        self.context.descriptors.mark_idle(self, self.writer.close, is_proven=False)
        self.linger_timer = asyncio.get_running_loop().call_later(seconds, self.writer.close)

    async def linger(self, seconds: float) -> None:
        """Shut our side, then read until the peer ends its side; every orderly close works this way."""
        self.half_close(seconds)
        with suppress(OSError):
            while await self.read():
                self.pending_read = None

    async def close(self) -> None:
        """Close the connection and release its resources except for the descriptor."""
        self.enter(ConnectionState.CLOSED)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.mark_busy()
        self.store(0)
        if self.pending_read is not None:
            self.pending_read.cancel()
        self.writer.close()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(CLOSE_TIMEOUT):
                await self.writer.wait_closed()
        self.writer.transport.abort()
