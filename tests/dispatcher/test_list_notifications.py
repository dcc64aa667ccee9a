"""Terms of the platform on notified changes and new connections, each violated without its guard."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from helpers import DispatcherHarness, free_address, start_dispatcher_process, submit_bytes

from locktide.protocol import discovery
from locktide.scheduler.types import EndpointState
from locktide.transport import endpoint_watch as watch
from locktide.transport.endpoint_watch import EndpointWatch
from locktide.transport.log import Log


def list_response(version: int, is_snapshot: bool, *workers: str) -> bytes:
    """Return a response with draining workers, indented over several lines as some agents write it."""
    targets = [{"uid": uid, "endpoint": "127.0.0.1:9", "state": "leaving"} for uid in workers]
    body = json.dumps({"rev": version, "all": is_snapshot, "targets": targets}, indent=4).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Agent:
    """An agent that responds to each call unless it is silent.

    A call that arrives while it is silent never gets a response.
    """

    def __init__(self) -> None:
        self.silent, self.version, self.calls = False, 7, 0
        self.changed: tuple[str, ...] = ()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            if head.startswith(b"GET"):
                target, self.calls = head.split()[1].decode(), self.calls + 1
            if head == b"\r\n" and not self.silent:
                if "after=7" in target and self.version == 7:
                    await asyncio.sleep(int(target.rpartition("=")[2]) / 1000)
                if not self.silent:
                    writer.write(list_response(self.version, "after" not in target, *self.changed))
        writer.close()


def test_after_an_outage_a_drain_is_known_within_its_grace() -> None:
    """An agent is silent for a while, and a drain is in its list when it responds again.

    A call made during the silence never gets a response, so the drain would be known too late. A silent agent
    must be called several times per second, but not more often, so that its list is known within 250 ms.
    """

    async def run() -> None:
        agent = Agent()
        listening = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
        updates: list[discovery.DiscoveryUpdate] = []
        task = asyncio.create_task(
            EndpointWatch(listening.sockets[0].getsockname(), updates.append, Log("n0")).run()
        )
        while not updates:
            await asyncio.sleep(0.005)
        agent.silent = True
        await asyncio.sleep(watch.WAIT_MS / 1000 + watch.RESPONSE_TIMEOUT + 0.4)
        agent.version, agent.changed, agent.silent, calls = 8, ("w1",), False, agent.calls
        await asyncio.sleep(0.25)
        assert [entry.state for entry in updates[-1].entries] == [
            EndpointState.DRAINING
        ], "the drain is not known, or the indented list was not read"
        assert calls < 10, "a silent agent is called too often"
        task.cancel()
        listening.close()

    asyncio.run(run())


def test_watch_that_falls_silent_is_opened_again_also_where_calls_wait_their_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If calls wait for their turn, the first response on a connection may take long.

    Later calls got the same timeout, and changes counted as notified before a watch that had fallen silent
    was noticed. Only the first call may have the long timeout.
    """
    monkeypatch.setattr(watch, "WAIT_MS", 50)
    monkeypatch.setattr(watch, "RESPONSE_TIMEOUT", 0.1)

    async def run() -> None:
        agent, failed = Agent(), asyncio.Event()
        listening = await asyncio.start_server(agent.serve, "127.0.0.1", 0)

        async def wait_for_retry(has_timed_out: bool) -> None:
            failed.set()
            await asyncio.sleep(9)

        address = listening.sockets[0].getsockname()
        endpoint_watch = EndpointWatch(
            address,
            lambda update: None,
            Log("n0"),
            first_response_timeout=30.0,
            wait_for_retry=wait_for_retry,
        )
        task = asyncio.create_task(endpoint_watch.run())
        while agent.calls < 3:
            await asyncio.sleep(0.005)
        agent.silent = True
        await asyncio.wait_for(failed.wait(), 1.0)
        task.cancel()
        listening.close()

    asyncio.run(run())


@pytest.mark.parametrize("silent", [False, True])
def test_new_process_serves_once_it_has_the_list_of_its_agent(silent: bool) -> None:
    """The cached list of a new process may be old: workers in it may have begun to drain, and changes that
    the agent has count as notified. The process must not be ready before it has the agent's list. A silent
    agent does not delay the start: only the cached list is available then.
    """

    async def run() -> None:
        agent, harness, stop = Agent(), DispatcherHarness(), asyncio.Event()
        agent.changed, agent.silent, dispatcher = ("w0", "w1"), silent, harness.dispatcher
        dispatcher.upstream.close_expired = lambda: None  # type: ignore[method-assign]
        listening = await asyncio.start_server(agent.serve, "127.0.0.1", 0)
        dispatcher.settings.discovery, dispatcher.startup.listen_address = (
            listening.sockets[0].getsockname(),
            free_address(),
        )
        running = asyncio.create_task(dispatcher.run(stop))
        while not dispatcher.is_ready():
            await asyncio.sleep(0.002)
        ready = [worker for worker in ("w0", "w1", "w2") if dispatcher.endpoints.accepts_requests(worker)]
        assert ready == (["w0", "w1", "w2"] if silent else [])
        running.cancel()
        listening.close()

    asyncio.run(run())


def test_stop_responds_to_a_request_on_a_connection_that_was_just_opened(tmp_path: Path) -> None:
    """A client opened a connection after SIGTERM and sent its request some time later.

    The stop had ended by then and closed the connection without a response. The stop must wait for a
    connection that was just opened, and the request on it must get a response.
    """
    process, address, worker = start_dispatcher_process(tmp_path)

    async def run() -> None:
        await asyncio.sleep(0.05)
        process.terminate()
        await asyncio.sleep(0.2)
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.9)
        writer.write(submit_bytes(Req_Deadline="300m"))
        assert (await reader.read(20)).startswith(b"HTTP/1.1 50")
        writer.close()

    try:
        asyncio.run(run())
        assert process.wait(5.0) == 0
    finally:
        process.kill()
        worker.close()
