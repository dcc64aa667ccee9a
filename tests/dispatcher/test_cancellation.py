"""Cancellation: an accepted attempt ends by a callback, or once its worker has been told."""

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
from helpers import TAKEN, Asked, HandPlayed, free_address, run_story, submission, submit, until_serving

from locktide.dispatcher.cancellation_delivery import IMMEDIATE_SENDS, CancellationDelivery
from locktide.scheduler.commands import CancelAttempt
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.model import scenario as script
from locktide.simulation.run import in_virtual_time, with_seed
from locktide.simulation.virtual_time.loop import VirtualLoop

ZONE_LOST = Path(__file__).parents[2] / "deploy/scenarios/zone-lost.toml"


async def start_and_cancel(play: HandPlayed, accepted: bool = True, connect_within: int = 5_000) -> Asked:
    play.node.settings.connect_within = connect_within
    play.node.submit(submission("a"))
    asked = await play.sent("a")
    if accepted:
        asked.reply(202)
    await play.settle()
    play.node.cancellations.cancel_attempt(CancelAttempt("a", 0))
    await play.settle()
    return asked


async def fail_sends(play: HandPlayed, times: int) -> None:
    for _ in range(times):
        async with asyncio.timeout(10.0):  # where nothing is sent any more, the test fails and does not hang
            while play.asked[-1].ended.done():
                await asyncio.sleep(0.001)
        assert play.asked[-1].build() is not None
        play.asked[-1].end(AttemptOutcome.NO_CONNECTION)
        await play.settle()


def test_accepted_attempt_does_not_end_while_its_worker_cannot_be_reached() -> None:
    """A zone was cut off and a worker in it had accepted a job.

    Its attempt was cancelled at 23.4 s over two connections that did not come up, and the job was sent
    elsewhere at 33.5 s: a second copy. As long as the worker cannot be reached, the attempt must not end;
    the message is repeated until the worker replies.
    """

    async def run() -> None:
        play = HandPlayed()
        await start_and_cancel(play, connect_within=40_000)
        await fail_sends(play, 8)
        while play.asked[-1].ended.done():
            await asyncio.sleep(0.001)
        assert play.outcomes() == [] and len(play.asked) == 10 and play.asked[-1].fresh
        play.asked[-1].reply(404)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    # In virtual time: a process that is held up for a try's timeout would end that try, which counts as one.
    VirtualLoop().run_until_complete(run())  # type: ignore[abstract]


def test_cancellation_on_an_idle_connection_without_a_reply_is_sent_again_on_a_new_one() -> None:
    """A cancellation is written to an idle connection whose other end may be gone: without a reply it says
    nothing. It must be sent again on a new connection. One that comes up proves that the worker can be
    reached, and a process that hangs reads the message before it works on; so the attempt ends there
    without a reply.
    """

    async def run() -> None:
        play = HandPlayed()
        await start_and_cancel(play)
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


def test_before_the_202_the_attempt_ends_after_the_immediate_sends() -> None:
    """Before the 202 the closed connection cancels a job by itself, and the message is for a 202 that is on
    its way. A worker that cannot be reached must not keep the request from its retry then: the attempt
    ends with the immediate sends.
    """

    async def run() -> None:
        play = HandPlayed()
        asked = await start_and_cancel(play, accepted=False)
        assert asked.cancelled
        await fail_sends(play, IMMEDIATE_SENDS)
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    asyncio.run(run())


def test_callback_or_deadline_ends_the_delivery() -> None:
    """The cancellation of an accepted attempt is repeated for as long as the worker cannot be reached.

    Once a callback has ended the attempt, or the client's time is over, nothing depends on it any more. The
    sends must end then, or each lost worker would cost a task and a descriptor for ever.
    """

    async def run() -> None:
        for word in ("done", ""):
            play = HandPlayed()
            asked = await start_and_cancel(play)
            await fail_sends(play, IMMEDIATE_SENDS)
            if word:
                play.call("a", asked.worker, word, b"result")
            else:
                play.node.timeouts.time_out(play.node.registry.open_requests["a"])
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


@pytest.mark.parametrize("accepted", [False, True])
def test_cancelled_attempt_ends_once_its_worker_has_replied_before_and_after_the_202(accepted: bool) -> None:
    """A client leaves while its job is on its way to a worker, and the 202 may be on its way back.

    What was sent elsewhere before the worker's reply was a second copy. Before and after the 202, the
    attempt must end only once the worker has replied to the cancellation.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("b/1"))
        asked = await play.sent("b/1")
        if accepted:
            asked.reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.registry.open_requests["b/1"].message)
        await play.settle()
        assert asked.cancelled != accepted and play.outcomes() == []
        question = play.asked[-1].build()
        assert question is not None
        assert (question.method, question.target) == ("DELETE", "/jobs/b%2F1")
        play.asked[-1].reply(204)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED] and not play.node.registry.open_requests

    run_story(story)


def test_attempt_cancelled_before_its_first_byte_was_never_sent() -> None:
    """A client leaves while the attempt for its request waits for a connection.

    No worker can have the job, so there is nothing to cancel. The attempt must end at once as never sent,
    and the request is forgotten.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        await play.ordered("a")
        play.node.client_disconnected(play.node.registry.open_requests["a"].message)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.NEVER_SENT] and not play.node.registry.open_requests

    run_story(story)


def test_silent_worker_does_not_hold_up_a_cancellation(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker accepts a job and the connection for its cancellation, and replies to nothing.

    Waited for without a limit, it would keep the request and a task until the deadline. The send must time
    out, and the message on a new connection counts as delivered.
    """

    async def story(play: HandPlayed) -> None:
        play.node.settings.connect_within = 1000
        play.node.submit(submission("a"))
        (await play.sent("a")).reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.registry.open_requests["a"].message)
        while play.node.registry.open_requests:
            await asyncio.sleep(0.005)
        await play.settle()  # the scheduler has the outcome in the next loop turn
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    run_story(story)


def test_cancellation_whose_connection_breaks_is_sent_again_before_the_attempt_ends() -> None:
    """In a fault scenario in virtual time, a worker had not received its cancellation, and the next attempt
    was a second copy. A connection that breaks has delivered nothing. The cancellation must be sent again
    until the worker has replied.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        (await play.sent("a")).reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.registry.open_requests["a"].message)
        await play.settle()
        for outcome in (AttemptOutcome.CONNECTION_CLOSED, AttemptOutcome.RESET):
            play.asked[-1].end(outcome)
            await play.settle()
            assert play.outcomes() == [] and play.asked[-1].build() is not None
        assert len(play.asked) == 4
        play.asked[-1].reply(200)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED] and not play.node.registry.open_requests

    run_story(story)


def take(listening: socket.socket, status: bytes) -> str:
    """Reads one message, answers it and closes; its first line."""
    listening.settimeout(5.0)
    line, _ = listening.accept()
    with line:
        line.settimeout(5.0)
        data = line.recv(65536)
        line.sendall(status)
        return data.decode().splitlines()[0]


def test_on_sockets_no_retry_before_a_worker_that_is_back_is_notified(tmp_path: Path) -> None:
    """A worker process accepts a job, cannot be reached for a while, and comes back with the job.

    Sent to another worker meanwhile, the job would run twice at the same time. On real sockets, the retry
    must wait until the worker that is back has replied to the cancellation.
    """
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
def test_zone_lost_and_back_gets_no_second_copies(seed: int) -> None:
    """Half of the fleet is cut off and comes back with the jobs that it had accepted.

    Where silence ends attempts, their retries run beside them. No rule may be broken in the whole run, and
    all workers are up at its end.
    """
    told = in_virtual_time(with_seed(script.load(ZONE_LOST), seed)).outcome
    assert not any(told["rules"].values()), told["broken"][:3]
    assert min(one["up"] for one in told["over_time"]) == 6 and told["over_time"][-1]["up"] == 12


def test_checker_counts_copies_if_silence_ended_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """This proves the check of the scenario above.

    Where each cancellation counts as delivered at once, the lost zone must lead to second copies that the
    checker counts.
    """

    async def delivered_at_once(*_: object) -> bool:
        return True

    monkeypatch.setattr(CancellationDelivery, "deliver", delivered_at_once)
    assert in_virtual_time(script.load(ZONE_LOST)).outcome["rules"]["copies"] > 0
