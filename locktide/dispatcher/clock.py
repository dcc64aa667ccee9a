"""One clock for everything: Unix time in whole microseconds, as the list's start times are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Clock:
    """Set by the system's time once, then carried on by the loop's own clock, which never steps."""

    def __init__(self, loop: asyncio.AbstractEventLoop, wall: Callable[[], float]) -> None:
        self.loop = loop
        self.offset = wall() - loop.time()

    def now(self) -> int:
        return int((self.offset + self.loop.time()) * 1e6)

    def at(self, moment: int) -> float:
        """That moment by the loop's clock, for its timers."""
        return moment / 1e6 - self.offset
