"""An accepted connection: its state, what is read and written on it, and how it is closed."""

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

#: Seconds for a message to come in complete, from the accept for the first, from its first byte for others;
#: and for a peer that has not proven itself to begin another. An honest client sends at once; any other is
#: owed a response or a close within 3 s of connecting, of which some may pass before it is accepted.
MESSAGE_TIMEOUT = 2.0
#: Seconds from its connect for which a newcomer is not closed for another one: its first message may be on
#: its way. The next one waits as long in the kernel's queue, which leaves most of its time to each.
NEWCOMER_GRACE = 0.05
#: Seconds for the peer to take a response; clients read as it comes.
WRITE_TIMEOUT = 10.0
#: Seconds for the transport to report that it is closed, before it is aborted.
CLOSE_TIMEOUT = 1.0
#: Turns of the event loop in which bytes that have come reach the reader: the poll, then the stream.
PENDING_READ_TURNS = 2


class ConnectionState(Enum):
    """The stage of a connection; `docs/design/endings.md` says what is owed in each."""

    RECEIVING = "receiving"  # a message is on its way in, or may be
    IDLE = "idle"  # between two messages
    SERVING = "serving"  # a message is complete and its response is not written
    LINGERING = "lingering"  # our side is shut: what comes is read, dropped and never forwarded
    CLOSED = "closed"


class PeerRole(Enum):
    """Who is at the other side, as far as it has shown."""

    NEWCOMER = "newcomer"  # it has sent neither a request that could be accepted nor a callback
    CLIENT = "client"
    WORKER = "worker"  # it has sent a callback


class ClientConnection:
    """An accepted connection, without knowledge of what its messages mean.

    Attributes:
        http: Parses what is read and encodes what is written.
        state: Its stage; changed by `enter` alone.
        peer: Who is at the other side.
        pending_read: The read that is under way, or whose bytes were not consumed yet.
        stored_bytes: Bytes of its messages that are kept, as counted in the listener's sum.
        consumed_bytes: Bytes fed to `http` since the start.
        linger_timer: Closes it after its lingering.
        message_due: When the message that is coming in must be complete, in seconds of the event loop.
        evictable_at: From when on it may be closed as a newcomer for another one, in seconds of the loop.
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
        self.message_due = self.now() + MESSAGE_TIMEOUT
        # Time in the kernel's queue counts: what came meanwhile is read at once, and a flood that is accepted
        # late does not hold up those behind it once more.
        self.evictable_at = self.now() - self.time_since_data() + NEWCOMER_GRACE

    def enter(self, state: ConnectionState) -> None:
        """Change the state, unless our side is shut: from there the only way leads to CLOSED."""
        is_ending = self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED)
        if not is_ending or state is ConnectionState.CLOSED:
            self.state = state

    @property
    def is_proven(self) -> bool:
        """Whether the peer has shown that it is a client or a worker."""
        return self.peer is not PeerRole.NEWCOMER

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed on it, and its peer would send again what crosses its close."""
        is_quiet = self.protocol.received_bytes == self.consumed_bytes and not self.protocol.has_ended
        return self.state is ConnectionState.IDLE and self.is_proven and is_quiet

    def time_since_data(self) -> float:
        """Return how long ago bytes last came to this machine, in seconds; 0.0 where the system does not say.

        Before any have come, that is the time since the connect.
        """
        return time_since_data(self.writer.get_extra_info("socket")) / MICROSECONDS_PER_SECOND

    def data_received_at(self) -> float:
        """Return when the last bytes came to this machine, in seconds of the event loop, as far as known."""
        return min(self.protocol.fed_at, self.now() - self.time_since_data())

    def mark_client(self) -> None:
        """Record that the peer has sent what a client sends."""
        if self.peer is PeerRole.NEWCOMER:
            self.peer = PeerRole.CLIENT

    @staticmethod
    def now() -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def restart_message_timeout(self) -> None:
        """Give the next message its full time to come in."""
        self.message_due = self.now() + MESSAGE_TIMEOUT

    def read(self) -> asyncio.Task[bytes]:
        """Return the read that is under way, or a new one: it outlives the wait for a response."""
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(self.protocol.reader.read(READ_SIZE))
        return self.pending_read

    async def wait_readable(self, seconds: float | None) -> bool:
        """Wait so many seconds, or as long as it takes; return whether bytes or the end have come."""
        done, _ = await asyncio.wait([self.read()], timeout=seconds)
        if done:
            return True
        # The process may have been held up past the timeout: what came meanwhile came in time.
        for _ in range(PENDING_READ_TURNS):
            await asyncio.sleep(0)
        return self.read().done()

    def consume(self) -> bytes:
        """Feed what the finished read has brought, and return it; b"" at the end of the stream."""
        assert self.pending_read is not None
        data = self.pending_read.result()
        self.pending_read = None
        if data:
            self.consumed_bytes += len(data)
            self.http.feed(data)
        return data

    def store(self, size: int) -> bool:
        """Record how many bytes are kept for this connection; return whether that is within the limit."""
        self.context.stored_bytes += size - self.stored_bytes
        self.stored_bytes = size
        return not size or self.context.stored_bytes <= self.context.max_stored_bytes

    async def write(self, response: Response) -> None:
        """Write a response; raise OSError where the peer has gone, TimeoutError where it does not read."""
        is_final = self.context.stopping and self.peer is not PeerRole.WORKER
        self.writer.writelines(
            self.http.encode_response(response.status, response.body, response.headers, is_final)
        )
        await asyncio.wait_for(self.writer.drain(), WRITE_TIMEOUT)
        self.restart_message_timeout()

    def mark_idle(self) -> None:
        """Allow the budget to close this connection for another."""
        evictable_at = 0.0 if self.is_proven else self.evictable_at
        self.context.descriptors.mark_idle(self, self.writer.close, self.is_proven, evictable_at)

    def mark_busy(self) -> None:
        """Forbid the budget to close this connection for another."""
        self.context.descriptors.mark_busy(self)

    def half_close(self, seconds: float) -> None:
        """End our side, and close the connection after so many seconds, or once its descriptor is needed.

        What comes from now on is read and dropped: left unread at the close, it would make the kernel reset
        the connection, and the reset would take what the peer has not read of our last response.
        """
        if self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED):
            return
        self.enter(ConnectionState.LINGERING)
        self.store(0)
        self.protocol.is_discarding = True
        with suppress(OSError, RuntimeError):  # the other side has ended it altogether
            self.writer.write_eof()
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        self.context.descriptors.mark_idle(self, self.writer.close, proven=False)
        self.linger_timer = asyncio.get_running_loop().call_later(seconds, self.writer.close)

    async def linger(self, seconds: float) -> None:
        """End our side, then read to the other side's end: the one way in which we end a connection."""
        self.half_close(seconds)
        with suppress(OSError):
            while await self.read():
                self.pending_read = None

    async def close(self) -> None:
        """Close the connection and release what it has taken, but for its descriptor."""
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
