"""The virtual loop and its network."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from locktide.simulation.virtual_time.loop import DeadlockError, VirtualLoop
from locktide.simulation.virtual_time.network import VirtualNetwork
from locktide.simulation.virtual_time.process import VirtualProcess
from locktide.transport.kernel_queue import time_since_data


class Wires:
    """One delay for all, cut or whole as the test says."""

    def __init__(self, delay: int = 1000) -> None:
        self.span, self.is_cut, self.at = delay, False, 0

    def delay(self, source: str, target: str) -> int:
        return self.span

    def split(self, size: int) -> int:
        return self.at if self.at < size else 0

    def cut(self, source: str, target: str) -> bool:
        return self.is_cut


class Bench:
    def __init__(self) -> None:
        self.loop = VirtualLoop()  # type: ignore[abstract]
        self.wires = Wires()
        self.net = VirtualNetwork(self.loop, self.wires)

    def run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)


@pytest.fixture
def bench() -> Bench:
    return Bench()


class Taking(asyncio.Protocol):
    def __init__(self, got: list[Any], loop: VirtualLoop) -> None:
        self.got, self.loop = got, loop

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got.append((round(self.loop.time(), 6), data))

    def connection_lost(self, trouble: Exception | None) -> None:
        self.got.append((round(self.loop.time(), 6), type(trouble).__name__))


def test_time_passes_only_when_nothing_is_left_to_do(bench: Bench) -> None:
    order: list[str] = []

    async def one(name: str, span: float) -> None:
        await asyncio.sleep(span)
        order.append(f"{name} {bench.loop.time():.3f}")

    async def all_of_them() -> None:
        await asyncio.gather(one("late", 3600.0), one("first", 1.0), one("second", 1.0))

    bench.run(all_of_them())
    assert order == ["first 1.000", "second 1.000", "late 3600.000"]


def test_what_can_never_come_is_said(bench: Bench) -> None:
    async def wait_for_ever() -> None:
        await bench.loop.create_future()

    with pytest.raises(DeadlockError):
        bench.run(wait_for_ever())


def test_bytes_come_in_order_after_their_delay_also_in_pieces(bench: Bench) -> None:
    got: list[Any] = []
    bench.wires.at = 2

    async def talk() -> None:
        bench.net.listen(lambda: Taking(got, bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        assert bench.loop.time() == pytest.approx(0.002)  # there and back
        writer.write(b"hello")
        bench.wires.span = 10  # faster later: the order holds all the same
        writer.write(b"x")
        await asyncio.sleep(1)
        writer.close()
        await asyncio.sleep(1)

    bench.run(talk())
    assert b"".join(data for _, data in got[:-1]) == b"hellox" and got[0] == (0.003, b"he")
    assert got[-1][1] == "NoneType" and bench.net.split == 1


def test_a_connection_to_nobody_is_refused_and_over_a_cut_link_never_comes_up(bench: Bench) -> None:
    async def talk() -> None:
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("b", 1, local_addr=("a", 0))
        bench.net.listen(lambda: Taking([], bench.loop), "b", 1)
        bench.wires.is_cut = True
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection("b", 1, local_addr=("a", 0)), 5.0)

    bench.run(talk())


def test_what_is_sent_over_a_cut_link_comes_once_it_is_whole(bench: Bench) -> None:
    got: list[Any] = []

    async def talk() -> None:
        bench.net.listen(lambda: Taking(got, bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        bench.wires.is_cut = True
        writer.write(b"one")
        writer.write(b"two")
        await asyncio.sleep(60)
        assert not got
        bench.wires.is_cut = False
        bench.net.links_restored()
        await asyncio.sleep(1)

    bench.run(talk())
    assert [data for _, data in got] == [b"one", b"two"]


def test_a_killed_process_runs_no_further_and_its_connections_are_reset(bench: Bench) -> None:
    got: list[Any] = []
    ran: list[str] = []
    process = VirtualProcess("p", "a")

    async def victim() -> None:
        _, writer = await asyncio.open_connection("b", 1)
        try:
            while True:
                writer.write(b".")
                await asyncio.sleep(0.01)
        finally:
            ran.append("cleaned up")

    async def talk() -> None:
        bench.net.listen(lambda: Taking(got, bench.loop), "b", 1)
        bench.loop.create_task(victim(), context=process.context())
        await asyncio.sleep(0.0555)
        bench.net.kill(process)
        await asyncio.sleep(1)
        assert got[-1][1] == "ConnectionResetError" and not ran
        count = len(got)
        await asyncio.sleep(1)
        assert len(got) == count
        await process.clear_away()

    bench.run(talk())
    assert got[-1][0] == pytest.approx(0.0565)  # the reset takes as long as bytes do
    assert ran == ["cleaned up"] and not bench.net.ends


def test_writing_to_who_has_gone_away_brings_a_reset(bench: Bench) -> None:
    got: list[Any] = []

    async def talk() -> None:
        server = Taking([], bench.loop)
        bench.net.listen(lambda: server, "b", 1)
        transport, _ = await bench.loop.create_connection(
            lambda: Taking(got, bench.loop), "b", 1, local_addr=("a", 0)
        )
        await asyncio.sleep(0.002)  # the last leg of the handshake has come
        server.transport.close()
        transport.write(b"too late")
        await asyncio.sleep(1)

    bench.run(talk())
    assert got


def test_listener_sees_a_connection_after_three_legs_and_the_first_bytes_right_behind(bench: Bench) -> None:
    """The stand-in handed a connection to its listener with the first leg of the handshake.

    Between that and the first bytes were two trips in which no kernel shows a connection to anyone, and
    dispatchers closed such connections for others. It must come with the third leg, and bytes that are
    written at once must come with it.
    """
    came: list[Any] = []

    class Server(Taking):
        def connection_made(self, transport: Any) -> None:
            came.append(("open", round(bench.loop.time(), 6)))

        def data_received(self, data: bytes) -> None:
            came.append((data, round(bench.loop.time(), 6)))

    async def talk() -> None:
        bench.net.listen(lambda: Server([], bench.loop), "b", 1)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        assert bench.loop.time() == pytest.approx(0.002)
        writer.write(b"at once")
        await asyncio.sleep(1)

    bench.run(talk())
    assert came == [("open", 0.003), (b"at once", 0.003)]


def test_socket_says_how_long_ago_data_came_read_or_not(bench: Bench) -> None:
    """A dispatcher asks Linux how long a request lay unread, and takes that off the client's time.

    In virtual time nothing answered, so what it does then was never played. Before any data the time counts
    from the handshake, as on Linux.
    """
    ages: list[int] = []

    async def talk() -> None:
        listening = bench.net.socket(("b", 1), 8)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        await asyncio.sleep(0.201)
        accepted, _ = await bench.loop.sock_accept(listening)
        ages.append(time_since_data(accepted.end.get_extra_info("socket")))
        writer.write(b"unread")
        await asyncio.sleep(0.301)
        ages.append(time_since_data(accepted.end.get_extra_info("socket")))

    bench.run(talk())
    assert ages == pytest.approx([200_000, 300_000], abs=1_000)


@pytest.mark.parametrize("close", ["listener", "process"])
def test_handshake_that_crosses_the_end_of_its_listener_brings_a_reset(bench: Bench, close: str) -> None:
    """A listener closes, or its process dies, between the first and the third leg of a handshake.

    The client believes that it is connected. It must be told by a reset, or it waits for ever.
    """
    got: list[Any] = []
    process = VirtualProcess("p", "b")

    async def talk() -> None:
        async def listen() -> Any:
            return bench.net.listen(lambda: Taking([], bench.loop), "b", 1)

        listener = await bench.loop.create_task(listen(), context=process.context())
        bench.loop.call_at(0.0015, listener.close if close == "listener" else lambda: bench.net.kill(process))
        await bench.loop.create_connection(lambda: Taking(got, bench.loop), "b", 1, local_addr=("a", 0))
        await asyncio.sleep(1)

    bench.run(talk())
    assert got == [(0.004, "ConnectionResetError")] and not bench.net.ends


def test_accepted_sockets_and_paused_readers_keep_what_comes(bench: Bench) -> None:
    async def talk() -> None:
        listening = bench.net.socket(("b", 1), 8)
        _, writer = await asyncio.open_connection("b", 1, local_addr=("a", 0))
        writer.write(b"early")
        await asyncio.sleep(1)  # nobody has accepted it yet
        accepted, peer = await bench.loop.sock_accept(listening)
        assert peer[0] == "a"
        got: list[Any] = []
        transport, _ = await bench.loop.connect_accepted_socket(lambda: Taking(got, bench.loop), accepted)
        await asyncio.sleep(0.1)
        assert [data for _, data in got] == [b"early"]
        transport.pause_reading()
        writer.write(b"later")
        await asyncio.sleep(1)
        assert len(got) == 1
        transport.resume_reading()
        await asyncio.sleep(0.1)
        assert got[-1][1] == b"later"

    bench.run(talk())


def test_what_breaks_off_unseen_is_kept(bench: Bench) -> None:
    async def break_off() -> None:
        bench.loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(1)

    bench.run(break_off())
    assert [type(one["exception"]) for one in bench.loop.trouble] == [ZeroDivisionError]
