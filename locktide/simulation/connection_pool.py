"""Connections on which a stand-in asks: kept, one question at a time, opened when all are busy."""

from __future__ import annotations

import asyncio

from locktide.protocol.client_connection import ClientHttpConnection, UpstreamRequest, UpstreamResponse
from locktide.protocol.errors import ProtocolError
from locktide.simulation.backend import Address, Backend
from locktide.simulation.model.network import Machine

READ = 65536


class IdleConnection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self.reader, self.writer = reader, writer
        self.exchange = ClientHttpConnection(host)
        self.kept = False

    @property
    def fresh(self) -> bool:
        return self.exchange.is_idle and not self.reader.at_eof() and not self.writer.is_closing()

    async def ask(self, question: UpstreamRequest) -> UpstreamResponse:
        """Raises Broken or OSError where the connection ends before the reply is whole."""
        self.writer.writelines(self.exchange.encode_request(question))
        while (reply := self.exchange.feed(await self.reader.read(READ))) is None:
            pass
        return reply

    def close(self) -> None:
        self.writer.close()


class ClientConnectionPool:
    """Owns the connections from one machine to one dispatcher."""

    def __init__(self, host: Backend, here: Machine, there: Machine, address: Address) -> None:
        self.host, self.here, self.there, self.address = host, here, there, address
        self.idle: list[IdleConnection] = []
        self.all: dict[IdleConnection, None] = {}

    async def take(self, anew: bool = False) -> IdleConnection:
        """Raises OSError where none can be opened."""
        while self.idle and not anew:
            line = self.idle.pop()
            if line.fresh:
                line.kept = True
                return line
            self.drop(line)
        reader, writer = await self.host.connect(self.here, self.there, self.address)
        line = IdleConnection(reader, writer, "{}:{}".format(*self.address))
        self.all[line] = None
        return line

    def give_back(self, line: IdleConnection) -> None:
        if line.fresh:
            self.idle.append(line)
        else:
            self.drop(line)

    def drop(self, line: IdleConnection) -> None:
        self.all.pop(line, None)
        line.close()

    def close(self, reset: bool = False) -> None:
        self.idle.clear()
        for line in list(self.all):
            if reset:
                self.host.reset(line.writer.transport)
            self.drop(line)


__all__ = ["ClientConnectionPool", "IdleConnection", "ProtocolError", "UpstreamRequest", "UpstreamResponse"]
