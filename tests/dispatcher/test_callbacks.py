"""Callbacks of workers: what ends a request, and what changes nothing."""

from __future__ import annotations

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.events import AttemptSent
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


def test_callback_done_of_the_running_attempt_is_the_response_and_others_change_nothing() -> None:
    """Callbacks come before the 202, from workers that do not have the job, for requests that are not open,
    and twice. Only the one of the worker that has the attempt may end it. The client must get that result
    once, and the scheduler one outcome.
    """

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
        assert play.outcomes() == [AttemptOutcome.DONE] and not play.node.registry.open_requests
        assert sum(type(piece) is AttemptSent for _, news in play.turns for piece in news) == 1

    run_story(story)


def test_callback_for_an_attempt_that_is_not_sent_is_ignored() -> None:
    """A repeated callback about an earlier attempt may come while a new attempt at that worker waits for its
    connection. Taken for the outcome of the new one, it would allow a retry beside a job that is sent
    later. An attempt whose last byte was not sent has no callback.
    """

    async def story(play: HandPlayed) -> None:
        play.node.submit(submission("a"))
        shot = await play.ordered("a")
        play.call("a", shot.worker, "returned")
        await play.settle()
        assert play.outcomes() == []

    run_story(story)
