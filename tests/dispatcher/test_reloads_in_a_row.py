"""Reloads that follow one another sooner than discovery answers, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from itertools import count, cycle, repeat
from typing import Any, TypeVar

import pytest
from helpers import DispatcherHarness, scheduler_config
from rig import Rig
from slow_agent import ADDRESS, DRAIN_GRACE, NOTIFIED_WITHIN, SlowAgent

from locktide.config.address import Address
from locktide.config.start import Start

Result = TypeVar("Result")

#: Seconds after a reload within which a change counts as notified.
NOTIFIED_AFTER_RELOAD = 4.0
#: Seconds after a reload with another address until the former agent closes its open connections.
FORMER_AGENT_CLOSES_AFTER = 1.5
INTERVALS = (0.05, 0.3, 1.0, 1.6, 1.85, 2.5)
OTHER: Address = ("other-agent", 1)
ROWS: dict[str, Callable[[], Iterator[Address]]] = {
    "same": lambda: repeat(ADDRESS),
    "resolves anew": lambda: repeat(ADDRESS),
    "changed": lambda: ((f"agent-{number}", 1) for number in count()),
    "back again": lambda: cycle([OTHER, ADDRESS]),
    "now and then": lambda: cycle([ADDRESS, ADDRESS, OTHER, OTHER, ADDRESS]),
}


class ReloadedDispatcher:
    """A dispatcher in virtual time, and the agents of discovery that it was told of.

    Attributes:
        agents: All agents; they have the same list, in which w0 drains after `change`.
        current: The agent at each address.
        draw_rest: Returns the seconds between two reloads; None if they are the same each time.
    """

    def __init__(self, rig: Rig, delay: float, row: str, *, is_polled: bool) -> None:
        self.rig = rig
        self.delay = delay
        self.row = row
        self.harness = DispatcherHarness()
        self.config = scheduler_config(3, 1, is_polled, 0.4)
        self.agents: list[SlowAgent] = []
        self.current: dict[Address, SlowAgent] = {}
        self.loss: Callable[[], str] = lambda: ""
        self.draw_rest: Callable[[], float] | None = None
        self.address = ADDRESS
        self.reload(ADDRESS)

    def reload(self, address: Address) -> None:
        former, self.address = self.current.get(self.address), address
        if self.row == "resolves anew" or address not in self.current:
            self.start_agent(address)
        if self.row == "changed" and former is not None:
            self.stop_agent(former)
        here = ("127.0.0.1", 9)
        self.harness.dispatcher.reload(
            Start("n0", here, address, 7, 100, 80 << 20, {}, 250_000, 30_000_000, self.config)
        )

    def start_agent(self, address: Address) -> None:
        """Let a new agent take the connections that are opened at the address from now on."""
        self.rig.network.listeners.pop(address, None)
        agent = SlowAgent(self.rig, lambda: self.delay, address)
        agent.loss = lambda: self.loss()
        agent.version = self.agents[0].version if self.agents else 1
        self.agents.append(agent)
        self.current[address] = agent

    def stop_agent(self, agent: SlowAgent) -> None:
        """Let an agent take no new connection, and close the open ones some time later."""
        self.rig.network.listeners.pop(agent.address)
        self.rig.loop.call_later(
            FORMER_AGENT_CLOSES_AFTER, lambda: [peer.transport.close() for peer in agent.peers]
        )

    async def reload_in_a_row(self, interval: float) -> None:
        for address in ROWS[self.row]():
            self.reload(address)
            await asyncio.sleep(interval if self.draw_rest is None else self.draw_rest())

    async def time_until_drain_known(self, interval: float, lead: float) -> float:
        """Let w0 drain `lead` seconds after the first reload; return how long that takes to be known."""
        reloading = asyncio.create_task(self.reload_in_a_row(interval))
        await asyncio.sleep(lead)
        for agent in self.agents:
            agent.change()
        changed_at = self.rig.loop.time()
        while self.accepts("w0") and self.rig.loop.time() < changed_at + 2 * NOTIFIED_WITHIN:
            await asyncio.sleep(0.01)
        reloading.cancel()
        return self.rig.loop.time() - changed_at

    def accepts(self, worker: str) -> bool:
        return self.harness.dispatcher.endpoints.accepts_requests(worker)

    async def close(self) -> None:
        follower = self.harness.dispatcher.follower
        follower.stop()
        await follower.close()
        await asyncio.sleep(1.0)
        assert all(peer.ending for agent in self.agents for peer in agent.peers), "a connection is left open"


def run_reloads(
    scenario: Callable[[ReloadedDispatcher], Coroutine[Any, Any, Result]],
    *,
    delay: float,
    row: str = "same",
    is_polled: bool,
) -> Result:
    """Run a scenario with a dispatcher that has its list, beside agents that answer `delay` seconds late."""
    rig = Rig()

    async def run() -> Result:
        dispatcher = ReloadedDispatcher(rig, delay, row, is_polled=is_polled)
        await asyncio.sleep(8.0)
        assert dispatcher.accepts("w0")
        result = await scenario(dispatcher)
        await dispatcher.close()
        assert rig.loop.unhandled == []
        return result

    result: Result = rig.loop.run_until_complete(run())
    return result


@pytest.mark.parametrize("is_polled", [False, True])
@pytest.mark.parametrize("row", ROWS)
@pytest.mark.parametrize("delay", [0.0, 0.2, 0.6, 1.2, 1.9])
def test_drain_is_known_in_time_while_reloads_come_sooner_than_discovery_answers(
    delay: float, row: str, is_polled: bool
) -> None:
    """Each reload cancelled the call for the list that was outstanding, so that no answer was ever heard.

    A draining worker got jobs until the reloads ended, however many there were (`review/9`).
    """
    for interval in INTERVALS:
        if row == "changed" and delay > interval + FORMER_AGENT_CLOSES_AFTER:
            continue  # each agent closes its connections before it answers
        for lead in (4.0, 4.0 + interval / 3, 4.0 + interval / 1.2):
            known_after = run_reloads(
                lambda dispatcher: dispatcher.time_until_drain_known(interval, lead),  # noqa: B023
                delay=delay,
                row=row,
                is_polled=is_polled,
            )
            assert known_after <= NOTIFIED_AFTER_RELOAD + DRAIN_GRACE, (interval, lead)


@pytest.mark.parametrize("loss", ["", "reset", "silence"])
def test_drain_is_known_in_time_in_drawn_rows_of_reloads(loss: str) -> None:
    """Intervals, addresses and delays are drawn; one call in ten may be lost, and one agent be silent.

    A call that is never answered keeps its place among those that are awaited. A polled list is left out
    where calls are lost: there the scheduler times the next one.
    """
    for seed in range(60):
        draws = random.Random(seed)
        interval = draws.choice([0.05, 0.3, 1.0, 1.7, 2.5])
        longest_delay = draws.choice([0.3, 0.8, 1.4, 2.0])
        row = draws.choice(["same", "back again", "now and then"])
        # In force for longer, a silent agent would be a discovery that cannot be reached.
        has_silent_agent = loss == "silence" and row == "back again" and interval <= 1.0

        async def scenario(dispatcher: ReloadedDispatcher) -> float:
            dispatcher.start_agent(OTHER)
            for agent in dispatcher.agents:
                agent.delay = lambda: longest_delay * (draws.random() if seed % 2 else 1.0)  # noqa: B023
            dispatcher.current[OTHER].silent = has_silent_agent  # noqa: B023
            dispatcher.loss = lambda: loss if draws.random() < 0.1 else ""  # noqa: B023
            dispatcher.draw_rest = lambda: draws.uniform(0.0, 2 * interval)  # noqa: B023
            return await dispatcher.time_until_drain_known(interval, 4.0 + 3 * draws.random())  # noqa: B023

        known_after = run_reloads(scenario, delay=0.0, row=row, is_polled=not loss and draws.random() < 0.5)
        assert known_after <= (NOTIFIED_WITHIN if loss else NOTIFIED_AFTER_RELOAD) + DRAIN_GRACE, seed


@pytest.mark.parametrize("is_polled", [False, True])
def test_new_address_counts_at_once_and_a_late_answer_of_the_former_one_adds_no_worker(
    is_polled: bool,
) -> None:
    """The calls that a reload leaves outstanding must not bring back what the former address says.

    The list of the new address counts once it is there. Nothing is sent to a worker that only an address
    lists which is no longer in force, and a worker that is ready there is not ready for that reason.
    """

    async def scenario(dispatcher: ReloadedDispatcher) -> None:
        dispatcher.start_agent(OTHER)
        other = dispatcher.current[OTHER]
        other.workers = ["w0", "w7"]
        dispatcher.reload(OTHER)
        await asyncio.sleep(0.5)
        dispatcher.reload(ADDRESS)
        await asyncio.sleep(1.0)  # the answer of the other agent has come
        assert dispatcher.accepts("w0") and not dispatcher.accepts("w7")
        dispatcher.agents[0].change()
        await asyncio.sleep(2.0)
        assert not dispatcher.accepts("w0")
        dispatcher.reload(OTHER)
        dispatcher.delay = 0.0
        dispatcher.reload(OTHER)
        await asyncio.sleep(0.1)
        assert dispatcher.accepts("w0") and dispatcher.accepts("w7")
        dispatcher.reload(ADDRESS)
        await asyncio.sleep(0.1)
        assert not dispatcher.accepts("w0") and not dispatcher.accepts("w7")

    run_reloads(scenario, delay=0.8, is_polled=is_polled)


@pytest.mark.parametrize("is_polled", [False, True])
def test_answer_of_a_former_address_does_not_end_an_earlier_call_to_the_one_in_force(is_polled: bool) -> None:
    """A quick address was in force for a moment, and does not have the drain yet that a slow one has.

    It only gives news of some workers, so the earlier call to the slow one, in force again, is still awaited.
    """

    async def scenario(dispatcher: ReloadedDispatcher) -> None:
        dispatcher.start_agent(OTHER)
        dispatcher.current[OTHER].delay = lambda: 0.1
        dispatcher.agents[0].change()
        for address in (ADDRESS, OTHER, ADDRESS):
            dispatcher.reload(address)
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.83)  # the first call is answered after 1.9 s, the last one after 2.0 s
        assert not dispatcher.accepts("w0")

    run_reloads(scenario, delay=1.9, is_polled=is_polled)


@pytest.mark.parametrize("is_polled", [False, True])
@pytest.mark.parametrize("delay", [0.2, 0.6, 1.9])
def test_reloads_cost_a_slow_discovery_no_more_calls_than_a_quick_one(delay: float, is_polled: bool) -> None:
    """Calls that outlive their watch must not add up, neither at discovery nor as descriptors."""

    async def scenario(dispatcher: ReloadedDispatcher) -> int:
        agent = dispatcher.agents[0]
        earlier = agent.call_count
        reloading = asyncio.create_task(dispatcher.reload_in_a_row(0.5))
        await asyncio.sleep(10.0)
        reloading.cancel()
        assert agent.most_open <= 4
        return agent.call_count - earlier

    calls = run_reloads(scenario, delay=delay, is_polled=is_polled)
    assert calls <= run_reloads(scenario, delay=0.0, is_polled=is_polled)
