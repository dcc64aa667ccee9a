"""The watch of the endpoint list, with scripted agents on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest
from endpoint_lists import list_body, list_entry
from helpers import DispatcherHarness, free_address, scheduler_config

from locktide.config import start
from locktide.protocol import names
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport import endpoint_watch as watch_module
from locktide.transport.endpoint_watch import EndpointWatch
from locktide.transport.log import Log


def http_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_silent_discovery_is_called_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent falls silent during a call.

    It must be called again, without a wait, for the changes since the version that is held; and a response
    without changes must be passed on then, as it says that the list is current again.
    """
    monkeypatch.setattr(watch_module, "WAIT_MS", 20)
    monkeypatch.setattr(watch_module, "RESPONSE_TIMEOUT", 0.1)
    targets: list[str] = []

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readline():
            if head.startswith(b"GET"):
                targets.append(head.split()[1].decode())
            if head == b"\r\n" and len(targets) != 2:  # the second call gets no response
                body = json.dumps(
                    {"rev": 40 + len(targets), "all": len(targets) == 1, "targets": []}
                ).encode()
                writer.write(http_response(body))
        writer.close()

    async def run() -> None:
        listening = await asyncio.start_server(agent, "127.0.0.1", 0)
        updates: list[DiscoveryUpdate] = []
        watch = EndpointWatch(listening.sockets[0].getsockname(), updates.append, Log("n0"))
        task = asyncio.create_task(watch.run())
        while len(targets) < 4:
            await asyncio.sleep(0.005)
        task.cancel()
        assert [update.version for update in updates] == [41, 43]  # without changes only after a failure
        wait = "&wait_ms=20"
        assert targets[:4] == [
            names.INSTANCES,
            names.INSTANCES + "?after=41" + wait,
            names.INSTANCES + "?after=41&wait_ms=0",
            names.INSTANCES + "?after=43" + wait,
        ]
        listening.close()

    asyncio.run(run())


def test_malformed_lists_change_nothing_and_the_next_good_one_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An agent sends half a response, broken JSON, a malformed list, an HTTP error and no response at all.

    None of these may end the watch or change the list, and the next valid list must be applied.
    """
    monkeypatch.setattr(watch_module, "RETRY_DELAY", 0.002)
    valid = http_response(list_body(list_entry("w5")))
    responses = [
        valid[:-9],
        http_response(b'{"rev": 3'),
        http_response(b"[]"),
        http_response(b"[" * 100_000),
        http_response(list_body(list_entry("w0", state=7))),
        b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        b"what is this\r\n\r\n",
        b"",
        valid,
    ]
    calls = 0

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        await reader.readuntil(b"\r\n\r\n")
        calls += 1
        writer.write(responses[calls - 1])
        if calls < len(responses):
            writer.close()  # the connection of the valid list stays open

    async def run() -> None:
        harness = DispatcherHarness()
        listening = await asyncio.start_server(agent, "127.0.0.1", 0)
        harness.dispatcher.settings.discovery = listening.sockets[0].getsockname()
        harness.dispatcher.follower.watch(harness.dispatcher.follower.follow())
        while "w5" not in harness.dispatcher.endpoints.entries:
            assert harness.dispatcher.endpoints.accepts_requests("w0")
            await asyncio.sleep(0.001)
        assert calls == len(responses) and not harness.dispatcher.endpoints.accepts_requests("w0")
        assert [line for line in harness.lines_logged if "no response" in line] != []
        assert harness.dispatcher.follower.watch_task is not None
        harness.dispatcher.follower.watch_task.cancel()
        listening.close()

    asyncio.run(run())


def test_two_reloads_during_a_call_leave_one_watch_and_no_connection() -> None:
    """Two reloads arrive during a call to discovery.

    Each could leave a watch and a connection behind. Only one watch may be left, at the new address, and the
    old connection must be closed.
    """
    ended: list[bytes] = []
    calls: list[Callable[[], None]] = []

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        calls.append(writer.close)
        ended.append(await reader.read())

    async def responding(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(http_response(list_body(list_entry("w5"))))
        await reader.read()

    async def run() -> None:
        harness = DispatcherHarness()
        old = await asyncio.start_server(silent, "127.0.0.1", 0)
        new = await asyncio.start_server(responding, "127.0.0.1", 0)
        harness.dispatcher.settings.discovery = old.sockets[0].getsockname()
        harness.dispatcher.follower.watch(harness.dispatcher.follower.follow())
        while not calls:
            await asyncio.sleep(0.001)
        new_address = new.sockets[0].getsockname()
        new_settings = start.Start(
            "n0",
            free_address(),
            new_address,
            7,
            100,
            80 << 20,
            {},
            250_000,
            30_000_000,
            scheduler_config(3, 1, False, 0.4),
        )
        harness.dispatcher.reload(new_settings)
        harness.dispatcher.reload(new_settings)
        while "w5" not in harness.dispatcher.endpoints.entries or not ended:
            await asyncio.sleep(0.001)
        assert len(calls) == 1 and sum("reload" in line for line in harness.lines_logged) == 2
        assert harness.dispatcher.follower.watch_task is not None
        harness.dispatcher.follower.watch_task.cancel()
        old.close()
        new.close()

    asyncio.run(run())
