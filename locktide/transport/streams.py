"""What the drivers have in common: how much is read at once, and a reply read to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from locktide.protocol.client_connection import ClientHttpConnection, UpstreamResponse

READ = 65536


class SharedBufferProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader by way of a buffer that all connections share, a little at a time.

    Guards the memory: by itself asyncio reads up to 256 KiB at once from each of hundreds of connections.
    What comes once `discarding` is set is read, so that the sender gets on, and kept nowhere.

    `at_end` is called in the very turn in which the other side's end or a reset is seen, before anything that
    this turn begins: who reads the stream hears of it some turns of the loop later.
    """

    READ = 8192  # a usual message is a tenth of this
    little, much = memoryview(bytearray(READ)), memoryview(bytearray(READ * 8))

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(limit=self.READ)
        self.discarding = self.ended = False
        self.came = 0  # bytes that were fed to the reader, read or not
        self.at_end: Callable[[], None] | None = None
        super().__init__(self.reader)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.much if self.discarding else self.little

    def buffer_updated(self, nbytes: int) -> None:
        if not self.discarding:
            self.came += nbytes
            self.reader.feed_data(bytes(self.little[:nbytes]))

    def eof_received(self) -> bool | None:
        self.end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self.end()
        super().connection_lost(exc)

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            if self.at_end is not None:
                self.at_end()


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes that come in, read or not."""

    counted = 0

    def feed_data(self, data: Any) -> None:
        self.counted += len(data)
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `taken` in the very turn in which the kernel takes the last byte that was written.

    Guards against learning it later than an end or a cancellation of the same turn: whether a message was
    whole decides whether it may have run.
    """

    taken: Callable[[], None] | None = None

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.taken is not None:
            self.taken()


async def open_counted(
    host: str, port: int
) -> tuple[CountingStreamReader, asyncio.StreamWriter, DrainNotifyingProtocol]:
    """As asyncio.open_connection, with a reader that counts, and writes that wait in no buffer of ours."""
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(limit=READ, loop=loop)
    protocol = DrainNotifyingProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    transport.set_write_buffer_limits(high=0)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol


async def reply_on(reader: asyncio.StreamReader, exchange: ClientHttpConnection) -> UpstreamResponse:
    reply = None
    while reply is None:
        reply = exchange.feed(await reader.read(READ))
    return reply
