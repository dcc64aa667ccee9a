"""Graceful shutdown: finishes accepted work before the process exits."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.settings import DispatcherSettings
from locktide.transport.descriptor_budget import run_pending_reads
from locktide.transport.listener import Listener
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Seconds after SIGTERM in which connections are still accepted: clients open new ones for 0.4 s.
ACCEPT_AFTER_STOP = 0.5
#: The process has at least this time after SIGTERM, or the longest timeout if that is shorter, plus
#: `SHUTDOWN_EXTRA`, before it is killed; in seconds.
SHUTDOWN_TIMEOUT = 3.0
#: See `SHUTDOWN_TIMEOUT`, in seconds. Requests that arrive within `ACCEPT_AFTER_STOP` may still be open at
#: the kill; later ones are not, as their deadlines are limited.
SHUTDOWN_EXTRA = 0.7
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

    async def run(self) -> None:
        """Wait until the accepted work is done, however long that takes.

        There is no timeout: giving up work that is still open would lose at least as much as a kill does.
        """
        loop = self.runtime.loop
        began_at = loop.time()
        accept_until = began_at + ACCEPT_AFTER_STOP
        longest_timeout = self.settings.longest_timeout / MICROSECONDS_PER_SECOND
        shutdown_deadline = began_at + (min(SHUTDOWN_TIMEOUT, longest_timeout) + SHUTDOWN_EXTRA)
        count = self.registry.open_count()
        self.runtime.log.emit(f"stopping: {count} requests open", event="dispatcher_stopping", open=count)
        loop.call_at(accept_until, self.limit_new_requests, shutdown_deadline)
        await self.listener.wind_down()
        while loop.time() - began_at < ACCEPT_AFTER_STOP or self._has_unfinished_work():
            await asyncio.sleep(CHECK_INTERVAL)
            await run_pending_reads()  # so that the last check covers every byte that has arrived

    def limit_new_requests(self, shutdown_deadline: float) -> None:
        """Limit the deadlines of new requests to `shutdown_deadline`, in seconds of the event loop."""
        self.state.shutdown_deadline = shutdown_deadline

    def _has_unfinished_work(self) -> bool:
        """Return whether a response is due, a connection is busy or a task has to be awaited."""
        return bool(self.registry.open_count()) or self.listener.is_busy() or self.tasks.has_foreground()
