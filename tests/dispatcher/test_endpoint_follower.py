"""The endpoint list: what a worker that has restarted, moved or gone means for connections and attempts."""

from __future__ import annotations

import asyncio

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.types import AttemptOutcome, EndpointState


def test_idle_connections_close_when_a_worker_restarts_or_goes() -> None:
    """A worker restarts under the same address, and its idle connections lead to a process that is gone.

    Jobs on them would break and count against the new process. They must be closed when the list says that
    the worker has restarted or gone; a drain closes none.
    """

    async def story(play: HandPlayed) -> None:
        play.list("w0", EndpointState.DRAINING)
        assert play.forgotten == []
        play.list("w0", EndpointState.READY, started_at=5)
        play.list("w1", EndpointState.GONE)
        assert play.forgotten == ["w0", "w1"]

    run_story(story)


def test_attempt_sent_before_its_worker_restarted_is_cancelled_and_a_later_one_is_not() -> None:
    """A zone came back with new worker processes, and what was retried before they had replied to a
    cancellation was a second copy. Without a cancellation, jobs of the old processes would wait until
    their deadline, as no callback comes for them. An attempt sent before the restart must be cancelled,
    once, and end when the new process has replied; one sent after it stays.
    """

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
        question = play.asked[-1].build()
        assert play.outcomes() == [] and len(play.asked) == 2
        assert question is not None and (question.method, question.target) == ("DELETE", "/jobs/a")
        play.asked[-1].reply(404)
        await play.settle()
        assert (
            play.outcomes() == [AttemptOutcome.CONNECTION_CLOSED] and len(play.asked) == 3
        )  # and goes out anew

    run_story(story)


def test_reload_between_the_stop_and_the_close_of_a_follower_begins_no_watch() -> None:
    """A SIGHUP came while a shutdown ended its last connections.

    It began a new watch of the endpoint list, for whose end the shutdown then waited for ever: the process
    stayed until it was killed.
    """

    async def story(play: HandPlayed) -> None:
        follower = play.node.follower
        follower.stop()
        follower.restart()
        closing = asyncio.ensure_future(follower.close())
        done, _ = await asyncio.wait([closing], timeout=1)
        assert done, "it waits for a watch that has no end"

    run_story(story)
