"""Recovers the jobs of an earlier process: finishes those past their deadline and resumes the others."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from locktide.durable import recovery
from locktide.durable.completion import JobCompletion
from locktide.durable.job_context import JobContext
from locktide.durable.jobs import Job
from locktide.durable.log.records import WriterStarted
from locktide.durable.log.stored_service_class import StoredServiceClass
from locktide.durable.recovery import ClockReading, FinishJob, RecoveryStep, ResumeJob
from locktide.transport.interfaces import Response

#: Batches of resumed jobs per second: enough that a single batch is no burst for the workers.
BATCHES_PER_SECOND = 20
#: Seconds between two batches.
RESUME_INTERVAL = 1 / BATCHES_PER_SECOND


class JobResumption:
    """Carries out the recovery plan at a limited rate.

    Attributes:
        batch_size: How many jobs are resumed together.
    """

    def __init__(self, context: JobContext, completion: JobCompletion) -> None:
        self.batch_size = max(1, int(context.config.resume_rate / BATCHES_PER_SECOND))
        self.write_ahead_log = context.write_ahead_log
        self.leases = context.leases
        self.completion = completion
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log

    async def recover(self, clocks: ClockReading) -> None:
        """Recover all open jobs, after the log was opened and before the dispatcher serves requests."""
        table = self.write_ahead_log.table
        elapsed = recovery.elapsed_since(table.writer, table.last_recorded_at, clocks)
        now = self.dispatcher.now()
        steps = recovery.plan(table, self.leases, elapsed, now)
        writer = WriterStarted(recorded_at=now, boot_id=clocks.boot_id, uptime=clocks.uptime)
        await self.write_ahead_log.append(writer)
        self._log_plan(steps)
        self._log_other_classes([step.job for step in steps if isinstance(step, ResumeJob)])
        self._finish([step for step in steps if isinstance(step, FinishJob)])
        self._resume_all([step for step in steps if isinstance(step, ResumeJob)])

    def _finish(self, steps: Sequence[FinishJob]) -> None:
        for step in steps:
            response = Response(step.status, b"its time was up while no dispatcher ran\n")
            self.completion.finish(step.job.job_id, response)

    def _resume_all(self, steps: Sequence[ResumeJob]) -> None:
        """Resume jobs with a pending attempt immediately, and the others at the configured rate.

        A job with a pending attempt is not sent again but waited for: it adds no load to the workers, and its
        worker may report at any moment.
        """
        for step in steps:
            if step.pending:
                self._resume(step)
        self.tasks.spawn(self._resume_at_rate([step for step in steps if not step.pending]))

    def _log_plan(self, steps: Sequence[RecoveryStep]) -> None:
        contents = self.write_ahead_log.contents
        finished_count = sum(isinstance(step, FinishJob) for step in steps)
        resumed_count = len(steps) - finished_count
        self.log.emit(
            f"jobs: {contents.record_count} records in {contents.segment_count} segments: "
            f"{resumed_count} resumed, {finished_count} past their deadline, "
            f"{len(contents.torn)} torn ends cut off",
            event="jobs_recovered",
            records=contents.record_count,
            segments=contents.segment_count,
            resumed=resumed_count,
            ended=finished_count,
            torn=len(contents.torn),
            damaged=len(contents.damaged),
        )

    def _log_other_classes(self, jobs: Sequence[Job]) -> None:
        """Log how many jobs are of a service class that the file in force lacks or changes."""
        missing_count = 0
        changed_count = 0
        for job in jobs:
            in_force = self.dispatcher.service_class(job.accepted.service_class)
            stored = job.accepted.accepted_class
            missing_count += in_force is None
            if in_force is not None and stored is not None:
                changed_count += stored != StoredServiceClass.of(in_force)
        if missing_count or changed_count:
            self.log.emit(
                f"jobs: {missing_count} of a service class that the file lacks, {changed_count} of one that "
                "it changes; they keep the class by which they were accepted",
                event="jobs_of_other_classes",
                missing=missing_count,
                changed=changed_count,
            )

    async def _resume_at_rate(self, steps: Sequence[ResumeJob]) -> None:
        """Resume jobs oldest first, at the configured rate: a restart must not overload the workers."""
        for index, step in enumerate(steps):
            if index and index % self.batch_size == 0:
                await asyncio.sleep(RESUME_INTERVAL)
            self._resume(step)

    def _resume(self, step: ResumeJob) -> None:
        self.completion.finish_with(step.job.job_id, self.dispatcher.resume(step))
