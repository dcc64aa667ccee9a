"""The log: plain lines on standard error, limited to a rate."""

from __future__ import annotations

import sys
import time
from contextlib import suppress
from typing import Any

#: Characters of a line, which may hold what a faulty client sent.
MAX_LINE_LENGTH = 300
#: Lines of one category at once: one second with many faults may be logged in full.
BURST = 40
#: Lines of one category beyond that: an hour with many faults must not fill a disk.
LINES_PER_SECOND = 5.0


class RateLimit:
    """A token bucket for the lines of one category, with the number of lines dropped since the last.

    Attributes:
        tokens: How many lines may be written at once.
        refilled_at: When tokens were added last, in seconds of the monotonic clock.
        dropped: Lines dropped since the last that was written.
    """

    def __init__(self) -> None:
        self.tokens = float(BURST)
        self.refilled_at = time.monotonic()
        self.dropped = 0

    def take(self) -> bool:
        """Return whether a line may be written now; else it counts as dropped."""
        now = time.monotonic()
        self.tokens = min(BURST, self.tokens + (now - self.refilled_at) * LINES_PER_SECOND)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True

    def reset_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
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
        """Write a line, unless too many of its category were written lately.

        Args:
            line: The line, for a log that is read by people.
            kind: Its category. Each is limited on its own: lines about faulty clients must not suppress those
                about workers.
            event: Id of the event, for a log that is read by programs.
            fields: What the line says, for the same.
        """
        limit = self.limits.setdefault(kind, RateLimit())
        if limit.take():
            self.write(line[:MAX_LINE_LENGTH], limit.reset_dropped(), event, fields)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:  # noqa: ARG002 - for programs
        """Write a line, with the number of lines that were dropped before it."""
        if dropped:
            line = f"{line} ({dropped} lines before this one left out)"
        with suppress(OSError):  # standard error is closed: the dispatcher serves on without a log
            print(f"{time.time():.3f} {self.name} {line}", file=sys.stderr, flush=True)
