"""Streams to workers and to discovery: opening them, and reading responses from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from locktide.config.address import Address
from locktide.protocol.client_connection import ClientHttpConnection, UpstreamResponse

#: Bytes read at once from discovery and from workers.
READ_SIZE = 65536


class CountingStreamReader(asyncio.StreamReader):
    """Counts the bytes that come in, read or not.

    Attributes:
        received_bytes: How many bytes have come in.
    """

    received_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Take bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class DrainNotifyingProtocol(asyncio.StreamReaderProtocol):
    """Calls `on_drained` in the very loop turn in which the kernel takes the last byte that was written.

    `StreamWriter.drain` returns some turns later. An end or a cancellation of the same turn would come first,
    and a message that the worker has whole would count as never sent
    (test_attempt_is_sent_in_the_loop_turn_in_which_the_kernel_takes_its_last_byte).
    """

    on_drained: Callable[[], None] | None = None

    def resume_writing(self) -> None:
        """Take the notice that the write buffer is empty."""
        super().resume_writing()
        if self.on_drained is not None:
            self.on_drained()


async def open_upstream(
    address: Address,
) -> tuple[CountingStreamReader, asyncio.StreamWriter, DrainNotifyingProtocol]:
    """Open a stream as asyncio.open_connection does; raise OSError.

    Its reader counts, and what is written waits in no buffer of this process: once the buffer of the
    transport is empty, the kernel has every byte.
    """
    loop = asyncio.get_running_loop()
    reader = CountingStreamReader(limit=READ_SIZE, loop=loop)
    protocol = DrainNotifyingProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    transport.set_write_buffer_limits(high=0)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol


async def read_response(reader: asyncio.StreamReader, http: ClientHttpConnection) -> UpstreamResponse:
    """Read until a response is complete; raise OSError, or ProtocolError where it breaks off."""
    response = None
    while response is None:
        response = http.feed(await reader.read(READ_SIZE))
    return response
