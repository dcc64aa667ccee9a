"""The dispatcher's clock: Unix time in whole microseconds, like the start times in the endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from locktide.transport.units import MICROSECONDS_PER_SECOND


class Clock:
    """Unix time that is read from the system once and then advances with the monotonic clock of the loop.

    Attributes:
        offset: Unix time at which the event loop's clock was zero, in seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, wall: Callable[[], float]) -> None:
        """Set the clock; `wall` returns Unix time in seconds."""
        self.loop = loop
        self.offset = wall() - loop.time()

    def now(self) -> int:
        """Return the current time in microseconds."""
        return int((self.offset + self.loop.time()) * MICROSECONDS_PER_SECOND)

    def to_loop_time(self, moment: int) -> float:
        """Convert a time of this clock, in microseconds, to the event loop's, in seconds."""
        return moment / MICROSECONDS_PER_SECOND - self.offset
