"""The virtual event loop and its network."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from locktide.simulation.virtual_time.loop import DeadlockError, VirtualLoop
from locktide.simulation.virtual_time.network import VirtualNetwork
from locktide.simulation.virtual_time.process import VirtualProcess
from locktide.transport.kernel_queue import time_since_data


class Links:
    """A link model with one delay for all links, which the test can cut."""

    def __init__(self, delay: int = 1000) -> None:
        self.delay_us, self.is_cut, self.split_at = delay, False, 0

    def delay(self, source: str, target: str) -> int:
        return self.delay_us

    def split(self, size: int) -> int:
        return self.split_at if self.split_at < size else 0

    def cut(self, source: str, target: str) -> bool:
        return self.is_cut


class Bench:
    def __init__(self) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.links = Links()
        self.net = VirtualNetwork(self.loop, self.links)

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)


@pytest.fixture
def bench() -> Bench:
    return Bench()


class RecordingProtocol(asyncio.Protocol):
    def __init__(self, received: list[Any], loop: VirtualLoop) -> None:
        self.received, self.loop = received, loop

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received.append((round(self.loop.time(), 6), data))

    def connection_lost(self, error: Exception | None) -> None:
        self.received.append((round(self.loop.time(), 6), type(error).__name__))


def test_time_passes_only_when_nothing_is_left_to_do(bench: Bench) -> None:
    order: list[str] = []

    async def sleep_and_record(name: str, span: float) -> None:
        await asyncio.sleep(span)
        order.append(f"{name} {bench.loop.time():.3f}")

    async def sleep_all() -> None:
        await asyncio.gather(
            sleep_and_record("late", 3600.0), sleep_and_record("first", 1.0), sleep_and_record("second", 1.0)
        )

    bench.run(sleep_all())
    assert order == ["first 1.000", "second 1.000", "late 3600.000"]


def test_a_deadlock_is_reported(bench: Bench) -> None:
    async def wait_for_ever() -> None:
        await bench.loop.create_future()

    with pytest.raises(DeadlockError):
        bench.run(wait_for_ever())


def test_bytes_come_in_order_after_their_delay_also_in_pieces(bench: Bench) -> None:
    received: list[Any] = []
    bench.links.split_at = 2

    async def exchange() -> None:
        bench.net.listen(lambda: RecordingProtocol(received, bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        assert bench.loop.time() == pytest.approx(0.002)  # one round trip
        writer.write(b"hello")
        bench.links.delay_us = 10  # a shorter delay from now on does not change the order
        writer.write(b"x")
        await asyncio.sleep(1)
        writer.close()
        await asyncio.sleep(1)

    bench.run(exchange())
    assert b"".join(data for _, data in received[:-1]) == b"hellox" and received[0] == (0.003, b"he")
    assert received[-1][1] == "NoneType" and bench.net.split_count == 1


def test_a_connection_without_listener_is_refused_and_over_a_cut_link_never_established(bench: Bench) -> None:
    async def exchange() -> None:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("b", 1, local_addr=("a", 0))
        bench.net.listen(lambda: RecordingProtocol([], bench.loop), "b", 1)
        bench.links.is_cut = True
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection("b", 1, local_addr=("a", 0)), 5.0)

    bench.run(exchange())


def test_what_is_sent_over_a_cut_link_comes_once_it_is_whole(bench: Bench) -> None:
    received: list[Any] = []

    async def exchange() -> None:
        bench.net.listen(lambda: RecordingProtocol(received, bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        bench.links.is_cut = True
        writer.write(b"one")
        writer.write(b"two")
        await asyncio.sleep(60)
        assert not received
        bench.links.is_cut = False
        bench.net.links_restored()
        await asyncio.sleep(1)

    bench.run(exchange())
    assert [data for _, data in received] == [b"one", b"two"]


def test_a_killed_process_runs_no_further_and_its_connections_are_reset(bench: Bench) -> None:
    received: list[Any] = []
    clean_ups: list[str] = []
    process = VirtualProcess("p", "a")

    async def victim() -> None:
        _, writer = await asyncio.open_connection("b", 1)
        try:
            while True:
                writer.write(b".")
                await asyncio.sleep(0.01)
        finally:
            clean_ups.append("cleaned up")

    async def exchange() -> None:
        bench.net.listen(lambda: RecordingProtocol(received, bench.loop), "b", 1)
        bench.loop.create_task(victim(), context=process.context())
        await asyncio.sleep(0.0555)
        bench.net.kill(process)
        await asyncio.sleep(1)
        assert received[-1][1] == "ConnectionResetError" and not clean_ups
        count = len(received)
        await asyncio.sleep(1)
        assert len(received) == count
        await process.clear_away()

    bench.run(exchange())
    assert received[-1][0] == pytest.approx(0.0565)  # the reset takes as long as bytes do
    assert clean_ups == ["cleaned up"] and not bench.net.ends


def test_writing_to_a_closed_connection_brings_a_reset(bench: Bench) -> None:
    received: list[Any] = []

    async def exchange() -> None:
        server = RecordingProtocol([], bench.loop)
        bench.net.listen(lambda: server, "b", 1)
        transport, _ = await bench.loop.create_connection(
            lambda: RecordingProtocol(received, bench.loop), "b", 1, local_addr=("a", 0)
        )
        await asyncio.sleep(0.002)  # the last part of the handshake has arrived
        server.transport.close()
        transport.write(b"too late")
        await asyncio.sleep(1)

    bench.run(exchange())
    assert received


def test_listener_sees_a_connection_after_three_legs_and_the_first_bytes_right_behind(bench: Bench) -> None:
    """The virtual network passed a connection to its listener with the first part of the handshake.

    The first bytes came two trips later. A real kernel shows no connection in that time; dispatchers closed
    such connections to make room for others. The connection must arrive with the third part of the handshake,
    and so must bytes that are written at once.
    """
    events: list[Any] = []

    class Server(RecordingProtocol):
        def connection_made(self, transport: Any) -> None:
            events.append(("open", round(bench.loop.time(), 6)))

        def data_received(self, data: bytes) -> None:
            events.append((data, round(bench.loop.time(), 6)))

    async def exchange() -> None:
        bench.net.listen(lambda: Server([], bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        assert bench.loop.time() == pytest.approx(0.002)
        writer.write(b"at once")
        await asyncio.sleep(1)

    bench.run(exchange())
    assert events == [("open", 0.003), (b"at once", 0.003)]


def test_socket_says_how_long_ago_data_came_read_or_not(bench: Bench) -> None:
    """A dispatcher asks Linux how long a request was unread, and deducts that from the client's time.

    The virtual socket did not answer, so that code never ran in virtual time. Before any data the time counts
    from the handshake, as on Linux.
    """
    ages: list[int] = []

    async def exchange() -> None:
        listening = bench.net.socket(("b", 1), 8)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        await asyncio.sleep(0.201)
        accepted, _ = await bench.loop.sock_accept(listening)
        ages.append(time_since_data(accepted.transport.get_extra_info("socket")))
        writer.write(b"unread")
        await asyncio.sleep(0.301)
        ages.append(time_since_data(accepted.transport.get_extra_info("socket")))

    bench.run(exchange())
    assert ages == pytest.approx([200_000, 300_000], abs=1_000)


@pytest.mark.parametrize("close", ["listener", "process"])
def test_handshake_that_crosses_the_end_of_its_listener_brings_a_reset(bench: Bench, close: str) -> None:
    """A listener closes, or its process is killed, between the first and third part of a handshake.

    The client takes itself for connected, and without a reset it would wait forever.
    """
    received: list[Any] = []
    process = VirtualProcess("p", "b")

    async def exchange() -> None:
        async def listen() -> Any:
            return bench.net.listen(lambda: RecordingProtocol([], bench.loop), "b", 1)

        listener = await bench.loop.create_task(listen(), context=process.context())
        bench.loop.call_at(0.0015, listener.close if close == "listener" else lambda: bench.net.kill(process))
        await bench.loop.create_connection(
            lambda: RecordingProtocol(received, bench.loop), "b", 1, local_addr=("a", 0)
        )
        await asyncio.sleep(1)

    bench.run(exchange())
    assert received == [(0.004, "ConnectionResetError")] and not bench.net.ends


def test_accepted_sockets_and_paused_readers_keep_what_comes(bench: Bench) -> None:
    async def exchange() -> None:
        listening = bench.net.socket(("b", 1), 8)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        writer.write(b"early")
        await asyncio.sleep(1)  # not accepted yet
        accepted, peer = await bench.loop.sock_accept(listening)
        assert peer[0] == "a"
        received: list[Any] = []
        transport, _ = await bench.loop.connect_accepted_socket(
            lambda: RecordingProtocol(received, bench.loop), accepted
        )
        await asyncio.sleep(0.1)
        assert [data for _, data in received] == [b"early"]
        transport.pause_reading()
        writer.write(b"later")
        await asyncio.sleep(1)
        assert len(received) == 1
        transport.resume_reading()
        await asyncio.sleep(0.1)
        assert received[-1][1] == b"later"

    bench.run(exchange())


def test_an_unhandled_exception_is_recorded(bench: Bench) -> None:
    async def fail() -> None:
        bench.loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(1)

    bench.run(fail())
    assert [type(sleep_and_record["exception"]) for sleep_and_record in bench.loop.unhandled] == [
        ZeroDivisionError
    ]
