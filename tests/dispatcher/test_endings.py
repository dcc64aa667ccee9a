"""Races between endings (docs/design/endings.md): each test forces one order of events."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from helpers import (
    SERVICE_CLASSES,
    CheckedScheduler,
    DispatcherHarness,
    RequestHandlerStub,
    callback_bytes,
    endpoint_entry,
    free_address,
    scheduler_config,
    submit_bytes,
    submit_request,
)

from locktide.config.start import Start
from locktide.dispatcher.attempts import AttemptRunner
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.commands import StartAttempt, WatchEndpoints
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.events import EndpointListUpdate, TimerFired
from locktide.scheduler.state import TimerPurpose
from locktide.scheduler.types import AttemptOutcome, Effect, EndpointState, ListUpdateKind
from locktide.transport.client_connection import ConnectionState, PeerRole
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.endpoint_watch import WAIT_MS
from locktide.transport.interfaces import Response, TransportFailure
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.upstream_connection import UpstreamConnection
from locktide.transport.upstream_pool import UpstreamPool


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def run_with_listener(
    scenario: Callable[[Listener, RequestHandlerStub, Any], Awaitable[None]], descriptors: int = 64
) -> None:
    async def run() -> None:
        handler, address = RequestHandlerStub(), free_address()
        timeouts = {service_class.name: service_class.timeout for service_class in SERVICE_CLASSES}
        listener = Listener(DescriptorBudget(descriptors), timeouts, set(), 400_000, handler, Log("n0"))
        listener.listen(address)
        await scenario(listener, handler, address)
        await listener.stop()
        # All resources are released.
        assert listener.descriptors.used == listener.stored_bytes == listener.waiting_clients == 0

    asyncio.run(run())


def run_with_harness(scenario: Callable[[DispatcherHarness], Awaitable[None]]) -> None:
    async def run() -> None:
        await scenario(DispatcherHarness())

    asyncio.run(run())


async def until(done: Callable[[], Any]) -> None:
    async with asyncio.timeout(10.0):
        while not done():
            await asyncio.sleep(0.001)


# --- clients that disconnect


@pytest.mark.parametrize("disconnect", [socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR)])
def test_request_read_after_its_client_has_gone_is_not_begun(
    disconnect: Callable[[socket.socket], None],
) -> None:
    """A client sends a request and closes its connection before the process has read either.

    The job would run for nobody. A request that is read after the end of its connection was seen must not be
    submitted.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        client = socket.create_connection(address)
        client.sendall(submit_bytes())
        disconnect(client)  # the listener has not run since the connection was established
        while not listener.tasks:
            await asyncio.sleep(0)
        await until(lambda: not listener.tasks)
        assert handler.received_ids == []
        client.close()

    run_with_listener(scenario)


class ConnectedHarness(DispatcherHarness):
    """A harness with open connections to workers: a job is sent in the turn in which it may be."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_messages: list[str] = []

    async def send(
        self, worker: str, address: Any, build: Any, on_sent: Any, on_new_connection: bool = False
    ) -> UpstreamResponse | str:
        message = build()
        if message is None:
            return AttemptOutcome.NEVER_SENT
        self.sent_messages.append(f"{message.method} {worker}")
        on_sent()
        return await super().send(worker, address, build, on_sent, on_new_connection)


@pytest.mark.parametrize("disconnect", [socket.socket.close, reset])
def test_nothing_is_begun_for_a_client_that_went_before(disconnect: Callable[[socket.socket], None]) -> None:
    """A client disconnects while its request waits in the pool, or while its first attempt is running.

    The reader of a stream is notified of its end some loop turns after the end has arrived; a list update or
    a failed attempt leads to the first byte of the next attempt in fewer turns. Neither a first attempt nor a
    retry may be sent after the end has arrived.
    """

    async def run() -> None:
        harness, address = ConnectedHarness(), free_address()
        harness.dispatcher.listener.listen(address)
        for worker in ("w0", "w1", "w2"):
            harness.update_endpoint(worker, EndpointState.DRAINING)
        client = socket.create_connection(address)
        client.sendall(submit_bytes(Req_Deadline="3000m"))
        await until(lambda: harness.dispatcher.registry.open_requests)
        await harness.run_pending_tasks()
        disconnect(client)
        harness.update_endpoint("w1", EndpointState.READY)  # the dispatcher has not run in between
        await until(lambda: not harness.dispatcher.registry.open_requests)
        assert harness.sent_messages == []

        client = socket.create_connection(address)
        client.sendall(submit_bytes(Req_Id="a2", Req_Deadline="3000m"))
        await until(lambda: harness.sent_messages)
        harness.update_endpoint("w2", EndpointState.READY)
        disconnect(client)
        harness.exchanges[-1].end(AttemptOutcome.RESET)  # a retry would be sent to another worker
        await until(lambda: not harness.dispatcher.registry.open_requests)
        assert harness.sent_messages == ["POST w1"]
        await harness.dispatcher.listener.stop()

    asyncio.run(run())


# --- the dispatcher's side of a client connection


def test_last_response_reaches_a_client_that_still_writes() -> None:
    """A dispatcher that is stopping writes its last response while the client still writes.

    If the socket is closed completely, the kernel answers those bytes with a reset, and the client loses the
    part of the response that it has not read. The dispatcher must shut its own side first, and read and drop
    all bytes until the client has ended its side.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        result = b"x" * 300_000
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(address)
        client.setblocking(False)
        client.sendall(submit_bytes(Req_Deadline="3000m"))
        await handler.wait_for_requests(1)
        listener.is_stopping = True
        connection = next(iter(listener.connections))
        handler.responses[0].set_result(Response(200, result))
        await until(lambda: connection.state is ConnectionState.LINGERING or connection.writer.is_closing())
        client.sendall(submit_bytes(Req_Id="a2"))
        received, loop = b"", asyncio.get_running_loop()
        while piece := await asyncio.wait_for(loop.sock_recv(client, 65536), 10.0):
            received += piece
        assert received.endswith(b"\r\n\r\n" + result) and handler.received_ids == ["a1"]
        client.close()
        await until(lambda: not listener.tasks)

    run_with_listener(scenario)


@pytest.mark.parametrize("first", ["bytes", "stop"])
def test_request_that_crosses_a_stop_is_served_or_never_forwarded(first: str) -> None:
    """A request on an idle connection crosses the stop of the dispatcher.

    If its bytes arrive first, it must be served. If the stop comes first, the connection must end without a
    reset and the request must not be forwarded, so that the client can send it again elsewhere.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        client = socket.create_connection(address)
        client.setblocking(False)
        await until(lambda: listener.connections)
        connection = next(iter(listener.connections))
        connection.peer = PeerRole.CLIENT  # as by a submission that was answered
        await until(lambda: connection.state is ConnectionState.IDLE)
        if first == "bytes":
            client.sendall(submit_bytes())
            await listener.wind_down()
            await handler.wait_for_requests(1)
            handler.responses[0].set_result(Response(200, b"done"))
        else:
            await listener.wind_down()
            client.sendall(submit_bytes())
        received, loop = b"", asyncio.get_running_loop()
        while piece := await asyncio.wait_for(loop.sock_recv(client, 65536), 10.0):
            received += piece
        # Without a response, the connection ends without a reset, and the client sends the request elsewhere.
        assert (
            received.endswith(b"done") if first == "bytes" else (received, handler.received_ids) == (b"", [])
        )
        client.close()
        await until(lambda: not listener.tasks)

    run_with_listener(scenario)


def test_lingering_connection_is_closed_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that never ends its side would keep a lingering connection open, and a stop waits for it.

    The connection must be closed when its linger timeout has expired.
    """
    monkeypatch.setattr("locktide.transport.listener.LINGER_TIMEOUT", 0.05)

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        client = socket.create_connection(address)  # stays idle and never ends its side
        await until(lambda: listener.connections)
        connection = next(iter(listener.connections))
        connection.peer = PeerRole.CLIENT
        await until(lambda: connection.state is ConnectionState.IDLE)
        await listener.wind_down()
        assert listener.is_busy()
        await until(lambda: not listener.is_busy())
        client.close()

    run_with_listener(scenario)


# --- descriptors


def test_one_connection_is_evicted_for_each_that_waits_and_no_more() -> None:
    """One connection waited for a descriptor, and an eviction takes some turns of the event loop.

    Connections that became idle meanwhile, as each new connection does, were closed as well, with their first
    message unread. Exactly one connection must be evicted for each that waits.
    """

    async def run() -> None:
        descriptors, closed = DescriptorBudget(2), []
        for name in ("old", "newer"):
            await descriptors.acquire()
            descriptors.mark_idle(name, lambda name=name: closed.append(name), is_proven=False)  # type: ignore[misc]
        waiting = asyncio.create_task(descriptors.acquire())
        await until(lambda: closed)
        descriptors.mark_busy("newer")
        # Like each new connection:
        descriptors.mark_idle("newer", lambda: closed.append("newer"), is_proven=False)
        for _ in range(20):
            await asyncio.sleep(0)
        assert closed == ["old"]
        descriptors.release("old")
        await waiting
        assert descriptors.used == 2 and not descriptors.evicted

    asyncio.run(run())


def test_message_that_has_come_is_read_before_an_eviction() -> None:
    """All descriptors are in use and a new connection waits.

    The next request of the connection that has been idle longest is at the socket already, and closing the
    connection would lose it. The bytes that have arrived must be read first, and another connection is
    closed.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        clients, loop = [socket.create_connection(address) for _ in range(2)], asyncio.get_running_loop()
        await until(lambda: len(listener.connections) == 2)
        await until(
            lambda: all(connection.state is ConnectionState.IDLE for connection in listener.connections)
        )
        clients[0].sendall(submit_bytes())  # on the connection that has been idle longest
        clients.append(socket.create_connection(address))
        for connection in clients:
            connection.setblocking(False)
        # The other connection is closed.
        assert await asyncio.wait_for(loop.sock_recv(clients[1], 1), 5.0) == b""
        await asyncio.wait_for(handler.wait_for_requests(1), 5.0)
        handler.responses[0].set_result(Response(200, b"done"))
        assert (await asyncio.wait_for(loop.sock_recv(clients[0], 1000), 5.0)).endswith(b"done")
        for connection in clients:
            connection.close()
        await until(lambda: not listener.tasks)

    run_with_listener(scenario, descriptors=2)


def test_idle_clients_that_fill_the_descriptors_keep_out_neither_callbacks_nor_clients() -> None:
    """Connections that send nothing use all descriptors, and more of them keep arriving.

    Workers could not send callbacks and clients no requests until those connections time out. Callbacks and
    requests must be accepted as long as there are idle connections to close.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        idle = [socket.create_connection(address) for _ in range(40)]
        for turn in range(30):
            reader, writer = await asyncio.open_connection(*address)
            if turn % 2:
                writer.write(callback_bytes(id="s0", state="started", **{"from": "w"}))
                assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
            else:
                writer.write(submit_bytes(Req_Id=f"s{turn}"))
                await handler.wait_for_requests(turn // 2 + 1)
                handler.responses[-1].set_result(Response(200))
                assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            idle += [socket.create_connection(address) for _ in range(3)]
        for connection in idle:
            connection.close()
        await until(lambda: not listener.tasks)

    run_with_listener(scenario, descriptors=8)


def test_stop_waits_for_a_connection_that_waits_for_its_descriptor() -> None:
    """A connection is accepted and waits for a descriptor when the dispatcher is stopped, and no other work
    is left. An exit would lose the request on it. The stop must count this connection as unfinished work.
    """

    async def scenario(listener: Listener, handler: RequestHandlerStub, address: Any) -> None:
        first = socket.create_connection(address)
        first.sendall(submit_bytes())
        await handler.wait_for_requests(1)
        connection = next(iter(listener.connections))
        second = socket.create_connection(address)
        await until(lambda: listener.descriptors.waiting)
        # As if no other work were left:
        connection.state, connection.peer = ConnectionState.IDLE, PeerRole.CLIENT
        assert listener.is_busy()
        connection.state = ConnectionState.SERVING
        reset(first)
        await until(lambda: len(listener.connections) == 1 and connection not in listener.connections)
        second.close()

    run_with_listener(scenario, descriptors=1)


# --- the start


def test_nothing_is_accepted_before_the_endpoint_list_has_come() -> None:
    """A dispatcher crashed and restarted, and the proxy in front of it sent requests to it at once.

    They were sent to workers according to the old list. The listening socket must not open before the list
    has arrived or the wait for it has timed out.
    """

    async def run() -> None:
        harness, stop, was_called, may_respond = (
            DispatcherHarness(),
            asyncio.Event(),
            asyncio.Event(),
            asyncio.Event(),
        )

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            was_called.set()
            await may_respond.wait()
            body = b'{"rev": 9, "all": true, "targets": []}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        listening = await asyncio.start_server(agent, "127.0.0.1", 0)
        dispatcher = harness.dispatcher
        dispatcher.settings.discovery, dispatcher.startup.listen_address = (
            listening.sockets[0].getsockname(),
            free_address(),
        )
        running = asyncio.create_task(dispatcher.run(stop))
        await was_called.wait()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(dispatcher.startup.listen_address)
        may_respond.set()
        await until(dispatcher.is_ready)
        socket.create_connection(dispatcher.startup.listen_address).close()
        assert not any(dispatcher.endpoints.accepts_requests(worker) for worker in ("w0", "w1", "w2"))
        running.cancel()
        await dispatcher.listener.stop()
        listening.close()

    asyncio.run(run())


# --- attempts


def test_attempt_is_sent_in_the_loop_turn_in_which_the_kernel_takes_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt was cancelled in the same loop turn in which the kernel took its last byte.

    The message counted as incomplete, and its worker, which had received it completely, was not notified. The
    attempt must count as sent in that turn.
    """
    opened: list[UpstreamConnection] = []
    connect = UpstreamConnection.connect

    async def connect_and_record(connection: UpstreamConnection) -> None:
        await connect(connection)
        opened.append(connection)

    monkeypatch.setattr(UpstreamConnection, "connect", connect_and_record)

    async def run() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        pool, sent = UpstreamPool(DescriptorBudget(4), 500_000, 400_000), []
        # Larger than the kernel's send buffer.
        message = UpstreamRequest("POST", "/view", [], b"x" * 20_000_000)
        address = listening.getsockname()
        sending = asyncio.create_task(pool.send("w", address, lambda: message, lambda: sent.append(True)))
        await until(lambda: opened and opened[0].writer.transport.get_write_buffer_size())
        worker, received = listening.accept()[0], [0]

        def read_all() -> None:
            while data := worker.recv(1 << 20):
                received[0] += len(data)

        reading = asyncio.create_task(asyncio.to_thread(read_all))
        while opened[0].writer.transport.get_write_buffer_size():
            await asyncio.sleep(0)
        sending.cancel()  # before any task that waits for the write has run
        with pytest.raises(asyncio.CancelledError):
            await sending
        await reading
        assert received[0] > 20_000_000 and sent == [True] and pool.descriptors.used == 0
        worker.close()
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("status, connection_count", [(202, 1), (204, 2), (503, 2)])
def test_connection_is_not_reused_while_its_response_may_be_sent_twice(
    status: int, connection_count: int
) -> None:
    """A worker sent its 503 twice, some milliseconds apart.

    The second was read as the response to the next job on that connection, although that job ran. A
    connection must not be reused for a while after a response that ends an attempt; after a 202 it may be
    reused at once.
    """
    accepted: list[bool] = []

    async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(True)
        try:
            while True:
                await reader.readuntil(b"x" * 100)
                writer.write(b"HTTP/1.1 %d Told\r\nContent-Length: 0\r\n\r\n" % status)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(worker, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        pool = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        message = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            await pool.send("w", address, lambda: message, lambda: None)
        assert len(accepted) == connection_count
        for connection in pool.idle.by_worker["w"]:
            connection.reusable_at -= 1.0  # as if the window had passed
        await pool.send("w", address, lambda: message, lambda: None)
        assert len(accepted) == connection_count and pool.descriptors.used == connection_count
        pool.close_idle("w")
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("first", ["callback", "break", "refusal"])
def test_accepted_job_is_cancelled_at_its_worker_before_a_broken_connection_ends_it(first: str) -> None:
    """A worker sends a callback about a job, or half a response, and then its connection breaks or it refuses
    the job. Neither proves that the job has ended, so a retry would be a second copy. The worker must confirm
    a cancellation before the attempt ends as reset.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a"))
        attempt = await harness.sent_attempt("a")
        if first != "break":  # the job has started: neither a break before the 202 nor a refusal ends it
            harness.receive_callback("a", attempt.worker, "started")
            attempt.end(AttemptOutcome.RESET if first == "callback" else AttemptOutcome.FULL)
        else:
            attempt.end(TransportFailure.INVALID_RESPONSE)  # half a response: the worker may have the job
        await harness.run_pending_tasks()
        assert harness.outcomes() == [] and len(harness.exchanges) == 2
        message = harness.exchanges[-1].build()
        assert message is not None and message.method == "DELETE"
        harness.exchanges[-1].respond(204)
        await harness.run_pending_tasks()
        assert harness.outcomes() == [AttemptOutcome.RESET]

    run_with_harness(scenario)


def test_repeated_callback_about_an_earlier_attempt_does_not_end_the_later_one_there() -> None:
    """The 204 to a callback was lost, so the worker repeated 'returned' while it had a later attempt of the
    same request. The repeated callback ended the later attempt, and a job that was running counted as never
    run. A callback that may be about either attempt must not end the later one before the worker has
    confirmed a cancellation.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.update_endpoint("w1", EndpointState.DRAINING)
        harness.update_endpoint("w2", EndpointState.DRAINING)
        harness.dispatcher.submit(submit_request("a", service_class="cash"))
        first = await harness.sent_attempt("a")
        first.respond(202)
        harness.receive_callback("a", "w0", "returned")
        await harness.run_pending_tasks()
        request, scheduler = harness.dispatcher.registry.open_requests["a"], harness.dispatcher.scheduler
        scheduler.endpoints.by_id["w0"].unavailable_until = scheduler.requests.open["a"].not_before = 0
        await until(lambda: len(request.attempts) == 2)  # no other worker is available
        await harness.run_pending_tasks()
        assert harness.exchanges[-1].build() is not None
        harness.exchanges[-1].on_sent()
        harness.receive_callback("a", "w0", "returned")
        await harness.run_pending_tasks()
        assert (
            harness.outcomes() == [AttemptOutcome.FULL] and harness.exchanges[-1].build().method == "DELETE"  # type: ignore
        )
        harness.exchanges[-1].respond(204)
        await harness.run_pending_tasks()
        # An at-most-once request is not retried.
        assert (
            harness.outcomes() == [AttemptOutcome.FULL, AttemptOutcome.CONNECTION_CLOSED]
            and not request.is_open
        )

    run_with_harness(scenario)


def test_no_retry_is_sent_once_its_idempotency_key_may_be_forgotten() -> None:
    """A retry with an idempotency key is commanded in time, but its connection is established late.

    By then the worker may have forgotten the key of the first attempt and would run the job again. After that
    time no byte may be sent, and the request must fail at once.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a", service_class="record", timeout=6_000_000))
        first = await harness.sent_attempt("a")
        first.end(AttemptOutcome.RESET)
        request = harness.dispatcher.registry.open_requests["a"]
        await until(lambda: len(request.attempts) == 2)
        await harness.run_pending_tasks()
        retry = harness.exchanges[-1]
        sent_at = request.attempts[0].sent_at
        window = next(
            service_class for service_class in SERVICE_CLASSES if service_class.name == "record"
        ).deduplication_window
        assert abs(request.attempts[1].send_before - sent_at - window) < 100_000
        harness.dispatcher.clock.offset += (
            request.attempts[1].send_before - harness.dispatcher.clock.now() + 1000
        ) / 1e6
        assert retry.build() is None
        retry.end(AttemptOutcome.NEVER_SENT)
        await harness.run_pending_tasks()
        assert not request.is_open and request.response.result().status == 502  # the request fails at once

    run_with_harness(scenario)


@pytest.mark.parametrize("stage", ["ordered", "sent"])
def test_reload_leaves_an_open_request_its_service_class_and_deduplication_window(stage: str) -> None:
    """A reload may change the effect, the deduplication window and the timeout of a service class while a
    request of this class is open. Under the new values the request could not be retried, or would be retried
    too late. It must keep the values of its arrival, whether its attempt is sent before or after the reload.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a", service_class="record", timeout=6_000_000))
        first = await (harness.started_attempt if stage == "ordered" else harness.sent_attempt)("a")
        config = scheduler_config(3, 1, False, 0.4)
        changed: dict[str, Any] = {
            "effect": Effect.AT_MOST_ONCE,
            "deduplication_window": 0,
            "timeout": 50_000,
        }
        classes = [replace(service_class, **changed) for service_class in config.service_classes]
        config = replace(config, service_classes=classes)
        here = ("127.0.0.1", 9)
        harness.dispatcher.reload(Start("n0", here, here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, config))
        if stage == "ordered":
            assert first.build() is not None
            first.on_sent()
        await harness.run_pending_tasks()
        first.end(AttemptOutcome.RESET)
        request = harness.dispatcher.registry.open_requests["a"]
        # The request still has an idempotency key and may be retried.
        await until(lambda: len(request.attempts) == 2)
        window = next(
            service_class for service_class in SERVICE_CLASSES if service_class.name == "record"
        ).deduplication_window
        assert abs(request.attempts[1].send_before - request.attempts[0].sent_at - window) < 100_000
        assert request.deadline - harness.dispatcher.clock.now() > 5_000_000
        assert harness.dispatcher.follower.watch_task is not None
        harness.dispatcher.follower.watch_task.cancel()

    run_with_harness(scenario)


# --- the watch of the endpoint list


@pytest.mark.parametrize(
    "kind, longest_delay",
    [(ListUpdateKind.FETCH_TIMED_OUT, 2_000_000), (ListUpdateKind.FETCH_FAILED, 4_000_000)],
)
def test_after_a_failed_call_the_next_comes_before_a_change_counts_as_notified(
    kind: ListUpdateKind, longest_delay: int
) -> None:
    """If discovery was polled, the wait after a failed call was up to four polling intervals.

    The dispatcher used an old list for up to ten seconds. After a failure the next call must be made within
    the time after which a change counts as notified.
    """
    for seed in range(20):
        checked = CheckedScheduler(seed, is_polled=True)
        config = checked.scheduler.config
        endpoint_list = replace(config.current.endpoint_list, notified_within=6_000_000)
        config.current = replace(config.current, endpoint_list=endpoint_list)
        checked.update_endpoints(endpoint_entry("w0"), kind=ListUpdateKind.CACHED)
        while WatchEndpoints(True) not in checked.pass_time(100_000):
            pass
        for _ in range(4):  # an outage
            checked.update_endpoints(kind=kind)
            failed_at = checked.now
            while WatchEndpoints(True) not in checked.pass_time(20_000):
                assert checked.now - failed_at <= longest_delay


def test_call_without_response_times_out_in_half_the_time_after_which_a_change_counts_as_notified() -> None:
    """Discovery is down, and a call to it may have to wait for its turn for some seconds.

    If a call without a response were awaited that long, a change would count as notified before the next
    call. Such a call must time out after half of the time after which a change counts as notified.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        calls: list[float] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(harness.dispatcher.loop.time())
            await reader.read()
            calls.append(harness.dispatcher.loop.time())

        listening = await asyncio.start_server(silent, "127.0.0.1", 0)
        endpoint_list = EndpointListConfig(True, 10_000_000, notified_within=200_000)
        config = harness.dispatcher.scheduler.config
        harness.dispatcher.settings.endpoint_list = endpoint_list
        config.current = replace(config.current, endpoint_list=endpoint_list)
        harness.dispatcher.settings.discovery = listening.sockets[0].getsockname()
        harness.dispatcher.follower.watch(harness.dispatcher.follower.follow())
        await until(lambda: len(calls) == 2)
        # The call may take the wait that it requests (WAIT_MS) and half of the notification time beyond it.
        assert calls[1] - calls[0] < WAIT_MS / 1000 + 1.0
        await until(
            lambda: any(
                EndpointListUpdate(ListUpdateKind.FETCH_TIMED_OUT, []) in events
                for _, events in harness.steps
            )
        )
        assert harness.dispatcher.follower.watch_task is not None
        harness.dispatcher.follower.watch_task.cancel()
        listening.close()

    run_with_harness(scenario)


# --- errors in the scheduler


@pytest.mark.parametrize("where", ["queue_timeout", "draw"])
def test_exception_in_the_scheduler_fails_only_the_request_on_which_it_shows(where: str) -> None:
    """An exception in the scheduler could abort its step, and the events of all other requests in that step
    would be lost: their clients would wait until the deadline. Only the request that causes the exception may
    fail, with 502 at once.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        scheduler: Any = harness.dispatcher.scheduler
        mechanism = scheduler.load_shedder if where == "queue_timeout" else scheduler.placement
        original = getattr(mechanism, where)

        def failing(*arguments: Any) -> Any:
            request = arguments[0] if where == "queue_timeout" else scheduler.requests.waiting[0]
            if request.id == "faulty":
                raise ValueError("injected error")
            return original(*arguments)

        setattr(mechanism, where, failing)
        responses = {
            name: harness.dispatcher.submit(submit_request(name)) for name in ("one", "faulty", "two")
        }
        await harness.run_pending_tasks()
        assert responses["faulty"] is not None and responses["faulty"].result().status == 502
        assert [len(harness.dispatcher.registry.open_requests[name].attempts) for name in ("one", "two")] == [
            1,
            1,
        ]
        assert "faulty" not in harness.dispatcher.registry.open_requests and any(
            "injected error" in line for line in harness.lines_logged
        )

    run_with_harness(scenario)


def test_exception_at_a_timer_of_the_scheduler_fails_only_its_request() -> None:
    """After an exception in the scheduler at the timer of an attempt, nothing would end the request before
    its deadline. The request must get its 502 at once, and the worker a cancellation.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        scheduler: Any = harness.dispatcher.scheduler

        def failing(attempt: Any) -> None:
            raise ValueError("injected error")

        scheduler.timeouts.check = failing
        response = harness.dispatcher.submit(submit_request("a"))
        (await harness.sent_attempt("a")).respond(202)
        timers = scheduler.timers.pending
        timer_id = next(timer_id for timer_id, target in timers.items() if target is not TimerPurpose.ROUND)
        harness.dispatcher.bridge.enqueue_event(TimerFired(timer_id))
        await harness.run_pending_tasks()
        assert response is not None and response.result().status == 502
        assert harness.exchanges[-1].build().method == "DELETE"  # type: ignore[union-attr]
        harness.exchanges[-1].respond(204)
        await harness.run_pending_tasks()
        assert not harness.dispatcher.registry.open_requests and not scheduler.requests.open

    run_with_harness(scenario)


def test_exception_in_a_round_or_an_observer_fails_no_request() -> None:
    """An exception in a placement round, or in an observer such as the cluster's, could stop the handling of
    events, and requests in the pool would never be placed. The next round must place them, and an exception
    in the observer must only be logged.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        rounds: Any = harness.dispatcher.scheduler.rounds
        original, has_failed = rounds.place_waiting, [False]

        def fail_once() -> None:
            if not has_failed[0]:
                has_failed[0] = True
                raise ValueError("injected error")
            original()

        def failing_observer(message: Any) -> None:
            raise ValueError("injected observer error")

        rounds.place_waiting = fail_once
        harness.dispatcher.bridge.observers.append(failing_observer)
        harness.dispatcher.submit(submit_request("a"))
        await until(lambda: harness.dispatcher.registry.open_requests["a"].attempts)  # in the next round
        assert has_failed[0] and any("injected observer error" in line for line in harness.lines_logged)

    run_with_harness(scenario)


def test_command_that_fails_does_not_keep_the_others_from_being_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One command of a step fails with an exception.

    If the step ended there, the commands after it would be lost, and with them the attempts of other
    requests. Each command must be executed even if an earlier one has failed.
    """
    start_attempt = AttemptRunner.start_attempt

    def failing(runner: AttemptRunner, command: StartAttempt) -> None:
        if command.request_id == "faulty":
            raise ValueError("injected error")
        start_attempt(runner, command)

    monkeypatch.setattr(AttemptRunner, "start_attempt", failing)

    async def scenario(harness: DispatcherHarness) -> None:
        for name in ("faulty", "one", "two"):
            harness.dispatcher.submit(submit_request(name))
        await harness.run_pending_tasks()
        assert [
            len(harness.dispatcher.registry.open_requests[name].attempts) for name in ("faulty", "one", "two")
        ] == [0, 1, 1]

    run_with_harness(scenario)
