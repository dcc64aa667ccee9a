"""Idle clients that fill the descriptors of every dispatcher, on loopback and in virtual time."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from random import Random
from typing import Any, Protocol

from locktide.simulation.backend import DISPATCHER_PORT
from soak.script import DESCRIPTOR_LIMIT
from soak.stage import SoakRunner

#: Idle clients for each descriptor of a dispatcher: more than the dispatcher can hold.
CLIENTS_PER_DESCRIPTOR = 1.5
#: Each round of connects opens one in so many of these clients.
REFILL_DIVISOR = 4
#: Seconds between two rounds of connects, and until the first of them.
RECONNECT_INTERVAL, FIRST_CONNECT_AFTER = 0.5, 1.0
#: Share of idle clients that send an incomplete message, and then stay connected without sending more.
INCOMPLETE_SHARE, INCOMPLETE_MESSAGE = 0.3, b"POST /view HTTP/1.1\r\nHost: us\r\nReq-"


class Closable(Protocol):
    """A connection of an idle client."""

    def close(self) -> Any: ...


class IdleClients:
    """Idle clients that connect again and again, also after a dispatcher has closed their connections."""

    def __init__(self, runner: SoakRunner, seed: int) -> None:
        self.runner = runner
        self.random = Random(f"crowd {seed}")
        self.connections: list[Closable] = []

    async def run(self) -> None:
        """Fill the descriptors of all dispatchers again and again, until the traffic ends."""
        await asyncio.sleep(FIRST_CONNECT_AFTER)
        while not self.runner.ended:
            for number in range(len(self.runner.dispatchers)):
                for _ in range(int(DESCRIPTOR_LIMIT * CLIENTS_PER_DESCRIPTOR) // REFILL_DIVISOR):
                    await self.open_connection(number, self.random.random() < INCOMPLETE_SHARE)
            await asyncio.sleep(RECONNECT_INTERVAL)
            for connection in self.random.sample(self.connections, len(self.connections) // 2):
                connection.close()
                self.connections.remove(connection)

    async def open_connection(self, number: int, sends_incomplete: bool) -> None:
        """Start to connect to a dispatcher on loopback, without waiting for the connection."""
        connection = socket.socket()
        connection.setblocking(False)
        host = self.runner.host.address(self.runner.dispatcher_machines[number])
        with suppress(BlockingIOError, OSError):
            connection.connect((host, DISPATCHER_PORT))
        if sends_incomplete:
            with suppress(OSError):
                connection.send(INCOMPLETE_MESSAGE)
        self.connections.append(connection)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self.connections:
            connection.close()
        self.connections.clear()


class VirtualIdleClients(IdleClients):
    """Idle clients on the emulated network of virtual time."""

    async def open_connection(self, number: int, sends_incomplete: bool) -> None:
        """Start to connect to a dispatcher; a refused connection is left out."""
        self.runner.spawn(self.connect_and_stay(number, sends_incomplete))

    async def connect_and_stay(self, number: int, sends_incomplete: bool) -> None:
        """Connect to a dispatcher, and keep the connection open."""
        dispatcher_machine = self.runner.dispatcher_machines[number]
        client = self.runner.clients[dispatcher_machine.zone]
        address = client.lines[number].address
        with suppress(OSError):
            _, writer = await self.runner.host.connect(client.machine, dispatcher_machine, address)
            if sends_incomplete:
                writer.write(INCOMPLETE_MESSAGE)
            self.connections.append(writer)
