"""A dispatch that a worker took is over by its word or once it was told, whatever else is heard of it."""

from __future__ import annotations

import asyncio
import json
import os
import select
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import TAKEN, Asked, HandPlayed, free_address, submission, submit, until_serving

from locktide.dispatcher import cancellation as withdrawals
from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.model import scenario as script
from locktide.simulation.run import in_virtual_time, with_seed

ZONE_LOST = Path(__file__).parents[1] / "deploy/scenarios/zone-lost.toml"


async def withdrawn(play: HandPlayed, taken: bool = True) -> Asked:
    play.node.settings.connect_within = 5_000
    play.node.submit(submission("a"))
    asked = await play.sent("a")
    if taken:
        asked.reply(202)
    await play.settle()
    play.node.cancellations.cancel_attempt(CancelAttempt("a", 0))
    await play.settle()
    return asked


async def fail(play: HandPlayed, times: int) -> None:
    for _ in range(times):
        while play.asked[-1].ended.done():
            await asyncio.sleep(0.001)
        assert play.asked[-1].build() is not None
        play.asked[-1].end(AttemptOutcome.NO_CONNECTION)
        await play.settle()


def test_what_was_taken_is_not_over_while_its_worker_cannot_be_told() -> None:
    # zone+mass: withdrawn at 23.4 s, two connections that did not come up, sent elsewhere at 33.5 s.
    async def run() -> None:
        play = HandPlayed()
        await withdrawn(play)
        await fail(play, 8)
        while play.asked[-1].ended.done():
            await asyncio.sleep(0.001)
        assert play.outcomes() == [] and len(play.asked) == 10 and play.asked[-1].fresh
        play.asked[-1].reply(404)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_a_message_on_a_kept_connection_that_stays_silent_has_told_nobody() -> None:
    async def run() -> None:
        play = HandPlayed()
        await withdrawn(play)
        kept = play.asked[-1]
        kept.sent()
        while play.asked[-1] is kept:
            await asyncio.sleep(0.001)
        assert not kept.fresh and kept.cancelled and play.outcomes() == []
        # One that came up for it has: a process that hangs reads that before it goes on.
        assert play.asked[-1].fresh
        play.asked[-1].sent()
        while not play.outcomes():
            await asyncio.sleep(0.001)
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_before_the_202_the_closed_connection_gives_it_up() -> None:
    async def run() -> None:
        play = HandPlayed()
        asked = await withdrawn(play, taken=False)
        assert asked.cancelled
        await fail(play, withdrawals.IMMEDIATE_TRIES)
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_a_word_of_its_worker_or_the_time_limit_ends_the_tries() -> None:
    async def run() -> None:
        for word in ("done", ""):
            play = HandPlayed()
            asked = await withdrawn(play)
            await fail(play, withdrawals.IMMEDIATE_TRIES)
            if word:
                play.call("a", asked.worker, word, b"result")
            else:
                play.node.requests.time_out(play.node.open_requests["a"])
            await play.settle()
            assert play.outcomes() == [AttemptOutcome.DONE if word else AttemptOutcome.TIMED_OUT]
            for _ in range(2):
                await asyncio.sleep(0.06)
                for late in play.asked:
                    if late.fresh and not late.ended.done():
                        late.end(AttemptOutcome.NO_CONNECTION)
            count = sum(asked.fresh for asked in play.asked)
            await asyncio.sleep(0.06)
            assert sum(asked.fresh for asked in play.asked) == count

    asyncio.run(run())


def take(listening: socket.socket, status: bytes) -> str:
    """Reads one message, answers it and closes; its first line."""
    listening.settimeout(5.0)
    line, _ = listening.accept()
    with line:
        line.settimeout(5.0)
        data = line.recv(65536)
        line.sendall(status)
        return data.decode().splitlines()[0]


def test_on_sockets_nothing_goes_elsewhere_before_a_worker_that_is_back_has_been_told(tmp_path: Path) -> None:
    address, doors = free_address(), [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    places = ["{}:{}".format(*door.getsockname()) for door in doors]
    grade = {"Name": "view", "Semantics": "free", "SoftLimit": 400.0, "TimeLimit": 9000.0}
    path = tmp_path / "start.json"
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "{}:{}".format(*address),
                "discovery": "127.0.0.1:9",
                "seed": "9",
                "known": {
                    "rev": 1,
                    "all": True,
                    "targets": [
                        {"uid": f"w{place}", "endpoint": at, "state": "active"}
                        for place, at in enumerate(places)
                    ],
                },
                "settings": {
                    "ServiceGrades": [grade],
                    "Domain": {"TellsStart": True},
                    "Ceilings": {"MaxDispatches": 4, "MayCancel": True, "ConnectTimeout": 100.0},
                },
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "locktide"],
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(path), "GW_DISCOVERY": ""},
    )
    try:
        until_serving(process)
        with socket.create_connection(address) as client:
            client.sendall(submit(Req_Deadline="8000m"))
            door = doors[select.select(doors, [], [], 5.0)[0][0] is doors[1]]
            other = doors[door is doors[0]]
            line, _ = door.accept()
            line.setblocking(True)
            assert line.recv(65536).startswith(b"POST /view")
            line.sendall(TAKEN % 0)
            at = door.getsockname()
            door.close()  # it can be reached no more, and says nothing
            line.close()
            other.settimeout(2.0)
            with pytest.raises(TimeoutError):
                other.accept()
            with socket.create_server(at) as back:
                assert take(back, b"HTTP/1.1 204 No Content\r\n\r\n").startswith("DELETE /jobs/a1")
                assert take(other, TAKEN % 0).startswith("POST /view")
    finally:
        process.kill()
        process.wait()
        for door in doors:
            door.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_lost_and_back_gets_no_second_copies(seed: int) -> None:
    told = in_virtual_time(with_seed(script.load(ZONE_LOST), seed)).told
    assert not any(told["rules"].values()), told["broken"][:3]
    assert min(one["up"] for one in told["over_time"]) == 6 and told["over_time"][-1]["up"] == 12


def test_the_checker_counts_what_went_elsewhere_on_the_strength_of_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def gullible(*_: object) -> bool:
        return True

    monkeypatch.setattr("locktide.dispatcher.cancellation.deliver_cancellation", gullible)
    assert in_virtual_time(script.load(ZONE_LOST)).told["rules"]["copies"] > 0
