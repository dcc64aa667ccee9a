"""Clients that send several messages at once, or half a message, and what they are owed."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from random import Random

from soak.stage import SoakStage

#: Seconds after its connect within which a client has its responses, or its connection is closed.
OWED_WITHIN = 3.0
#: Seconds between two rough clients of a dispatcher.
ROUGH_INTERVAL = 0.3
#: Messages that are sent at once, and the header of a message that no dispatcher takes.
MESSAGES_AT_ONCE = 5
HEALTH_QUERY = b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n"
UNKNOWN_PATH = b"GET /nowhere HTTP/1.1\r\nHost: us\r\n\r\n"
HALF_MESSAGE = b"POST /view HTTP/1.1\r\nHost: us\r\nContent-Le"
RESPONSE_START = b"HTTP/1.1 "
READ_SIZE = 65536


class RoughMessages(Enum):
    """What a rough client sends at once: the bytes, and how many responses it is owed for them."""

    PIPELINE = HEALTH_QUERY * MESSAGES_AT_ONCE, MESSAGES_AT_ONCE
    FAULTY_LAST = HEALTH_QUERY + UNKNOWN_PATH, 2
    HALF = HALF_MESSAGE, 1

    @property
    def data(self) -> bytes:
        """The bytes."""
        return self.value[0]

    @property
    def responses(self) -> int:
        """How many responses are owed."""
        return self.value[1]


class RoughClients:
    """One rough client after another at each dispatcher."""

    def __init__(self, stage: SoakStage, seed: int) -> None:
        self.stage = stage
        self.random = Random(f"rough {seed}")

    def begin(self) -> None:
        """Begin at each dispatcher."""
        for number in range(len(self.stage.dispatchers)):
            self.stage.spawn(self.run(number))

    async def run(self, number: int) -> None:
        """Play rough clients of one dispatcher until the traffic ends."""
        while not self.stage.ended:
            await asyncio.sleep(ROUGH_INTERVAL)
            messages = self.random.choice(list(RoughMessages))
            if self.stage.is_serving(number):
                self.stage.spawn(self.play(number, messages))

    async def play(self, number: int, messages: RoughMessages) -> None:
        """Send messages at once, and check that each has its response in time."""
        began_at = self.stage.host.now()
        got = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(OWED_WITHIN):
                got = await self.exchange(number, messages)
        count = got.count(RESPONSE_START)
        late = (self.stage.host.now() - began_at) / 1e6 >= OWED_WITHIN
        if count == messages.responses or not self.stage.served_since(number, began_at):
            return
        if count > messages.responses or late or not self.stage.soak.has_crowd:
            text = f"d{number}: {count} of {messages.responses} responses to {messages.name.lower()}"
            self.stage.findings.add(f"{text}, from {began_at / 1e6:.3f}", is_timed=True)

    async def exchange(self, number: int, messages: RoughMessages) -> bytes:
        """Return what comes back on one connection until all responses are there or it ends."""
        there = self.stage.dispatcher_machines[number]
        client = self.stage.clients[there.zone]
        reader, writer = await self.stage.host.connect(client.machine, there, client.lines[number].address)
        got = b""
        try:
            writer.write(messages.data)
            while got.count(RESPONSE_START) < messages.responses and (data := await reader.read(READ_SIZE)):
                got += data
        finally:
            writer.close()
        return got
