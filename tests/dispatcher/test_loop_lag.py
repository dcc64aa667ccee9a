"""The lag of the event loop, and the limit that a shutdown sets by it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from locktide.dispatcher.loop_lag import BEAT_INTERVAL, LAG_MEMORY, LoopLagMonitor
from locktide.dispatcher.shutdown_limit import ALLOWED_HOLD, RESPONSE_INTERVAL, ShutdownLimit
from locktide.simulation.virtual_time.loop import VirtualLoop

HOLD = 0.4  # seconds


def run_with_monitor(scenario: Callable[[VirtualLoop, LoopLagMonitor], Awaitable[None]]) -> None:
    """Run a scenario in virtual time with a monitor that has been started."""
    loop = VirtualLoop()  # type: ignore[abstract]

    async def run() -> None:
        monitor = LoopLagMonitor(loop)
        monitor.start()
        await scenario(loop, monitor)
        monitor.stop()

    loop.run_until_complete(run())


def test_time_for_which_the_process_did_not_run_is_seen_from_within_and_afterwards() -> None:
    """The first code that runs after a hold is mostly not the beat; it must see the hold, too."""

    async def scenario(loop: VirtualLoop, monitor: LoopLagMonitor) -> None:
        await asyncio.sleep(10.5 * BEAT_INTERVAL)
        assert monitor.longest_lag() == 0.0
        last_run_at = monitor.last_run_at
        assert loop.time() - last_run_at <= BEAT_INTERVAL
        loop.now += HOLD
        assert monitor.last_run_at == last_run_at
        assert HOLD - BEAT_INTERVAL <= monitor.longest_lag() <= HOLD
        await asyncio.sleep(BEAT_INTERVAL)
        assert HOLD - BEAT_INTERVAL <= monitor.longest_lag() <= HOLD
        await asyncio.sleep(LAG_MEMORY + BEAT_INTERVAL)
        assert monitor.longest_lag() == 0.0, "it is forgotten"

    run_with_monitor(scenario)


def test_monitor_that_does_not_run_reports_no_lag() -> None:
    loop = VirtualLoop()  # type: ignore[abstract]
    monitor = LoopLagMonitor(loop)
    loop.now += HOLD
    assert monitor.longest_lag() == 0.0


@pytest.mark.parametrize(("longest_timeout", "killed_after"), [(25.0, 3.7), (1.5, 2.2)])
def test_limit_counts_from_the_last_moment_before_the_signal(
    longest_timeout: float, killed_after: float
) -> None:
    """A signal that arrives during a hold may have been sent at its begin, or at its end.

    The kill must be dated from the begin, and the time in which new connections come from the end.
    """

    async def scenario(loop: VirtualLoop, monitor: LoopLagMonitor) -> None:
        await asyncio.sleep(BEAT_INTERVAL / 2)
        held_from = monitor.last_run_at
        loop.now += HOLD
        limit = ShutdownLimit.at_signal(loop.time(), longest_timeout, monitor)
        assert limit.killed_at == pytest.approx(held_from + killed_after)
        assert limit.applies_from == pytest.approx(held_from + 0.5)
        assert limit.accepts_until == pytest.approx(loop.time() + 0.5)
        assert limit.latest_deadline() < limit.killed_at - (HOLD - BEAT_INTERVAL)

    run_with_monitor(scenario)


def test_late_requests_are_due_one_after_another() -> None:
    """Responses to hundreds of late requests that were all due at one moment took longer to write than the
    time that was left until the kill.
    """

    async def scenario(loop: VirtualLoop, monitor: LoopLagMonitor) -> None:
        limit = ShutdownLimit.at_signal(loop.time(), 25.0, monitor)
        deadlines = [limit.next_deadline() for _ in range(500)]
        assert deadlines[0] == limit.latest_deadline() < limit.killed_at - ALLOWED_HOLD
        assert deadlines[0] - deadlines[-1] == pytest.approx(499 * RESPONSE_INTERVAL)

    run_with_monitor(scenario)
