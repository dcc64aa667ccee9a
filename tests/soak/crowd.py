"""Idle clients that fill the descriptors of every dispatcher, on loopback and in virtual time."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from random import Random
from typing import Any, Protocol

from locktide.simulation.backend import DISPATCHER_PORT
from soak.script import DESCRIPTORS
from soak.stage import SoakStage

#: Idle clients of a crowd for each descriptor of a dispatcher: more than there is room for.
CROWD_PER_DESCRIPTOR = 1.5
#: Part of them that comes at once.
FILLED_AT_ONCE = 4
#: Seconds between two attempts of the crowd to come back, and after which it first comes.
CROWD_INTERVAL, CROWD_COMES = 0.5, 1.0
#: Part of them that send half a message, after which they stay and say nothing more.
HALF_MESSAGES, HALF_MESSAGE = 0.3, b"POST /view HTTP/1.1\r\nHost: us\r\nReq-"


class Closable(Protocol):
    """A connection of the crowd."""

    def close(self) -> Any: ...


class Crowd:
    """Idle clients that come back when they are thrown out."""

    def __init__(self, stage: SoakStage, seed: int) -> None:
        self.stage = stage
        self.random = Random(f"crowd {seed}")
        self.connections: list[Closable] = []

    async def run(self) -> None:
        """Fill the descriptors again and again, until the traffic ends."""
        await asyncio.sleep(CROWD_COMES)
        while not self.stage.ended:
            for number in range(len(self.stage.dispatchers)):
                for _ in range(int(DESCRIPTORS * CROWD_PER_DESCRIPTOR) // FILLED_AT_ONCE):
                    await self.open(number, self.random.random() < HALF_MESSAGES)
            await asyncio.sleep(CROWD_INTERVAL)
            for connection in self.random.sample(self.connections, len(self.connections) // 2):
                connection.close()
                self.connections.remove(connection)

    async def open(self, number: int, sends_half: bool) -> None:
        """Open a connection to a dispatcher, on loopback, without waiting for it."""
        connection = socket.socket()
        connection.setblocking(False)
        host = self.stage.host.address(self.stage.dispatcher_machines[number])
        with suppress(BlockingIOError, OSError):
            connection.connect((host, DISPATCHER_PORT))
        if sends_half:
            with suppress(OSError):
                connection.send(HALF_MESSAGE)
        self.connections.append(connection)

    def leave(self) -> None:
        """Close every connection."""
        for connection in self.connections:
            connection.close()
        self.connections.clear()


class VirtualCrowd(Crowd):
    """The same by way of the stand-ins' network."""

    async def open(self, number: int, sends_half: bool) -> None:
        """Open a connection to a dispatcher; one that is refused is left out."""
        self.stage.spawn(self.connect(number, sends_half))

    async def connect(self, number: int, sends_half: bool) -> None:
        """Connect, and stay."""
        there = self.stage.dispatcher_machines[number]
        client = self.stage.clients[there.zone]
        address = client.lines[number].address
        with suppress(OSError):
            _, writer = await self.stage.host.connect(client.machine, there, address)
            if sends_half:
                writer.write(HALF_MESSAGE)
            self.connections.append(writer)
