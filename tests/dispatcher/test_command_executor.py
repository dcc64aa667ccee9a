"""Commands of the scheduler: which of them a shutdown does not execute but leaves to the next process."""

from __future__ import annotations

from dataclasses import replace

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.commands import FailRequest


def test_during_shutdown_a_command_about_a_background_request_is_left_to_the_next_process() -> None:
    """A durable job continues in the next process, from its record on disk.

    During a shutdown the scheduler may still command to fail it, as no worker is available in the remaining
    time. If the command were executed, it would end the job for good. It must not be executed, while requests
    of waiting clients still get their responses.
    """

    async def scenario(harness: HandPlayed) -> None:
        background = harness.node.submit(replace(submission("background"), background=True))
        waiting = harness.node.submit(submission("waiting"))
        assert background is not None and waiting is not None
        harness.node.shutdown.limit_new_requests(harness.node.loop.time() + 5.0)
        harness.node.bridge.execute(FailRequest("background"))
        harness.node.bridge.execute(FailRequest("waiting"))
        assert not background.done() and waiting.result().status == 502

    run_story(scenario)


def test_outside_a_shutdown_a_command_about_a_background_request_is_executed() -> None:
    """The counterpart of the test above: outside a shutdown, a background request fails like any other."""

    async def scenario(harness: HandPlayed) -> None:
        background = harness.node.submit(replace(submission("background"), background=True))
        assert background is not None
        harness.node.bridge.execute(FailRequest("background"))
        assert background.result().status == 502

    run_story(scenario)
