"""Decides for each open job after a crash whether to finish or to resume it. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from locktide.durable.jobs import Job, JobTable
from locktide.durable.leases import Lease, LeaseTable
from locktide.durable.log.records import LeaseGranted, WriterStarted
from locktide.scheduler.events import RecoveredAttempt

#: Status of a job that ended and of which no attempt can have run.
REJECTED_STATUS = HTTPStatus.SERVICE_UNAVAILABLE
#: Status of a job that ended and of which an attempt may have run.
FAILED_STATUS = HTTPStatus.BAD_GATEWAY
#: Microseconds that represent an unknown elapsed time; longer than any deduplication window.
UNKNOWN_SPAN = 10**15


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the machine's clocks.

    Attributes:
        wall_time: Unix time in microseconds; this clock can be set.
        boot_id: Identifies the current boot of the machine.
        uptime: Microseconds since that boot; this clock cannot be set.
    """

    wall_time: int
    boot_id: str
    uptime: int


@dataclass(frozen=True, slots=True)
class ElapsedBounds:
    """Bounds on the time since the last record was written, in microseconds."""

    at_least: int
    at_most: int


@dataclass(slots=True)
class FinishJob:
    """A job whose deadline has passed, and the status of the final response that it gets."""

    job: Job
    status: int


@dataclass(slots=True)
class ResumeJob:
    """A job to resume.

    Attributes:
        job: The job.
        deadline: The deadline of the job, in microseconds of the dispatcher's clock.
        attempts: The earlier attempts, in the order of their leases.
        pending: Indexes of the attempts without an outcome; the dispatcher waits for these.
    """

    job: Job
    deadline: int
    attempts: list[RecoveredAttempt]
    pending: list[int]


RecoveryStep = FinishJob | ResumeJob


def elapsed_since(writer: WriterStarted | None, last_recorded_at: int, now: ClockReading) -> ElapsedBounds:
    """Return bounds on the time since the last record was written.

    On the same boot the uptime gives the exact time, even if the wall clock was set. On another boot there is
    only the wall clock. If it shows a time before the last record, it was set back, and the time for which no
    dispatcher ran is unknown: the lower bound is then zero, so that no deadline is shortened, and the upper
    bound is longer than any deduplication window, so that no job is sent twice. Verified by
    `test_elapsed_time_follows_the_boot_clock_when_the_wall_clock_is_set` and
    `test_nothing_is_retried_after_the_clock_stepped_back`.
    """
    if writer is None:
        return ElapsedBounds(0, 0)
    if writer.boot_id == now.boot_id and now.uptime >= writer.uptime:
        now_on_writer_clock = writer.recorded_at + (now.uptime - writer.uptime)
        elapsed = max(0, now_on_writer_clock - last_recorded_at)
        return ElapsedBounds(elapsed, elapsed)
    if now.wall_time < last_recorded_at:
        return ElapsedBounds(0, UNKNOWN_SPAN)
    elapsed = now.wall_time - last_recorded_at
    return ElapsedBounds(elapsed, elapsed)


def plan(table: JobTable, leases: LeaseTable, elapsed: ElapsedBounds, now: int) -> list[RecoveryStep]:
    """Plan a step for each open job, oldest first, and take over the leases whose attempts have no outcome.

    Times in the log are converted to the clock of this process. Deadlines and leases are converted with the
    shortest possible elapsed time, so that none is shortened; the times of attempts with the longest possible
    one, so that no attempt is retried after its deduplication window.

    Args:
        table: The jobs of the log.
        leases: The leases of this process, to which the leases that are taken over are added.
        elapsed: Bounds on the time since the last record.
        now: The dispatcher's time, in microseconds.
    """
    planner = _Planner(
        leases=leases,
        now=now,
        offset=now - table.last_recorded_at - elapsed.at_least,
        attempt_offset=now - table.last_recorded_at - elapsed.at_most,
    )
    return [planner.plan(job) for job in table.open_jobs()]


@dataclass(frozen=True, slots=True)
class _Planner:
    """Plans the step for each job.

    Attributes:
        leases: The leases of this process.
        now: The dispatcher's time, in microseconds.
        offset: Microseconds to add to recorded deadlines and expiry times of leases.
        attempt_offset: Microseconds to add to the recorded times of attempts.
    """

    leases: LeaseTable
    now: int
    offset: int
    attempt_offset: int

    def plan(self, job: Job) -> RecoveryStep:
        deadline = job.accepted.deadline + self.offset
        if deadline <= self.now:
            return FinishJob(job, FAILED_STATUS if job.possibly_executed() else REJECTED_STATUS)
        unfinished = [index for index, granted in enumerate(job.leases) if job.outcome(granted) is None]
        for index in unfinished:
            self._take_over(job.leases[index], deadline)
        attempts = [self._recover_attempt(job, granted) for granted in job.leases]
        return ResumeJob(job=job, deadline=deadline, attempts=attempts, pending=unfinished)

    def _recover_attempt(self, job: Job, granted: LeaseGranted) -> RecoveredAttempt:
        return RecoveredAttempt(
            worker=granted.worker,
            zone=granted.zone,
            cell=granted.cell,
            sent_at=granted.recorded_at + self.attempt_offset,
            outcome=job.outcome(granted),
        )

    def _take_over(self, granted: LeaseGranted, deadline: int) -> None:
        lease = Lease(
            job_id=granted.job_id,
            fence=granted.fence,
            worker=granted.worker,
            expires_at=granted.expires_at + self.offset,
        )
        self.leases.take_over(lease, self.now)
        lease.expires_at = min(lease.expires_at, deadline)
