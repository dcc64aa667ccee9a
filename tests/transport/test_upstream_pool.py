"""The pool of connections to workers, on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from helpers import ACCEPTED_RESPONSE

from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import SendResult, TransportFailure
from locktide.transport.upstream_pool import UpstreamPool


async def send_repeatedly(
    script: Callable[..., Awaitable[None]], times: int = 1, body: bytes = b"x" * 100
) -> tuple[list[SendResult], UpstreamPool]:
    """Send requests to a scripted worker, one after another; return their results and the pool."""
    listening = await asyncio.start_server(script, "127.0.0.1", 0)
    address = listening.sockets[0].getsockname()
    pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
    request = UpstreamRequest("POST", "/view", [], body)
    outcomes = [await pool.send("w", address, lambda: request, lambda: None) for _ in range(times)]
    listening.close()
    return outcomes, pool


def test_break_after_the_last_byte_is_a_reset() -> None:
    """A worker closes its connection after it has received the whole job.

    If the attempt counted as never sent, an at-most-once request would be retried. It must count as a reset.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"x" * 100)
        writer.transport.abort()

    async def run() -> None:
        outcomes, pool = await send_repeatedly(script)
        assert outcomes == [AttemptOutcome.RESET] and pool.descriptors.used == 0

    asyncio.run(run())


@pytest.mark.parametrize("is_ready_again", [False, True])
def test_connection_that_becomes_idle_at_a_draining_worker_is_closed(is_ready_again: bool) -> None:
    """A connection to a draining worker carried a cancellation, or waited for a 202 after the job was done.

    It became idle after the idle ones had been closed, and stayed open for half of the idle timeout. It must
    be closed then; once the worker is ready again, connections to it are kept.
    """

    async def run() -> None:
        may_respond = asyncio.Event()

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"x" * 100):
                await may_respond.wait()
                writer.write(ACCEPTED_RESPONSE % 0)

        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        request, sent = UpstreamRequest("POST", "/view", [], b"x" * 100), asyncio.Event()
        sending = asyncio.create_task(pool.send("w", address, lambda: request, sent.set))
        await sent.wait()
        pool.stop_reuse("w")
        if is_ready_again:
            pool.allow_reuse("w")
        may_respond.set()
        assert isinstance(await sending, UpstreamResponse)
        assert pool.descriptors.used == int(is_ready_again)
        pool.close_idle("w")
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "second_reply, outcome",
    [(b"", AttemptOutcome.CONNECTION_CLOSED), (b"HTTP/1.1 ", TransportFailure.INVALID_RESPONSE)],
)
def test_break_of_a_reused_connection_is_closed_or_an_invalid_response(
    second_reply: bytes, outcome: str
) -> None:
    """A worker closes an idle connection while the next job is on its way: this is not a failure of the
    worker and must not count against it. After half a response the worker is alive and may have the job: this
    must count as an invalid response.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in (ACCEPTED_RESPONSE % 0, second_reply):
            await reader.readuntil(b"x" * 100)
            writer.write(reply)
        writer.close()

    async def run() -> None:
        outcomes, _ = await send_repeatedly(script, times=2)
        assert outcomes[1] == outcome

    asyncio.run(run())


def test_connection_that_does_not_come_up_is_no_connection_and_returns_its_descriptor() -> None:
    """Connections to a worker that does not listen could keep their descriptors until none is left.

    Each must return its descriptor, and the attempt ends as no connection. If no descriptor becomes free in
    time, the attempt ends as never sent, which counts against no worker.
    """

    async def run() -> None:
        with socket.socket() as taken:  # bound but not listening: no connection is established
            taken.bind(("127.0.0.1", 0))
            pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
            request = UpstreamRequest("POST", "/view", [])
            outcome = await pool.send("w", taken.getsockname(), lambda: request, lambda: None)
            assert outcome == AttemptOutcome.NO_CONNECTION and pool.descriptors.used == 0
        full = UpstreamPool(DescriptorBudget(0), 10_000, 400_000)
        assert await full.send("w", ("127.0.0.1", 9), lambda: None, lambda: None) == AttemptOutcome.NEVER_SENT

    asyncio.run(run())


def test_break_before_the_last_byte_is_no_connection() -> None:
    """A worker closes its connection while a large job is being sent.

    The job cannot have run: if the attempt counted as a reset, an at-most-once request would fail without
    need. A break before the last byte must count as no connection.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.2)
        writer.transport.abort()

    async def run() -> None:
        more_than_the_kernel_takes = b"x" * 50_000_000
        outcomes, pool = await send_repeatedly(script, body=more_than_the_kernel_takes)
        assert outcomes == [AttemptOutcome.NO_CONNECTION] and pool.descriptors.used == 0

    asyncio.run(run())


def test_connection_is_reused_and_closed_at_half_the_idle_time() -> None:
    """A worker closes idle connections after its stated idle time, and a job written at that moment is lost.

    A connection must be reused before half of that time, and closed by the pool after it.
    """
    accepted: list[bool] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(True)
        try:
            while True:
                await reader.readuntil(b"x" * 100)
                writer.write(ACCEPTED_RESPONSE % 0)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run() -> None:
        outcomes, pool = await send_repeatedly(script, times=3)
        statuses = [outcome.status for outcome in outcomes if isinstance(outcome, UpstreamResponse)]
        assert statuses == [202] * 3 and len(accepted) == 1
        pool.close_expired()
        assert pool.descriptors.used == 1
        pool.idle.by_worker["w"][0].idle_since -= 0.21  # past half of the stated idle time
        pool.close_expired()
        assert pool.descriptors.used == 0

    asyncio.run(run())


def test_connection_closed_by_the_worker_is_not_reused() -> None:
    """A worker closes a connection after its response, and the next job written to it would fail.

    A connection whose end has arrived must not be reused.
    """

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"x" * 100)
        writer.write(ACCEPTED_RESPONSE % 0)
        writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        request = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            reply = await pool.send("w", address, lambda: request, lambda: None)
            assert isinstance(reply, UpstreamResponse)
            while pool.idle.by_worker["w"] and pool.idle.by_worker["w"][0].is_quiet:
                await asyncio.sleep(0.001)  # until its end has arrived
        pool.close_expired()
        assert pool.descriptors.used == 0
        listening.close()

    asyncio.run(run())


def test_response_sent_twice_is_not_taken_for_the_response_to_the_next_request() -> None:
    """A worker sends a second response on an idle connection.

    It would be read as the response to the next job: after a 503, that job would be sent a second time while
    it runs. A connection that receives bytes while it is idle must be closed.
    """
    accepted = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal accepted
        accepted += 1
        await reader.readuntil(b"x" * 100)
        writer.write(ACCEPTED_RESPONSE % 0)
        if accepted == 1:
            await asyncio.sleep(0.01)  # the first response is read by then
            writer.write(b"HTTP/1.1 503 Twice\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        request = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            response = await pool.send("w", address, lambda: request, lambda: None)
            assert isinstance(response, UpstreamResponse) and response.status == 202
            connection = pool.idle.by_worker["w"][0]
            while accepted == 1 and connection.is_quiet:
                await asyncio.sleep(0.001)
        assert accepted == 2 and pool.descriptors.used == 1
        listening.close()

    asyncio.run(run())


def test_idle_connection_to_the_former_address_of_a_worker_is_not_used() -> None:
    """A worker moves to a new address while a job is on its way to the old one.

    The connection of that job becomes idle after the others were closed for the move. The next job on it
    would reach another process at the old address. The connection must be closed, and the job sent to the new
    address.
    """
    served: list[str] = []

    def script(name: str) -> Callable[..., Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"x" * 100)
            served.append(name)
            writer.write(ACCEPTED_RESPONSE % 0)
            await reader.read()
            writer.close()

        return serve

    async def run() -> None:
        former = await asyncio.start_server(script("former"), "127.0.0.1", 0)
        current = await asyncio.start_server(script("current"), "127.0.0.1", 0)
        pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        request = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for listening in (former, current):
            address = listening.sockets[0].getsockname()
            async with asyncio.timeout(5.0):
                await pool.send("w", address, lambda: request, lambda: None)
        assert served == ["former", "current"] and pool.descriptors.used == 1
        pool.close_idle("w")
        former.close()
        current.close()

    asyncio.run(run())
