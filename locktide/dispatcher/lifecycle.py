"""The lifecycle of a dispatcher: start, periodic clean-up, graceful shutdown."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from locktide.dispatcher.cleanup import PeriodicCleanup
from locktide.dispatcher.endpoint_follower import EndpointFollower
from locktide.dispatcher.runtime import Runtime
from locktide.dispatcher.shutdown import GracefulShutdown
from locktide.dispatcher.startup import Startup
from locktide.transport.listener import Listener


@dataclass(eq=False, slots=True, kw_only=True)
class Lifecycle:
    """Runs a dispatcher from the first endpoint list to the last response of its shutdown."""

    startup: Startup
    cleanup: PeriodicCleanup
    shutdown: GracefulShutdown
    follower: EndpointFollower
    listener: Listener
    runtime: Runtime

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop`, finish the requests that were accepted, and return."""
        self.runtime.lag.start()
        self.follower.start()
        cleaning_up = asyncio.create_task(self.cleanup.run())
        await asyncio.sleep(0)  # lets the scheduler apply the cached list before the first request
        await self.startup.run()
        await stop.wait()
        await self.shutdown.run()
        self.runtime.lag.stop()
        self.follower.stop()
        cleaning_up.cancel()
        await self.listener.stop()
        await self.follower.close()
        if not cleaning_up.done():
            with suppress(asyncio.CancelledError):
                await cleaning_up
        self.runtime.log.emit("stopped", event="dispatcher_stopped")
