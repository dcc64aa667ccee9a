"""Attempts: the last check before the first byte, and the effect of a worker's reply."""

from __future__ import annotations

import asyncio

import pytest
from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.types import AttemptOutcome, EndpointState
from locktide.transport.interfaces import Response


@pytest.mark.parametrize("change", ["draining", "gone", "answered", "late", "none"])
def test_attempt_is_sent_only_if_worker_is_ready_and_request_open_at_the_first_byte(change: str) -> None:
    """A connection may take as long to open as the connect timeout allows.

    Meanwhile the worker may start to drain or leave, the request may get its response, or its deadline may
    pass: a job sent then would violate the drain or run for nobody. The last check before the first byte must
    prevent this, and the attempt counts as never sent.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a", timeout=800_000 if change == "late" else 3_000_000))
        attempt = await harness.started_attempt("a")
        if change == "draining":
            harness.update_endpoint(attempt.worker, EndpointState.DRAINING)
        elif change == "gone":
            harness.update_endpoint(attempt.worker, EndpointState.GONE)
        elif change == "answered":
            harness.dispatcher.registry.open_requests["a"].response.set_result(Response(502))
        elif change == "late":
            harness.dispatcher.clock.offset += 1.0
        message = attempt.build()
        assert (message is not None) == (change == "none")
        if message is None:
            attempt.end(AttemptOutcome.NEVER_SENT)
            await harness.run_pending_tasks()
            assert harness.outcomes()[0] == AttemptOutcome.NEVER_SENT

    run_with_dispatcher(scenario)


def test_reply_that_never_comes_times_out_after_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker reports by callback that a job is done, and never replies to the request that brought it.

    The connection and the task that reads from it would stay forever. The task must end a second after the
    deadline, and the attempt keeps the outcome of the callback.
    """
    monkeypatch.setattr("locktide.dispatcher.job_sender.LATE_REPLY_TIMEOUT", 0.02)

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a", timeout=200_000))
        attempt = await harness.sent_attempt("a")
        harness.receive_callback("a", attempt.worker, "done")
        await harness.run_pending_tasks()
        assert not harness.dispatcher.registry.open_requests and harness.dispatcher.tasks
        while harness.dispatcher.tasks:
            await asyncio.sleep(0.005)
        assert attempt.is_cancelled and harness.outcomes() == [AttemptOutcome.DONE]

    run_with_dispatcher(scenario)


def test_worker_reply_4xx_is_a_400_for_the_client_and_is_not_retried() -> None:
    """A worker that replies 4xx rejects the message itself, so any other worker would reject it as well.

    The client must get a 400 at once, and the message must not be sent to another worker.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        response = harness.dispatcher.submit(submit_request("a"))
        assert response is not None
        (await harness.sent_attempt("a")).respond(404)
        await harness.run_pending_tasks()
        assert response.result().status == 400 and harness.outcomes() == [AttemptOutcome.UNPROCESSABLE]
        assert len(harness.exchanges) == 1 and not harness.dispatcher.registry.open_requests

    run_with_dispatcher(scenario)
