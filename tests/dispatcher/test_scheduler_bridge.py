"""Events to the scheduler and its commands: batches, the first event, a scheduler that fails."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

from helpers import HandPlayed, run_story, submission

from locktide.scheduler.commands import Command
from locktide.scheduler.events import ClientDisconnected, EndpointListUpdate, Event
from locktide.scheduler.types import ListUpdateKind


def test_cached_endpoint_list_is_the_first_event_and_the_clock_is_unix_time() -> None:
    """The scheduler judges warm-up by the start times in the list, which are Unix times.

    Its clock must be the same, and the cached list the first event, so that no request is placed before it
    is known.
    """

    async def story(play: HandPlayed) -> None:
        assert abs(play.node.clock.now() - time.time_ns() // 1000) < 1_000_000
        await play.settle()
        first = play.turns[0][1][0]
        assert type(first) is EndpointListUpdate and first.kind == ListUpdateKind.CACHED
        assert [entry.started_at for entry in first.entries] == [0, 0, 0]

    run_story(story)


def test_events_of_one_loop_turn_go_to_the_scheduler_in_one_step() -> None:
    """A step for each event would cost a placement round for each: one step takes those of a loop turn."""

    async def story(play: HandPlayed) -> None:
        await play.settle()
        before = len(play.turns)
        for number in range(5):
            play.node.submit(submission(f"s{number}"))
        await asyncio.sleep(0)
        assert [len(news) for _, news in play.turns[before:]] == [5]

    run_story(story)


def test_request_gets_504_if_the_scheduler_fails() -> None:
    """The scheduler raises an exception in each step and gives no command.

    Clients would wait without any response. At the deadline the dispatcher must respond 504 by itself, and
    report that the client is gone, so that nothing more is sent for it.
    """

    async def story(play: HandPlayed) -> None:
        told: list[Event] = []

        def broken(now: int, events: Sequence[Event]) -> list[Command]:
            told.extend(events)
            raise ValueError("out of sorts")

        play.node.scheduler.step = broken  # type: ignore[method-assign]
        answer = play.node.submit(submission("a", patience=60_000))
        assert answer is not None and (await asyncio.wait_for(answer, 5.0)).status == 504
        assert any("out of sorts" in line for line in play.lines_logged)
        await play.settle()
        assert type(told[-1]) is ClientDisconnected  # nothing more is to be sent for it

    run_story(story)
