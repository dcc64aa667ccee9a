"""Effects of the endpoint list on connections and attempts, and the end of its watch."""

from __future__ import annotations

import asyncio

from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.types import AttemptOutcome, EndpointState


def test_idle_connections_close_when_a_worker_restarts_or_goes() -> None:
    """A worker restarts at the same address, and its idle connections lead to a process that is gone.

    Jobs sent on them would fail and count against the new process. They must be closed when the list says
    that the worker has restarted or is gone; a drain must close none.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.update_endpoint("w0", EndpointState.DRAINING)
        assert harness.idle_closed_workers == []
        harness.update_endpoint("w0", EndpointState.READY, started_at=5)
        harness.update_endpoint("w1", EndpointState.GONE)
        assert harness.idle_closed_workers == ["w0", "w1"]

    run_with_dispatcher(scenario)


def test_attempt_sent_before_its_worker_restarted_is_cancelled_and_a_later_one_is_not() -> None:
    """A zone returned with new worker processes, and a job that was retried before they had replied to a
    cancellation was a second copy. Without a cancellation, requests at the old processes would wait until
    their deadline, as no callback comes for them. An attempt sent before the restart must be cancelled once
    and end when the new process has replied; an attempt sent after the restart must not be cancelled.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a"))
        attempt = await harness.sent_attempt("a")
        attempt.respond(202)
        await harness.run_pending_tasks()
        # The worker started before the attempt was sent.
        harness.update_endpoint(
            attempt.worker, EndpointState.READY, started_at=harness.dispatcher.clock.now() - 1_000_000
        )
        await harness.run_pending_tasks()
        assert harness.outcomes() == []
        harness.update_endpoint(
            attempt.worker, EndpointState.READY, started_at=harness.dispatcher.clock.now() + 1
        )
        # Listed twice, but cancelled once.
        harness.update_endpoint(
            attempt.worker, EndpointState.READY, started_at=harness.dispatcher.clock.now() + 1
        )
        await harness.run_pending_tasks()
        message = harness.exchanges[-1].build()
        assert harness.outcomes() == [] and len(harness.exchanges) == 2
        assert message is not None and (message.method, message.target) == ("DELETE", "/jobs/a")
        harness.exchanges[-1].respond(404)
        await harness.run_pending_tasks()
        # The request is sent again.
        assert harness.outcomes() == [AttemptOutcome.CONNECTION_CLOSED] and len(harness.exchanges) == 3

    run_with_dispatcher(scenario)


def test_reload_between_the_stop_and_the_close_of_a_follower_begins_no_watch() -> None:
    """A SIGHUP arrived while a shutdown closed its last connections.

    It started a new watch of the endpoint list, and the shutdown waited forever for the end of that watch:
    the process stayed until it was killed. No watch may start after the stop.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        follower = harness.dispatcher.follower
        follower.stop()
        follower.restart()
        closing = asyncio.ensure_future(follower.close())
        done, _ = await asyncio.wait([closing], timeout=1)
        assert done, "close waits for a watch that never ends"

    run_with_dispatcher(scenario)
