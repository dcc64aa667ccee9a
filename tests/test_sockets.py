"""Connections, the server, the watch and the process, on loopback."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from helpers import GRADES, TAKEN, Clerk, call, free_address, submit

from locktide.protocol import discovery, names
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.types import AttemptOutcome
from locktide.transport import endpoint_watch as watch
from locktide.transport.client_connection import ConnectionState, PeerRole
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.upstream_pool import TransportFailure, UpstreamPool


async def line_to(
    script: Callable[..., Awaitable[None]], times: int = 1, body: bytes = b"x" * 100
) -> tuple[list[UpstreamResponse | str], UpstreamPool]:
    """Asks a scripted worker some times, one after the other."""
    listening = await asyncio.start_server(script, "127.0.0.1", 0)
    address = listening.sockets[0].getsockname()
    lines, found = UpstreamPool(DescriptorBudget(10), 500_000, 400_000), []
    question = UpstreamRequest("POST", "/view", [], body)
    for _ in range(times):
        found.append(await lines.send("w", address, lambda: question, lambda: None))
    listening.close()
    return found, lines


def test_a_break_after_the_last_byte_may_have_run() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"x" * 100)
        writer.transport.abort()

    async def run() -> None:
        found, lines = await line_to(script)
        assert found == [AttemptOutcome.RESET] and lines.descriptors.used == 0

    asyncio.run(run())


@pytest.mark.parametrize(
    "word, outcome",
    [(b"", AttemptOutcome.CONNECTION_CLOSED), (b"HTTP/1.1 ", TransportFailure.INVALID_RESPONSE)],
)
def test_a_kept_connection_that_breaks_with_no_word_is_cut_off(word: bytes, outcome: str) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in (TAKEN % 0, word):
            await reader.readuntil(b"x" * 100)
            writer.write(reply)
        writer.close()

    async def run() -> None:
        found, _ = await line_to(script, times=2)
        assert found[1] == outcome

    asyncio.run(run())


def test_a_connection_that_does_not_come_up_never_ran_and_all_is_given_back() -> None:
    async def run() -> None:
        with socket.socket() as taken:  # bound but not listening: nothing comes up
            taken.bind(("127.0.0.1", 0))
            lines = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
            question = UpstreamRequest("POST", "/view", [])
            outcome = await lines.send("w", taken.getsockname(), lambda: question, lambda: None)
            assert outcome == AttemptOutcome.NO_CONNECTION and lines.descriptors.used == 0
        full = UpstreamPool(DescriptorBudget(0), 10_000, 400_000)
        assert await full.send("w", ("127.0.0.1", 9), lambda: None, lambda: None) == AttemptOutcome.NEVER_SENT

    asyncio.run(run())


def test_a_break_before_the_last_byte_never_ran() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.2)
        writer.transport.abort()

    async def run() -> None:
        found, lines = await line_to(script, body=b"x" * 50_000_000)  # more than the kernel takes at once
        assert found == [AttemptOutcome.NO_CONNECTION] and lines.descriptors.used == 0

    asyncio.run(run())


def test_a_connection_carries_one_question_after_another_and_is_closed_early() -> None:
    met: list[bool] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        met.append(True)
        try:
            while True:
                await reader.readuntil(b"x" * 100)
                writer.write(TAKEN % 0)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run() -> None:
        found, lines = await line_to(script, times=3)
        assert [reply.status for reply in found if isinstance(reply, UpstreamResponse)] == [202] * 3 and len(
            met
        ) == 1
        lines.close_expired()
        assert lines.descriptors.used == 1
        lines.idle["w"][0].idle_since -= 0.21  # past half of the stated idle time
        lines.close_expired()
        assert lines.descriptors.used == 0

    asyncio.run(run())


def test_a_connection_that_the_worker_closed_is_not_written_to() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"x" * 100)
        writer.write(TAKEN % 0)
        writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        lines = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        question = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            reply = await lines.send("w", address, lambda: question, lambda: None)
            assert isinstance(reply, UpstreamResponse)
            while lines.idle["w"] and lines.idle["w"][0].is_quiet:
                await asyncio.sleep(0.001)  # until its end has come
        lines.close_expired()
        assert lines.descriptors.used == 0
        listening.close()

    asyncio.run(run())


def test_the_watch_calls_anew_where_discovery_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "WAIT_MS", 20)
    monkeypatch.setattr(watch, "ANSWER_TIMEOUT", 0.1)
    heard: list[str] = []

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            if head.startswith(b"GET"):
                heard.append(head.split()[1].decode())
            if head == b"\r\n" and len(heard) != 2:  # the second call meets silence
                body = json.dumps({"rev": 40 + len(heard), "all": len(heard) == 1, "targets": []}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(agent, "127.0.0.1", 0)
        sheets: list[discovery.DiscoveryUpdate] = []
        following = watch.EndpointWatch(listening.sockets[0].getsockname(), sheets.append, Log("n0"))
        task = asyncio.create_task(following.run())
        while len(heard) < 4:
            await asyncio.sleep(0.005)
        task.cancel()
        assert [sheet.version for sheet in sheets] == [41, 43]  # what brings nothing only after a failure
        wait = "&wait_ms=20"
        assert heard[:4] == [
            names.INSTANCES,
            names.INSTANCES + "?after=41" + wait,
            names.INSTANCES + "?after=41&wait_ms=0",
            names.INSTANCES + "?after=43" + wait,
        ]
        listening.close()

    asyncio.run(run())


async def listening_to(clerk: Clerk, places: int = 64) -> tuple[Listener, Any]:
    limits = {grade.name: grade.timeout for grade in GRADES}
    server = Listener(DescriptorBudget(places), dict(limits), set(), 200_000, clerk, Log("n0"))
    address = free_address()
    server.listen(address)
    return server, address


def test_a_client_that_closes_has_gone_and_half_a_message_is_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("locktide.transport.client_connection.MESSAGE_TIMEOUT", 0.02)

    async def run() -> None:
        clerk = Clerk()
        server, address = await listening_to(clerk)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit(Req_Id="a", Req_Deadline="9000m"))
        await clerk.until(1)
        writer.close()
        while not clerk.left:
            await asyncio.sleep(0.001)
        assert clerk.left == ["a"]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit(Req_Id="b", Req_Deadline="9000m")[:30])
        assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
        writer.close()
        await server.stop()
        assert server.descriptors.used == 0

    asyncio.run(run())


async def kept(address: Any) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection that has proven itself and rests."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(call(id="s0", state="started", **{"from": "w"}))
    assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
    await reader.readline()
    return reader, writer


def test_a_silent_or_dripping_newcomer_is_closed_and_a_kept_connection_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("locktide.transport.client_connection.MESSAGE_TIMEOUT", 0.1)

    async def run() -> None:
        server, address = await listening_to(Clerk())
        resting, proven = await kept(address)
        silent, silent_writer = await asyncio.open_connection(*address)
        dripping, drip = await asyncio.open_connection(*address)
        for byte in submit():
            drip.write(bytes([byte]))
            await asyncio.sleep(0.01)
            if dripping.at_eof():
                break
        assert (await dripping.read()).startswith(b"HTTP/1.1 408 ")
        assert await silent.read() == b""
        proven.write(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
        assert (await resting.readline()).startswith(b"HTTP/1.1 200 ")
        for writer in (proven, silent_writer, drip):
            writer.close()
        await server.stop()
        assert server.descriptors.used == server.stored_bytes == 0

    asyncio.run(run())


def test_a_flood_of_newcomers_displaces_newcomers() -> None:
    async def run() -> None:
        server, address = await listening_to(Clerk(), places=8)
        reader, writer = await kept(address)
        flood = [await asyncio.open_connection(*address) for _ in range(30)]
        for silent, _ in flood[:22]:
            assert await silent.read() == b""
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        for one in [writer, *(one for _, one in flood)]:
            one.close()
        await server.stop()

    asyncio.run(run())


def test_an_early_answer_outlives_a_body_of_many_megabytes_and_nothing_of_it_is_stored() -> None:
    async def run() -> None:
        server, address = await listening_to(Clerk())
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit()[:-4].replace(b"Length: 0", b"Length: 60000000") + b"\r\n\r\n")
        for _ in range(300):
            writer.write(b"x" * 200_000)
            await writer.drain()
            caller = next(iter(server.connections))
            assert server.stored_bytes < 200_000 and len(caller.protocol.reader._buffer) < 100_000  # type: ignore
        writer.write_eof()
        assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
        writer.close()
        await server.stop()

    asyncio.run(run())


def test_messages_that_are_not_whole_take_so_much_memory_and_no_more() -> None:
    async def run() -> None:
        server, address = await listening_to(Clerk())
        found = []
        for number in range(6):
            reader, writer = await asyncio.open_connection(*address)
            found.append((reader, writer))
            writer.write(submit(body=b"x" * 60_000)[:-1])
            while number < 3 and server.stored_bytes < (number + 1) * 50_000:
                await asyncio.sleep(0.001)
        assert (await found[5][0].readline()).startswith(b"HTTP/1.1 500 ")
        assert server.stored_bytes <= 200_000
        for _, writer in found:
            writer.close()
        await server.stop()

    asyncio.run(run())


def test_what_follows_before_the_answer_ends_the_submission() -> None:
    async def run() -> None:
        clerk = Clerk()
        server, address = await listening_to(clerk)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit(Req_Id="a", Req_Deadline="9000m"))
        await clerk.until(1)
        writer.write(b"the rest of a body whose length was wrong")
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ") and clerk.left == ["a"]
        writer.close()
        await server.stop()

    asyncio.run(run())


def test_waiting_clients_leave_room_for_callbacks() -> None:
    async def run() -> None:
        clerk = Clerk()
        server, address = await listening_to(clerk, places=8)
        writers = []
        for number in range(8):
            reader, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            if number < 7:
                writer.write(submit(Req_Id=f"s{number}", Req_Deadline="9000m"))
        await clerk.until(7)
        # One more is not denied: that is for the decisions to do.
        writers[-1].write(submit(Req_Id="one-more", Req_Deadline="9000m"))
        assert (await reader.readline()).startswith(b"HTTP/1.1 500 ")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(call(id="s0", state="started", **{"from": "w"}))
        assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
        for one in [*writers, writer]:
            one.close()
        await server.stop()

    asyncio.run(run())


def test_a_stop_ends_kept_connections_at_rest_and_not_those_just_opened() -> None:
    async def play() -> None:
        clerk = Clerk()
        server = Listener(DescriptorBudget(20), {"view": 3_000_000}, set(), 1 << 20, clerk, Log("n0"))
        address = free_address()
        server.listen(address)
        kept_reader, kept = await asyncio.open_connection(*address)
        kept.write(b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n")
        await kept_reader.readuntil(b"ok\n")
        caller = next(iter(server.connections))
        caller.peer = PeerRole.CLIENT  # as by a submission that was answered
        _, fresh = await asyncio.open_connection(*address)
        while len(server.connections) < 2:
            await asyncio.sleep(0.001)
        await server.wind_down()
        assert await kept_reader.read() == b""
        fresh.write(submit())
        await clerk.until(1)
        await server.stop()

    asyncio.run(play())


def test_a_stop_reads_what_has_come_before_it_ends_what_is_at_rest() -> None:
    """Bytes that were at the socket before the word to stop are a message that was handed in."""

    async def play() -> None:
        clerk, stop = Clerk(), asyncio.Event()
        server = Listener(DescriptorBudget(20), {"view": 3_000_000}, set(), 1 << 20, clerk, Log("n0"))
        address = free_address()
        server.listen(address)

        async def stopped() -> None:
            await stop.wait()
            await server.wind_down()

        stopping = asyncio.create_task(stopped())
        kept = socket.create_connection(address)
        kept.sendall(b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n")
        while not server.connections or next(iter(server.connections)).state is not ConnectionState.IDLE:
            await asyncio.sleep(0.001)
        next(iter(server.connections)).peer = PeerRole.CLIENT  # as by a submission that was answered
        await asyncio.sleep(0.02)
        kept.sendall(submit())  # nothing of ours runs between this ...
        stop.set()  # ... and that
        await asyncio.wait_for(clerk.until(1), 2.0)
        await stopping
        await server.stop()
        kept.close()

    asyncio.run(play())
