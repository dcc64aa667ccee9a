"""One connection to a worker, which carries one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from locktide.config.address import Address, format_address
from locktide.protocol.client_connection import ClientHttpConnection, UpstreamRequest, UpstreamResponse
from locktide.transport.upstream_stream import (
    CountingStreamReader,
    DrainNotifyingProtocol,
    open_upstream,
    read_response,
)

#: Seconds for which a connection is not reused after a response that ended an attempt. A worker may send a
#: response twice, some milliseconds apart: the second would be read as the response to the next request, and
#: a running job would count as rejected (test_connection_is_not_reused_while_its_response_may_be_sent_twice).
#: A 202 needs no such delay: if it is read as the response to the next job, it says that this job may run,
#: which is true.
DUPLICATE_RESPONSE_WINDOW = 0.05


class UpstreamConnection:
    """A connection to a worker.

    Attributes:
        worker: Name of the worker.
        address: Its address.
        http: Encodes requests and parses responses.
        is_connected: Whether it was established.
        is_reused: Whether it has carried a request before the current one.
        idle_since: When it became idle, in seconds of the event loop.
        received_when_idle: Number of bytes that had arrived when it became idle.
        reusable_at: When it may carry the next request, in seconds of the event loop.
    """

    __slots__ = (
        "worker",
        "address",
        "reader",
        "writer",
        "protocol",
        "http",
        "is_connected",
        "is_reused",
        "idle_since",
        "received_when_idle",
        "reusable_at",
    )

    reader: CountingStreamReader
    writer: asyncio.StreamWriter
    protocol: DrainNotifyingProtocol

    def __init__(self, worker: str, address: Address) -> None:
        self.worker = worker
        self.address = address
        self.http = ClientHttpConnection(format_address(address))
        self.is_connected = False
        self.is_reused = False
        self.idle_since = 0.0
        self.received_when_idle = 0
        self.reusable_at = 0.0

    async def connect(self) -> None:
        """Open the connection; raise OSError."""
        self.reader, self.writer, self.protocol = await open_upstream(self.address)
        self.is_connected = True

    async def write(self, request: UpstreamRequest, on_written: Callable[[], None]) -> None:
        """Write a request, and call `on_written` once the kernel has taken its last byte; raise OSError.

        Until that call the request does not count as sent.
        """
        transport = self.writer.transport
        self.protocol.on_drained = on_written
        try:
            self.writer.writelines(self.http.encode_request(request))
            if not transport.is_closing() and not transport.get_write_buffer_size():
                on_written()
            else:
                await self.writer.drain()
        finally:
            self.protocol.on_drained = None

    async def read_response(self) -> UpstreamResponse:
        """Read the response; raise OSError or ProtocolError."""
        response = await read_response(self.reader, self.http)
        if response.status != HTTPStatus.ACCEPTED:
            self.reusable_at = asyncio.get_running_loop().time() + DUPLICATE_RESPONSE_WINDOW
        return response

    @property
    def is_quiet(self) -> bool:
        """Whether the connection is open and has received no bytes while it carried no request.

        Bytes that arrived while it was idle may be a duplicate response, which would be taken for the
        response to the next request
        (test_response_sent_twice_is_not_taken_for_the_response_to_the_next_request).
        """
        has_received_nothing = not self.is_reused or self.reader.received_bytes == self.received_when_idle
        return has_received_nothing and not self.reader.at_eof() and not self.writer.is_closing()

    def end_exchange(self) -> bool:
        """End the current exchange; return whether the connection can carry another."""
        self.is_reused = False  # bytes received up to now belong to the request
        return self.http.is_idle and self.is_quiet

    def become_idle(self) -> None:
        """Record that the connection is idle from now on."""
        self.is_reused = True
        self.received_when_idle = self.reader.received_bytes
        self.idle_since = asyncio.get_running_loop().time()

    def abort(self) -> None:
        """Close the connection, if it was established."""
        if self.is_connected:
            self.writer.transport.abort()
