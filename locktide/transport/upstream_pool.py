"""Connections to workers: opened when needed, kept for the next dispatch, closed before a worker would."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from locktide.config.start import Address, spelled
from locktide.protocol.client_connection import (
    ClientHttpConnection,
    ProtocolError,
    UpstreamRequest,
    UpstreamResponse,
)
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.streams import CountingStreamReader, DrainNotifyingProtocol, open_counted, reply_on

# Seconds in which a connection carries no further question after a reply that ended one. A worker may tell a
# reply twice, some milliseconds apart: the second was read as that to the next question, and a job that runs
# was taken for turned away. A 202 told twice only says of the next what is as good as so.
ECHO = 0.05
# In place of an outcome: what came back is no reply, or half of one. Its worker lives and may have taken it.
SPOILT = "spoilt"


class UpstreamConnection:
    """One connection to a worker, and its place; it carries one question at a time."""

    __slots__ = (
        "worker",
        "address",
        "reader",
        "writer",
        "outlet",
        "exchange",
        "connected",
        "kept",
        "rested_at",
        "read_by_then",
        "usable_at",
    )

    reader: CountingStreamReader
    writer: asyncio.StreamWriter
    outlet: DrainNotifyingProtocol

    def __init__(self, worker: str, address: Address) -> None:
        self.worker, self.address = worker, address
        self.exchange = ClientHttpConnection(spelled(address))
        self.connected = self.kept = False
        self.rested_at, self.read_by_then, self.usable_at = 0.0, 0, 0.0

    async def connect(self) -> None:
        self.reader, self.writer, self.outlet = await open_counted(*self.address)
        self.connected = True

    async def write(self, question: UpstreamRequest, whole: Callable[[], None]) -> None:
        """Calls `whole` once the kernel has its last byte: before that, it has not been sent."""
        transport = self.writer.transport
        self.outlet.taken = whole
        try:
            self.writer.writelines(self.exchange.encode_request(question))
            if not transport.is_closing() and not transport.get_write_buffer_size():
                whole()
            else:
                await self.writer.drain()
        finally:
            self.outlet.taken = None

    @property
    def fresh(self) -> bool:
        """Nothing has come since the last reply: neither an end nor what nobody asked for."""
        # Guards against a reply that is told twice: the second would be taken for that to the next question.
        quiet = not self.kept or self.reader.counted == self.read_by_then
        return quiet and not self.reader.at_eof() and not self.writer.is_closing()


class UpstreamPool:
    """Owns all connections to workers; `close` is the one place where one is given back."""

    def __init__(self, descriptors: DescriptorBudget, connect_within: int, idle_close: int) -> None:
        self.descriptors = descriptors
        self.set_spans(connect_within, idle_close)
        self.idle: dict[str, list[UpstreamConnection]] = {}  # by worker, rested longest first

    def set_spans(self, connect_within: int, idle_close: int) -> None:
        """Microseconds; connections at rest are judged by them from now on, too."""
        self.connect_within = connect_within / 1e6
        # Half: what we write must not cross the worker's own closing, however late either of us runs.
        self.idle_for = idle_close / 2e6

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        sent: Callable[[], None],
        fresh: bool = False,
    ) -> UpstreamResponse | str:
        """One question and its reply, or the outcome that took its place.

        `build` is called right before the first byte and gives None where nothing must go out any more;
        `sent` is called once the last byte is written. `fresh`: on a connection that comes up for it.
        Cancelled, it closes the connection.
        """
        try:
            connection = await self.open(worker, address, fresh)
        except OSError:
            return AttemptOutcome.NO_CONNECTION
        if connection is None:
            return AttemptOutcome.NEVER_SENT
        whole = False

        def written() -> None:
            nonlocal whole
            if not whole:
                whole = True
                sent()

        try:
            question = build()
            if question is None:
                return AttemptOutcome.NEVER_SENT
            await connection.write(question, written)
            reply = await reply_on(connection.reader, connection.exchange)
            if reply.status != 202:
                connection.usable_at = asyncio.get_running_loop().time() + ECHO
            return reply
        except (OSError, ProtocolError):
            if not whole:
                return AttemptOutcome.NO_CONNECTION
            if connection.exchange.has_received:
                return SPOILT
            # Guards against blaming a worker that has closed a kept connection before it would have to.
            return AttemptOutcome.CONNECTION_CLOSED if connection.kept else AttemptOutcome.RESET
        finally:
            self.rest(connection)

    async def open(self, worker: str, address: Address, fresh: bool) -> UpstreamConnection | None:
        """A connection that is at rest, else a new one; None where no place came free in time."""
        now = asyncio.get_running_loop().time()
        for connection in reversed([] if fresh else self.idle.get(worker, [])[:]):
            if connection.usable_at > now:
                continue
            self.idle[worker].remove(connection)
            self.descriptors.mark_busy(connection)
            if connection.fresh and connection.address == address:
                return connection
            self.close(connection)
        try:
            await asyncio.wait_for(self.descriptors.acquire(), self.connect_within)
        except TimeoutError:
            return None
        connection = UpstreamConnection(worker, address)
        try:
            await asyncio.wait_for(connection.connect(), self.connect_within)
        except BaseException:
            self.close(connection)
            raise
        return connection

    def rest(self, connection: UpstreamConnection) -> None:
        connection.kept = False  # what came up to here came for the question
        if not connection.exchange.is_idle or not connection.fresh:
            self.close(connection)
            return
        connection.kept, connection.read_by_then = True, connection.reader.counted
        connection.rested_at = asyncio.get_running_loop().time()
        self.idle.setdefault(connection.worker, []).append(connection)
        self.descriptors.mark_idle(connection, lambda: self.drop(connection))

    def drop(self, connection: UpstreamConnection) -> None:
        self.idle[connection.worker].remove(connection)
        self.close(connection)

    def close(self, connection: UpstreamConnection) -> None:
        self.descriptors.mark_busy(connection)
        if connection.connected:
            connection.writer.transport.abort()
        self.descriptors.release(connection)

    def close_idle(self, worker: str) -> None:
        """Closes what rests: the worker is gone, has moved, or has started anew."""
        for connection in self.idle.pop(worker, []):
            self.close(connection)

    def sweep(self) -> None:
        """Closes what has rested long enough or was closed by the worker."""
        before = asyncio.get_running_loop().time() - self.idle_for
        for connections in self.idle.values():
            for one in [one for one in connections if one.rested_at < before or not one.fresh]:
                self.drop(one)
