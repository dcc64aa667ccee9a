"""Model of the discovery service: an agent per dispatcher with its own, possibly outdated, endpoint list.

An agent answers with the complete list or with changes, and may be stale or silent. The list is pushed to the
agents, or each call is served by one service that all of them share.
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
    boot_at: int = 0  # Unix microseconds of the last start, 0 for a start before the run


@dataclass(slots=True, order=True)
class PendingChange:
    due_at: int  # when the change reaches the agent
    version: int
    entry: ListedWorker = field(compare=False)


class CallCapacity:
    """The one service behind all agents if the list has to be polled; it serves calls one after another.

    Each call occupies the service for `work` microseconds, even a call that is rejected after `max_wait`
    microseconds.
    """

    def __init__(self, work: int, max_wait: int) -> None:
        self.work, self.max_wait = work, max_wait
        self.busy_until = self.call_count = 0

    def call(self, now: int) -> tuple[int, bool]:
        """Return when the call is answered, and whether the answer is the list rather than a rejection."""
        self.call_count += 1
        self.busy_until = max(now, self.busy_until) + self.work
        return min(self.busy_until, now + self.max_wait), self.busy_until <= now + self.max_wait


class DiscoveryAgent:
    """The agent on one dispatcher's machine; it answers at once, from the changes that have reached it."""

    def __init__(self, entries: list[ListedWorker]) -> None:
        self.entries = {entry.number: entry for entry in entries}
        self.versions = dict.fromkeys(self.entries, 1)  # version of the last change, by worker
        self.version = 1
        self.pending: list[PendingChange] = []
        self.silent = False
        self.extra_delay = 0
        self.notified_at: dict[tuple[int, str, int], int] = {}  # (worker, state, start) -> first notification
        self.last_notified: dict[int, tuple[int, str, int]] = dict.fromkeys(self.entries, (-1, "", 0))
        for entry in entries:
            self.record_notified(entry, 0)

    def record_notified(self, entry: ListedWorker, now: int) -> None:
        """Record when the dispatcher is first notified of each state, and which state is the last one."""
        state_key = (entry.number, entry.state, entry.boot_at)
        self.notified_at.setdefault(state_key, now)
        if self.last_notified[entry.number] != state_key:
            self.last_notified[entry.number] = state_key

    def change(self, due_at: int, entry: ListedWorker) -> None:
        insort(self.pending, PendingChange(due_at, len(self.pending), entry))

    def advance(self, now: int) -> bool:
        """Apply the changes that have reached the agent; return whether there were any."""
        before = self.version
        while self.pending and self.pending[0].due_at + self.extra_delay <= now:
            entry = self.pending.pop(0).entry
            old = self.entries[entry.number]
            if (entry.state, entry.boot_at) == (old.state, old.boot_at) or entry.boot_at < old.boot_at:
                continue
            self.version += 1
            self.entries[entry.number], self.versions[entry.number] = entry, self.version
        return self.version > before

    def next_at(self) -> int | None:
        return self.pending[0].due_at + self.extra_delay if self.pending else None

    def answer(self, now: int, after: int | None, whole: bool, endpoint: Any) -> dict[str, Any] | None:
        """Return the JSON of an answer, and record that the dispatcher is notified of its contents.

        `after` is the version that the dispatcher has; `endpoint` returns a worker's address by its number.
        """
        is_complete = after is None or whole or after > self.version
        listed = [
            entry
            for entry in self.entries.values()
            if entry.state != LEFT
            and is_complete
            or not is_complete
            and after is not None
            and self.versions[entry.number] > after
        ]
        for entry in self.entries.values() if is_complete else listed:
            self.record_notified(entry, now)
        return {
            "rev": self.version,
            "all": is_complete,
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
                for entry in listed
            ],
        }

    def drain_notified_at(self, number: int) -> int | None:
        """Return when the dispatcher was notified that the worker drains or is gone.

        None if the last notification says that the worker is active. If the worker drained and then left, the
        earlier of both notifications counts.
        """
        _, state, boot_at = self.last_notified[number]
        if state == ACTIVE:
            return None
        times = (self.notification_time(number, gone_state, boot_at) for gone_state in (LEAVING, LEFT))
        return min(at for at in times if at is not None)

    def notification_time(self, number: int, state: str, boot_at: int) -> int | None:
        return self.notified_at.get((number, state, boot_at))
