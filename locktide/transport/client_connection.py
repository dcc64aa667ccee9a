"""One accepted connection: what comes in as messages, what goes out as answers, and how it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any, Protocol

from locktide.protocol import server_connection as clients
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.log import Log
from locktide.transport.streams import SharedBufferProtocol

# Seconds for a message to come in whole, from the accept for the first, from its first byte for others, and
# for one that has not proven itself to send another. An honest client sends at once; a bad one is owed a word
# or a close within 3 s of connecting, of which some may go by before we get to it.
WHOLE_WITHIN = 2.0
TAKEN_WITHIN = 10.0  # seconds for an answer to be taken off our hands; clients read as it comes
# Seconds in which what comes after our side is shut is read and dropped: closed sooner, what is under way
# would meet a reset, which can take the last answer with it. After an early answer the rest of its message
# comes: 60 MB take under one at a fifth of a core. Else no more than what crossed it, within a round trip.
DROPPED_FOR, LINGER_FOR = 3.5, 1.0


@dataclass(slots=True)
class Response:
    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class RequestHandler(Protocol):
    """Who takes what the server reads."""

    def is_ready(self) -> bool: ...

    def submit(self, message: clients.SubmitRequest) -> asyncio.Future[Response] | None:
        """The answer to come; None where a submission of that id is open, or was."""

    def client_disconnected(self, message: clients.SubmitRequest) -> None: ...

    def handle_callback(self, message: clients.Callback) -> Awaitable[None] | None:
        """Where it gives something to wait for, the caller is answered after that."""

    def query_job(self, message: clients.JobQuery) -> Response: ...


class ConnectionContext(Protocol):
    """What all connections share: the server that accepted them."""

    descriptors: DescriptorBudget
    timeouts: dict[str, int]
    keyed_classes: set[str]
    keeps_jobs: bool
    request_handler: RequestHandler
    log: Log
    waiting: int
    most_waiting: int
    stored: int
    most_stored: int
    stopping: bool


class ConnectionState(Enum):
    """What a connection is at; `docs/design/endings.md` says what is owed in each."""

    RECEIVING = "receiving"  # a message is on its way in, or may be
    AT_REST = "at rest"  # between two messages
    SERVING = "serving"  # a message is whole and its answer is not written
    LINGERING = "lingering"  # our side is shut: what comes is read, dropped and never sent on
    CLOSED = "closed"


class PeerRole(Enum):
    """Who is at the other side, as far as it has shown."""

    NEWCOMER = "newcomer"  # it has not yet handed in what could be taken, nor called back
    CLIENT = "client"
    WORKER = "worker"  # it calls back


class ClientConnection:
    """One accepted connection."""

    def __init__(
        self, server: ConnectionContext, inlet: SharedBufferProtocol, writer: asyncio.StreamWriter
    ) -> None:
        self.server, self.inlet, self.reader, self.writer = server, inlet, inlet.reader, writer
        self.talk = clients.ServerHttpConnection(server.timeouts, server.keyed_classes, server.keeps_jobs)
        self.reading: asyncio.Task[bytes] | None = None
        self.state, self.peer = ConnectionState.RECEIVING, PeerRole.NEWCOMER
        self.stored = self.taken = 0  # bytes that are kept, and that came in since the start
        self.linger_until: asyncio.TimerHandle | None = None
        self.due = self.now() + WHOLE_WITHIN  # when the message that is coming in must be whole

    def enter(self, state: ConnectionState) -> None:
        """The one place where its state changes; nothing leads back once our side is shut."""
        ending = self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED)
        if not ending or state is ConnectionState.CLOSED:
            self.state = state

    @property
    def proven(self) -> bool:
        return self.peer is not PeerRole.NEWCOMER

    @property
    def at_rest(self) -> bool:
        """Nothing is owed on it, and its peer would send anew what crosses its close."""
        quiet = self.inlet.came == self.taken and not self.inlet.ended
        return self.state is ConnectionState.AT_REST and self.proven and quiet

    def show_client(self) -> None:
        if self.peer is PeerRole.NEWCOMER:
            self.peer = PeerRole.CLIENT

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def read(self) -> asyncio.Task[bytes]:
        """The read that is going on, or a new one: it outlives the wait for an answer."""
        if self.reading is None:
            self.reading = asyncio.ensure_future(self.reader.read(SharedBufferProtocol.READ))
        return self.reading

    async def come(self, within: float | None) -> bool:
        """Whether something came in that time, or the end; without a time, waits for it."""
        if (await asyncio.wait([self.read()], timeout=within))[0]:
            return True
        for _ in range(2):  # what came while we were held up is no fault of the client's
            await asyncio.sleep(0)
        return self.read().done()

    def store(self, size: int) -> bool:
        """Notes how many bytes are kept for this connection; whether there is room for so many."""
        self.server.stored += size - self.stored
        self.stored = size
        return not size or self.server.stored <= self.server.most_stored

    def take(self) -> bytes:
        assert self.reading is not None
        data, self.reading = self.reading.result(), None
        if data:
            self.taken += len(data)
            self.talk.feed(data)
        return data

    async def converse(self) -> None:
        """Message after message, until one side ends it."""
        # So that a written answer is in the kernel's hands and no close cuts it short.
        self.writer.transport.set_write_buffer_limits(high=0)
        while not self.talk.is_final:
            message = self.talk.next_message()
            if message is None:
                if not await self.more():
                    return
                continue
            self.enter(ConnectionState.SERVING)
            if isinstance(message, clients.SubmitRequest):
                if not await self.submission(message):
                    return
            elif isinstance(message, clients.Callback):
                self.peer = PeerRole.WORKER
                taken = self.server.request_handler.handle_callback(message)
                if taken is not None:
                    await taken
                await self.write(Response(204))
            elif isinstance(message, clients.JobQuery):
                self.show_client()
                await self.write(self.server.request_handler.query_job(message))
            elif isinstance(message, clients.HealthQuery):
                good = not message.ready or self.server.request_handler.is_ready()
                await self.write(Response(200, b"ok\n") if good else Response(500, b"not ready\n"))
            else:
                await self.turn_away(message)
        await self.linger(LINGER_FOR)

    async def more(self) -> bool:
        """Waits for more of a message, as long as it takes if none has begun; whether there is more.

        Of those that have not proven themselves, none may rest or be half-way for long.
        """
        if self.talk.expects_continue():
            self.writer.writelines(self.talk.encode_continue())
        resting = self.talk.is_idle
        self.enter(ConnectionState.AT_REST if resting else ConnectionState.RECEIVING)
        if resting or not self.proven:
            self.server.descriptors.mark_idle(self, self.writer.close, self.proven)
        within = None if resting and self.proven else max(0.0, self.due - self.now())
        came = await self.come(within)
        self.server.descriptors.mark_busy(self)
        # Ended by us while at rest: what came all the same was not read, and is sent anew elsewhere.
        if self.writer.is_closing():
            return False
        if (
            self.state is ConnectionState.LINGERING or resting and not came
        ):  # the latter a newcomer that says nothing
            await self.linger(LINGER_FOR)
            return False
        if resting and self.proven:
            self.due = self.now() + WHOLE_WITHIN
        self.enter(ConnectionState.RECEIVING)
        if not came:
            await self.turn_away(clients.BadRequest(408, "half a message"), last=True)
            return False
        data = self.take()
        if not self.store(self.talk.buffered_bytes):
            stored = self.server.stored
            self.server.log.emit(
                f"clients: {stored} bytes stored, no room for more", event="no-room", stored=stored
            )
            await self.turn_away(clients.BadRequest(500, "no room"), last=True)
            return False
        return bool(data)

    async def turn_away(self, message: clients.BadRequest, last: bool = False) -> None:
        self.talk.is_final = self.talk.is_final or last
        self.server.log.emit(
            f"clients: not taken, {message.status}: {message.reason}",
            "clients",
            event="not-taken",
            status=message.status,
            reason=message.reason,
        )
        await self.write(Response(message.status, message.reason.encode() + b"\n"))
        if self.talk.is_final:
            await self.linger(DROPPED_FOR)

    async def submission(self, message: clients.SubmitRequest) -> bool:
        """Hands it in and waits for its answer, or for the client to go away."""
        if self.inlet.ended:
            return False  # it had gone before we came to read it: nothing is begun for it
        if self.server.waiting >= self.server.most_waiting:
            waiting = self.server.waiting
            self.server.log.emit(
                f"clients: {waiting} wait, no room for more, terminated", event="no-room", waiting=waiting
            )
            await self.write(Response(500, b"no room\n"))
            return True
        answer = self.server.request_handler.submit(message)
        if answer is None:
            await self.turn_away(clients.BadRequest(409, "this id is in use or was"))
            return True
        self.show_client()
        self.store(len(message.body))
        self.server.waiting += 1
        self.inlet.at_end = leave = partial(self.leave, message, answer)
        try:
            while not answer.done():
                first: list[asyncio.Future[Any]] = [answer, self.read()]
                await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    if not self.take():
                        return False
                    break  # a client hands in one at a time: what follows was meant as part of the first
            else:
                if answer.cancelled():
                    return False  # it has gone
                await self.write(answer.result())
                return True
        finally:
            self.server.waiting -= 1
            self.store(0)
            leave()
        await self.turn_away(clients.BadRequest(400, "something follows before the answer"), last=True)
        return False

    def leave(self, message: clients.SubmitRequest, answer: asyncio.Future[Response]) -> None:
        """Its client has gone, or we have given it up: nothing more is begun for it from this turn on."""
        if self.inlet.at_end is not None:
            self.inlet.at_end = None
            if not answer.done():
                self.server.request_handler.client_disconnected(message)

    async def write(self, answer: Response) -> None:
        last = self.server.stopping and self.peer is not PeerRole.WORKER
        self.writer.writelines(self.talk.encode_response(answer.status, answer.body, answer.headers, last))
        await asyncio.wait_for(self.writer.drain(), TAKEN_WITHIN)
        self.due = self.now() + WHOLE_WITHIN

    def shut(self, within: float) -> None:
        """Our side ends. What comes from now on is read, so that it does not reset what we wrote last, and
        never sent on; in so many seconds at the latest, or once its place is wanted, the connection closes.
        """
        if self.state in (ConnectionState.LINGERING, ConnectionState.CLOSED):
            return
        self.enter(ConnectionState.LINGERING)
        self.store(0)
        self.inlet.discarding = True
        with suppress(OSError, RuntimeError):  # the other side has ended it altogether
            self.writer.write_eof()
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        self.server.descriptors.mark_idle(self, self.writer.close, proven=False)
        self.linger_until = asyncio.get_running_loop().call_later(within, self.writer.close)

    async def linger(self, within: float) -> None:
        """The one way in which we end a connection: shut, then read to the other side's end."""
        self.shut(within)
        with suppress(OSError):
            while await self.read():
                self.reading = None

    async def close(self) -> None:
        self.enter(ConnectionState.CLOSED)
        if self.linger_until is not None:
            self.linger_until.cancel()
        self.server.descriptors.mark_busy(self)
        self.store(0)
        if self.reading is not None:
            self.reading.cancel()
        self.writer.close()
        with suppress(TimeoutError, OSError):
            async with asyncio.timeout(1.0):
                await self.writer.wait_closed()
        self.writer.transport.abort()
