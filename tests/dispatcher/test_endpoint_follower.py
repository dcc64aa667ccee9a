"""The endpoint list: what a worker that has restarted, moved or gone means for connections and attempts."""

from __future__ import annotations

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.types import AttemptOutcome, EndpointState


def test_idle_connections_close_when_a_worker_restarts_or_goes() -> None:
    async def story(play: HandPlayed) -> None:
        play.list("w0", EndpointState.DRAINING)
        assert play.forgotten == []
        play.list("w0", EndpointState.READY, started_at=5)
        play.list("w1", EndpointState.GONE)
        assert play.forgotten == ["w0", "w1"]

    run_story(story)


def test_attempt_sent_before_its_worker_restarted_is_cancelled_and_a_later_one_is_not() -> None:
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

    run_story(story)
