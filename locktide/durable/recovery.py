"""What to do with each open job after a crash: end it, or take it up with what may have run of it. No I/O, no
clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.durable.jobs import Job, JobTable
from locktide.durable.leases import LeaseTable
from locktide.durable.log.records import WriterStarted
from locktide.scheduler.events import RecoveredAttempt

DENIED_STATUS, TERMINATED_STATUS = 503, 502


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The machine's clocks: Unix time, which may be set, and time since its start, which may not.
    Microseconds.
    """

    at: int
    boot: str
    boot_at: int


@dataclass(frozen=True, slots=True)
class ElapsedBounds:
    """How much time has gone by since the last process wrote: between `least` and `most`."""

    least: int
    most: int


UNKNOWN_SPAN = 10**15  # longer than any memory: nothing can be counted on


def elapsed_since(began: WriterStarted | None, last_at: int, now: ClockReading) -> ElapsedBounds:
    """Since the last record. On the same boot it is known whatever the clock was set to.

    Guards against a clock that was stepped back: on another boot it is all there is, and where it shows a
    time before the last record, nothing is known of how long we were away.
    """
    if began is None:
        return ElapsedBounds(0, 0)
    if began.boot == now.boot and now.boot_at >= began.boot_at:
        gone = max(0, began.at + (now.boot_at - began.boot_at) - last_at)
        return ElapsedBounds(gone, gone)
    if now.at < last_at:
        return ElapsedBounds(0, UNKNOWN_SPAN)
    return ElapsedBounds(now.at - last_at, now.at - last_at)


@dataclass(slots=True)
class FinishJob:
    """A job whose time is up: its one final answer, for its client to fetch."""

    job: Job
    status: int


@dataclass(slots=True)
class ResumeJob:
    """A job to go on with. Of each dispatch what is known; those still out are waited for."""

    job: Job
    limit_at: int
    dispatches: list[RecoveredAttempt]
    out: list[int]  # the places in `dispatches` that have no outcome


RecoveryStep = FinishJob | ResumeJob


def plan(table: JobTable, leases: LeaseTable, span: ElapsedBounds, now: int) -> list[RecoveryStep]:
    """For all open jobs, oldest first; `now` is our clock, on which the leases are taken over.

    Times of the last process are brought onto our clock by the least time that has gone by, so that a limit
    is not cut short; the memory of repeats is counted by the most, so that nothing is repeated past it.
    """
    steps: list[RecoveryStep] = []
    ours, memory = now - table.last_at - span.least, now - table.last_at - span.most
    for job in table.open():
        limit_at = job.accepted.limit_at + ours
        if limit_at <= now:
            steps.append(FinishJob(job, TERMINATED_STATUS if job.may_have_run() else DENIED_STATUS))
            continue
        dispatches, out = [], []
        for place, lease in enumerate(job.leases):
            ended = job.ended.get(lease.fence)
            outcome = ended.outcome if ended else None
            if outcome is None:
                taken = leases.take_over(
                    job.id, lease.worker, lease.fence, lease.at + ours, lease.until + ours, now
                )
                if taken.until > limit_at:
                    taken.until = limit_at
                out.append(place)
            dispatches.append(
                RecoveredAttempt(lease.worker, lease.zone, lease.cell, lease.at + memory, outcome)
            )
        steps.append(ResumeJob(job, limit_at, dispatches, out))
    return steps
