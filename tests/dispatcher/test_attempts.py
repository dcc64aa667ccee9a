"""Attempts: what is checked before the first byte, and what a worker's reply means."""

from __future__ import annotations

import asyncio

import pytest
from helpers import HandPlayed, run_story, submission

from locktide.scheduler.types import AttemptOutcome, EndpointState
from locktide.transport.interfaces import Response


@pytest.mark.parametrize("change", ["draining", "gone", "answered", "late", "none"])
def test_attempt_is_sent_only_if_worker_is_ready_and_request_open_at_the_first_byte(change: str) -> None:
    """A connection may take as long to come up as the configured connect time.

    Meanwhile the worker may begin to drain or go, the request get its response, or its time end; a job sent
    then breaks the drain, or runs for nobody. The last check before the first byte must stop it, and the
    attempt counts as never sent.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=800_000 if change == "late" else 3_000_000))
        shot = await play.ordered("a")
        if change == "draining":
            play.list(shot.worker, EndpointState.DRAINING)
        elif change == "gone":
            play.list(shot.worker, EndpointState.GONE)
        elif change == "answered":
            play.node.registry.open_requests["a"].response.set_result(Response(502))
        elif change == "late":
            play.node.clock.offset += 1.0
        question = shot.build()
        assert (question is not None) == (change == "none")
        if question is None:
            shot.end(AttemptOutcome.NEVER_SENT)
            await play.settle()
            assert play.outcomes()[0] == AttemptOutcome.NEVER_SENT

    run_story(story)


def test_reply_that_never_comes_times_out_after_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker reports by callback that a job is done, and never replies to the request that brought it.

    The connection and the task that reads it would stay for ever. The task must end a second after the
    deadline, and the outcome stays the one of the callback.
    """
    monkeypatch.setattr("locktide.dispatcher.job_sender.LATE_REPLY_TIMEOUT", 0.02)

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=200_000))
        shot = await play.sent("a")
        play.call("a", shot.worker, "done")
        await play.settle()
        assert not play.node.registry.open_requests and play.node.tasks
        while play.node.tasks:
            await asyncio.sleep(0.005)
        assert shot.cancelled and play.outcomes() == [AttemptOutcome.DONE]

    run_story(story)


def test_worker_reply_4xx_is_a_400_for_the_client_and_is_not_retried() -> None:
    """A worker that replies 4xx finds fault with the message itself, so any other worker would, too.

    The client must get a 400 at once, and no other worker the same message.
    """

    async def story(play: HandPlayed) -> None:
        answer = play.node.submit(submission("a"))
        assert answer is not None
        (await play.sent("a")).reply(404)
        await play.settle()
        assert answer.result().status == 400 and play.outcomes() == [AttemptOutcome.UNPROCESSABLE]
        assert len(play.asked) == 1 and not play.node.registry.open_requests

    run_story(story)
