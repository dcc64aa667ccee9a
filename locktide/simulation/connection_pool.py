"""Connection pool of an emulated client: one request at a time per connection, opened when all are busy."""

from __future__ import annotations

import asyncio

from locktide.protocol.client_connection import ClientHttpConnection, UpstreamRequest, UpstreamResponse
from locktide.protocol.errors import ProtocolError
from locktide.simulation.backend import Address, Backend
from locktide.simulation.model.network import Machine

READ_SIZE = 65536


class IdleConnection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer = reader, writer
        self.exchange = ClientHttpConnection(host)
        self.is_reused = False

    @property
    def fresh(self) -> bool:
        return self.exchange.is_idle and not self.reader.at_eof() and not self.writer.is_closing()

    async def ask(self, question: UpstreamRequest) -> UpstreamResponse:
        """Send a request; raise ProtocolError or OSError if the connection ends before the response does."""
        self.writer.writelines(self.exchange.encode_request(question))
        while (reply := self.exchange.feed(await self.reader.read(READ_SIZE))) is None:
            pass
        return reply

    def close(self) -> None:
        self.writer.close()


class ClientConnectionPool:
    """The connections from one machine to one dispatcher."""

    def __init__(self, host: Backend, here: Machine, there: Machine, address: Address) -> None:
        self.host, self.here, self.there, self.address = host, here, there, address
        self.idle: list[IdleConnection] = []
        self.open_connections: dict[IdleConnection, None] = {}

    async def take(self, must_open: bool = False) -> IdleConnection:
        """Return an idle or a new connection; raise OSError if none can be opened."""
        while self.idle and not must_open:
            connection = self.idle.pop()
            if connection.fresh:
                connection.is_reused = True
                return connection
            self.drop(connection)
        reader, writer = await self.host.connect(self.here, self.there, self.address)
        connection = IdleConnection(reader, writer, "{}:{}".format(*self.address))
        self.open_connections[connection] = None
        return connection

    def give_back(self, connection: IdleConnection) -> None:
        if connection.fresh:
            self.idle.append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: IdleConnection) -> None:
        self.open_connections.pop(connection, None)
        connection.close()

    def close(self, reset: bool = False) -> None:
        self.idle.clear()
        for connection in list(self.open_connections):
            if reset:
                self.host.reset(connection.writer.transport)
            self.drop(connection)


__all__ = ["ClientConnectionPool", "IdleConnection", "ProtocolError", "UpstreamRequest", "UpstreamResponse"]
