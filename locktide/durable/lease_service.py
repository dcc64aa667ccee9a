"""Grants leases on disk before attempts begin, and applies what workers report under them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from locktide.dispatcher.records import OpenAttempt
from locktide.durable.completion import JobCompletion
from locktide.durable.errors import LogWriteError
from locktide.durable.job_context import JobContext
from locktide.durable.jobs import Job
from locktide.durable.late_reports import LateReports
from locktide.durable.leases import LeaseAnswer, WorkerReport
from locktide.durable.log.crash_point import CrashPoint
from locktide.durable.log.records import AttemptEnded, LeaseGranted
from locktide.durable.log.stored_outcomes import encode_outcome
from locktide.durable.log.write_ahead_log import wait_or_lose
from locktide.protocol import names
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_connection import Response


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
        """Writes a lease before the first byte of an attempt; returns whether the attempt may begin."""
        job = self.state.table.jobs.get(job_id)
        if job is None or attempt.outcome:
            return False
        endpoint = self.dispatcher.endpoint(attempt.worker)
        now = self.dispatcher.now()
        lease = self.leases.grant(job_id, attempt.worker, now, last_fence=job.fence)
        attempt.fence = lease.fence
        record = LeaseGranted(
            job_id, lease.fence, attempt.worker, endpoint.zone, endpoint.cell, now, lease.expires_at
        )
        try:
            await self.write_ahead_log.append(record)
        except LogWriteError as error:
            # No byte of it was sent, whatever the disk holds: it is ended in memory.
            self.leases.end(job_id, lease.fence)
            never_sent = encode_outcome(AttemptOutcome.NEVER_SENT)
            self.state.table.apply(AttemptEnded(job_id, lease.fence, never_sent, now))
            self.log.emit(f"jobs: no lease: {error}", event="lease_write_failed", error=str(error))
            return False
        self.write_ahead_log.reach_crash_point(CrashPoint.LEASE_WRITTEN)
        return True

    def attempt_ended(self, job_id: str, attempt: OpenAttempt) -> None:
        """Ends the lease of an attempt that has its outcome."""
        if not attempt.fence or attempt.outcome is None:
            return
        self.leases.end(job_id, attempt.fence)
        if attempt.outcome == AttemptOutcome.DONE:
            return  # the job's final response says so
        outcome = encode_outcome(AttemptOutcome(attempt.outcome))
        record = AttemptEnded(job_id, attempt.fence, outcome, self.dispatcher.now())
        self.tasks.spawn(wait_or_lose(self.write_ahead_log.append(record)))

    def handle_callback(self, job: Job, callback: Callback) -> Awaitable[None] | None:
        """Applies a worker's report; its worker is answered after what this returns, if anything."""
        report = WorkerReport(
            job.job_id,
            callback.worker,
            callback.fence,
            is_final=callback.outcome is not None,
            has_started=callback.state == names.STARTED,
        )
        answer = self.leases.apply_report(report, self.dispatcher.now())
        if answer in (LeaseAnswer.FENCED, LeaseAnswer.UNKNOWN):
            return self.late_reports.record(job, callback) if report.is_final else None
        self.dispatcher.handle_callback(callback)
        if callback.outcome == AttemptOutcome.DONE:
            self.completion.finish(job.job_id, Response(200, callback.result))
        # The worker may forget the result only once it is on the disk: until then it calls again.
        if (write := self.completion.writes.get(job.job_id)) is not None:
            return asyncio.shield(write)
        return None

    def expire(self) -> None:
        """Ends the leases that have run out, and the attempts under them."""
        for lease in self.leases.expire(self.dispatcher.now()):
            self.log.emit(
                f"job {lease.job_id}: lease {lease.fence} of worker {lease.worker} has run out",
                event="lease_expired",
                job=lease.job_id,
                fence=lease.fence,
                worker=lease.worker,
            )
            self.dispatcher.expire_lease(lease)
