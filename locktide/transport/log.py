"""The log: plain lines on standard error, limited to a rate."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Any

MAX_LINE_LENGTH = 300  # characters; what a bad client sent may stand in a line
BURST = 40  # lines of one kind at once: a bad second may be logged in full
LINES_PER_SECOND = 5.0  # beyond that: a bad hour may not fill a disk


class RateLimit:
    """A token bucket for the lines of one kind, with the number of lines dropped since the last."""

    def __init__(self) -> None:
        self.tokens = float(BURST)
        self.refilled_at = time.monotonic()
        self.dropped = 0

    def take(self) -> bool:
        """Returns whether a line may be written now; else it counts as dropped."""
        now = time.monotonic()
        self.tokens = min(BURST, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True

    def reset_dropped(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped


class Log:
    """Writes the lines of one dispatcher."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.limits: dict[str, RateLimit] = {}

    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
        """Writes a line, unless too many of its kind were written lately.

        Args:
            line: The line, for a log that is read by people.
            kind: Kinds are limited each on their own: bad clients must not hide what is said of workers.
            event: Id of the event, for a log that is read by programs.
            fields: What the line says, for the same.
        """
        limit = self.limits.setdefault(kind, RateLimit())
        if limit.take():
            self.write(line[:MAX_LINE_LENGTH], limit.reset_dropped(), event, fields)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:  # noqa: ARG002 - for programs
        """Writes a line, with the number of lines that were dropped before it."""
        if dropped:
            line = f"{line} ({dropped} lines before this one left out)"
        with suppress(OSError):  # nobody reads it any more: no reason to stop
            print(f"{time.time():.3f} {self.name} {line}", file=sys.stderr, flush=True)
