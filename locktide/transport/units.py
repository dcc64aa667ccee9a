"""Units of time: configuration, events and the clock count microseconds, the event loop counts seconds."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1e6
