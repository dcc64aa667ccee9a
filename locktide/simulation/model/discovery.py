"""The worker list as each dispatcher's agent has it: late, stale, silent; whole, or in changes;
pushed, or asked for at one service that all share.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from typing import Any

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"


@dataclass(slots=True)
class ListedWorker:
    number: int  # of the worker
    uid: str
    zone: str
    model: str
    pod: int
    state: str = ACTIVE
    rating: float = 1.0
    boot_at: int = 0  # Unix microseconds of its last start, 0 for long ago


@dataclass(slots=True, order=True)
class PendingChange:
    due_at: int  # when the agent has it
    version: int
    entry: ListedWorker = field(compare=False)


class CallCapacity:
    """The one service behind all agents, where the list must be asked for: it takes calls in turn.

    Each costs `work` microseconds, also one that has waited `longest` and was turned away.
    """

    def __init__(self, work: int, longest: int) -> None:
        self.work, self.longest = work, longest
        self.busy_until = self.taken = 0

    def call(self, now: int) -> tuple[int, bool]:
        """When the answer comes, and whether it is the list."""
        self.taken += 1
        self.busy_until = max(now, self.busy_until) + self.work
        return min(self.busy_until, now + self.longest), self.busy_until <= now + self.longest


class DiscoveryAgent:
    """The list on one dispatcher's machine. Answers come at once, from what has reached it."""

    def __init__(self, entries: list[ListedWorker]) -> None:
        self.entries = {entry.number: entry for entry in entries}
        self.versions = dict.fromkeys(self.entries, 1)  # when each entry last changed
        self.version = 1
        self.coming: list[PendingChange] = []
        self.silent = False
        self.stale_by = 0
        self.told: dict[tuple[int, str, int], int] = {}  # (worker, state, start) -> when it was told
        self.last: dict[int, tuple[int, str, int]] = dict.fromkeys(self.entries, (-1, "", 0))
        for entry in entries:
            self.note(entry, 0)

    def note(self, entry: ListedWorker, now: int) -> None:
        """Told: when each state was first told, and which was told last."""
        what = (entry.number, entry.state, entry.boot_at)
        self.told.setdefault(what, now)
        if self.last[entry.number] != what:
            self.last[entry.number] = what

    def change(self, due_at: int, entry: ListedWorker) -> None:
        insort(self.coming, PendingChange(due_at, len(self.coming), entry))

    def advance(self, now: int) -> bool:
        """Takes in what has reached it; whether that was anything."""
        before = self.version
        while self.coming and self.coming[0].due_at + self.stale_by <= now:
            entry = self.coming.pop(0).entry
            old = self.entries[entry.number]
            if (entry.state, entry.boot_at) == (old.state, old.boot_at) or entry.boot_at < old.boot_at:
                continue
            self.version += 1
            self.entries[entry.number], self.versions[entry.number] = entry, self.version
        return self.version > before

    def next_at(self) -> int | None:
        return self.coming[0].due_at + self.stale_by if self.coming else None

    def answer(self, now: int, after: int | None, whole: bool, endpoint: Any) -> dict[str, Any] | None:
        """The JSON of an answer as of now; `endpoint` gives a worker's address by its number. Notes it as
        told.
        """
        everything = after is None or whole or after > self.version
        chosen = [
            entry
            for entry in self.entries.values()
            if entry.state != LEFT
            and everything
            or not everything
            and after is not None
            and self.versions[entry.number] > after
        ]
        for entry in self.entries.values() if everything else chosen:
            self.note(entry, now)
        return {
            "rev": self.version,
            "all": everything,
            "targets": [
                {
                    "uid": entry.uid,
                    "endpoint": endpoint(entry.number),
                    "az": entry.zone,
                    "model": entry.model,
                    "pod_group": entry.pod,
                    "state": entry.state,
                    "capacity_hint": entry.rating,
                    "boot_ms": entry.boot_at / 1000 if entry.boot_at else 0,
                }
                for entry in chosen
            ],
        }

    def drain_told_at(self, number: int) -> int | None:
        """When its dispatcher was told that the worker drains or is gone, where that is the last it was told.

        Of a worker that first drained and then left it is the earlier of the two.
        """
        _, state, boot_at = self.last[number]
        if state == ACTIVE:
            return None
        known = (self.told_at(number, one, boot_at) for one in (LEAVING, LEFT))
        return min(at for at in known if at is not None)

    def told_at(self, number: int, state: str, boot_at: int) -> int | None:
        return self.told.get((number, state, boot_at))
