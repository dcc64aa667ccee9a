"""Graceful shutdown: the work that it waits for."""

from __future__ import annotations

import asyncio

import pytest
from helpers import DispatcherHarness, free_address, run_with_dispatcher, submit_request

CONNECT_WITHIN = 5_000_000  # microseconds: long enough that no send of a cancellation times out here


def test_shutdown_waits_until_a_job_of_a_client_that_left_is_cancelled_at_its_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client disconnects while a worker has its job, and the dispatcher is stopped.

    No response is due then, but after an exit the worker would run the job for nobody, in slots that other
    jobs need. The shutdown must continue until the worker has replied to the cancellation.
    """
    monkeypatch.setattr("locktide.dispatcher.shutdown_limit.ACCEPT_AFTER_STOP", 0.0)

    async def scenario(harness: DispatcherHarness) -> None:
        dispatcher, stop = harness.dispatcher, asyncio.Event()
        dispatcher.upstream.close_expired = lambda: None  # type: ignore[method-assign]
        dispatcher.settings.connect_within = CONNECT_WITHIN
        dispatcher.startup.listen_address = free_address()
        dispatcher.endpoint_list.received.set()
        running = asyncio.create_task(dispatcher.run(stop))
        while not dispatcher.is_ready():
            await asyncio.sleep(0.001)
        dispatcher.submit(submit_request("a"))
        (await harness.sent_attempt("a")).respond(202)
        await harness.run_pending_tasks()
        dispatcher.client_disconnected(dispatcher.registry.open_requests["a"].message)
        await harness.run_pending_tasks()
        cancellation = harness.exchanges[-1].build()
        assert cancellation is not None and cancellation.method == "DELETE"
        stop.set()
        done, _ = await asyncio.wait([running], timeout=0.2)  # ten times the interval of its checks
        assert not done, "the job would stay at its worker"
        harness.exchanges[-1].respond(204)
        await asyncio.wait_for(running, 5.0)

    run_with_dispatcher(scenario)
