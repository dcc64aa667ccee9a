"""The dispatcher's clock: Unix time in whole microseconds, as the endpoint list's start times are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Clock:
    """Set by the system's time once, then carried on by the loop's own clock, which never steps."""

    def __init__(self, loop: asyncio.AbstractEventLoop, wall: Callable[[], float]) -> None:
        self.loop = loop
        self.offset = wall() - loop.time()

    def now(self) -> int:
        """The current time in microseconds."""
        return int((self.offset + self.loop.time()) * 1e6)

    def to_loop_time(self, moment: int) -> float:
        """Convert a time of this clock to the event loop's, in seconds, for its timers."""
        return moment / 1e6 - self.offset
