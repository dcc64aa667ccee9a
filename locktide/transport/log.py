"""The log: plain lines on standard error, so many a second at most."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Any

LONGEST = 300  # characters of a line; a bad client's words may stand in it
BURST, A_SECOND = 40, 5.0  # a bad second may be told in full; a bad hour may not fill a disk


class Rate:
    """How many lines of one kind may be told, and how many were not."""

    def __init__(self) -> None:
        self.level, self.at, self.dropped = float(BURST), time.monotonic(), 0


class Log:
    def __init__(self, name: str) -> None:
        self.name = name
        self.rates: dict[str, Rate] = {}

    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
        """Kinds are limited each on their own: bad clients must not hide what is said of workers.

        `event` and the fields say the same as the line, for a log that is read by programs.
        """
        rate, now = self.rates.setdefault(kind, Rate()), time.monotonic()
        rate.level, rate.at = min(BURST, rate.level + (now - rate.at) * A_SECOND), now
        if rate.level < 1.0:
            rate.dropped += 1
            return
        rate.level -= 1.0
        dropped, rate.dropped = rate.dropped, 0
        self.write(line[:LONGEST], dropped, event, fields)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:
        if dropped:
            line = f"{line} ({dropped} lines before this one left out)"
        with suppress(OSError):  # nobody reads it any more: no reason to stop
            print(f"{time.time():.3f} {self.name} {line}", file=sys.stderr, flush=True)
