"""Spoilt lists, replies and callbacks: what they say is not taken, and nothing else is lost by it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from helpers import TAKEN, HandPlayed, free_address, post, terms

from locktide.config import start
from locktide.config.checks import ConfigError
from locktide.protocol import discovery
from locktide.protocol import server_connection as clients
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.transport import endpoint_watch as watch_module
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.upstream_pool import UpstreamPool


def entry(worker: str, **changed: Any) -> dict[str, Any]:
    plain = {"uid": worker, "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "state": "active"}
    return {**plain, **changed}


def sheet(*entries: Any, version: int = 3) -> bytes:
    return json.dumps({"rev": version, "all": True, "targets": entries}).encode()


def reply(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("faulty", "said"),
    [
        ([entry("w0", state="warming")], "list.targets[0].state: expected one of"),
        ([entry("w0", endpoint="nowhere")], "list.targets[0].endpoint: expected HOST:PORT"),
        ([entry("w0", boot_ms=10**400)], "list.targets[0].boot_ms: expected a number"),
        ([entry("w0"), entry("w0", state="leaving")], "list.targets[1].uid: 'w0' is told twice"),
        ([entry("w0"), entry("w0"), entry("w0")], "list.targets[1].uid: 'w0' is told twice"),
        (["w0", entry("w0", state="leaving")], "list.targets[0]: expected an object"),
    ],
)
def test_an_entry_that_cannot_be_read_costs_its_worker_alone(faulty: list[Any], said: str) -> None:
    """One entry with a new word for a state would have kept out all drains that were told after it."""

    async def story() -> None:
        play = HandPlayed()
        others = [entry("w1"), entry("w3"), entry("w4"), entry("w2", state="leaving")]
        told = discovery.parse(sheet(*faulty, *others))
        assert told.faults[0].startswith(said)
        play.node.follower.apply_endpoint_list(told)
        open_ones = [number for number in range(5) if play.node.endpoints.accepts_requests(f"w{number}")]
        assert open_ones == [1, 3, 4]
        play.node.follower.apply_endpoint_list(discovery.parse(sheet(entry("w0"), version=4)))
        assert play.node.endpoints.accepts_requests("w0")  # once it is told properly

    asyncio.run(story())


def test_a_list_that_is_mostly_spoilt_is_refused_whole_and_an_unknown_worker_is_not_made_up() -> None:
    with pytest.raises(ConfigError, match="expected one of"):
        discovery.parse(sheet(entry("w0", state="odd"), entry("w1", state="odd"), entry("w2")))
    told = discovery.parse(sheet(entry("new", state="odd"), entry("w1")))
    assert [one.worker for one in told.entries] == ["w1"] and told.unreadable == ["new"]

    async def story() -> None:
        play = HandPlayed()
        play.node.follower.apply_endpoint_list(told)
        assert "new" not in play.node.endpoints.entries

    asyncio.run(story())


def test_spoilt_lists_change_nothing_and_the_next_good_one_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_module, "RETRY_DELAY", 0.002)
    good = reply(sheet(entry("w5")))
    answers = [
        good[:-9],
        reply(b'{"rev": 3'),
        reply(b"[]"),
        reply(b"[" * 100_000),
        reply(sheet(entry("w0", state=7))),
        b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        b"what is this\r\n\r\n",
        b"",
        good,
    ]
    calls = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        await reader.readuntil(b"\r\n\r\n")
        calls += 1
        writer.write(answers[calls - 1])
        if calls < len(answers):
            writer.close()  # the good one is followed by silence

    async def story() -> None:
        play = HandPlayed()
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        play.node.settings.discovery = listening.sockets[0].getsockname()
        play.node.follower.watch(play.node.follower.follow())
        while "w5" not in play.node.endpoints.entries:
            assert play.node.endpoints.accepts_requests("w0")
            await asyncio.sleep(0.001)
        assert calls == len(answers) and not play.node.endpoints.accepts_requests("w0")
        assert [line for line in play.lines_logged if "no answer" in line] != []
        assert play.node.follower.watch_task is not None
        play.node.follower.watch_task.cancel()
        listening.close()

    asyncio.run(story())


def test_two_reloads_in_a_row_while_a_call_is_open_leave_one_watch_and_no_connection() -> None:
    ended: list[bytes] = []
    calls: list[Callable[[], None]] = []

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        calls.append(writer.close)
        ended.append(await reader.read())

    async def answering(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply(sheet(entry("w5"))))
        await reader.read()

    async def story() -> None:
        play = HandPlayed()
        old = await asyncio.start_server(silent, "127.0.0.1", 0)
        new = await asyncio.start_server(answering, "127.0.0.1", 0)
        play.node.settings.discovery = old.sockets[0].getsockname()
        play.node.follower.watch(play.node.follower.follow())
        while not calls:
            await asyncio.sleep(0.001)
        here = new.sockets[0].getsockname()
        told = start.Start(
            "n0", free_address(), here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, terms(3, 1, False, 0.4)
        )
        play.node.reload(told)
        play.node.reload(told)
        while "w5" not in play.node.endpoints.entries or not ended:
            await asyncio.sleep(0.001)
        assert len(calls) == 1 and sum("reload" in line for line in play.lines_logged) == 2
        assert play.node.follower.watch_task is not None
        play.node.follower.watch_task.cancel()
        old.close()
        new.close()

    asyncio.run(story())


def test_a_reply_told_twice_is_not_taken_for_the_reply_to_the_next_question() -> None:
    """The second would have been read as the next job's: a 503 there, and the job goes out a second time."""
    met = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal met
        met += 1
        await reader.readuntil(b"x" * 100)
        writer.write(TAKEN % 0)
        if met == 1:
            await asyncio.sleep(0.01)  # the first was read by then
            writer.write(b"HTTP/1.1 503 Twice\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()

    async def story() -> None:
        listening = await asyncio.start_server(script, "127.0.0.1", 0)
        at = listening.sockets[0].getsockname()
        lines = UpstreamPool(DescriptorBudget(10), 500_000, 400_000)
        question = UpstreamRequest("POST", "/view", [], b"x" * 100)
        for _ in range(2):
            found = await lines.send("w", at, lambda: question, lambda: None)
            assert isinstance(found, UpstreamResponse) and found.status == 202
            kept = lines.idle["w"][0]
            while met == 1 and kept.is_quiet:
                await asyncio.sleep(0.001)
        assert met == 2 and lines.descriptors.used == 1
        listening.close()

    asyncio.run(story())


@pytest.mark.parametrize("share", ["NaN", "-3", "1e999", "1" + 400 * "0", '"half"', "null", "{}"])
def test_a_share_out_of_range_is_a_share_or_a_400(share: str) -> None:
    talk = clients.ServerHttpConnection({"view": 3_000_000}, [])
    told = f'{{"id": "a", "from": "w0", "state": "running", "share": {share}}}'
    talk.feed(post("/callback", told.encode()))
    message = talk.next_message()
    if isinstance(message, clients.Callback):
        assert 0.0 <= message.fraction_done <= 1.0
    else:
        assert isinstance(message, clients.BadRequest) and message.status == 400
