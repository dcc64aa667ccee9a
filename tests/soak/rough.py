"""Clients that send several messages at once, or an incomplete one, and a check of their responses."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from random import Random

from soak.stage import SoakRunner

#: Seconds, from before it connects, within which a client must have its responses or a closed connection.
RESPONSE_TIMEOUT = 3.0
#: Seconds between two raw clients of a dispatcher.
RAW_CLIENT_INTERVAL = 0.3
#: Number of messages that are sent at once, and the messages; every dispatcher rejects UNKNOWN_PATH.
MESSAGES_AT_ONCE = 5
HEALTH_QUERY = b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n"
UNKNOWN_PATH = b"GET /nowhere HTTP/1.1\r\nHost: us\r\n\r\n"
INCOMPLETE_MESSAGE = b"POST /view HTTP/1.1\r\nHost: us\r\nContent-Le"
RESPONSE_START = b"HTTP/1.1 "
READ_SIZE = 65536


class RawMessages(Enum):
    """What a raw client sends at once: the bytes, and how many responses must come back."""

    PIPELINE = HEALTH_QUERY * MESSAGES_AT_ONCE, MESSAGES_AT_ONCE
    UNKNOWN_PATH_LAST = HEALTH_QUERY + UNKNOWN_PATH, 2
    INCOMPLETE = INCOMPLETE_MESSAGE, 1

    @property
    def data(self) -> bytes:
        """The bytes to send."""
        return self.value[0]

    @property
    def expected_responses(self) -> int:
        """How many responses must come back."""
        return self.value[1]


class RawClients:
    """Runs one raw client after another against each dispatcher."""

    def __init__(self, runner: SoakRunner, seed: int) -> None:
        self.runner = runner
        self.random = Random(f"rough {seed}")

    def start(self) -> None:
        """Start a task for each dispatcher."""
        for number in range(len(self.runner.dispatchers)):
            self.runner.spawn(self.run(number))

    async def run(self, number: int) -> None:
        """Start raw clients of one dispatcher until the traffic ends."""
        while not self.runner.ended:
            await asyncio.sleep(RAW_CLIENT_INTERVAL)
            messages = self.random.choice(list(RawMessages))
            if self.runner.is_serving(number):
                self.runner.spawn(self.send_and_check(number, messages))

    async def send_and_check(self, number: int, messages: RawMessages) -> None:
        """Send messages at once, and check that each has its response in time.

        A wrong number of responses is a violation if the dispatcher has served all the time. One case is
        excused: with idle clients, which fill the descriptors, the dispatcher may refuse or close the
        connection before the timeout while responses are missing.
        """
        began_at = self.runner.host.now()
        received = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(RESPONSE_TIMEOUT):
                received = await self.exchange(number, messages)
        count = received.count(RESPONSE_START)
        is_late = (self.runner.host.now() - began_at) / 1e6 >= RESPONSE_TIMEOUT
        if count == messages.expected_responses or not self.runner.has_served_since(number, began_at):
            return
        if count > messages.expected_responses or is_late or not self.runner.soak_script.has_idle_clients:
            text = f"d{number}: {count} of {messages.expected_responses} responses to {messages.name.lower()}"
            self.runner.findings.add(f"{text}, from {began_at / 1e6:.3f}", is_timing_dependent=True)

    async def exchange(self, number: int, messages: RawMessages) -> bytes:
        """Return what one connection receives until all responses have begun or the connection ends."""
        dispatcher_machine = self.runner.dispatcher_machines[number]
        client = self.runner.clients[dispatcher_machine.zone]
        reader, writer = await self.runner.host.connect(
            client.machine, dispatcher_machine, client.lines[number].address
        )
        received = b""
        try:
            writer.write(messages.data)
            while received.count(RESPONSE_START) < messages.expected_responses and (
                data := await reader.read(READ_SIZE)
            ):
                received += data
        finally:
            writer.close()
        return received
