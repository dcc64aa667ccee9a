"""Commands of the scheduler: which of them a shutdown does not execute but leaves to the next process."""

from __future__ import annotations

from dataclasses import replace

from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.commands import FailRequest


def test_during_shutdown_a_command_about_a_background_request_is_left_to_the_next_process() -> None:
    """A durable job continues in the next process, from its record on disk.

    During a shutdown the scheduler may still command to fail it, as no worker is available in the remaining
    time. If the command were executed, it would end the job for good. It must not be executed, while requests
    of waiting clients still get their responses.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        background = harness.dispatcher.submit(replace(submit_request("background"), background=True))
        waiting = harness.dispatcher.submit(submit_request("waiting"))
        assert background is not None and waiting is not None
        harness.limit_new_requests(5.0)
        harness.dispatcher.bridge.execute(FailRequest("background"))
        harness.dispatcher.bridge.execute(FailRequest("waiting"))
        assert not background.done() and waiting.result().status == 502

    run_with_dispatcher(scenario)


def test_outside_a_shutdown_a_command_about_a_background_request_is_executed() -> None:
    """The counterpart of the test above: outside a shutdown, a background request fails like any other."""

    async def scenario(harness: DispatcherHarness) -> None:
        background = harness.dispatcher.submit(replace(submit_request("background"), background=True))
        assert background is not None
        harness.dispatcher.bridge.execute(FailRequest("background"))
        assert background.result().status == 502

    run_with_dispatcher(scenario)
