"""Leases: which worker may work on a job, until when, and what a report under a lease does. No I/O, no clock.

A lease is granted before the first byte of an attempt, with a fencing number (Kleppmann, "How to do
distributed locking", 2016; the sequencers of Burrows, "The Chubby lock service", OSDI 2006). The worker's
reports are its heartbeats. Times are whole microseconds of one monotonic clock.

Why a worker that was given up can neither finish a job nor make it run twice:

1. A lease is on the disk before the first byte of its attempt (`lease_service`), so a restarted dispatcher
   knows each attempt that may have run.
2. The fencing numbers of a job only grow, also from one process to the next: `grant` starts above the last
   one in the log. A number therefore names one attempt for good.
3. A report counts only under a lease that is known, has not ended and whose time is not over by this
   dispatcher's clock, whether or not `expire` has noticed. Any other final report is recorded as late and
   changes nothing.
4. The end of a lease does not hand the job to another worker. It ends the attempt as one that may have run,
   and the scheduler sends the job again only where the service class allows it.

Held in `tests/durable/test_leases.py` by `test_fencing_number_is_above_that_of_an_earlier_process` (2),
`test_silent_worker_holds_a_job_no_longer_than_its_lease`,
`test_report_after_the_end_of_a_lease_is_fenced_before_anybody_has_noticed` (3) and the model `LeaseModel`
(2 and 3), and in `tests/durable/test_crashes.py` by
`test_dispatcher_killed_at_a_crash_point_loses_and_duplicates_no_job` (1) and
`test_hung_worker_loses_its_lease_and_its_late_report_has_no_effect` (3 and 4).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ReportResult(StrEnum):
    """What a worker's report did."""

    RENEWED = "renewed"  # its lease lasts longer
    ENDED = "ended"  # its lease has ended with it
    FENCED = "fenced"  # nothing: its lease had ended before
    UNKNOWN = "unknown"  # nothing: its lease is not known


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """How long a worker may be silent.

    Attributes:
        start_timeout: Microseconds from the attempt to the report that the job has started. It should be
            longer than `heartbeat_timeout`, as the job may wait in the worker's queue.
        heartbeat_timeout: Microseconds between two reports on a job that has started.
    """

    start_timeout: int
    heartbeat_timeout: int

    def __post_init__(self) -> None:
        for name in ("start_timeout", "heartbeat_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: a lease lasts at least one microsecond")


@dataclass(slots=True)
class Lease:
    """One worker's permission to work on a job.

    Attributes:
        job_id: The job.
        fence: Its fencing number, which is greater than that of each earlier lease of the job.
        worker: Name of the worker.
        expires_at: When it ends unless the worker reports, in microseconds.
        has_started: Whether the worker has reported that the job runs.
        has_ended: Whether it has ended, by a final report, by its time or with its attempt.
    """

    job_id: str
    fence: int
    worker: str
    expires_at: int
    has_started: bool = False
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker reports on a job.

    Attributes:
        job_id: The job.
        worker: Name of the worker.
        fence: The fencing number of its lease; None where the worker does not report it.
        is_final: Whether the attempt has ended.
        has_started: Whether the report says that the job has started.
    """

    job_id: str
    worker: str
    fence: int | None
    is_final: bool
    has_started: bool


class LeaseTable:
    """The leases of one dispatcher.

    Attributes:
        config: How long a worker may be silent.
        leases_by_job: The leases of each job, in the order in which they were granted.
    """

    def __init__(self, config: LeaseConfig) -> None:
        self.config = config
        self.leases_by_job: dict[str, list[Lease]] = {}

    def grant(self, job_id: str, worker: str, now: int, last_fence: int = 0) -> Lease:
        """Grant a lease; its fencing number is above `last_fence` and those of earlier leases of the job."""
        earlier_leases = self.leases_by_job.setdefault(job_id, [])
        earlier_fences = [lease.fence for lease in earlier_leases]
        lease = Lease(
            job_id=job_id,
            fence=max([last_fence, *earlier_fences]) + 1,
            worker=worker,
            expires_at=now + self.config.start_timeout,
        )
        earlier_leases.append(lease)
        return lease

    def take_over(self, lease: Lease, now: int) -> None:
        """Take over a lease of a process that has died.

        Its heartbeats are not in the log, so its worker gets as long as one that has just reported, and no
        less than what is in the log.
        """
        lease.expires_at = max(lease.expires_at, now + self.config.heartbeat_timeout)
        self.leases_by_job.setdefault(lease.job_id, []).append(lease)

    def find(self, job_id: str, worker: str, fence: int | None) -> Lease | None:
        """Return the lease by its fencing number, or the latest of that worker where the number is None."""
        for lease in reversed(self.leases_by_job.get(job_id, ())):
            if lease.worker == worker and fence in (None, lease.fence):
                return lease
        return None

    def apply_report(self, report: WorkerReport, now: int) -> ReportResult:
        """Renew or end the lease of a report, if it is still in force."""
        lease = self.find(report.job_id, report.worker, report.fence)
        if lease is None:
            return ReportResult.UNKNOWN
        if lease.has_ended or now >= lease.expires_at:
            return ReportResult.FENCED
        if report.is_final:
            lease.has_ended = True
            return ReportResult.ENDED
        lease.has_started = lease.has_started or report.has_started
        self._renew(lease, now)
        return ReportResult.RENEWED

    def _renew(self, lease: Lease, now: int) -> None:
        if lease.has_started:
            lease.expires_at = now + self.config.heartbeat_timeout
        else:
            lease.expires_at = max(lease.expires_at, now + self.config.start_timeout)

    def end(self, job_id: str, fence: int) -> None:
        """End a lease, if it is there."""
        for lease in self.leases_by_job.get(job_id, ()):
            if lease.fence == fence:
                lease.has_ended = True

    def expire(self, now: int) -> list[Lease]:
        """End the leases that have run out, and return them oldest first."""
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
        """Remove the leases of a job."""
        self.leases_by_job.pop(job_id, None)
