"""Units of time: configuration, events and the clock use microseconds, the event loop uses seconds."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1e6
