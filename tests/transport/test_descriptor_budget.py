"""Descriptors: which idle connection makes room for a new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from locktide.transport.descriptor_budget import DescriptorBudget


def test_at_the_limit_the_connection_idle_longest_is_evicted() -> None:
    """All descriptors are in use and a new connection waits although idle ones are there.

    The one that has been idle longest must be closed for it. One that gives up its wait must not take the
    descriptor of the next.
    """

    async def run() -> None:
        places = DescriptorBudget(2)
        closed: list[str] = []

        def close(name: str) -> Callable[[], None]:
            def close_and_release() -> None:
                closed.append(name)
                places.release(name)

            return close_and_release

        await places.acquire()
        await places.acquire()
        places.mark_idle("one", close("one"))
        places.mark_idle("two", close("two"))
        await places.acquire()
        assert closed == ["one"] and places.used == 2
        places.mark_busy("two")
        waiting = [asyncio.create_task(places.acquire()) for _ in range(2)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.sleep(0)
        places.mark_idle("two", close("two"))  # another waits for its place
        await asyncio.wait_for(waiting[1], 5.0)
        assert closed == ["one", "two"] and places.used == 2 and not places.idle_proven

    asyncio.run(run())


@pytest.mark.parametrize("proven", [True, False])
def test_connection_that_is_too_new_is_evicted_once_it_may_be_and_not_before(proven: bool) -> None:
    """The only idle connection was opened a moment ago, and its first message may be on its way.

    Closed at once it would lose that message. Left alone with no timer, the one that waits would never get
    its descriptor, as nothing else wakes it.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        places = DescriptorBudget(1)
        closed_at: list[float] = []

        def close() -> None:
            closed_at.append(loop.time())
            places.release("new")

        await places.acquire()
        evictable_at = loop.time() + 0.02
        places.mark_idle("new", close, proven, evictable_at)
        await asyncio.wait_for(places.acquire(), 5.0)
        assert closed_at[0] >= evictable_at and places.used == 1

    asyncio.run(run())
