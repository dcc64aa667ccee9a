"""Graceful shutdown: what was accepted is finished before the process exits."""

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

#: Seconds for which connections are accepted after SIGTERM: clients open new ones for 0.4 s.
ACCEPT_AFTER_STOP = 0.5
#: A kill comes no sooner after SIGTERM than the smaller of this and the longest timeout, in seconds ...
SHUTDOWN_TIMEOUT = 3.0
#: ... and this many seconds more. Requests of the first half second may be open at the kill, later ones not.
SHUTDOWN_EXTRA = 0.7
#: Seconds between two checks whether a shutdown is over.
CHECK_INTERVAL = 0.02


@dataclass(eq=False, slots=True, kw_only=True)
class GracefulShutdown:
    """Waits until nothing is owed to anyone."""

    listener: Listener
    registry: RequestRegistry
    tasks: BackgroundTasks
    settings: DispatcherSettings
    state: ServingState
    runtime: Runtime

    async def run(self) -> None:
        """Wait until the work that was accepted is done, however long that takes.

        A kill costs what is open then no more than giving it up would.
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
            await run_pending_reads()  # so that the last check is past everything that has come

    def limit_new_requests(self, shutdown_deadline: float) -> None:
        """Give new requests no later deadline than that, in seconds of the event loop."""
        self.state.shutdown_deadline = shutdown_deadline

    def _has_unfinished_work(self) -> bool:
        """Return whether a response, a busy connection or a cancellation is still owed."""
        return bool(self.registry.open_count()) or self.listener.busy() or self.tasks.has_foreground()
