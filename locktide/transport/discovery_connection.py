"""A connection to discovery that carries one call for the endpoint list after another."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from locktide.config.address import Address, format_address
from locktide.protocol import discovery
from locktide.protocol.client_connection import ClientHttpConnection
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.protocol.errors import ProtocolError
from locktide.transport.upstream_stream import READ_SIZE, read_response

#: Seconds for opening a connection to discovery.
CONNECT_TIMEOUT = 0.5


class DiscoveryConnection:
    """An open connection to discovery."""

    def __init__(self, address: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._peer = format_address(address)
        self._reader = reader
        self._writer = writer
        self._http = ClientHttpConnection(self._peer, discovery.MAX_LIST_SIZE)

    @classmethod
    async def open(cls, address: Address) -> DiscoveryConnection:
        """Open a connection; raise OSError or TimeoutError."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=READ_SIZE)
        return cls(address, reader, writer)

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made."""
        return self._http.is_idle

    async def call(self, version: int | None, wait_ms: int) -> DiscoveryUpdate:
        """Make one call and return its update, however long that takes.

        Args:
            version: The version whose changes are fetched; None for the whole list.
            wait_ms: How long discovery may wait for a change, in milliseconds.

        Raises:
            OSError: The connection breaks.
            ProtocolError: The response is not an HTTP response with status 200.
            ValueError: The response contains no JSON.
            ConfigError: The response contains no endpoint list.
        """
        request = discovery.list_request(version, wait_ms)
        self._writer.writelines(self._http.encode_request(request))
        response = await read_response(self._reader, self._http)
        if response.status != HTTPStatus.OK:
            raise ProtocolError(f"status {response.status}", peer=self._peer)
        return discovery.parse(response.body)

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()
