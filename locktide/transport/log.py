"""The log: plain lines on standard error, with a limited rate."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Any

#: Maximum characters of a line, which may contain text that a faulty client sent.
MAX_LINE_LENGTH = 300
#: Lines of one category that may be written at once: one second with many faults may be logged completely.
BURST = 40
#: Lines of one category per second beyond the burst: an hour with many faults must not fill a disk.
LINES_PER_SECOND = 5.0


class RateLimit:
    """A token bucket for the lines of one category, with a count of the dropped lines.

    Attributes:
        tokens: Number of lines that may be written at once now.
        refilled_at: When tokens were last added, in seconds of the monotonic clock.
        dropped: Number of lines dropped since the last call of `reset_dropped`.
    """

    def __init__(self) -> None:
        self.tokens = float(BURST)
        self.refilled_at = time.monotonic()
        self.dropped = 0

    def take(self) -> bool:
        """Return whether a line may be written now; if not, count it as dropped."""
        now = time.monotonic()
        self.tokens = min(BURST, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True

    def reset_dropped(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class Log:
    """Writes the lines of one dispatcher.

    Attributes:
        name: Name of the dispatcher.
        limits: The rate limit of each category.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.limits: dict[str, RateLimit] = {}

    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
        """Write a line, unless too many of its category were written recently.

        Args:
            line: The line, for a readable log.
            kind: Its category. Each category has its own rate limit: lines about faulty clients must not
                suppress those about workers.
            event: Id of the event, for a structured log.
            fields: The values in the line, for a structured log.
        """
        limit = self.limits.setdefault(kind, RateLimit())
        if limit.take():
            self.write(line[:MAX_LINE_LENGTH], limit.reset_dropped(), event, fields)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:  # noqa: ARG002 - for structured logs
        """Write a line, with the number of lines that were dropped before it."""
        if dropped:
            line = f"{line} ({dropped} lines before this one left out)"
        with suppress(OSError):  # standard error is closed: the dispatcher continues without a log
            print(f"{time.time():.3f} {self.name} {line}", file=sys.stderr, flush=True)
