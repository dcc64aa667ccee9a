"""Requests: taken once, ended at their deadline, answered as the scheduler says."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from helpers import HandPlayed, run_story, submission

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.types import AttemptOutcome


def test_rejected_request_gets_503_with_retry_after_and_failed_request_gets_502() -> None:
    """A client that is rejected may come back, and needs to know when; one whose request failed must not."""

    async def story(play: HandPlayed) -> None:
        denied, terminated = (play.node.submit(submission(name)) for name in "ab")
        assert denied is not None and terminated is not None
        play.node.failures.reject(RejectRequest("a", 250_000))
        play.node.failures.fail(FailRequest("b"))
        assert play.lines_logged == [
            "request b: failed, no further attempt is allowed"
        ], "which one, at night"
        assert denied.result().status == 503 and denied.result().headers == [("Retry-After", "0.250")]
        assert terminated.result().status == 502 and not terminated.result().headers

    run_story(story)


def test_at_the_deadline_attempts_time_out_and_the_client_has_its_response() -> None:
    """A worker accepted a job and was silent after that.

    At the deadline the client must have a response that says the request failed, the attempt has timed out,
    and the worker gets a cancellation, as nobody waits for the job any more.
    """

    async def story(play: HandPlayed) -> None:
        answer = play.node.submit(submission("a", grade="cash", patience=240_000))
        assert answer is not None
        (await play.sent("a")).reply(202)
        status = (await asyncio.wait_for(answer, 5.0)).status
        assert status not in (200, 429, 503)
        await play.settle()
        assert play.outcomes() == [AttemptOutcome.TIMED_OUT] and not play.node.registry.open_requests
        cancellation = play.asked[-1].build()
        assert cancellation is not None and cancellation.method == "DELETE"  # nobody waits for it any more

    run_story(story)


@pytest.mark.parametrize("patience, kept", [(6_000_000, 80_000), (400_000, 20_000)])
def test_deadline_leaves_the_client_time_for_transit(patience: int, kept: int) -> None:
    """A response that is written at the moment at which the client gives up comes too late to be read.

    The deadline must leave 80 ms for its way, and a twentieth of the timeout where that is less.
    """

    async def story(play: HandPlayed) -> None:
        before = play.node.clock.now()
        play.node.submit(submission("a", patience=patience))
        after = play.node.clock.now()
        assert before <= play.node.registry.open_requests["a"].deadline - patience + kept <= after

    run_story(story)


def test_during_shutdown_new_requests_end_before_the_shutdown_deadline() -> None:
    """Clients go on sending for a while after SIGTERM, with timeouts longer than the process has left: a
    kill would leave them without a response. A request that comes in a shutdown must end before the
    shutdown does; those from before keep their deadline.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a", patience=9_000_000))
        play.node.shutdown.limit_new_requests(play.node.loop.time() + 2.0)
        play.node.submit(submission("b", patience=9_000_000))
        play.node.submit(submission("c", patience=900_000))
        left = [play.node.registry.open_requests[name].deadline - play.node.clock.now() for name in "abc"]
        assert left[0] > 8_000_000 and 1_000_000 < left[1] < 2_000_000 and left[2] < 900_000

    run_story(story)


def test_during_shutdown_background_jobs_keep_their_deadline() -> None:
    """Durable jobs continue in the next process.

    Cut to the deadline of a shutdown, they would fail there without need. They must keep theirs, and the
    shutdown does not wait for them.
    """

    async def story(play: HandPlayed) -> None:
        play.node.shutdown.limit_new_requests(play.node.loop.time() + 0.5)
        kept = replace(submission("kept"), background=True)
        play.node.submit(kept)
        play.node.submit(submission("plain"))
        left = {
            name: held.deadline - play.node.clock.now()
            for name, held in play.node.registry.open_requests.items()
        }
        assert left["kept"] > 2_000_000 > left["plain"] and play.node.registry.open_count() == 1

    run_story(story)


def test_request_with_an_id_that_is_in_use_or_was_is_not_accepted() -> None:
    """A client sends a second request under the id of one that is open or had its response lately.

    The worker may still know the id, and would take one job for the other. Such a request must not be
    accepted.
    """

    async def story(play: HandPlayed) -> None:
        assert play.node.submit(submission("a")) is not None
        assert play.node.submit(submission("a")) is None
        shot = await play.sent("a")
        shot.reply(202)
        play.call("a", shot.worker, "done")
        await play.settle()
        assert not play.node.registry.open_requests and play.node.submit(submission("a")) is None

    run_story(story)
