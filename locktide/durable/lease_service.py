"""Writes leases to the disk before their attempts begin, and applies the reports of workers to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from http import HTTPStatus

from locktide.dispatcher.records import OpenAttempt
from locktide.durable.completion import WRITE_RETRY_INTERVAL, JobCompletion
from locktide.durable.errors import LogWriteError
from locktide.durable.job_context import JobContext
from locktide.durable.jobs import Job
from locktide.durable.late_reports import LateReports
from locktide.durable.leases import ReportResult, WorkerReport
from locktide.durable.log.crash_point import CrashPoint
from locktide.durable.log.records import AttemptEnded, LeaseGranted
from locktide.durable.log.stored_outcomes import encode_outcome
from locktide.durable.log.write_ahead_log import wait_ignoring_write_error
from locktide.protocol import names
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.interfaces import Response


class LeaseService:
    """The leases of the dispatcher's jobs, on disk and in memory."""

    def __init__(self, context: JobContext, completion: JobCompletion, late_reports: LateReports) -> None:
        self.state = context.state
        self.write_ahead_log = context.write_ahead_log
        self.leases = context.leases
        self.completion = completion
        self.late_reports = late_reports
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log

    async def grant(self, job_id: str, attempt: OpenAttempt) -> bool:
        """Write a lease before the first byte of an attempt; return whether the attempt may be sent.

        A failed write is followed by a pause: the attempt counts as never sent, and the scheduler starts the
        next one at once. Without the pause a full disk would occupy a CPU core and use ever more memory
        (test_full_disk_costs_a_few_leases_a_second_and_the_job_goes_on_once_there_is_space).
        """
        job = self.state.table.jobs.get(job_id)
        if job is None or attempt.outcome:
            return False
        endpoint = self.dispatcher.endpoint(attempt.worker)
        now = self.dispatcher.now()
        lease = self.leases.grant(job_id, attempt.worker, now, last_fence=job.fence)
        attempt.fence = lease.fence
        record = LeaseGranted(
            job_id=job_id,
            fence=lease.fence,
            worker=attempt.worker,
            zone=endpoint.zone,
            cell=endpoint.cell,
            recorded_at=now,
            expires_at=lease.expires_at,
        )
        try:
            await self.write_ahead_log.append(record)
        except LogWriteError as error:
            self._undo_grant(record, error)
            await asyncio.sleep(WRITE_RETRY_INTERVAL)
            return False
        self.write_ahead_log.reach_crash_point(CrashPoint.LEASE_WRITTEN)
        return True

    def _undo_grant(self, record: LeaseGranted, error: LogWriteError) -> None:
        """End a lease that could not be written, in memory only: no byte of its attempt was sent."""
        self.leases.end(record.job_id, record.fence)
        ended = AttemptEnded(
            job_id=record.job_id,
            fence=record.fence,
            outcome=encode_outcome(AttemptOutcome.NEVER_SENT),
            recorded_at=record.recorded_at,
        )
        self.state.table.apply(ended)
        self.log.emit(
            f"job {record.job_id}: the lease of worker {record.worker} could not be written: {error}",
            event="lease_write_failed",
            job=record.job_id,
            fence=record.fence,
            worker=record.worker,
            error=str(error),
        )

    def attempt_ended(self, job_id: str, attempt: OpenAttempt) -> None:
        """End the lease of an attempt that has an outcome."""
        if not attempt.fence or attempt.outcome is None:
            return
        self.leases.end(job_id, attempt.fence)
        if attempt.outcome == AttemptOutcome.DONE:
            return  # the record of the final response contains this outcome
        record = AttemptEnded(
            job_id=job_id,
            fence=attempt.fence,
            outcome=encode_outcome(attempt.outcome),
            recorded_at=self.dispatcher.now(),
        )
        self.tasks.spawn(wait_ignoring_write_error(self.write_ahead_log.append(record)))

    def handle_callback(self, job: Job, callback: Callback) -> Awaitable[None] | None:
        """Apply a worker's report; return the write for which the response to the worker waits, if any."""
        report = WorkerReport(
            job_id=job.job_id,
            worker=callback.worker,
            fence=callback.fence,
            is_final=callback.outcome is not None,
            has_started=callback.state == names.STARTED,
        )
        result = self.leases.apply_report(report, self.dispatcher.now())
        if result in (ReportResult.FENCED, ReportResult.UNKNOWN):
            return self.late_reports.record(job, callback) if report.is_final else None
        self.dispatcher.handle_callback(callback)
        if callback.outcome == AttemptOutcome.DONE:
            self.completion.finish(job.job_id, Response(HTTPStatus.OK, callback.result))
        # A worker repeats its callback until it gets a response, and then drops the result. It must therefore
        # not get a response before the result is on the disk.
        if (write := self.completion.writes.get(job.job_id)) is not None:
            return asyncio.shield(write)
        return None

    def expire(self) -> None:
        """End the leases that have expired, and the attempts under them."""
        for lease in self.leases.expire(self.dispatcher.now()):
            self.log.emit(
                f"job {lease.job_id}: lease {lease.fence} of worker {lease.worker} has expired",
                event="lease_expired",
                job=lease.job_id,
                fence=lease.fence,
                worker=lease.worker,
            )
            self.dispatcher.expire_lease(lease)
