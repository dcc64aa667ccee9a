"""Plans what to do with each open job after a crash: finish it, or resume it. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.durable.jobs import Job, JobTable
from locktide.durable.leases import Lease, LeaseTable
from locktide.durable.log.records import LeaseGranted, WriterStarted
from locktide.durable.log.stored_outcomes import decode_outcome
from locktide.scheduler.events import RecoveredAttempt

DENIED_STATUS = 503
TERMINATED_STATUS = 502
UNKNOWN_SPAN = 10**15  # microseconds; longer than any deduplication window: nothing can be counted on


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The machine's clocks in microseconds: Unix time, which may be set, and its uptime, which may not."""

    wall_time: int
    boot_id: str
    uptime: int


@dataclass(frozen=True, slots=True)
class ElapsedBounds:
    """Bounds on the time since the last process wrote, in microseconds."""

    at_least: int
    at_most: int


@dataclass(slots=True)
class FinishJob:
    """A job whose deadline has passed: its final response, for its client to fetch."""

    job: Job
    status: int


@dataclass(slots=True)
class ResumeJob:
    """A job to resume, with what is known of each attempt; those without an outcome are waited for."""

    job: Job
    deadline: int
    attempts: list[RecoveredAttempt]
    pending: list[int]  # indexes of the attempts without an outcome


RecoveryStep = FinishJob | ResumeJob


def elapsed_since(writer: WriterStarted | None, last_recorded_at: int, now: ClockReading) -> ElapsedBounds:
    """Returns the time since the last record. On the same boot it is known whatever the clock was set to.

    Guards against a clock that was stepped back: on another boot it is all there is, and where it shows a
    time before the last record, nothing is known of how long no dispatcher ran.
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
    """Plans a step for each open job, oldest first, and takes over the leases without an end.

    Times of the last process are brought onto our clock, on which `now` is, by the least time that can have
    gone by, so that a deadline is not cut short; the deduplication window is counted by the most, so that
    nothing is retried past it.
    """
    steps: list[RecoveryStep] = []
    offset = now - table.last_recorded_at - elapsed.at_least
    attempt_offset = now - table.last_recorded_at - elapsed.at_most
    for job in table.open_jobs():
        deadline = job.accepted.deadline + offset
        if deadline <= now:
            status = TERMINATED_STATUS if job.possibly_executed() else DENIED_STATUS
            steps.append(FinishJob(job, status))
            continue
        step = ResumeJob(job, deadline, [], [])
        for index, granted in enumerate(job.leases):
            ended = job.ended_attempts.get(granted.fence)
            outcome = decode_outcome(ended.outcome) if ended else None
            if outcome is None:
                _take_over_lease(granted, leases, offset, deadline, now)
                step.pending.append(index)
            sent_at = granted.recorded_at + attempt_offset
            step.attempts.append(
                RecoveredAttempt(granted.worker, granted.zone, granted.cell, sent_at, outcome)
            )
        steps.append(step)
    return steps


def _take_over_lease(granted: LeaseGranted, leases: LeaseTable, offset: int, deadline: int, now: int) -> None:
    lease = Lease(
        granted.job_id,
        granted.fence,
        granted.worker,
        granted.recorded_at + offset,
        granted.expires_at + offset,
    )
    leases.take_over(lease, now)
    lease.expires_at = min(lease.expires_at, deadline)
