"""What the components of a dispatcher share: event loop and its lag, clock, log and serving state."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.clock import Clock
from locktide.dispatcher.loop_lag import LoopLagMonitor
from locktide.dispatcher.shutdown_limit import ShutdownLimit
from locktide.transport.log import Log
from locktide.transport.units import MICROSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True, kw_only=True)
class Runtime:
    """The event loop, its lag, the clock and the log of one process."""

    loop: asyncio.AbstractEventLoop
    lag: LoopLagMonitor
    clock: Clock
    log: Log


@dataclass(slots=True)
class ServingState:
    """Whether the process serves, and whether a shutdown limits new requests.

    Attributes:
        is_serving: Whether the listening socket is open.
        shutdown: Limits the requests that arrive during a shutdown; None before the signal to stop.
    """

    is_serving: bool = False
    shutdown: ShutdownLimit | None = None

    def is_limited(self, now: float) -> bool:
        """Return whether requests that are read now are limited; `now` is in seconds of the event loop."""
        return self.shutdown is not None and self.shutdown.applies(now)

    def limit_timeout(self, timeout: int, now: float) -> int:
        """Return for how long one client may wait that is read now, by its timeout and the shutdown.

        Args:
            timeout: The timeout in microseconds.
            now: The time in seconds of the event loop.
        """
        if self.shutdown is None or not self.shutdown.applies(now):
            return timeout
        time_left = max(0.0, self.shutdown.next_deadline() - now)
        return min(timeout, int(time_left * MICROSECONDS_PER_SECOND))
