"""Streams to workers and to discovery: opens them and reads responses from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from locktide.config.address import Address
from locktide.protocol.client_connection import ClientHttpConnection, UpstreamResponse

#: Bytes of one read from discovery or a worker.
READ_SIZE = 65536


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes that arrive, whether they are read or not.

    Attributes:
        received_bytes: Number of bytes that have arrived.
    """

    received_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Count and buffer bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `on_drained` in the same loop turn in which the kernel takes the last byte that was written.

    `StreamWriter.drain` returns some turns later. The end of the connection or a cancellation in the same
    turn would be handled first, and a message that the worker has received completely would count as never
    sent (test_attempt_is_sent_in_the_loop_turn_in_which_the_kernel_takes_its_last_byte).
    """

    on_drained: Callable[[], None] | None = None

    def resume_writing(self) -> None:
        """Handle that the write buffer is empty."""
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()


async def open_upstream(
    address: Address,
) -> tuple[CountingStreamReader, asyncio.StreamWriter, DrainNotifyingProtocol]:
    """Open a stream as asyncio.open_connection does; raise OSError.

    The reader counts its bytes. The write limit of the transport is 0: a write is drained only once the
    kernel has taken every byte.
    """
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(limit=READ_SIZE, loop=loop)
    protocol = DrainNotifyingProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    transport.set_write_buffer_limits(high=0)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol


async def read_response(reader: asyncio.StreamReader, http: ClientHttpConnection) -> UpstreamResponse:
    """Read until a response is complete; raise OSError, or ProtocolError if it is cut off."""
    response = None
    while response is None:
        response = http.feed(await reader.read(READ_SIZE))
    return response
