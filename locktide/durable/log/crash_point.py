"""Points at which a simulation may kill the process."""

from __future__ import annotations

from enum import StrEnum


class CrashPoint(StrEnum):
    """What a dispatcher is about to do, or has just done, as scenarios name it."""

    BEFORE_WRITE = "before write"
    BETWEEN_WRITE_AND_SYNC = "between write and sync"
    AFTER_SYNC = "after sync"
    BEFORE_OLD_SEGMENTS_REMOVED = "before old segments go"
    AFTER_OLD_SEGMENTS_REMOVED = "after old segments went"
    LEASE_WRITTEN = "lease written"
    BEFORE_FINAL_RESPONSE = "before final"
    AFTER_FINAL_RESPONSE = "after final"


def ignore_crash_point(_point: CrashPoint) -> None:
    """Go on: outside simulations no process dies on purpose."""
