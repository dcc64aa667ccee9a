"""Leases: which worker may work on a job, until when, and what a report under a lease does. No I/O, no clock.

A lease is granted before the first byte of an attempt, with a fencing number that only grows for its job (as
in Kleppmann, "How to do distributed locking", 2016, and the sequencers of Burrows, "The Chubby lock service",
OSDI 2006). The worker's reports are its heartbeats. Times are whole microseconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class LeaseAnswer(StrEnum):
    """What a worker's report does."""

    RENEWS = "renews"  # it extends its lease
    ENDS = "ends"  # it is the last one under its lease
    FENCED = "fenced"  # its lease had ended before
    UNKNOWN = "unknown"  # its lease is not known


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """How long a worker may be silent, in microseconds."""

    start_timeout: int  # from the attempt to the report that the job has started: it may wait in a queue
    heartbeat_timeout: int  # between two reports on a job that runs

    def __post_init__(self) -> None:
        if self.start_timeout <= 0 or self.heartbeat_timeout <= 0:
            raise ValueError("a lease must last")


@dataclass(slots=True)
class Lease:
    """One worker's permission to work on a job."""

    job_id: str
    fence: int
    worker: str
    granted_at: int
    expires_at: int
    has_started: bool = False
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker reports on a job; its fence is None where it does not name one."""

    job_id: str
    worker: str
    fence: int | None
    is_final: bool
    has_started: bool


class LeaseTable:
    """The leases of one dispatcher, by job and fence."""

    def __init__(self, config: LeaseConfig) -> None:
        self.config = config
        self.leases_by_job: dict[str, list[Lease]] = {}

    def grant(self, job_id: str, worker: str, now: int, last_fence: int = 0) -> Lease:
        """Grants a lease whose fence is over `last_fence` and over that of each earlier one of the job."""
        earlier = self.leases_by_job.setdefault(job_id, [])
        fence = max([last_fence, *(lease.fence for lease in earlier)]) + 1
        lease = Lease(job_id, fence, worker, now, now + self.config.start_timeout)
        earlier.append(lease)
        return lease

    def take_over(self, lease: Lease, now: int) -> None:
        """Takes over a lease of a process that has died.

        Its heartbeats were not written down, so the worker gets as long as one that has just reported, and no
        less than what was written.
        """
        lease.expires_at = max(lease.expires_at, now + self.config.heartbeat_timeout)
        self.leases_by_job.setdefault(lease.job_id, []).append(lease)

    def find(self, job_id: str, worker: str, fence: int | None) -> Lease | None:
        """Returns the lease by its fence, or the latest of that worker where the fence is None."""
        for lease in reversed(self.leases_by_job.get(job_id, ())):
            if lease.worker == worker and fence in (None, lease.fence):
                return lease
        return None

    def apply_report(self, report: WorkerReport, now: int) -> LeaseAnswer:
        """Renews or ends the lease of a report, if it still holds."""
        lease = self.find(report.job_id, report.worker, report.fence)
        if lease is None:
            return LeaseAnswer.UNKNOWN
        if lease.has_ended or now >= lease.expires_at:
            # Also before `expire` was called: a lease ends by its time, not when that is noticed.
            return LeaseAnswer.FENCED
        if report.is_final:
            lease.has_ended = True
            return LeaseAnswer.ENDS
        lease.has_started = lease.has_started or report.has_started
        if lease.has_started:
            lease.expires_at = now + self.config.heartbeat_timeout
        else:
            lease.expires_at = max(lease.expires_at, now + self.config.start_timeout)
        return LeaseAnswer.RENEWS

    def end(self, job_id: str, fence: int) -> None:
        """Ends a lease, if it is there."""
        for lease in self.leases_by_job.get(job_id, ()):
            if lease.fence == fence:
                lease.has_ended = True

    def expire(self, now: int) -> list[Lease]:
        """Ends the leases that have run out, and returns them oldest first."""
        expired = [
            lease
            for leases in self.leases_by_job.values()
            for lease in leases
            if not lease.has_ended and now >= lease.expires_at
        ]
        for lease in expired:
            lease.has_ended = True
        return sorted(expired, key=lambda lease: (lease.expires_at, lease.job_id, lease.fence))

    def drop(self, job_id: str) -> None:
        """Forgets all leases of a job."""
        self.leases_by_job.pop(job_id, None)
