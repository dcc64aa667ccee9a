"""Leases: which worker may run a job, until when, and what a report under a lease does. No I/O, no clock.

A lease is granted before the first byte of an attempt, with a fencing number (Kleppmann, "How to do
distributed locking", 2016; the sequencers of Burrows, "The Chubby lock service", OSDI 2006). The worker's
reports are its heartbeats. Times are whole microseconds of one monotonic clock.

Why a worker whose lease has ended can neither finish a job nor make it run twice:

1. A lease is on the disk before the first byte of its attempt (`lease_service`), so a restarted dispatcher
   knows each attempt that may have run.
2. The fencing numbers of a job only increase, also from one process to the next: `grant` starts above the
   last one in the log. A fencing number therefore identifies one attempt forever.
3. A report counts only under a lease that is known, has not ended and has not expired by this dispatcher's
   clock, whether or not `expire` has run since. Any other final report is recorded as late and has no effect.
4. The end of a lease does not give the job to another worker. It ends the attempt as one that may have run,
   and the scheduler sends the job again only if the service class allows it.

Verified in `tests/durable/test_leases.py` by `test_fencing_number_is_above_that_of_an_earlier_process` (2),
`test_silent_worker_holds_a_job_no_longer_than_its_lease`,
`test_report_after_a_lease_expired_is_fenced_before_the_next_check` (3) and the model `LeaseModel`
(2 and 3), and in `tests/durable/test_crashes.py` by
`test_dispatcher_killed_at_a_crash_point_loses_and_duplicates_no_job` (1) and
`test_hung_worker_loses_its_lease_and_its_late_report_has_no_effect` (3 and 4).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ReportResult(StrEnum):
    """The effect of a worker's report."""

    RENEWED = "renewed"  # the report has extended its lease
    ENDED = "ended"  # the report has ended its lease
    FENCED = "fenced"  # no effect: the lease had ended or expired before
    UNKNOWN = "unknown"  # no effect: there is no such lease


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """How long a worker may go without a report before its lease expires.

    Attributes:
        start_timeout: Microseconds from the grant of the lease to the report that the job has started. It
            should be longer than `heartbeat_timeout`, as the job may wait in the worker's queue.
        heartbeat_timeout: Microseconds between two reports on a job that has started.
    """

    start_timeout: int
    heartbeat_timeout: int

    def __post_init__(self) -> None:
        for name in ("start_timeout", "heartbeat_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be at least one microsecond")


@dataclass(slots=True)
class Lease:
    """One worker's permission to run a job.

    Attributes:
        job_id: The job.
        fence: The fencing number, which is greater than that of each earlier lease of the job.
        worker: Name of the worker.
        expires_at: When the lease expires unless the worker reports before, in microseconds.
        has_started: Whether the worker has reported that the job has started.
        has_ended: Whether the lease has ended: by a final report, by expiry or with its attempt.
    """

    job_id: str
    fence: int
    worker: str
    expires_at: int
    has_started: bool = False
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's report on a job.

    Attributes:
        job_id: The job.
        worker: Name of the worker.
        fence: The fencing number of the lease; None if the report does not contain it.
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
        config: How long a worker may go without a report before its lease expires.
        leases_by_job: The leases of each job, in the order in which they were granted.
    """

    def __init__(self, config: LeaseConfig) -> None:
        self.config = config
        self.leases_by_job: dict[str, list[Lease]] = {}

    def grant(self, job_id: str, worker: str, now: int, last_fence: int = 0) -> Lease:
        """Grant a lease; its fencing number is above `last_fence` and above all earlier ones of the job."""
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
        """Take over a lease from a process that has died.

        Heartbeats are not recorded in the log. The lease therefore lasts at least as long as after a report
        at `now`, and at least until the expiry that the log has.
        """
        lease.expires_at = max(lease.expires_at, now + self.config.heartbeat_timeout)
        self.leases_by_job.setdefault(lease.job_id, []).append(lease)

    def find(self, job_id: str, worker: str, fence: int | None) -> Lease | None:
        """Return the worker's lease with that fencing number, or its latest lease if `fence` is None."""
        for lease in reversed(self.leases_by_job.get(job_id, ())):
            if lease.worker == worker and fence in (None, lease.fence):
                return lease
        return None

    def apply_report(self, report: WorkerReport, now: int) -> ReportResult:
        """Renew or end the lease of a report, if the lease has neither ended nor expired."""
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
        """End a lease, if the table has it."""
        for lease in self.leases_by_job.get(job_id, ()):
            if lease.fence == fence:
                lease.has_ended = True

    def expire(self, now: int) -> list[Lease]:
        """End the leases that have expired, and return them in the order of their expiry."""
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
