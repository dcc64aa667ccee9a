"""Events to the scheduler: the first event, batches, and a scheduler that raises an exception."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from helpers import DispatcherHarness, run_with_dispatcher, submit_request

from locktide.scheduler.commands import Command
from locktide.scheduler.events import ClientDisconnected, EndpointListUpdate, Event
from locktide.scheduler.types import ListUpdateKind


def test_cached_endpoint_list_is_the_first_event_and_the_clock_is_unix_time() -> None:
    """The scheduler computes the warm-up of workers from the start times in the list, which are Unix times.

    Its clock must be Unix time as well, and the cached list must be its first event, so that no request is
    placed before the list is known.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        assert abs(harness.dispatcher.clock.now() - time.time_ns() // 1000) < 1_000_000
        await harness.run_pending_tasks()
        first = harness.steps[0][1][0]
        assert type(first) is EndpointListUpdate and first.kind == ListUpdateKind.CACHED
        assert [entry.started_at for entry in first.entries] == [0, 0, 0]

    run_with_dispatcher(scenario)


def test_events_of_one_loop_turn_go_to_the_scheduler_in_one_step() -> None:
    """A step for each event would cost a placement round each: events of a loop turn must share one step."""

    async def scenario(harness: DispatcherHarness) -> None:
        await harness.run_pending_tasks()
        before = len(harness.steps)
        for number in range(5):
            harness.dispatcher.submit(submit_request(f"s{number}"))
        await asyncio.sleep(0)
        assert [len(events) for _, events in harness.steps[before:]] == [5]

    run_with_dispatcher(scenario)


def test_request_gets_504_if_the_scheduler_fails() -> None:
    """The scheduler raises an exception in each step and returns no command.

    Clients would never get a response. At the deadline the dispatcher must respond 504 on its own, and report
    to the scheduler that the client has disconnected, so that no further attempt is started.
    """

    async def scenario(harness: DispatcherHarness) -> None:
        received: list[Event] = []

        def failing_step(now: int, events: Sequence[Event]) -> list[Command]:
            received.extend(events)
            raise ValueError("injected error")

        harness.dispatcher.scheduler.step = failing_step  # type: ignore[method-assign]
        response = harness.dispatcher.submit(submit_request("a", timeout=60_000))
        assert response is not None and (await asyncio.wait_for(response, 5.0)).status == 504
        assert any("injected error" in line for line in harness.lines_logged)
        await harness.run_pending_tasks()
        assert type(received[-1]) is ClientDisconnected  # no further attempt may be started

    run_with_dispatcher(scenario)
