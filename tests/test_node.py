"""The dispatcher round the decisions: with connections played by hand, and a few times on loopback."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from helpers import HandPlayed, submission

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.events import AttemptSent, ClientDisconnected, EndpointListUpdate
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.transport.client_connection import Response
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.log import BURST, Log


def played(story: Callable[[HandPlayed], Awaitable[None]]) -> None:
    """Runs a story against a node whose connections to workers are played by hand."""

    async def run() -> None:
        await story(HandPlayed())

    asyncio.run(run())


def test_one_clock_and_remembered_news_first() -> None:
    async def story(play: HandPlayed) -> None:
        assert abs(play.node.clock.now() - time.time_ns() // 1000) < 1_000_000
        await play.settle()
        first = play.turns[0][1][0]
        assert type(first) is EndpointListUpdate and first.kind == ListUpdateKind.CACHED
        assert [entry.started_at for entry in first.entries] == [0, 0, 0]

    played(story)


def test_all_that_is_ready_goes_in_one_turn() -> None:
    async def story(play: HandPlayed) -> None:
        await play.settle()
        before = len(play.turns)
        for number in range(5):
            play.node.submit(submission(f"s{number}"))
        await asyncio.sleep(0)
        assert [len(news) for _, news in play.turns[before:]] == [5]

    played(story)


def test_a_result_is_the_answer_and_the_rest_is_acknowledged() -> None:
    async def story(play: HandPlayed) -> None:
        answer = play.node.submit(submission("a"))
        assert answer is not None
        shot = await play.sent("a")
        play.call("a", shot.worker, "started")  # before the 202
        play.call("a", "w-nobody", "done", b"forged")  # from where it was not sent
        play.call("b", shot.worker, "done", b"whose")  # for nobody
        assert not answer.done()
        play.call("a", shot.worker, "done", b"r\x00\xff")
        assert answer.result() == Response(200, b"r\x00\xff")
        play.call("a", shot.worker, "done", b"twice")
        shot.reply(202)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.DONE] and not play.node.open_requests
        assert sum(type(piece) is AttemptSent for _, news in play.turns for piece in news) == 1

    played(story)


def test_a_word_on_a_dispatch_that_is_not_written_is_an_old_one() -> None:
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        shot = await play.ordered("a")
        play.call("a", shot.worker, "returned")
        await play.settle()
        assert play.outcomes() == []

    played(story)


@pytest.mark.parametrize("change", ["draining", "gone", "answered", "late", "none"])
def test_the_last_look_before_the_first_byte(change: str) -> None:
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=800_000 if change == "late" else 3_000_000))
        shot = await play.ordered("a")
        if change == "draining":
            play.list(shot.worker, EndpointState.DRAINING)
        elif change == "gone":
            play.list(shot.worker, EndpointState.GONE)
        elif change == "answered":
            play.node.open_requests["a"].response.set_result(Response(502))
        elif change == "late":
            play.node.clock.offset += 1.0
        question = shot.build()
        assert (question is not None) == (change == "none")
        if question is None:
            shot.end(AttemptOutcome.NEVER_SENT)
            await play.settle()
            assert play.outcomes()[0] == AttemptOutcome.NEVER_SENT

    played(story)


@pytest.mark.parametrize("taken", [False, True])
def test_withdrawn_before_the_202_by_closing_too_and_told_once_the_worker_knows(taken: bool) -> None:
    # The 202 may be on its way: what went elsewhere before the worker's answer was a second copy.
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("b/1"))
        asked = await play.sent("b/1")
        if taken:
            asked.reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.open_requests["b/1"].message)
        await play.settle()
        assert asked.cancelled != taken and play.outcomes() == []
        question = play.asked[-1].build()
        assert question is not None
        assert (question.method, question.target) == ("DELETE", "/jobs/b%2F1")
        play.asked[-1].reply(204)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED] and not play.node.open_requests

    played(story)


def test_a_dispatch_withdrawn_before_its_first_byte_was_never_sent() -> None:
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        await play.ordered("a")
        play.node.client_disconnected(play.node.open_requests["a"].message)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.NEVER_SENT] and not play.node.open_requests

    played(story)


def test_a_silent_worker_does_not_hold_up_a_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(play: HandPlayed) -> None:
        play.node.settings.connect_within = 1000
        play.node.submit(submission("a"))
        (await play.sent("a")).reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.open_requests["a"].message)
        while play.node.open_requests:
            await asyncio.sleep(0.005)
        assert play.outcomes() == [AttemptOutcome.CANCELLED]

    played(story)


def test_a_withdrawal_whose_connection_breaks_is_told_again_before_it_counts() -> None:
    # A rough day in virtual time: the worker had not heard it, and the next dispatch was a second copy.
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        (await play.sent("a")).reply(202)
        await play.settle()
        play.node.client_disconnected(play.node.open_requests["a"].message)
        await play.settle()
        for outcome in (AttemptOutcome.CONNECTION_CLOSED, AttemptOutcome.RESET):
            play.asked[-1].end(outcome)
            await play.settle()
            assert play.outcomes() == [] and play.asked[-1].build() is not None
        assert len(play.asked) == 4
        play.asked[-1].reply(200)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.CANCELLED] and not play.node.open_requests

    played(story)


def test_a_stop_does_not_cut_short_a_job_that_the_next_process_goes_on_with() -> None:
    async def story(play: HandPlayed) -> None:
        play.node.lifecycle.limit_new_requests(play.node.loop.time() + 0.5)
        kept = submission("kept")
        kept.background = True
        play.node.submit(kept)
        play.node.submit(submission("plain"))
        left = {name: held.deadline - play.node.clock.now() for name, held in play.node.open_requests.items()}
        assert left["kept"] > 2_000_000 > left["plain"] and play.node.registry.open_count() == 1

    played(story)


def test_denials_are_503_with_the_advice_and_terminations_are_not() -> None:
    async def story(play: HandPlayed) -> None:
        denied, terminated = (play.node.submit(submission(name)) for name in "ab")
        assert denied is not None and terminated is not None
        play.node.requests.reject(RejectRequest("a", 250_000))
        play.node.requests.fail(FailRequest("b"))
        assert denied.result().status == 503 and denied.result().headers == [("Retry-After", "0.250")]
        assert terminated.result().status == 502 and not terminated.result().headers

    played(story)


def test_at_the_time_limit_dispatches_time_out_and_the_answer_is_out() -> None:
    async def story(play: HandPlayed) -> None:
        answer = play.node.submit(submission("a", grade="cash", patience=240_000))
        assert answer is not None
        (await play.sent("a")).reply(202)
        status = (await asyncio.wait_for(answer, 5.0)).status
        assert status not in (200, 429, 503)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.TIMED_OUT] and not play.node.open_requests
        assert play.asked[-1].build().method == "DELETE"  # nobody waits for it any more

    played(story)


@pytest.mark.parametrize("patience, kept", [(6_000_000, 80_000), (400_000, 20_000)])
def test_some_of_the_clients_time_is_kept_for_the_ways(patience: int, kept: int) -> None:
    async def story(play: HandPlayed) -> None:
        before = play.node.clock.now()
        play.node.submit(submission("a", patience=patience))
        after = play.node.clock.now()
        assert before <= play.node.open_requests["a"].deadline - patience + kept <= after

    played(story)


def test_in_a_stop_nothing_is_taken_that_a_kill_could_find_open() -> None:
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=9_000_000))
        play.node.lifecycle.limit_new_requests(play.node.loop.time() + 2.0)
        play.node.submit(submission("b", patience=9_000_000))
        play.node.submit(submission("c", patience=900_000))
        left = [play.node.open_requests[name].deadline - play.node.clock.now() for name in "abc"]
        assert left[0] > 8_000_000 and 1_000_000 < left[1] < 2_000_000 and left[2] < 900_000

    played(story)


def test_an_answer_is_given_even_if_the_decisions_fail() -> None:
    async def story(play: HandPlayed) -> None:
        told: list[Any] = []

        def broken(now: int, news: list[Any]) -> list[Any]:
            told.extend(news)
            raise ValueError("out of sorts")

        play.node.scheduler.step = broken  # type: ignore[method-assign]
        answer = play.node.submit(submission("a", patience=60_000))
        assert answer is not None and (await asyncio.wait_for(answer, 5.0)).status == 504
        assert any("out of sorts" in line for line in play.lines_logged)
        await play.settle()
        assert type(told[-1]) is ClientDisconnected  # nothing more is to be sent for it

    played(story)


def test_a_reply_that_never_comes_is_not_waited_for_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("locktide.dispatcher.attempts.LATE_REPLY_TIMEOUT", 0.02)

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=200_000))
        shot = await play.sent("a")
        play.call("a", shot.worker, "done")
        await play.settle()
        assert not play.node.open_requests and play.node.tasks
        while play.node.tasks:
            await asyncio.sleep(0.005)
        assert shot.cancelled and play.outcomes() == [AttemptOutcome.DONE]

    played(story)


def test_what_a_worker_turns_away_as_such_is_a_400_and_goes_nowhere_else() -> None:
    async def story(play: HandPlayed) -> None:
        answer = play.node.submit(submission("a"))
        assert answer is not None
        (await play.sent("a")).reply(404)
        await play.settle()
        assert answer.result().status == 400 and play.outcomes() == [AttemptOutcome.UNPROCESSABLE]
        assert len(play.asked) == 1 and not play.node.open_requests

    played(story)


def test_an_id_that_is_open_is_not_taken_twice() -> None:
    async def story(play: HandPlayed) -> None:
        assert play.node.submit(submission("a")) is not None
        assert play.node.submit(submission("a")) is None
        shot = await play.sent("a")
        shot.reply(202)
        play.call("a", shot.worker, "done")
        await play.settle()
        assert not play.node.open_requests and play.node.submit(submission("a")) is None

    played(story)


def test_connections_of_an_earlier_life_are_not_used() -> None:
    async def story(play: HandPlayed) -> None:
        play.list("w0", EndpointState.DRAINING)
        assert play.forgotten == []
        play.list("w0", EndpointState.READY, started_at=5)
        play.list("w1", EndpointState.GONE)
        assert play.forgotten == ["w0", "w1"]

    played(story)


def test_a_job_sent_before_the_worker_last_started_is_lost_and_a_later_one_is_not() -> None:
    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        shot = await play.sent("a")
        shot.reply(202)
        await play.settle()
        play.list(
            shot.worker, EndpointState.READY, started_at=play.node.clock.now() - 1_000_000
        )  # before it was sent
        await play.settle()
        assert play.outcomes() == []
        play.list(shot.worker, EndpointState.READY, started_at=play.node.clock.now() + 1)
        play.list(
            shot.worker, EndpointState.READY, started_at=play.node.clock.now() + 1
        )  # told twice, withdrawn once
        await play.settle()
        # A zone back cold: what went out anew before the new process had answered was a second copy.
        question = play.asked[-1].build()
        assert play.outcomes() == [] and len(play.asked) == 2
        assert question is not None and (question.method, question.target) == ("DELETE", "/jobs/a")
        play.asked[-1].reply(404)
        await play.settle()
        assert (
            play.outcomes() == [AttemptOutcome.CONNECTION_CLOSED] and len(play.asked) == 3
        )  # and goes out anew

    played(story)


def test_at_the_edge_the_connection_that_rested_longest_goes() -> None:
    async def run() -> None:
        places, closed = DescriptorBudget(2), []

        def close(name: str) -> Callable[[], None]:
            return lambda: (closed.append(name), places.release(name))[0]

        await places.acquire()
        await places.acquire()
        places.mark_idle("one", close("one"))
        places.mark_idle("two", close("two"))
        await places.acquire()
        assert closed == ["one"] and places.used == 2
        places.mark_busy("two")
        waiting = [asyncio.create_task(places.acquire()) for _ in range(2)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.sleep(0)
        places.mark_idle("two", close("two"))  # another waits for its place
        await asyncio.wait_for(waiting[1], 5.0)
        assert closed == ["one", "two"] and places.used == 2 and not places.idle_proven

    asyncio.run(run())


def test_the_log_is_rate_limited_and_says_so(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("n0")
    for number in range(3 * BURST):
        log.emit(f"line {number}")
    log.emit("of another kind", "clients")
    log.limits[""].tokens = 1.0
    log.emit("last")
    lines = capsys.readouterr().err.splitlines()
    assert BURST < len(lines) < 2 * BURST and "lines before this one left out" in lines[-1]
    assert lines[-2].endswith("of another kind")
