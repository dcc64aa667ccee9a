"""The dispatcher's clock: Unix time in whole microseconds, as the endpoint list's start times are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from locktide.transport.units import MICROSECONDS_PER_SECOND


class Clock:
    """Set by the system's time once, then carried on by the loop's own clock, which never steps.

    Attributes:
        offset: Unix time at the zero of the event loop's clock, in seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, wall: Callable[[], float]) -> None:
        """Set the clock; `wall` returns Unix time in seconds."""
        self.loop = loop
        self.offset = wall() - loop.time()

    def now(self) -> int:
        """Return the current time in microseconds."""
        return int((self.offset + self.loop.time()) * MICROSECONDS_PER_SECOND)

    def to_loop_time(self, moment: int) -> float:
        """Convert a time of this clock to the event loop's, in seconds, for its timers."""
        return moment / MICROSECONDS_PER_SECOND - self.offset
