"""What is owed when something ends (docs/design/endings.md): each crossing forced, by what was observed."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from helpers import GRADES, Checked, Clerk, HandPlayed, call, free_address, listed, submission, submit, terms

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


def served(story: Callable[[Listener, Clerk, Any], Awaitable[None]], places: int = 64) -> None:
    async def run() -> None:
        clerk, address = Clerk(), free_address()
        limits = {grade.name: grade.timeout for grade in GRADES}
        server = Listener(DescriptorBudget(places), limits, set(), 400_000, clerk, Log("n0"))
        server.listen(address)
        await story(server, clerk, address)
        await server.stop()
        assert (
            server.descriptors.used == server.stored_bytes == server.waiting_clients == 0
        )  # all was given back

    asyncio.run(run())


def played(story: Callable[[HandPlayed], Awaitable[None]]) -> None:
    async def run() -> None:
        await story(HandPlayed())

    asyncio.run(run())


async def until(done: Callable[[], Any]) -> None:
    async with asyncio.timeout(10.0):
        while not done():
            await asyncio.sleep(0.001)


# --- a client that goes


@pytest.mark.parametrize("go", [socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR)])
def test_request_read_after_its_client_has_gone_is_not_begun(go: Callable[[socket.socket], None]) -> None:
    """A client sends a request and closes its connection before the process has read either.

    The job would run for nobody. What is read after the end was seen must not be begun.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        client = socket.create_connection(address)
        client.sendall(submit())
        go(client)  # nothing of ours has run since the connection came up
        while not server.tasks:
            await asyncio.sleep(0)
        await until(lambda: not server.tasks)
        assert clerk.taken == []
        client.close()

    served(story)


class Prompt(HandPlayed):
    """Its connections to workers are at hand: each first byte goes out in the turn in which it may."""

    def __init__(self) -> None:
        super().__init__()
        self.begun: list[str] = []

    async def send(
        self, worker: str, address: Any, build: Any, sent: Any, fresh: bool = False
    ) -> UpstreamResponse | str:
        question = build()
        if question is None:
            return AttemptOutcome.NEVER_SENT
        self.begun.append(f"{question.method} {worker}")
        sent()
        return await super().send(worker, address, build, sent, fresh)


@pytest.mark.parametrize("go", [socket.socket.close, reset])
def test_nothing_is_begun_for_a_client_that_went_before(go: Callable[[socket.socket], None]) -> None:
    """A client leaves while its request waits in the pool, or while its first attempt is running.

    The reader of a stream learns of its end some loop turns after it has come; a list update or a broken
    attempt takes fewer turns to the first byte of the next attempt. Neither a first attempt nor a retry may
    begin after the end has come.
    """

    async def run() -> None:
        play, address = Prompt(), free_address()
        play.node.listener.listen(address)
        for worker in ("w0", "w1", "w2"):
            play.list(worker, EndpointState.DRAINING)
        client = socket.create_connection(address)
        client.sendall(submit(Req_Deadline="3000m"))
        await until(lambda: play.node.registry.open_requests)
        await play.settle()
        go(client)
        play.list("w1", EndpointState.READY)  # nothing of ours ran in between
        await until(lambda: not play.node.registry.open_requests)
        assert play.begun == []

        client = socket.create_connection(address)
        client.sendall(submit(Req_Id="a2", Req_Deadline="3000m"))
        await until(lambda: play.begun)
        play.list("w2", EndpointState.READY)
        go(client)
        play.asked[-1].end(AttemptOutcome.RESET)  # it would go to another
        await until(lambda: not play.node.registry.open_requests)
        assert play.begun == ["POST w1"]
        await play.node.listener.stop()

    asyncio.run(run())


# --- our side of a client's connection


def test_last_response_reaches_a_client_that_still_writes() -> None:
    """A dispatcher that is stopping writes its last response while the client still writes.

    A socket that is closed altogether answers that with a reset, and the kernel drops what the client has
    not read: the response is lost. Our side must be shut first, and what comes is read and dropped until the
    client has ended its side.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        result = b"x" * 300_000
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(address)
        client.setblocking(False)
        client.sendall(submit(Req_Deadline="3000m"))
        await clerk.until(1)
        server.is_stopping = True
        caller = next(iter(server.connections))
        clerk.answers[0].set_result(Response(200, result))
        await until(lambda: caller.state is ConnectionState.LINGERING or caller.writer.is_closing())
        client.sendall(submit(Req_Id="a2"))
        received, loop = b"", asyncio.get_running_loop()
        while piece := await asyncio.wait_for(loop.sock_recv(client, 65536), 10.0):
            received += piece
        assert received.endswith(b"\r\n\r\n" + result) and clerk.taken == ["a1"]
        client.close()
        await until(lambda: not server.tasks)

    served(story)


@pytest.mark.parametrize("first", ["bytes", "stop"])
def test_request_that_crosses_a_stop_is_served_or_never_forwarded(first: str) -> None:
    """A request crosses the stop of the dispatcher on an idle connection.

    Where its bytes come first, it must be served. Where the stop comes first, the connection must end
    without a reset and nothing is forwarded, so that the client can send the request again elsewhere.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        client = socket.create_connection(address)
        client.setblocking(False)
        await until(lambda: server.connections)
        caller = next(iter(server.connections))
        caller.peer = PeerRole.CLIENT  # as by a submission that was answered
        await until(lambda: caller.state is ConnectionState.IDLE)
        if first == "bytes":
            client.sendall(submit())
            await server.wind_down()
            await clerk.until(1)
            clerk.answers[0].set_result(Response(200, b"done"))
        else:
            await server.wind_down()
            client.sendall(submit())
        received, loop = b"", asyncio.get_running_loop()
        while piece := await asyncio.wait_for(loop.sock_recv(client, 65536), 10.0):
            received += piece
        # Without an answer it ends with an end, never with a reset, and the client sends it anew elsewhere.
        assert received.endswith(b"done") if first == "bytes" else (received, clerk.taken) == (b"", [])
        client.close()
        await until(lambda: not server.tasks)

    served(story)


def test_lingering_connection_is_closed_after_its_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that never ends its side would keep a lingering connection open, and a stop waits for that.

    The connection must be closed when its time to linger is over.
    """
    monkeypatch.setattr("locktide.transport.listener.LINGER_TIMEOUT", 0.05)

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        client = socket.create_connection(address)  # rests, and never ends its side
        await until(lambda: server.connections)
        caller = next(iter(server.connections))
        caller.peer = PeerRole.CLIENT
        await until(lambda: caller.state is ConnectionState.IDLE)
        await server.wind_down()
        assert server.is_busy()
        await until(lambda: not server.is_busy())
        client.close()

    served(story)


# --- descriptors


def test_one_connection_is_evicted_for_each_that_waits_and_no_more() -> None:
    """One connection waited for a descriptor, and an eviction takes some turns of the event loop.

    What became idle meanwhile, as each new connection does, was closed too, with its first message unread.
    Exactly one must be evicted for each that waits.
    """

    async def run() -> None:
        places, closed = DescriptorBudget(2), []
        for name in ("old", "newer"):
            await places.acquire()
            places.mark_idle(name, lambda name=name: closed.append(name), proven=False)  # type: ignore[misc]
        waiting = asyncio.create_task(places.acquire())
        await until(lambda: closed)
        places.mark_busy("newer")
        places.mark_idle("newer", lambda: closed.append("newer"), proven=False)  # as each does once open
        for _ in range(20):
            await asyncio.sleep(0)
        assert closed == ["old"]
        places.release("old")
        await waiting
        assert places.used == 2 and not places.evicted

    asyncio.run(run())


def test_message_that_has_come_is_read_before_an_eviction() -> None:
    """All descriptors are in use and a new connection waits.

    The connection that has been idle longest has its next request at the socket already, and would lose it
    with its close. What has come must be read first, and another connection is closed.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        clients, loop = [socket.create_connection(address) for _ in range(2)], asyncio.get_running_loop()
        await until(lambda: len(server.connections) == 2)
        await until(lambda: all(one.state is ConnectionState.IDLE for one in server.connections))
        clients[0].sendall(submit())  # the one that rested longest
        clients.append(socket.create_connection(address))
        for one in clients:
            one.setblocking(False)
        assert await asyncio.wait_for(loop.sock_recv(clients[1], 1), 5.0) == b""  # the other one goes
        await asyncio.wait_for(clerk.until(1), 5.0)
        clerk.answers[0].set_result(Response(200, b"done"))
        assert (await asyncio.wait_for(loop.sock_recv(clients[0], 1000), 5.0)).endswith(b"done")
        for one in clients:
            one.close()
        await until(lambda: not server.tasks)

    served(story, places=2)


def test_idle_clients_that_fill_the_descriptors_keep_out_neither_callbacks_nor_clients() -> None:
    """Connections that send nothing fill the descriptors and go on coming.

    Workers could not call back and clients could not send until those time out. Callbacks and requests must
    get in while there are idle connections to close.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        idle = [socket.create_connection(address) for _ in range(40)]
        for turn in range(30):
            reader, writer = await asyncio.open_connection(*address)
            if turn % 2:
                writer.write(call(id="s0", state="started", **{"from": "w"}))
                assert (await reader.readline()).startswith(b"HTTP/1.1 204 ")
            else:
                writer.write(submit(Req_Id=f"s{turn}"))
                await clerk.until(turn // 2 + 1)
                clerk.answers[-1].set_result(Response(200))
                assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            idle += [socket.create_connection(address) for _ in range(3)]
        for one in idle:
            one.close()
        await until(lambda: not server.tasks)

    served(story, places=8)


def test_stop_waits_for_a_connection_that_waits_for_its_descriptor() -> None:
    """A connection is accepted and waits for a descriptor when the dispatcher is stopped, and nothing else
    is owed. An exit then would lose the request on it. The stop must count it as work that is not
    finished.
    """

    async def story(server: Listener, clerk: Clerk, address: Any) -> None:
        first = socket.create_connection(address)
        first.sendall(submit())
        await clerk.until(1)
        caller = next(iter(server.connections))
        second = socket.create_connection(address)
        await until(lambda: server.descriptors.waiting)
        caller.state, caller.peer = ConnectionState.IDLE, PeerRole.CLIENT  # as if nothing else were owed
        assert server.is_busy()
        caller.state = ConnectionState.SERVING
        reset(first)
        await until(lambda: len(server.connections) == 1 and caller not in server.connections)
        second.close()

    served(story, places=1)


# --- a start


def test_nothing_is_accepted_before_the_endpoint_list_has_come() -> None:
    """A dispatcher died and came back, and the proxy in front sent requests to it at once.

    They were sent to workers by the list from before. The listening socket must not open before the list has
    come, or its time is over.
    """

    async def run() -> None:
        play, stop, asked, go = HandPlayed(), asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            asked.set()
            await go.wait()
            body = b'{"rev": 9, "all": true, "targets": []}'
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await reader.read()

        listening = await asyncio.start_server(agent, "127.0.0.1", 0)
        node = play.node
        node.settings.discovery, node.startup.listen_address = (
            listening.sockets[0].getsockname(),
            free_address(),
        )
        running = asyncio.create_task(node.run(stop))
        await asked.wait()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(node.startup.listen_address)
        go.set()
        await until(node.is_ready)
        socket.create_connection(node.startup.listen_address).close()
        assert not any(node.endpoints.accepts_requests(worker) for worker in ("w0", "w1", "w2"))
        running.cancel()
        await node.listener.stop()
        listening.close()

    asyncio.run(run())


# --- a dispatch


def test_attempt_is_sent_in_the_loop_turn_in_which_the_kernel_takes_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt was cancelled in the very loop turn in which the kernel took its last byte.

    The message counted as incomplete, and its worker, which had it whole, was not notified. The attempt must
    count as sent in that turn.
    """
    made: list[UpstreamConnection] = []
    connect = UpstreamConnection.connect

    async def noted(connection: UpstreamConnection) -> None:
        await connect(connection)
        made.append(connection)

    monkeypatch.setattr(UpstreamConnection, "connect", noted)

    async def run() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        connections, sent = UpstreamPool(DescriptorBudget(4), 500_000, 400_000), []
        question = UpstreamRequest(
            "POST", "/view", [], b"x" * 20_000_000
        )  # more than the kernel takes at once
        at = listening.getsockname()
        asking = asyncio.create_task(connections.send("w", at, lambda: question, lambda: sent.append(True)))
        await until(lambda: made and made[0].writer.transport.get_write_buffer_size())
        worker, received = listening.accept()[0], [0]

        def read_all() -> None:
            while piece := worker.recv(1 << 20):
                received[0] += len(piece)

        reading = asyncio.create_task(asyncio.to_thread(read_all))
        while made[0].writer.transport.get_write_buffer_size():
            await asyncio.sleep(0)
        asking.cancel()  # before anything that waits for the write has run
        with pytest.raises(asyncio.CancelledError):
            await asking
        await reading
        assert received[0] > 20_000_000 and sent == [True] and connections.descriptors.used == 0
        worker.close()
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("status, meets", [(202, 1), (204, 2), (503, 2)])
def test_connection_is_not_reused_while_its_response_may_be_sent_twice(status: int, meets: int) -> None:
    """A worker sent its 503 twice, some milliseconds apart.

    The second was read as the response to the next job on that connection, which ran. A connection must rest
    after a response that ends an attempt; after a 202 it need not.
    """
    met: list[bool] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        met.append(True)
        try:
            while True:
                await reader.readuntil(b"x" * 100)
                writer.write(b"HTTP/1.1 %d Told\r\nContent-Length: 0\r\n\r\n" % status)
        except asyncio.IncompleteReadError:
            writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        at = listening.sockets[0].getsockname()
        connections = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        question = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            await connections.send("w", at, lambda: question, lambda: None)
        assert len(met) == meets
        for kept in connections.idle.by_worker["w"]:
            kept.reusable_at -= 1.0  # it has rested
        await connections.send("w", at, lambda: question, lambda: None)
        assert len(met) == meets and connections.descriptors.used == meets
        connections.close_idle("w")
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("first", ["callback", "break", "refusal"])
def test_accepted_job_is_cancelled_at_its_worker_before_a_broken_connection_ends_it(first: str) -> None:
    """A worker calls back about a job, or sends half a response, and then its connection breaks or it
    refuses the job. Neither says that the job has ended: a retry on the strength of it is a second copy.
    The worker must confirm a cancellation first; then the break counts.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        shot = await play.sent("a")
        if first != "break":  # it has started: neither a break before the 202 nor a refusal ends that
            play.call("a", shot.worker, "started")
            shot.end(AttemptOutcome.RESET if first == "callback" else AttemptOutcome.FULL)
        else:
            shot.end(TransportFailure.INVALID_RESPONSE)  # half a reply: it may have
        await play.settle()
        assert play.outcomes() == [] and len(play.asked) == 2
        question = play.asked[-1].build()
        assert question is not None and question.method == "DELETE"
        play.asked[-1].reply(204)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.RESET]

    played(story)


def test_repeated_callback_about_an_earlier_attempt_does_not_end_the_later_one_there() -> None:
    """The 204 to a callback was lost, so the worker sent 'returned' again, while a later attempt of the same
    request was there. The repeated callback ended the later one: what ran by then counted as never run. A
    callback that may be about either attempt must not end the later one before its worker has confirmed a
    cancellation.
    """

    async def story(play: HandPlayed) -> None:
        play.list("w1", EndpointState.DRAINING)
        play.list("w2", EndpointState.DRAINING)
        play.node.submit(submission("a", grade="cash"))
        first = await play.sent("a")
        first.reply(202)
        play.call("a", "w0", "returned")
        await play.settle()
        held, scheduler = play.node.registry.open_requests["a"], play.node.scheduler
        scheduler.endpoints.by_id["w0"].unavailable_until = scheduler.requests.open["a"].not_before = 0
        await until(lambda: len(held.attempts) == 2)  # there is nowhere else to go
        await play.settle()
        assert play.asked[-1].build() is not None
        play.asked[-1].sent()
        play.call("a", "w0", "returned")
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.FULL] and play.asked[-1].build().method == "DELETE"  # type: ignore
        play.asked[-1].reply(204)
        await play.settle()
        assert (
            play.outcomes() == [AttemptOutcome.FULL, AttemptOutcome.CONNECTION_CLOSED] and not held.is_open
        )  # at-most-once: given up

    played(story)


def test_no_retry_is_sent_once_its_idempotency_key_may_be_forgotten() -> None:
    """A retry with an idempotency key is commanded in time, and its connection comes up late.

    By then the worker has forgotten the key of the first attempt and would run the job again. Past that time
    no byte may be sent, and the request fails at once.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", grade="record", patience=6_000_000))
        first = await play.sent("a")
        first.end(AttemptOutcome.RESET)
        held = play.node.registry.open_requests["a"]
        await until(lambda: len(held.attempts) == 2)
        await play.settle()
        late = play.asked[-1]
        sent_at = held.attempts[0].sent_at
        memory = next(grade for grade in GRADES if grade.name == "record").deduplication_window
        assert abs(held.attempts[1].send_before - sent_at - memory) < 100_000
        play.node.clock.offset += (held.attempts[1].send_before - play.node.clock.now() + 1000) / 1e6
        assert late.build() is None
        late.end(AttemptOutcome.NEVER_SENT)
        await play.settle()
        assert not held.is_open and held.response.result().status == 502  # and is given up at once

    played(story)


@pytest.mark.parametrize("when", ["ordered", "sent"])
def test_reload_leaves_an_open_request_its_service_class_and_deduplication_window(when: str) -> None:
    """A reload may change the effect, the deduplication window and the timeout of a service class while a
    request of it is open. Judged by the new class, the request could not be retried, or would be repeated
    too late. It must keep the class with which it came, whether its attempt was sent before the reload or
    after it.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", grade="record", patience=6_000_000))
        first = await (play.ordered if when == "ordered" else play.sent)("a")
        told = terms(3, 1, False, 0.4)
        changed: dict[str, Any] = {
            "effect": Effect.AT_MOST_ONCE,
            "deduplication_window": 0,
            "timeout": 50_000,
        }
        classes = [replace(grade, **changed) for grade in told.service_classes]
        told = replace(told, service_classes=classes)
        here = ("127.0.0.1", 9)
        play.node.reload(Start("n0", here, here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, told))
        if when == "ordered":
            assert first.build() is not None
            first.sent()
        await play.settle()
        first.end(AttemptOutcome.RESET)
        held = play.node.registry.open_requests["a"]
        await until(lambda: len(held.attempts) == 2)  # numbered, as it came: it may be repeated
        memory = next(grade for grade in GRADES if grade.name == "record").deduplication_window
        assert abs(held.attempts[1].send_before - held.attempts[0].sent_at - memory) < 100_000
        assert held.deadline - play.node.clock.now() > 5_000_000
        assert play.node.follower.watch_task is not None
        play.node.follower.watch_task.cancel()

    played(story)


# --- the watch


@pytest.mark.parametrize(
    "kind, most", [(ListUpdateKind.FETCH_TIMED_OUT, 2_000_000), (ListUpdateKind.FETCH_FAILED, 4_000_000)]
)
def test_after_a_failed_call_the_next_comes_before_a_change_counts_as_notified(
    kind: ListUpdateKind, most: int
) -> None:
    """Where discovery is polled, four polling intervals were allowed after a call that failed, and used.

    The dispatcher went by a list from before for up to ten seconds. After a failure the next call must come
    within the time after which a change counts as notified.
    """
    for seed in range(20):
        service = Checked(seed, must_ask=True)
        config = service.dispatcher.config
        listing = replace(config.current.endpoint_list, notified_within=6_000_000)
        config.current = replace(config.current, endpoint_list=listing)
        service.list(listed("w0"), kind=ListUpdateKind.CACHED)
        while WatchEndpoints(True) not in service.pass_time(100_000):
            pass
        for _ in range(4):  # an outage
            service.list(kind=kind)
            failed_at = service.now
            while WatchEndpoints(True) not in service.pass_time(20_000):
                assert service.now - failed_at <= most


def test_call_without_response_times_out_in_half_the_time_after_which_a_change_counts_as_notified() -> None:
    """Discovery is down, and a call to it may wait its turn for some seconds.

    Waited for as long as that, a change would count as notified before the next call is made. A call without
    a response must be given up in half of that time.
    """

    async def story(play: HandPlayed) -> None:
        calls: list[float] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(play.node.loop.time())
            await reader.read()
            calls.append(play.node.loop.time())

        listening = await asyncio.start_server(silent, "127.0.0.1", 0)
        listing = EndpointListConfig(True, 10_000_000, notified_within=200_000)
        config = play.node.scheduler.config
        play.node.settings.endpoint_list = listing
        config.current = replace(config.current, endpoint_list=listing)
        play.node.settings.discovery = listening.sockets[0].getsockname()
        play.node.follower.watch(play.node.follower.follow())
        await until(lambda: len(calls) == 2)
        # It may wait as long as we ask it to (WAIT_MS), and half of that time beyond.
        assert calls[1] - calls[0] < WAIT_MS / 1000 + 1.0
        await until(
            lambda: any(
                EndpointListUpdate(ListUpdateKind.FETCH_TIMED_OUT, []) in news for _, news in play.turns
            )
        )
        assert play.node.follower.watch_task is not None
        play.node.follower.watch_task.cancel()
        listening.close()

    played(story)


# --- the decisions


@pytest.mark.parametrize("where", ["queue_timeout", "draw"])
def test_exception_in_the_scheduler_fails_only_the_request_on_which_it_shows(where: str) -> None:
    """An exception in the scheduler could end its step, and with it the events of every other request in it:
    their clients would wait until the deadline. Only the request on which the fault shows may end, with
    502 at once.
    """

    async def story(play: HandPlayed) -> None:
        scheduler: Any = play.node.scheduler
        mechanism = scheduler.load_shedder if where == "queue_timeout" else scheduler.placement
        sound = getattr(mechanism, where)

        def faulty(*given: Any) -> Any:
            request = given[0] if where == "queue_timeout" else scheduler.requests.waiting[0]
            if request.id == "poor":
                raise ValueError("out of sorts")
            return sound(*given)

        setattr(mechanism, where, faulty)
        answers = {name: play.node.submit(submission(name)) for name in ("one", "poor", "two")}
        await play.settle()
        assert answers["poor"] is not None and answers["poor"].result().status == 502
        assert [len(play.node.registry.open_requests[name].attempts) for name in ("one", "two")] == [1, 1]
        assert "poor" not in play.node.registry.open_requests and any(
            "out of sorts" in line for line in play.lines_logged
        )

    played(story)


def test_exception_at_a_timer_of_the_scheduler_fails_only_its_request() -> None:
    """An exception in the scheduler at the timer of an attempt leaves a request that nothing would end
    before its deadline. The request must get its 502 at once, and the worker a cancellation.
    """

    async def story(play: HandPlayed) -> None:
        scheduler: Any = play.node.scheduler

        def faulty(attempt: Any) -> None:
            raise ValueError("out of sorts")

        scheduler.timeouts.check = faulty
        answer = play.node.submit(submission("a"))
        (await play.sent("a")).reply(202)
        timers = scheduler.timers.pending
        mark = next(mark for mark, target in timers.items() if target is not TimerPurpose.ROUND)
        play.node.bridge.enqueue_event(TimerFired(mark))
        await play.settle()
        assert answer is not None and answer.result().status == 502
        assert play.asked[-1].build().method == "DELETE"  # type: ignore[union-attr]
        play.asked[-1].reply(204)
        await play.settle()
        assert not play.node.registry.open_requests and not scheduler.requests.open

    played(story)


def test_exception_in_a_round_or_an_observer_fails_no_request() -> None:
    """An exception in a placement round, or in an observer such as the cluster's, could stop the handling of
    events, and requests in the pool would never be placed. The next round must place them, and the fault
    of the observer is logged only.
    """

    async def story(play: HandPlayed) -> None:
        rounds: Any = play.node.scheduler.rounds
        sound, failed = rounds.place_waiting, [False]

        def once() -> None:
            if not failed[0]:
                failed[0] = True
                raise ValueError("out of sorts")
            sound()

        def part(what: Any) -> None:
            raise ValueError("a part of sorts")

        rounds.place_waiting = once
        play.node.bridge.observers.append(part)
        play.node.submit(submission("a"))
        await until(lambda: play.node.registry.open_requests["a"].attempts)  # by the next round
        assert failed[0] and any("a part of sorts" in line for line in play.lines_logged)

    played(story)


def test_command_that_fails_does_not_keep_the_others_from_being_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One command of a step fails with an exception.

    If the step ended there, the commands after it would be lost, and with them the attempts of other
    requests. Each command must be executed whatever became of the one before it.
    """
    start_attempt = AttemptRunner.start_attempt

    def faulty(runner: AttemptRunner, order: StartAttempt) -> None:
        if order.request_id == "poor":
            raise ValueError("out of sorts")
        start_attempt(runner, order)

    monkeypatch.setattr(AttemptRunner, "start_attempt", faulty)

    async def story(play: HandPlayed) -> None:
        for name in ("poor", "one", "two"):
            play.node.submit(submission(name))
        await play.settle()
        assert [len(play.node.registry.open_requests[name].attempts) for name in ("poor", "one", "two")] == [
            0,
            1,
            1,
        ]

    played(story)
