"""The stream protocol of accepted connections: shares a read buffer and reports the end at once."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

#: Bytes of one read; a typical message has a tenth of this.
READ_SIZE = 8192
#: Bytes of one read from a connection whose input is discarded: the rest of a large message should be read
#: quickly.
DISCARD_SIZE = 8 * READ_SIZE


class SharedBufferProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader in small pieces, through a buffer that all connections share.

    By default asyncio reads up to 256 KiB at once from each connection: hundreds of connections that send at
    full speed would exhaust the memory of the process
    (test_early_response_outlives_a_large_body_and_nothing_of_it_is_stored).

    Attributes:
        reader: The stream reader that is fed.
        is_discarding: Whether bytes that arrive are dropped; they are still read, so that the sender
            continues.
        has_ended: Whether the peer's end of stream or a reset was seen.
        received_bytes: Number of bytes fed to the reader, whether it has returned them or not.
        last_fed_at: When bytes were last fed to the reader, in seconds of the event loop.
        on_end: Called in the same loop turn in which the peer's end of stream or a reset is seen, before any
            work that this turn starts; the code that reads the stream is notified some turns later.
    """

    read_buffer = memoryview(bytearray(READ_SIZE))
    discard_buffer = memoryview(bytearray(DISCARD_SIZE))

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(limit=READ_SIZE)
        self.is_discarding = False
        self.has_ended = False
        self.received_bytes = 0
        self.last_fed_at = math.inf
        self.on_end: Callable[[], None] | None = None
        super().__init__(self.reader)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's interface
        """Return the shared buffer for the next read of the transport."""
        return self.discard_buffer if self.is_discarding else self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the bytes that the transport has read into the shared buffer."""
        if not self.is_discarding:
            self.received_bytes += nbytes
            self.last_fed_at = asyncio.get_running_loop().time()
            self.reader.feed_data(bytes(self.read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Handle the end of the peer's stream."""
        self.notify_end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self.notify_end()
        super().connection_lost(exc)

    def notify_end(self) -> None:
        """Record the end and call `on_end`, the first time only."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.on_end is not None:
            self.on_end()
