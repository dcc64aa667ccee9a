"""Points in the code at which a simulation may kill the dispatcher."""

from __future__ import annotations

from enum import StrEnum


class CrashPoint(StrEnum):
    """A step that a dispatcher is about to take or has just taken; the values are the names in scenarios."""

    BEFORE_WRITE = "before write"
    BETWEEN_WRITE_AND_SYNC = "between write and sync"
    AFTER_SYNC = "after sync"
    BEFORE_OLD_SEGMENTS_REMOVED = "before old segments go"
    AFTER_OLD_SEGMENTS_REMOVED = "after old segments went"
    LEASE_WRITTEN = "lease written"
    BEFORE_FINAL_RESPONSE = "before final"
    AFTER_FINAL_RESPONSE = "after final"


def ignore_crash_point(_point: CrashPoint) -> None:
    """Do nothing: outside simulations no process is killed at a crash point."""
