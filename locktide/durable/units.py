"""Units of time: settings and headers are in seconds, all other times in whole microseconds."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000
