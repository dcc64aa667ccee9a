"""Descriptors: which idle connection is evicted for a new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from locktide.transport.descriptor_budget import DescriptorBudget


def test_at_the_limit_the_connection_idle_longest_is_evicted() -> None:
    """All descriptors are in use and a new connection waits, although there are idle connections.

    The connection that has been idle longest must be closed. A connection that gives up its wait must not
    take the descriptor of the next one that waits.
    """

    async def run() -> None:
        budget = DescriptorBudget(2)
        closed: list[str] = []

        def close(name: str) -> Callable[[], None]:
            def close_and_release() -> None:
                closed.append(name)
                budget.release(name)

            return close_and_release

        await budget.acquire()
        await budget.acquire()
        budget.mark_idle("one", close("one"))
        budget.mark_idle("two", close("two"))
        await budget.acquire()
        assert closed == ["one"] and budget.used == 2
        budget.mark_busy("two")
        waiting = [asyncio.create_task(budget.acquire()) for _ in range(2)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.sleep(0)
        budget.mark_idle("two", close("two"))  # the other one still waits for a descriptor
        await asyncio.wait_for(waiting[1], 5.0)
        assert closed == ["one", "two"] and budget.used == 2 and not budget.idle_proven

    asyncio.run(run())


@pytest.mark.parametrize("proven", [True, False])
def test_connection_that_is_too_new_is_evicted_once_it_may_be_and_not_before(proven: bool) -> None:
    """The only idle connection was opened a moment ago, and its first message may be on its way.

    If it were closed at once, that message would be lost. Without a timer, the connection that waits would
    never get a descriptor, as no other event wakes it.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        budget = DescriptorBudget(1)
        closed_at: list[float] = []

        def close() -> None:
            closed_at.append(loop.time())
            budget.release("new")

        await budget.acquire()
        evictable_at = loop.time() + 0.02
        budget.mark_idle("new", close, proven, evictable_at)
        await asyncio.wait_for(budget.acquire(), 5.0)
        assert closed_at[0] >= evictable_at and budget.used == 1

    asyncio.run(run())
