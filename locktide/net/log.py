"""The log: plain lines on standard error, so many a second at most."""

from __future__ import annotations

import sys
import time
from contextlib import suppress

BURST, A_SECOND = 40, 5.0  # a bad second may be told in full; a bad hour may not fill a disk


class Log:
    def __init__(self, name: str) -> None:
        self.name, self.level, self.at, self.dropped = name, float(BURST), time.monotonic(), 0

    def say(self, line: str) -> None:
        now = time.monotonic()
        self.level, self.at = min(BURST, self.level + (now - self.at) * A_SECOND), now
        if self.level < 1.0:
            self.dropped += 1
            return
        self.level -= 1.0
        if self.dropped:
            line = f"{line} ({self.dropped} lines before this one left out)"
            self.dropped = 0
        with suppress(OSError):  # nobody reads it any more: no reason to stop
            print(f"{time.time():.3f} {self.name} {line}", file=sys.stderr, flush=True)
