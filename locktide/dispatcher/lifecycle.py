"""The life of a dispatcher: start, periodic clean-up, graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from locktide.config.address import Address, format_address
from locktide.dispatcher.background_tasks import BackgroundTasks
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.runtime import Runtime, ServingState
from locktide.dispatcher.settings import DispatcherSettings
from locktide.transport.descriptor_budget import run_pending_reads
from locktide.transport.listener import Listener
from locktide.transport.upstream_pool import UpstreamPool

# How long a start waits for the list, in seconds: an agent on the same machine answers within milliseconds.
FIRST_LIST_TIMEOUT = 0.5
# Connections go on coming for 0.4 s after SIGTERM. In seconds.
ACCEPT_AFTER_STOP = 0.5
# In seconds: a kill comes no sooner after SIGTERM than the longest timeout, or this where that is less, and a
# bit more. What we took in the first half second may be left open at the kill; what comes after it may not.
SHUTDOWN_TIMEOUT = 3.0
SHUTDOWN_EXTRA = 0.7
SHUTDOWN_POLL = 0.02  # seconds between two checks whether a shutdown is over
SWEEP_INTERVAL = 1.0  # seconds


@dataclass(eq=False, slots=True)
class Lifecycle:
    """Serves from the first endpoint list to the last response of a shutdown."""

    listener: Listener
    upstream: UpstreamPool
    registry: RequestRegistry
    tasks: BackgroundTasks
    follower: EndpointFollower
    settings: DispatcherSettings
    state: ServingState
    runtime: Runtime
    listen_address: Address

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, finish what has been taken, and return."""
        self.follower.start()
        sweeping = asyncio.create_task(self._sweep())
        await asyncio.sleep(0)  # the remembered list is handed over before the first request
        await self._start_listening()
        await stop.wait()
        await self._drain()
        self.follower.stop()
        sweeping.cancel()
        await self.listener.stop()
        await self.follower.close()
        if not sweeping.done():
            with suppress(asyncio.CancelledError):
                await sweeping
        self.runtime.log.emit("stopped", event="dispatcher_stopped")

    def limit_new_requests(self, shutdown_deadline: float) -> None:
        """From now on take nothing that would not have its response by then, by the loop's clock."""
        self.state.shutdown_deadline = shutdown_deadline

    async def _start_listening(self) -> None:
        if not self.settings.endpoint_list.polled:
            # What the agent has counts as notified from our first moment on. One that is silent does not hold
            # us up for long: then the remembered list is all there is.
            with suppress(TimeoutError):
                await asyncio.wait_for(self.follower.list_received.wait(), FIRST_LIST_TIMEOUT)
        # Not before: a front goes on sending to a dispatcher that has died, and what it sends would go out on
        # the strength of an earlier list.
        self.listener.listen(self.listen_address)
        self.state.is_serving = True
        workers = len(self.follower.endpoints.entries)
        self.runtime.log.emit(
            f"serving on {format_address(self.listen_address)}, {workers} workers known",
            event="dispatcher_serving",
            listen=format_address(self.listen_address),
            workers=workers,
        )

    async def _drain(self) -> None:
        """Wait until nothing is owed to anyone."""
        loop = self.runtime.loop
        began_at = loop.time()
        timeout = min(SHUTDOWN_TIMEOUT, self.settings.longest_timeout / 1e6) + SHUTDOWN_EXTRA
        count = self.registry.open_count()
        self.runtime.log.emit(f"stopping: {count} requests open", event="dispatcher_stopping", open=count)
        loop.call_at(began_at + ACCEPT_AFTER_STOP, self.limit_new_requests, began_at + timeout)
        await self.listener.wind_down()
        while loop.time() - began_at < ACCEPT_AFTER_STOP or self._has_unfinished_work():
            # However long that takes: a kill costs what is open then no more than giving it up would.
            await asyncio.sleep(SHUTDOWN_POLL)
            await run_pending_reads()  # so that the last check is past all that has come

    def _has_unfinished_work(self) -> bool:
        """Whether a shutdown waits: for a response, a connection not idle, a worker to be told."""
        return bool(self.registry.open_count()) or self.listener.busy() or self.tasks.has_foreground()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.upstream.close_expired()
            self.registry.forget_answered()
