"""Makes calls to one address of discovery."""

from __future__ import annotations

import asyncio

from locktide.config.address import Address
from locktide.transport.discovery_call import Answer
from locktide.transport.discovery_connection import DiscoveryConnection


class DiscoveryClient:
    """Makes calls, and keeps a connection for the next one.

    Attributes:
        address: Address of discovery.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._idle_connection: DiscoveryConnection | None = None

    @property
    def has_connection(self) -> bool:
        """Whether the next call has an open connection."""
        return self._idle_connection is not None

    def call(self, version: int | None, wait_ms: int) -> asyncio.Task[Answer]:
        """Make a call; its task raises as `DiscoveryConnection` does.

        Args:
            version: The version whose changes are fetched; None for the whole list.
            wait_ms: How long discovery may wait for a change, in milliseconds.
        """
        connection, self._idle_connection = self._idle_connection, None
        return asyncio.create_task(self._exchange(connection, version, wait_ms))

    async def _exchange(
        self, connection: DiscoveryConnection | None, version: int | None, wait_ms: int
    ) -> Answer:
        """Make one call on a connection, which is opened if there is none."""
        if connection is None:
            connection = await DiscoveryConnection.open(self.address)
        try:
            return Answer(await connection.call(version, wait_ms), connection)
        except BaseException:  # also a cancellation
            connection.close()
            raise

    def keep(self, connection: DiscoveryConnection) -> None:
        """Keep a connection for the next call, if it can carry one and there is no other."""
        if connection.is_reusable and self._idle_connection is None:
            self._idle_connection = connection
        else:
            connection.close()

    def close(self) -> None:
        """Close the connection that is kept."""
        if self._idle_connection is not None:
            self._idle_connection.close()
