"""Descriptors: which idle connection makes room for a new one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
