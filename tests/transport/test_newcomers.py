"""Newly opened connections at a listener whose descriptors are all in use; the clients run in threads."""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest
from helpers import RequestHandlerStub, free_address, submit_bytes

from locktide.config.address import Address
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import Response
from locktide.transport.listener import Listener
from locktide.transport.log import Log

#: Descriptors for clients, requests that wait for their responses, and idle proven clients: the latter two
#: use all descriptors.
DESCRIPTORS, WAITING, PROVEN = 84, 74, 10
NEWCOMERS = 8
#: Newcomers that send nothing.
FLOOD = 40
#: Seconds between two newcomers, and from the connect of a newcomer to its request.
INTERVAL = 0.0005
SEND_DELAYS = (0.0, 0.001, 0.005, 0.02)
#: Seconds after which a newcomer was delayed by the machine too long to be guaranteed a response.
LATEST_SEND = 0.03
#: Seconds in which each wait must end, so that a hang fails the test.
TIME_LIMIT = 10.0


@dataclass(frozen=True)
class Newcomer:
    """The result of a client: seconds from before its connect to after its send, and the bytes it read."""

    sent_after: float
    response: bytes

    @property
    def is_in_time(self) -> bool:
        return self.sent_after <= LATEST_SEND


def open_and_send(address: Address, number: int, delay: float) -> Newcomer:
    """Connect, send a request `delay` seconds later, and read the first bytes of the response."""
    time.sleep(number * INTERVAL)
    began = time.monotonic()
    with socket.create_connection(address, timeout=TIME_LIMIT) as connection:
        time.sleep(delay)
        try:
            connection.sendall(submit_bytes(Req_Id=f"new{number}", Req_Deadline="9000m"))
            sent_after = time.monotonic() - began
            return Newcomer(sent_after, connection.recv(1024))
        except ConnectionError:
            return Newcomer(time.monotonic() - began, b"")


class BusyListener:
    """A listener with every descriptor in use, by requests that wait and by idle proven clients."""

    def __init__(self) -> None:
        self.handler = RequestHandlerStub()
        timeouts = {"view": 3_000_000}
        self.listener = Listener(
            DescriptorBudget(DESCRIPTORS), timeouts, set(), 1 << 20, self.handler, Log("n0")
        )
        self.address = free_address()
        self.writers: list[asyncio.StreamWriter] = []
        self.idle_readers: list[asyncio.StreamReader] = []

    async def start(self) -> None:
        self.listener.listen(self.address)
        for number in range(PROVEN):
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(submit_bytes(Req_Id=f"proven{number}", Req_Deadline="9000m"))
            self.writers.append(writer)
            self.idle_readers.append(reader)
        await self.handler.wait_for_requests(PROVEN)
        for response in self.handler.responses:
            response.set_result(Response(200))
        for reader in self.idle_readers:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIME_LIMIT)
        for number in range(WAITING):
            _, writer = await asyncio.open_connection(*self.address)
            writer.write(submit_bytes(Req_Id=f"waits{number}", Req_Deadline="9000m"))
            self.writers.append(writer)
        await self.handler.wait_for_requests(PROVEN + WAITING)
        assert self.listener.descriptors.used == DESCRIPTORS

    def idle_proven_count(self) -> int:
        return sum(not reader.at_eof() for reader in self.idle_readers)

    async def stop(self) -> None:
        for writer in self.writers:
            writer.close()
        await self.listener.stop()


@pytest.mark.parametrize("delay", SEND_DELAYS)
def test_newcomer_that_sends_at_once_is_not_closed_unread_by_the_next(delay: float) -> None:
    """Waiting requests used nearly every descriptor, and many clients opened new connections at once.

    Each newcomer was closed for the next one, a millisecond after its connect and with its request on the
    way, which no client sends again, while connections that had been idle for longer stayed open. A newcomer
    that sends within 20 ms of its connect must get its response.
    """
    newcomers = asyncio.run(run_newcomers(delay))
    in_time = [newcomer for newcomer in newcomers if newcomer.is_in_time]
    assert in_time, f"the machine held up every client: {newcomers}"
    assert [newcomer for newcomer in in_time if not newcomer.response.startswith(b"HTTP/1.1 ")] == []


async def run_newcomers(delay: float) -> list[Newcomer]:
    """Connect the newcomers to a busy listener, and return their results."""
    busy = BusyListener()
    await busy.start()
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(NEWCOMERS) as threads:
        clients = [
            loop.run_in_executor(threads, open_and_send, busy.address, number, delay)
            for number in range(NEWCOMERS)
        ]
        newcomers = await asyncio.gather(*clients)  # each has its own time limit
    assert busy.listener.descriptors.used <= DESCRIPTORS
    await busy.stop()
    return newcomers


def test_flood_of_silent_newcomers_displaces_one_proven_connection_and_then_only_newcomers() -> None:
    """Newcomers that send nothing connect at once, far more than there are descriptors.

    The first takes the descriptor of a proven connection, as there is no newcomer yet. Each of the others
    must take that of a newcomer: otherwise a flood would close the idle connections of all clients.
    """

    async def run() -> int:
        busy = BusyListener()
        await busy.start()
        flood = [socket.create_connection(busy.address, timeout=TIME_LIMIT) for _ in range(FLOOD)]
        loop = asyncio.get_running_loop()
        for silent in flood[:-1]:
            silent.setblocking(False)
            assert await asyncio.wait_for(loop.sock_recv(silent, 1), TIME_LIMIT) == b""
        assert busy.listener.descriptors.used <= DESCRIPTORS
        proven = busy.idle_proven_count()
        for silent in flood:
            silent.close()
        await busy.stop()
        return proven

    assert asyncio.run(run()) == PROVEN - 1
