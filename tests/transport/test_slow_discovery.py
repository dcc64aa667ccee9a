"""The watch of the endpoint list where discovery is slow, silent or resets calls, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest
from rig import Rig
from slow_agent import ADDRESS, DRAIN_GRACE, NOTIFIED_WITHIN, SlowAgent

from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport.endpoint_watch import EndpointWatch
from locktide.transport.log import Log

DELAYS = (0.0, 0.1, 0.2, 0.6, 1.2, 1.9, 3.0)


def watch_agent(delay: Callable[[], float], scenario: Callable[[SlowAgent, list[Any]], Any]) -> Any:
    """Run a scenario beside a watch, with the agent and the updates and their times; return its result.

    The watch has had no answer yet when the scenario begins.
    """
    rig = Rig()

    async def run() -> Any:
        agent = SlowAgent(rig, delay)
        updates: list[tuple[float, DiscoveryUpdate]] = []
        log = Log("d")
        log.emit = lambda *_, **__: None  # type: ignore[method-assign]
        watch = EndpointWatch(ADDRESS, lambda update: updates.append((rig.loop.time(), update)), log)
        task = asyncio.create_task(watch.run())
        result = await scenario(agent, updates)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(5.0)
        assert all(peer.ending for peer in agent.peers), "a connection is left open"
        assert rig.loop.unhandled == []
        return result

    return rig.loop.run_until_complete(run())


def time_until_known(delay: Callable[[], float], lead: float, loss: Callable[[], str] = lambda: "") -> float:
    """Return how long a change takes to be known, which comes `lead` seconds after the start, in seconds."""

    async def scenario(agent: SlowAgent, updates: list[tuple[float, DiscoveryUpdate]]) -> float:
        agent.loss = loss
        await asyncio.sleep(lead)
        agent.change()
        changed_at = agent.loop.time()
        await asyncio.sleep(4 * NOTIFIED_WITHIN)
        known = [at for at, update in updates if update.version == agent.version]
        assert agent.most_open <= 2
        return known[0] - changed_at if known else float("inf")

    result: float = watch_agent(delay, scenario)
    return result


@pytest.mark.parametrize("delay", DELAYS)
def test_slow_discovery_is_heard_however_late_it_responds(delay: float) -> None:
    """After one call had timed out, each call was given 0.15 s until one succeeded.

    A service that took longer was never heard again, and a draining worker got jobs for as long as it lived.
    """
    for step in range(24):
        assert time_until_known(lambda: delay, 8.0 + step / 4) <= NOTIFIED_WITHIN + DRAIN_GRACE, step


@pytest.mark.parametrize("longest", DELAYS[1:-1])
def test_discovery_of_varying_delay_is_heard(longest: float) -> None:
    for seed in range(20):
        draws = random.Random(seed)
        known_after = time_until_known(lambda: draws.uniform(0.0, longest), 8.0 + draws.random())  # noqa: B023
        assert known_after <= NOTIFIED_WITHIN + DRAIN_GRACE, seed


def test_answer_of_an_overdue_call_is_taken_while_the_next_one_may_not_be_made_yet() -> None:
    """Where calls are expensive, the next one is made when the scheduler commands it, up to seconds later.

    The answer that was on its way was given up with its connection, and the agent had worked for nothing.
    """
    rig = Rig()

    async def run() -> None:
        agent = SlowAgent(rig, lambda: 0.6)
        updates: list[DiscoveryUpdate] = []
        log = Log("d")
        log.emit = lambda *_, **__: None  # type: ignore[method-assign]

        async def never_retry(has_timed_out: bool) -> None:
            await asyncio.sleep(60.0)

        watch = EndpointWatch(
            ADDRESS, updates.append, log, first_response_timeout=0.3, wait_for_retry=never_retry
        )
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(1.0)
        assert len(updates) == 1
        await asyncio.sleep(5.0)
        agent.change()
        await asyncio.sleep(2.0)
        assert updates[-1].version == 2, "the watch went on"
        task.cancel()
        await asyncio.wait([task])

    rig.loop.run_until_complete(run())


@pytest.mark.parametrize("loss", ["reset", "silence"])
@pytest.mark.parametrize("delay", [0.0, 0.1, 0.2, 0.6, 1.2])
def test_slow_discovery_that_loses_a_call_now_and_then_is_heard(delay: float, loss: str) -> None:
    """One call in ten has no response; the next one is made while that is still unknown."""
    for seed in range(20):
        draws = random.Random(seed)
        known_after = time_until_known(
            lambda: delay,
            8.0 + draws.random(),
            lambda: loss if draws.random() < 0.1 else "",  # noqa: B023
        )
        assert known_after <= NOTIFIED_WITHIN + DRAIN_GRACE, seed


@pytest.mark.parametrize("delay", DELAYS)
def test_slow_discovery_is_called_no_more_often_than_a_quick_one(delay: float) -> None:
    """Fresh calls beside an overdue one must not load a service that is slow already."""

    async def scenario(agent: SlowAgent, updates: list[Any]) -> int:
        await asyncio.sleep(10.0)
        earlier = agent.call_count
        await asyncio.sleep(20.0)
        return agent.call_count - earlier

    assert watch_agent(lambda: delay, scenario) <= watch_agent(lambda: 0.0, scenario)


@pytest.mark.parametrize("outage", [0.05, 0.1, 0.2, 0.9, 1.3, 8.0])
def test_watch_that_starts_while_discovery_is_silent_hears_it_at_once_when_it_is_back(outage: float) -> None:
    """The first call of a process had the time of a call that waits, 1.5 s. A process that started right
    before the end of an outage served from its stored list, and learned of a drain a second late.
    """

    async def scenario(agent: SlowAgent, updates: list[tuple[float, DiscoveryUpdate]]) -> None:
        agent.silent = True
        await asyncio.sleep(outage)
        agent.silent, back_at = False, agent.loop.time()
        await asyncio.sleep(2.0)
        assert updates[0][0] - back_at <= DRAIN_GRACE

    watch_agent(lambda: 0.0, scenario)


@pytest.mark.parametrize("outage", [0.05, 1.4, 2.0, 30.0])
def test_silent_discovery_that_is_back_is_heard_at_once(outage: float) -> None:
    """What the agent has counts as notified from the moment at which it responds again.

    The calls that it did not receive are kept for a while, and must not delay the fresh ones. While it is
    silent, nothing may grow.
    """

    async def scenario(agent: SlowAgent, updates: list[tuple[float, DiscoveryUpdate]]) -> None:
        await asyncio.sleep(3.0)
        agent.silent = True
        await asyncio.sleep(outage)
        agent.change()
        agent.silent, back_at = False, agent.loop.time()
        await asyncio.sleep(3.0)
        known_at = next(at for at, update in updates if update.version == agent.version)
        has_noticed = outage >= 2.0  # a shorter one lies within the wait of a call and its timeout
        assert known_at - back_at <= (DRAIN_GRACE if has_noticed else 2.0)
        assert agent.most_open <= 2

    watch_agent(lambda: 0.0, scenario)
