"""One clock for everything: Unix time in whole microseconds, as the list's start times are."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Set by the system's time once, then carried on by the loop's own clock, which never steps."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset = time.time() - loop.time()

    def now(self) -> int:
        return int((self.offset + self.loop.time()) * 1e6)

    def at(self, moment: int) -> float:
        """That moment by the loop's clock, for its timers."""
        return moment / 1e6 - self.offset
