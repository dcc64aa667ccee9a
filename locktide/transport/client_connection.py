"""An accepted connection: its state, what is read and written on it, and how it is closed."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from typing import Protocol

from locktide.protocol.server_connection import ServerHttpConnection
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.log import Log
from locktide.transport.request_handler import RequestHandler, Response
from locktide.transport.streams import SharedBufferProtocol

__all__ = [
    "ClientConnection",
    "ConnectionContext",
    "ConnectionState",
    "PeerRole",
    "RequestHandler",
    "Response",
]

# Seconds for a message to come in whole, from the accept for the first, from its first byte for others, and
# for one that has not proven itself to send another. An honest client sends at once; a bad one is owed a
# response or a close within 3 s of connecting, of which some may go by before we get to it.
MESSAGE_TIMEOUT = 2.0
WRITE_TIMEOUT = 10.0  # seconds for the peer to take a response; clients read as it comes
CLOSE_TIMEOUT = 1.0  # seconds for the transport to report that it is closed, before it is aborted


class ConnectionContext(Protocol):
    """What all accepted connections share: the listener that accepted them.

    Attributes:
        descriptors: Budget of the accepted connections.
        timeouts: Timeout of each service class, in microseconds.
        keyed_classes: Service classes whose requests need an idempotency key.
        keeps_jobs: Whether clients may ask for the state of durable jobs.
        request_handler: Handles the messages.
        log: The log.
        waiting_clients: How many connections wait for the response to a submission.
        max_waiting_clients: How many may.
        stored_bytes: Bytes that are kept of messages, in part or whole.
        max_stored_bytes: How many may be.
        stopping: Whether connections end with their next response.
    """

    descriptors: DescriptorBudget
    timeouts: dict[str, int]
    keyed_classes: set[str]
    keeps_jobs: bool
    request_handler: RequestHandler
    log: Log
    waiting_clients: int
    max_waiting_clients: int
    stored_bytes: int
    max_stored_bytes: int
    stopping: bool


class ConnectionState(Enum):
    """The stage of a connection; `docs/design/endings.md` says what is owed in each."""

    RECEIVING = "receiving"  # a message is on its way in, or may be
    IDLE = "idle"  # between two messages
    SERVING = "serving"  # a message is complete and its response is not written
    LINGERING = "lingering"  # our side is shut: what comes is read, dropped and never sent on
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
        message_due: When the message that is coming in must be complete, in seconds of the event loop.
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
        self.stored_bytes = 0  # kept of messages, counted in the listener's sum
        self.consumed_bytes = 0  # fed to `http` since the start
        self.linger_timer: asyncio.TimerHandle | None = None
        self.message_due = self.now() + MESSAGE_TIMEOUT

    def enter(self, state: ConnectionState) -> None:
        """Changes the state, unless our side is shut: from there the only way leads to CLOSED."""
        is_ending = self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED)
        if not is_ending or state is ConnectionState.CLOSED:
            self.state = state

    @property
    def is_proven(self) -> bool:
        """Whether the peer has shown that it is a client or a worker."""
        return self.peer is not PeerRole.NEWCOMER

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed on it, and its peer would send anew what crosses its close."""
        is_quiet = self.protocol.received_bytes == self.consumed_bytes and not self.protocol.has_ended
        return self.state is ConnectionState.IDLE and self.is_proven and is_quiet

    def mark_client(self) -> None:
        """Notes that the peer has sent what a client sends."""
        if self.peer is PeerRole.NEWCOMER:
            self.peer = PeerRole.CLIENT

    @staticmethod
    def now() -> float:
        """Returns the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def restart_message_timeout(self) -> None:
        """Gives the next message its full time to come in."""
        self.message_due = self.now() + MESSAGE_TIMEOUT

    def read(self) -> asyncio.Task[bytes]:
        """Returns the read that is under way, or a new one: it outlives the wait for a response."""
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(
                self.protocol.reader.read(SharedBufferProtocol.READ_SIZE)
            )
        return self.pending_read

    async def wait_readable(self, seconds: float | None) -> bool:
        """Waits so many seconds, or as long as it takes; returns whether bytes or the end have come."""
        if (await asyncio.wait([self.read()], timeout=seconds))[0]:
            return True
        for _ in range(2):  # what came while we were held up is no fault of the client's
            await asyncio.sleep(0)
        return self.read().done()

    def consume(self) -> bytes:
        """Feeds what the finished read has brought, and returns it; b"" at the end of the stream."""
        assert self.pending_read is not None
        data, self.pending_read = self.pending_read.result(), None
        if data:
            self.consumed_bytes += len(data)
            self.http.feed(data)
        return data

    def store(self, size: int) -> bool:
        """Notes how many bytes are kept for this connection; returns whether there is room for them."""
        self.context.stored_bytes += size - self.stored_bytes
        self.stored_bytes = size
        return not size or self.context.stored_bytes <= self.context.max_stored_bytes

    async def write(self, response: Response) -> None:
        """Writes a response; raises OSError where the peer has gone, TimeoutError where it does not read."""
        is_final = self.context.stopping and self.peer is not PeerRole.WORKER
        self.writer.writelines(
            self.http.encode_response(response.status, response.body, response.headers, is_final)
        )
        await asyncio.wait_for(self.writer.drain(), WRITE_TIMEOUT)
        self.restart_message_timeout()

    def mark_idle(self) -> None:
        """Allows the budget to close this connection for another."""
        self.context.descriptors.mark_idle(self, self.writer.close, self.is_proven)

    def mark_busy(self) -> None:
        """Forbids the budget to close this connection for another."""
        self.context.descriptors.mark_busy(self)

    def half_close(self, seconds: float) -> None:
        """Ends our side, and closes the connection after so many seconds, or once its place is wanted.

        What comes from now on is read, so that it does not reset what we wrote last, and is never sent on.
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
        """Ends our side, then reads to the other side's end: the one way in which we end a connection."""
        self.half_close(seconds)
        with suppress(OSError):
            while await self.read():
                self.pending_read = None

    async def close(self) -> None:
        """Closes the connection and gives back what it holds, other than its place in the budget."""
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
