"""Leases: who may work on a job, until when, and what to make of a word from who may not. No I/O, no clock.

A lease is granted before the first byte of a dispatch, with a fencing number that only grows for its job (as
in Kleppmann, "How to do distributed locking", 2016, and the sequencers of Burrows, "The Chubby lock service",
OSDI 2006). The worker's words are its heartbeats. Times are whole microseconds of one clock that never steps.
"""

from __future__ import annotations

from dataclasses import dataclass

RENEWS, ENDS, FENCED, UNKNOWN = "renews", "ends", "fenced", "unknown"


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """How long a worker may be silent."""

    start_within: int  # from the dispatch, until it says that the job has started: it may wait in a queue
    beat_within: int  # between two words on a job that runs

    def __post_init__(self) -> None:
        if self.start_within <= 0 or self.beat_within <= 0:
            raise ValueError("a lease must last")


@dataclass(slots=True)
class Lease:
    job: str
    fence: int
    worker: str
    granted_at: int
    until: int
    started: bool = False
    ended: bool = False


class LeaseTable:
    """The leases of one dispatcher, by job and fence."""

    def __init__(self, terms: LeaseConfig) -> None:
        self.terms = terms
        self.held: dict[str, list[Lease]] = {}

    def grant(self, job: str, worker: str, now: int, after: int = 0) -> Lease:
        """A new lease; its fence is over that of every earlier one of the job, and over `after`."""
        before = self.held.setdefault(job, [])
        fence = max([after, *(lease.fence for lease in before)]) + 1
        lease = Lease(job, fence, worker, now, now + self.terms.start_within)
        before.append(lease)
        return lease

    def take_over(self, job: str, worker: str, fence: int, granted_at: int, until: int, now: int) -> Lease:
        """A lease of a process that has died. Its heartbeats were not written down, so the worker gets as
        long as one that has just been heard, and no less than what was written.
        """
        lease = Lease(job, fence, worker, granted_at, max(until, now + self.terms.beat_within))
        self.held.setdefault(job, []).append(lease)
        return lease

    def find(self, job: str, worker: str, fence: int | None) -> Lease | None:
        """The lease that a word is about: by its fence, or the latest of that worker where it tells none."""
        for lease in reversed(self.held.get(job, ())):
            if lease.worker == worker and fence in (None, lease.fence):
                return lease
        return None

    def heard(self, job: str, worker: str, fence: int | None, now: int, last: bool, started: bool) -> str:
        """What a word from a worker is: RENEWS its lease, ENDS it, or is FENCED off, or of a lease UNKNOWN
        here.
        """
        lease = self.find(job, worker, fence)
        if lease is None:
            return UNKNOWN
        if lease.ended or now >= lease.until:
            # Also where nobody has looked yet: a lease ends by its time, not by when that is noticed.
            return FENCED
        if last:
            lease.ended = True
            return ENDS
        lease.started = lease.started or started
        span = self.terms.beat_within if lease.started else self.terms.start_within
        lease.until = max(lease.until if not lease.started else 0, now + span)
        return RENEWS

    def end(self, job: str, fence: int) -> None:
        for lease in self.held.get(job, ()):
            if lease.fence == fence:
                lease.ended = True

    def due(self, now: int) -> list[Lease]:
        """Those that have run out, oldest first; each is given once."""
        found = [
            lease
            for leases in self.held.values()
            for lease in leases
            if not lease.ended and now >= lease.until
        ]
        for lease in found:
            lease.ended = True
        return sorted(found, key=lambda lease: (lease.until, lease.job, lease.fence))

    def drop(self, job: str) -> None:
        """The job is forgotten."""
        self.held.pop(job, None)
