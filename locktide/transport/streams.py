"""Stream protocols of asyncio with what accepted and upstream connections need beyond them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from locktide.protocol.client_connection import ClientHttpConnection, UpstreamResponse

READ_SIZE = 65536  # bytes read at once from discovery and from workers


class SharedBufferProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader by way of a buffer that all connections share, a little at a time.

    Guards the memory: by itself asyncio reads up to 256 KiB at once from each of hundreds of connections.

    Attributes:
        reader: The stream reader that is fed.
        is_discarding: Set once what comes is to be read, so that the sender gets on, and kept nowhere.
        has_ended: Whether the other side's end or a reset was seen.
        received_bytes: How many bytes were fed to the reader, read or not.
        on_end: Called in the very turn in which the other side's end or a reset is seen, before anything that
            this turn begins: who reads the stream learns of it some turns of the loop later.
    """

    READ_SIZE = 8192  # bytes; a usual message is a tenth of this
    read_buffer = memoryview(bytearray(READ_SIZE))
    discard_buffer = memoryview(bytearray(READ_SIZE * 8))

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(limit=self.READ_SIZE)
        self.is_discarding = False
        self.has_ended = False
        self.received_bytes = 0
        self.on_end: Callable[[], None] | None = None
        super().__init__(self.reader)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's interface
        """Returns the shared buffer, into which the transport reads next."""
        return self.discard_buffer if self.is_discarding else self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what the transport has read into the shared buffer."""
        if not self.is_discarding:
            self.received_bytes += nbytes
            self.reader.feed_data(bytes(self.read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Takes the end of the other side's stream."""
        self.notify_end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        self.notify_end()
        super().connection_lost(exc)

    def notify_end(self) -> None:
        """Notes the end, and calls `on_end` the first time."""
        if not self.has_ended:
            self.has_ended = True
            if self.on_end is not None:
                self.on_end()


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes that come in, read or not."""

    received_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Takes bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `on_drained` in the very turn in which the kernel takes the last byte that was written.

    Guards against learning it later than an end or a cancellation of the same turn: whether a message was
    complete decides whether it may have run.
    """

    on_drained: Callable[[], None] | None = None

    def resume_writing(self) -> None:
        """Notes that the write buffer is empty."""
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()


async def open_upstream(
    host: str, port: int
) -> tuple[CountingStreamReader, asyncio.StreamWriter, DrainNotifyingProtocol]:
    """As asyncio.open_connection, with a reader that counts, and writes that wait in no buffer of ours."""
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(limit=READ_SIZE, loop=loop)
    protocol = DrainNotifyingProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    transport.set_write_buffer_limits(high=0)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol


async def read_response(reader: asyncio.StreamReader, http: ClientHttpConnection) -> UpstreamResponse:
    """Reads until a response is complete; raises OSError, or ProtocolError where it breaks off."""
    response = None
    while response is None:
        response = http.feed(await reader.read(READ_SIZE))
    return response
