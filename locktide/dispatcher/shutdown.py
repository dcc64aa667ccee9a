"""Graceful shutdown: finishes accepted work before the process exits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.settings import DispatcherSettings
from locktide.dispatcher.shutdown_limit import ShutdownLimit
from locktide.transport.descriptor_budget import run_pending_reads
from locktide.transport.listener import Listener
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Seconds between two checks whether the shutdown is complete.
CHECK_INTERVAL = 0.02


@dataclass(eq=False, slots=True, kw_only=True)
class GracefulShutdown:
    """Waits until every response and cancellation is delivered."""

    listener: Listener
    registry: RequestRegistry
    tasks: BackgroundTasks
    settings: DispatcherSettings
    state: ServingState
    runtime: Runtime

    def note_signal(self) -> ShutdownLimit:
        """Limit the requests that arrive from now on; the first call counts.

        The handler of the signal calls this between any two instructions, before the event loop runs another
        callback. A request that had arrived long after the signal would otherwise be read before the event
        loop has passed the signal on.
        """
        if self.state.shutdown is None:
            self.state.shutdown = ShutdownLimit.at_signal(
                now=self.runtime.loop.time(),
                longest_timeout=self.settings.longest_timeout / MICROSECONDS_PER_SECOND,
                lag=self.runtime.lag,
            )
        return self.state.shutdown

    async def run(self) -> None:
        """Wait until the accepted work is done, however long that takes.

        There is no timeout: giving up work that is still open would lose at least as much as a kill does.
        """
        limit = self.note_signal()
        count = self.registry.open_count()
        self.runtime.log.emit(
            f"stopping: {count} requests open",
            event="dispatcher_stopping",
            open=count,
            signal_age=round(limit.greatest_signal_age, 3),
        )
        await self.listener.wind_down()
        is_receiving = True
        is_complete = False
        while not is_complete:
            await asyncio.sleep(CHECK_INTERVAL)
            now = self.runtime.loop.time()
            if is_receiving and now >= max(limit.accepts_until, limit.latest_deadline()):
                is_receiving = False
                await self.listener.end_receiving()
            # The clock is read before the connections: otherwise a process that is held up between the two
            # would not see the last ones that came
            # (test_hold_before_the_last_check_leaves_no_new_connection_unread).
            await run_pending_reads()
            is_complete = now >= limit.accepts_until and not self._has_unfinished_work()

    def _has_unfinished_work(self) -> bool:
        """Return whether a response is due, a connection is busy or a task has to be awaited."""
        return bool(self.registry.open_count()) or self.listener.is_busy() or self.tasks.has_foreground()
