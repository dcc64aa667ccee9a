"""Callbacks of workers: which of them end a request, and which are ignored."""

from __future__ import annotations

from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.events import AttemptSent
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


def test_callback_done_of_the_running_attempt_is_the_response_and_others_change_nothing() -> None:
    """Callbacks may arrive before the 202, from workers that do not have the job, for requests that are not
    open, and twice. Only a callback of the worker that has the attempt may end it: the client must get its
    result once, and the scheduler one outcome.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        response = harness.dispatcher.submit(submit_request("a"))
        assert response is not None
        attempt = await harness.sent_attempt("a")
        harness.receive_callback("a", attempt.worker, "started")  # before the 202
        harness.receive_callback("a", "w-nobody", "done", b"forged")  # the job was not sent to that worker
        harness.receive_callback("b", attempt.worker, "done", b"whose")  # there is no such request
        assert not response.done()
        harness.receive_callback("a", attempt.worker, "done", b"r\x00\xff")
        assert response.result() == Response(200, b"r\x00\xff")
        harness.receive_callback("a", attempt.worker, "done", b"twice")
        attempt.respond(202)
        await harness.run_pending_tasks()
        assert harness.outcomes() == [AttemptOutcome.DONE] and not harness.dispatcher.registry.open_requests
        assert sum(type(event) is AttemptSent for _, events in harness.steps for event in events) == 1

    run_with_dispatcher(scenario)


def test_callback_for_an_attempt_that_is_not_sent_is_ignored() -> None:
    """A repeated callback about an earlier attempt may arrive while a new attempt at the same worker waits
    for its connection. Taken for the outcome of the new attempt, it would allow a retry although the job is
    still sent later. A callback cannot be about an attempt whose last byte is not sent.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        harness.dispatcher.submit(submit_request("a"))
        attempt = await harness.started_attempt("a")
        harness.receive_callback("a", attempt.worker, "returned")
        await harness.run_pending_tasks()
        assert harness.outcomes() == []

    run_with_dispatcher(scenario)
