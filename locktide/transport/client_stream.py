"""The stream protocol of accepted connections: one shared read buffer, and the end seen at once."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

#: Bytes read at once; a usual message is a tenth of this.
READ_SIZE = 8192
#: Bytes read and dropped at once from a connection whose input is discarded: the rest of a large message
#: should be over soon.
DISCARD_SIZE = 8 * READ_SIZE


class SharedBufferProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader by way of a buffer that all connections share, a little at a time.

    By itself asyncio reads up to 256 KiB at once from each connection: hundreds that send at full speed would
    take the memory of the process (test_early_response_outlives_a_large_body_and_nothing_of_it_is_stored).

    Attributes:
        reader: The stream reader that is fed.
        is_discarding: Set once what comes is to be read, so that the sender gets on, and kept nowhere.
        has_ended: Whether the other side's end or a reset was seen.
        received_bytes: How many bytes were fed to the reader, read or not.
        fed_at: When the last of them were, in seconds of the event loop.
        on_end: Called in the very loop turn in which the other side's end or a reset is seen, before anything
            that this turn begins: who reads the stream learns of it some turns later.
    """

    read_buffer = memoryview(bytearray(READ_SIZE))
    discard_buffer = memoryview(bytearray(DISCARD_SIZE))

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(limit=READ_SIZE)
        self.is_discarding = False
        self.has_ended = False
        self.received_bytes = 0
        self.fed_at = math.inf
        self.on_end: Callable[[], None] | None = None
        super().__init__(self.reader)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's interface
        """Return the shared buffer, into which the transport reads next."""
        return self.discard_buffer if self.is_discarding else self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has read into the shared buffer."""
        if not self.is_discarding:
            self.received_bytes += nbytes
            self.fed_at = asyncio.get_running_loop().time()
            self.reader.feed_data(bytes(self.read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Take the end of the other side's stream."""
        self.notify_end()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        self.notify_end()
        super().connection_lost(exc)

    def notify_end(self) -> None:
        """Record the end, and call `on_end` the first time."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.on_end is not None:
            self.on_end()
