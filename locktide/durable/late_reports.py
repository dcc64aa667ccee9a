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
from locktide.durable.log.write_ahead_log import wait_ignoring_write_error
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome

#: Most late reports that are recorded for one job. Each attempt of a job has a few at most, but a faulty
#: worker could send any number.
MAX_LATE_REPORTS = 16


class LateReports:
    """Records late reports for operators; late reports have no other effect."""

    def __init__(self, context: JobContext, completion: JobCompletion) -> None:
        self.write_ahead_log = context.write_ahead_log
        self.completion = completion
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log

    def record(self, job: Job, callback: Callback) -> Awaitable[None] | None:
        """Record a final report under an ended lease; return the write its response waits for, if any."""
        if (write := self.completion.writes.get(job.job_id)) is not None:
            return asyncio.shield(write)  # a repetition of the report that finishes the job
        fence = _fence_for_report(job, callback)
        if len(job.late_reports) >= MAX_LATE_REPORTS or _is_already_recorded(job, callback, fence):
            return None
        self.log.emit(
            f"job {job.job_id}: late report '{callback.state}' of worker {callback.worker}, lease {fence}",
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
        return self.tasks.spawn(wait_ignoring_write_error(self.write_ahead_log.append(report)))


def _fence_for_report(job: Job, callback: Callback) -> int:
    """Return the fencing number in a worker's report, or that of its latest lease; 0 if it had no lease."""
    if callback.fence is not None:
        return callback.fence
    return max((lease.fence for lease in job.leases if lease.worker == callback.worker), default=0)


def _is_already_recorded(job: Job, callback: Callback, fence: int) -> bool:
    """Return whether the log already has the content of a report."""
    for report in job.late_reports:
        if (report.fence, report.worker, report.state) == (fence, callback.worker, callback.state):
            return True
    if job.state is JobState.DONE and callback.outcome == AttemptOutcome.DONE and fence == job.fence:
        return True  # a repetition of the report that finished the job
    ended = job.ended_attempts.get(fence)
    if ended is None or callback.outcome is None:
        return False
    return ended.outcome == encode_outcome(callback.outcome)
