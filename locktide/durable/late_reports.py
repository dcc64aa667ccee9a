"""Records what workers report under leases that have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from locktide.durable.completion import JobCompletion
from locktide.durable.job_context import JobContext
from locktide.durable.job_states import JobState
from locktide.durable.jobs import Job
from locktide.durable.log.records import LateReport
from locktide.durable.log.stored_outcomes import encode_outcome
from locktide.durable.log.write_ahead_log import wait_or_lose
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome

#: Late reports that are recorded of one job: its attempts have a few each, and a faulty worker could send
#: without end.
MAX_LATE_REPORTS = 16


class LateReports:
    """Records late reports for operators; they change nothing else."""

    def __init__(self, context: JobContext, completion: JobCompletion) -> None:
        self.write_ahead_log = context.write_ahead_log
        self.completion = completion
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log

    def record(self, job: Job, callback: Callback) -> Awaitable[None] | None:
        """Write a final report under an ended lease; return what its worker waits for, if anything."""
        if (write := self.completion.writes.get(job.job_id)) is not None:
            return asyncio.shield(write)  # the report that finishes the job, sent again
        fence = _fence_of(job, callback)
        if len(job.late_reports) >= MAX_LATE_REPORTS or _is_known(job, callback, fence):
            return None
        self.log.emit(
            f"job {job.job_id}: a late '{callback.state}' of worker {callback.worker} under lease {fence}",
            event="late_report_received",
            job=job.job_id,
            fence=fence,
            worker=callback.worker,
            state=callback.state,
        )
        report = LateReport(
            job_id=job.job_id,
            fence=fence,
            worker=callback.worker,
            state=callback.state,
            recorded_at=self.dispatcher.now(),
        )
        return self.tasks.spawn(wait_or_lose(self.write_ahead_log.append(report)))


def _fence_of(job: Job, callback: Callback) -> int:
    """Return the fence that a worker names, or that of its latest lease; 0 where it had none."""
    if callback.fence is not None:
        return callback.fence
    return max((lease.fence for lease in job.leases if lease.worker == callback.worker), default=0)


def _is_known(job: Job, callback: Callback, fence: int) -> bool:
    """Whether the report says what is recorded already."""
    for report in job.late_reports:
        if (report.fence, report.worker, report.state) == (fence, callback.worker, callback.state):
            return True
    if job.state is JobState.DONE and callback.outcome == AttemptOutcome.DONE and fence == job.fence:
        return True  # the report that finished the job, sent again
    ended = job.ended_attempts.get(fence)
    if ended is None or callback.outcome is None:
        return False
    return ended.outcome == encode_outcome(callback.outcome)
