"""Commands of the scheduler: which of them a shutdown leaves to the next process."""

from __future__ import annotations

from dataclasses import replace

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.commands import FailRequest


def test_during_shutdown_a_command_about_a_background_request_is_left_to_the_next_process() -> None:
    """A durable job continues in the next process, from its record on disk.

    In a shutdown the scheduler may still command to fail it, as no worker can be had in the time that is
    left. Executed, the command would end the job for good. It must not be executed, while requests of waiting
    clients get their responses.
    """

    async def story(play: HandPlayed) -> None:
        background = play.node.submit(replace(submission("background"), background=True))
        waiting = play.node.submit(submission("waiting"))
        assert background is not None and waiting is not None
        play.node.shutdown.limit_new_requests(play.node.loop.time() + 5.0)
        play.node.bridge.execute(FailRequest("background"))
        play.node.bridge.execute(FailRequest("waiting"))
        assert not background.done() and waiting.result().status == 502

    run_story(story)


def test_outside_a_shutdown_a_command_about_a_background_request_is_executed() -> None:
    """The counterpart of the test above: a background request that cannot be completed fails as any other."""

    async def story(play: HandPlayed) -> None:
        background = play.node.submit(replace(submission("background"), background=True))
        assert background is not None
        play.node.bridge.execute(FailRequest("background"))
        assert background.result().status == 502

    run_story(story)
