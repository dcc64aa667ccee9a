"""Requests: accepted once, ended at their deadline, answered as the scheduler commands."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.types import AttemptOutcome


def test_rejected_request_gets_503_with_retry_after_and_failed_request_gets_502() -> None:
    """A rejected client may retry and needs to know when; a client whose request failed must not retry."""

    async def scenario(harness: DispatcherHarness) -> None:
        rejected, failed = (harness.dispatcher.submit(submit_request(name)) for name in "ab")
        assert rejected is not None and failed is not None
        harness.dispatcher.failures.reject(RejectRequest("a", 250_000))
        harness.dispatcher.failures.fail(FailRequest("b"))
        assert harness.lines_logged == [
            "request b: failed, no further attempt is allowed"
        ], "the log line of the failed request is missing"
        assert rejected.result().status == 503 and rejected.result().headers == [("Retry-After", "0.250")]
        assert failed.result().status == 502 and not failed.result().headers

    run_with_dispatcher(scenario)


def test_at_the_deadline_attempts_time_out_and_the_client_has_its_response() -> None:
    """A worker accepts a job and is silent after that.

    At the deadline the client must have a response that says that the request failed, the attempt must have
    timed out, and the worker must get a cancellation, as nobody waits for the job any more.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        response = harness.dispatcher.submit(submit_request("a", service_class="cash", timeout=240_000))
        assert response is not None
        (await harness.sent_attempt("a")).respond(202)
        status = (await asyncio.wait_for(response, 5.0)).status
        assert status not in (200, 429, 503)
        await harness.run_pending_tasks()
        assert (
            harness.outcomes() == [AttemptOutcome.TIMED_OUT] and not harness.dispatcher.registry.open_requests
        )
        cancellation = harness.exchanges[-1].build()
        assert cancellation is not None and cancellation.method == "DELETE"  # nobody waits for it any more

    run_with_dispatcher(scenario)


@pytest.mark.parametrize("timeout, margin", [(6_000_000, 80_000), (400_000, 20_000)])
def test_deadline_leaves_the_client_time_for_transit(timeout: int, margin: int) -> None:
    """A response that is written when the client's timeout expires arrives too late.

    The deadline must leave 80 ms for the transit, or a twentieth of the timeout if that is less.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        before = harness.dispatcher.clock.now()
        harness.dispatcher.submit(submit_request("a", timeout=timeout))
        after = harness.dispatcher.clock.now()
        assert before <= harness.dispatcher.registry.open_requests["a"].deadline - timeout + margin <= after

    run_with_dispatcher(scenario)


def test_during_shutdown_new_requests_end_before_the_shutdown_deadline() -> None:
    """Clients still send requests for a while after SIGTERM, with timeouts longer than the process has left:
    a kill would leave them without a response. A request that arrives during a shutdown must end before the
    shutdown ends; earlier requests keep their deadlines.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a", timeout=9_000_000))
        harness.limit_new_requests(2.0)
        harness.dispatcher.submit(submit_request("b", timeout=9_000_000))
        harness.dispatcher.submit(submit_request("c", timeout=900_000))
        time_left = [
            harness.dispatcher.registry.open_requests[name].deadline - harness.dispatcher.clock.now()
            for name in "abc"
        ]
        assert time_left[0] > 8_000_000 and 1_000_000 < time_left[1] < 2_000_000 and time_left[2] < 900_000

    run_with_dispatcher(scenario)


def test_during_shutdown_background_jobs_keep_their_deadline() -> None:
    """Durable jobs continue in the next process.

    With the deadline of a shutdown they would fail without need. They must keep their own deadline, and the
    shutdown must not wait for them.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.limit_new_requests(0.5)
        background_request = replace(submit_request("kept"), background=True)
        harness.dispatcher.submit(background_request)
        harness.dispatcher.submit(submit_request("plain"))
        time_left = {
            name: request.deadline - harness.dispatcher.clock.now()
            for name, request in harness.dispatcher.registry.open_requests.items()
        }
        assert (
            time_left["kept"] > 2_000_000 > time_left["plain"]
            and harness.dispatcher.registry.open_count() == 1
        )

    run_with_dispatcher(scenario)


def test_request_with_an_id_that_is_in_use_or_was_is_not_accepted() -> None:
    """A client sends a second request with the id of one that is open or was answered recently.

    The worker may still remember the id and would confuse the two jobs. Such a request must not be accepted.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        assert harness.dispatcher.submit(submit_request("a")) is not None
        assert harness.dispatcher.submit(submit_request("a")) is None
        attempt = await harness.sent_attempt("a")
        attempt.respond(202)
        harness.receive_callback("a", attempt.worker, "done")
        await harness.run_pending_tasks()
        assert (
            not harness.dispatcher.registry.open_requests
            and harness.dispatcher.submit(submit_request("a")) is None
        )

    run_with_dispatcher(scenario)
