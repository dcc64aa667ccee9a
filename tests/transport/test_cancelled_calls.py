"""Calls that are cancelled in the turn of the event loop in which what they await ends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from unittest.mock import MagicMock

import pytest

from locktide.transport import upstream_connection
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.discovery_connection import DiscoveryConnection
from locktide.transport.endpoint_watch import CLOSE_TIMEOUT, EndpointWatch, ignore_update
from locktide.transport.log import Log
from locktide.transport.upstream_pool import UpstreamPool

ADDRESS = ("127.0.0.1", 9)
#: Turns of the event loop after which the call is cancelled: more than a call takes to end.
TURNS = range(8)


async def run_turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def cancel_after(turns: int, call: Awaitable[Any], end_wait: Callable[[], None]) -> bool:
    """Cancel a call some turns after its wait has ended, and return whether it had not ended by then.

    Assert that it ends as cancelled in that case.
    """
    task = asyncio.ensure_future(call)
    await run_turns(max(TURNS))
    end_wait()
    await run_turns(turns)
    is_cancelled = task.cancel()
    await asyncio.wait([task], timeout=1.0)
    assert task.cancelled() == is_cancelled, f"the call went on, cancelled after {turns} turns"
    return is_cancelled


def test_call_to_discovery_ends_by_a_cancellation_in_the_turn_in_which_it_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`asyncio.wait_for` of Python 3.11 drops a cancellation that comes once the awaited task has ended.

    The call went on, and a stop of the process waited for a silent discovery until it was killed.
    """

    async def run(turns: int) -> None:
        connecting: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        async def open_connection(*_: Any, **__: Any) -> Any:
            return await connecting

        monkeypatch.setattr(asyncio, "open_connection", open_connection)
        opening = DiscoveryConnection.open(ADDRESS)
        await cancel_after(turns, opening, lambda: connecting.set_result((None, None)))

    for turns in TURNS:
        asyncio.run(run(turns))


def test_attempt_ends_by_a_cancellation_in_the_turn_in_which_its_connection_comes_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The attempt went on to its last check; the cancellation of a job waited for a silent worker forever.

    The second is what a time limit around the call does to it: it cancels the call.
    """

    async def run(turns: int) -> None:
        connecting: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

        async def open_upstream(address: Any) -> Any:
            return await connecting

        monkeypatch.setattr(upstream_connection, "open_upstream", open_upstream)
        pool = UpstreamPool(DescriptorBudget(1), 1_000_000, 1_000_000)
        streams = (MagicMock(), MagicMock(), MagicMock())
        opening = pool._open("w0", ADDRESS)
        is_cancelled = await cancel_after(turns, opening, lambda: connecting.set_result(streams))
        assert pool.descriptors.used == (0 if is_cancelled else 1)

    for turns in TURNS:
        asyncio.run(run(turns))


def test_attempt_ends_by_a_cancellation_in_the_turn_in_which_a_descriptor_is_free() -> None:
    """The descriptor goes to the next one that waits, and to nobody twice."""

    async def run(turns: int) -> None:
        budget = DescriptorBudget(1)
        await budget.acquire()
        pool = UpstreamPool(budget, 1_000_000, 1_000_000)
        await cancel_after(turns, pool._open("w0", ADDRESS), lambda: budget.release("w1"))
        await asyncio.wait_for(budget.acquire(), 1.0)
        assert budget.used == 1

    for turns in TURNS:
        asyncio.run(run(turns))


def test_close_of_a_watch_waits_a_limited_time_for_a_call_that_does_not_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop waited without a limit for a call that went on, and the process stayed until it was killed."""

    async def run() -> None:
        ending = asyncio.Event()

        async def stay(address: Any) -> Any:
            while not ending.is_set():
                with suppress(asyncio.CancelledError):
                    await ending.wait()
            raise OSError

        monkeypatch.setattr(DiscoveryConnection, "open", stay)
        lines: list[str] = []
        log = Log("n0")
        log.emit = lambda line, *_, **__: lines.append(line)  # type: ignore[method-assign]
        watching = asyncio.create_task(EndpointWatch(ADDRESS, ignore_update, log).run())
        await run_turns(3)
        watching.cancel()
        await asyncio.wait([watching], timeout=2 * CLOSE_TIMEOUT)
        assert watching.done() and any("have not ended" in line for line in lines)
        ending.set()

    asyncio.run(run())
