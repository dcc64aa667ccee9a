"""The listener and its accepted connections, on loopback."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest
from helpers import SERVICE_CLASSES, RequestHandlerStub, callback_bytes, free_address, submit_bytes

from locktide.protocol.messages import MAX_BODY_SIZE, SubmitRequest
from locktide.transport.client_connection import ConnectionState, PeerRole
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import Response
from locktide.transport.kernel_queue import time_since_data
from locktide.transport.listener import Listener
from locktide.transport.log import Log

SMALL_BUFFER = 4096  # bytes: a response of the largest size does not fit in


async def start_listener(handler: RequestHandlerStub, descriptors: int = 64) -> tuple[Listener, Any]:
    timeouts = {grade.name: grade.timeout for grade in SERVICE_CLASSES}
    listener = Listener(DescriptorBudget(descriptors), dict(timeouts), set(), 200_000, handler, Log("n0"))
    address = free_address()
    listener.listen(address)
    return listener, address


def test_closed_client_is_disconnected_and_half_a_message_is_a_408(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that closes its connection would leave its request running, and a client that sends half a
    message would keep its connection forever. The first must be reported to the request handler, and the
    second must get a 408 after the message timeout.
    """
    monkeypatch.setattr("locktide.transport.client_connection.MESSAGE_TIMEOUT", 0.02)

    async def run() -> None:
        handler = RequestHandlerStub()
        listener, address = await start_listener(handler)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit_bytes(Req_Id="a", Req_Deadline="9000m"))
        await handler.wait_for_requests(1)
        writer.close()
        while not handler.disconnected_ids:
            await asyncio.sleep(0.001)
        assert handler.disconnected_ids == ["a"]
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit_bytes(Req_Id="b", Req_Deadline="9000m")[:30])
        assert (await reader.read()).startswith(b"HTTP/1.1 408 ")
        writer.close()
        await listener.stop()
        assert listener.descriptors.used == 0

    asyncio.run(run())


async def open_proven(address: Any) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return an idle connection whose peer has proven to be a worker."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(callback_bytes(id="s0", state="started", **{"from": "w"}))
    assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
    await reader.readline()
    return reader, writer


def test_silent_or_dripping_newcomer_is_closed_and_a_proven_connection_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections that send nothing, or a byte now and then, would keep their descriptors.

    Both must be closed after the message timeout. A worker that has sent a callback may be idle without
    limit.
    """
    monkeypatch.setattr("locktide.transport.client_connection.MESSAGE_TIMEOUT", 0.1)

    async def run() -> None:
        listener, address = await start_listener(RequestHandlerStub())
        proven_reader, proven_writer = await open_proven(address)
        silent_reader, silent_writer = await asyncio.open_connection(*address)
        dripping_reader, dripping_writer = await asyncio.open_connection(*address)
        for byte in submit_bytes():
            dripping_writer.write(bytes([byte]))
            await asyncio.sleep(0.01)
            if dripping_reader.at_eof():
                break
        assert (await dripping_reader.read()).startswith(b"HTTP/1.1 408 ")
        assert await silent_reader.read() == b""
        proven_writer.write(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
        assert (await proven_reader.readline()).startswith(b"HTTP/1.1 200 ")
        for writer in (proven_writer, silent_writer, dripping_writer):
            writer.close()
        await listener.stop()
        assert listener.descriptors.used == listener.stored_bytes == 0

    asyncio.run(run())


def test_flood_of_newcomers_displaces_only_newcomers() -> None:
    """Thirty connections that send nothing are opened at once.

    If connections were closed by age alone, the idle connection of a worker would be the first. Newcomers
    must be closed for newcomers first.
    """

    async def run() -> None:
        listener, address = await start_listener(RequestHandlerStub(), descriptors=8)
        reader, writer = await open_proven(address)
        flood = [await asyncio.open_connection(*address) for _ in range(30)]
        for silent_reader, _ in flood[:22]:
            assert await silent_reader.read() == b""
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: us\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        for flood_writer in [writer, *(flooding for _, flooding in flood)]:
            flood_writer.close()
        await listener.stop()

    asyncio.run(run())


def test_early_response_outlives_a_large_body_and_nothing_of_it_is_stored() -> None:
    """A client announces 60 MB and gets its 413 at once.

    Closing the connection would answer the rest of the body with a reset, and the response would be lost;
    storing the rest would fill the memory. It must be read and dropped until the client has the response.
    """

    async def run() -> None:
        listener, address = await start_listener(RequestHandlerStub())
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit_bytes()[:-4].replace(b"Length: 0", b"Length: 60000000") + b"\r\n\r\n")
        for _ in range(300):
            writer.write(b"x" * 200_000)
            await writer.drain()
            connection = next(iter(listener.connections))
            assert listener.stored_bytes < 200_000 and len(connection.protocol.reader._buffer) < 100_000  # type: ignore
        writer.write_eof()
        assert (await reader.read()).startswith(b"HTTP/1.1 413 ")
        writer.close()
        await listener.stop()

    asyncio.run(run())


def test_incomplete_messages_beyond_the_memory_limit_are_rejected() -> None:
    """Clients send large messages without their last byte, and the process would store them all until its
    memory is exhausted. The message that exceeds the limit must be rejected with 500.
    """

    async def run() -> None:
        listener, address = await start_listener(RequestHandlerStub())
        streams = []
        for number in range(6):
            reader, writer = await asyncio.open_connection(*address)
            streams.append((reader, writer))
            writer.write(submit_bytes(body=b"x" * 60_000)[:-1])
            while number < 3 and listener.stored_bytes < (number + 1) * 50_000:
                await asyncio.sleep(0.001)
        assert (await streams[5][0].readline()).startswith(b"HTTP/1.1 500 ")
        assert listener.stored_bytes <= 200_000
        for _, writer in streams:
            writer.close()
        await listener.stop()

    asyncio.run(run())


def test_bytes_before_the_response_end_the_request_with_400() -> None:
    """A client states too short a length for its body, so that the rest arrives like a second message.

    The job would run with only a part of its body. Bytes before the response must end the request with 400,
    and its client counts as disconnected.
    """

    async def run() -> None:
        handler = RequestHandlerStub()
        listener, address = await start_listener(handler)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit_bytes(Req_Id="a", Req_Deadline="9000m"))
        await handler.wait_for_requests(1)
        writer.write(b"the rest of a body whose length was wrong")
        assert (await reader.read()).startswith(b"HTTP/1.1 400 ") and handler.disconnected_ids == ["a"]
        writer.close()
        await listener.stop()

    asyncio.run(run())


def test_waiting_clients_leave_room_for_callbacks() -> None:
    """If waiting clients used every descriptor, the callbacks that end their waits could not be accepted. One
    in eight descriptors must stay free of waiting clients; a request beyond that limit fails with 500.
    """

    async def run() -> None:
        handler = RequestHandlerStub()
        listener, address = await start_listener(handler, descriptors=8)
        writers = []
        for number in range(8):
            reader, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            if number < 7:
                writer.write(submit_bytes(Req_Id=f"s{number}", Req_Deadline="9000m"))
        await handler.wait_for_requests(7)
        # One more request fails with 500; only the scheduler sheds load with 503.
        writers[-1].write(submit_bytes(Req_Id="one-more", Req_Deadline="9000m"))
        assert (await reader.readline()).startswith(b"HTTP/1.1 500 ")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(callback_bytes(id="s0", state="started", **{"from": "w"}))
        assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
        for open_writer in [*writers, writer]:
            open_writer.close()
        await listener.stop()

    asyncio.run(run())


def test_wind_down_ends_idle_connections_and_not_those_just_opened() -> None:
    """The first request may be on its way on a connection that was just opened, and a client resends a
    request only on a reused connection: a stop that closes the new connection would lose the request. Only
    idle connections of proven clients may be ended; on others the first message must be served.
    """

    async def run() -> None:
        handler = RequestHandlerStub()
        listener = Listener(DescriptorBudget(20), {"view": 3_000_000}, set(), 1 << 20, handler, Log("n0"))
        address = free_address()
        listener.listen(address)
        kept_reader, kept_writer = await asyncio.open_connection(*address)
        kept_writer.write(b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n")
        await kept_reader.readuntil(b"ok\n")
        connection = next(iter(listener.connections))
        connection.peer = PeerRole.CLIENT  # as by a submission that was answered
        _, new_writer = await asyncio.open_connection(*address)
        while len(listener.connections) < 2:
            await asyncio.sleep(0.001)
        await listener.wind_down()
        assert await kept_reader.read() == b""
        new_writer.write(submit_bytes())
        await handler.wait_for_requests(1)
        await listener.stop()

    asyncio.run(run())


def test_connection_whose_response_crosses_a_stop_ends_once_it_is_idle() -> None:
    """A client read its response slowly while the dispatcher was stopped, and then kept the connection.

    The response had been encoded before the stop and did not announce the end, so the client could send a
    request up to the kill, too late for a response. The connection must end once it is idle.
    """

    async def run() -> None:
        handler = RequestHandlerStub()
        listener, address = await start_listener(handler)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client.connect(address)
        client.setblocking(False)
        client.sendall(submit_bytes())
        await handler.wait_for_requests(1)
        connection = next(iter(listener.connections))
        accepted = connection.writer.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        handler.responses[0].set_result(Response(200, bytes(MAX_BODY_SIZE)))
        while not connection.writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        await listener.wind_down()
        assert connection.state is ConnectionState.SERVING
        received, loop = b"", asyncio.get_running_loop()
        while piece := await asyncio.wait_for(loop.sock_recv(client, MAX_BODY_SIZE), 5.0):
            received += piece
        assert received.startswith(b"HTTP/1.1 200 ") and b"onnection: close" not in received
        assert received.endswith(bytes(MAX_BODY_SIZE))
        client.close()
        await listener.stop()

    asyncio.run(run())


@pytest.mark.parametrize("sent", [b"", submit_bytes()[:30]])
def test_connection_on_which_nothing_has_come_ends_before_the_kill(sent: bytes) -> None:
    """A connection without a complete request could be used up to the kill, too late for a response.

    It must end, while the client of a complete request still waits for its response.
    """

    async def run() -> None:
        handler = RequestHandlerStub()
        listener, address = await start_listener(handler)
        incomplete_reader, incomplete_writer = await asyncio.open_connection(*address)
        incomplete_writer.write(sent)
        waiting_reader, waiting_writer = await asyncio.open_connection(*address)
        waiting_writer.write(submit_bytes(Req_Id="a"))
        await handler.wait_for_requests(1)
        await listener.wind_down()
        just_arrived_reader, just_arrived_writer = await asyncio.open_connection(*address)
        while len(listener.connections) < 3:
            await asyncio.sleep(0.001)
        just_arrived_writer.write(submit_bytes(Req_Id="b"))
        await listener.end_receiving()
        assert await asyncio.wait_for(incomplete_reader.read(), 5.0) == b""
        await handler.wait_for_requests(2)
        for response, reader in zip(handler.responses, (waiting_reader, just_arrived_reader), strict=True):
            response.set_result(Response(200, b"done"))
            assert (await reader.read()).endswith(b"done")
        for writer in (incomplete_writer, waiting_writer, just_arrived_writer):
            writer.close()
        await listener.stop()

    asyncio.run(run())


def test_wind_down_reads_what_has_come_before_it_ends_idle_connections() -> None:
    """On loopback, three or four requests were lost at the same time about 100 ms after SIGTERM.

    Their bytes were at the socket before the stop, but the call to stop takes fewer turns of the event loop
    than bytes do. Bytes that have arrived must be read and served first.
    """

    async def run() -> None:
        handler, stop = RequestHandlerStub(), asyncio.Event()
        listener = Listener(DescriptorBudget(20), {"view": 3_000_000}, set(), 1 << 20, handler, Log("n0"))
        address = free_address()
        listener.listen(address)

        async def wind_down_when_stopped() -> None:
            await stop.wait()
            await listener.wind_down()

        stopping = asyncio.create_task(wind_down_when_stopped())
        client = socket.create_connection(address)
        client.sendall(b"GET /health/live HTTP/1.1\r\nHost: us\r\n\r\n")
        while not listener.connections or next(iter(listener.connections)).state is not ConnectionState.IDLE:
            await asyncio.sleep(0.001)
        next(iter(listener.connections)).peer = PeerRole.CLIENT  # as by a submission that was answered
        await asyncio.sleep(0.02)
        client.sendall(submit_bytes())  # the listener does not run between this line ...
        stop.set()  # ... and this one
        await asyncio.wait_for(handler.wait_for_requests(1), 2.0)
        await stopping
        await listener.stop()
        client.close()

    asyncio.run(run())


class TimeoutRecorder(RequestHandlerStub):
    """Records the remaining time of each request, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.timeouts: dict[str, float] = {}

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response]:
        now = asyncio.get_running_loop().time()
        self.timeouts[message.id] = message.time_left(now) / 1e6
        return super().submit(message)


def test_time_in_the_queue_of_connections_is_taken_off_the_timeout() -> None:
    """Idle clients used all descriptors, and connections waited in the kernel with their requests.

    A request was unread there for 0.65 s. Its deadline was computed from the time of the read, and its worker
    got half a second more than the client had left. The wait that the kernel reports must be subtracted; a
    request that is read at once, and a later one on the same connection, must keep their timeouts.
    """

    async def run() -> None:
        handler = TimeoutRecorder()
        listener, address = await start_listener(handler, descriptors=1)
        first_reader, first = await asyncio.open_connection(*address)
        first.write(submit_bytes(Req_Id="a", Req_Deadline="9000m"))
        await handler.wait_for_requests(1)
        second_reader, second = await asyncio.open_connection(*address)
        second.write(submit_bytes(Req_Id="b", Req_Deadline="9000m"))
        await asyncio.sleep(0.5)  # real time, as the kernel measures the wait
        assert handler.received_ids == ["a"], "the second request was read without a descriptor"
        handler.responses[0].set_result(Response(200))
        await handler.wait_for_requests(2)
        assert handler.timeouts["a"] == 9.0
        assert handler.timeouts["b"] <= 8.55
        handler.responses[1].set_result(Response(200))
        assert (await second_reader.readline()).startswith(b"HTTP/1.1 200 ")
        second.write(submit_bytes(Req_Id="c", Req_Deadline="9000m"))
        await handler.wait_for_requests(3)
        assert handler.timeouts["c"] == 9.0
        first.close()
        second.close()
        await listener.stop()

    asyncio.run(run())


def test_time_behind_a_stalled_loop_is_taken_off_the_timeout_of_a_kept_connection() -> None:
    """A process gets no processor time for 0.3 s while the second request of a connection is in the kernel.

    The wait was subtracted only for the first request of a connection, so the worker got 0.3 s too much.
    """

    async def run() -> None:
        handler = TimeoutRecorder()
        listener, address = await start_listener(handler)
        with socket.create_connection(address, timeout=5.0) as client:
            client.sendall(submit_bytes(Req_Id="a", Req_Deadline="9000m"))
            await handler.wait_for_requests(1)
            handler.responses[0].set_result(Response(200))
            while not next(iter(listener.connections)).is_idle:
                await asyncio.sleep(0.001)
            client.sendall(submit_bytes(Req_Id="b", Req_Deadline="9000m"))
            time.sleep(0.3)  # noqa: ASYNC251 - the stall
            await handler.wait_for_requests(2)
        assert handler.timeouts["a"] == 9.0
        assert handler.timeouts["b"] <= 8.75
        await listener.stop()

    asyncio.run(run())


def test_time_in_the_kernel_is_nothing_where_the_system_does_not_say() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as no_stream:
        assert time_since_data(no_stream) == 0
    assert time_since_data(None) == 0
