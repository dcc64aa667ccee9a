"""Writes the one final response of each job before anybody is told of it."""

from __future__ import annotations

import asyncio

from locktide.durable.errors import LogWriteError
from locktide.durable.job_context import JobContext
from locktide.durable.log.crash_point import CrashPoint
from locktide.durable.log.records import JobFinished
from locktide.durable.responses import final_response
from locktide.durable.waiters import JobWaiters
from locktide.transport.client_connection import Response

# Seconds between two tries to write a final response; a full disk is cleared by hand.
WRITE_RETRY_INTERVAL = 0.5
CLOSE_TIMEOUT = 2.0  # seconds for final responses that are being written at a stop


class JobCompletion:
    """Finishes jobs: the first final response counts, and is told once it is on the disk."""

    def __init__(self, context: JobContext, waiters: JobWaiters) -> None:
        self.state = context.state
        self.write_ahead_log = context.write_ahead_log
        self.leases = context.leases
        self.waiters = waiters
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log
        self.writes: dict[str, asyncio.Task[None]] = {}  # final responses on their way to the disk, by job

    def finish_with(self, job_id: str, response: asyncio.Future[Response]) -> None:
        """Finishes a job by the dispatcher's response, once that is there."""
        response.add_done_callback(lambda done: self._dispatcher_responded(job_id, done))

    def _dispatcher_responded(self, job_id: str, done: asyncio.Future[Response]) -> None:
        if not done.cancelled():
            self.finish(job_id, done.result())

    def finish(self, job_id: str, response: Response) -> None:
        """Begins to write the final response, unless the job has one."""
        job = self.state.table.jobs.get(job_id)
        if job is None or job_id in self.writes or job.finished is not None:
            return
        retry_after = dict(response.headers).get("Retry-After")
        retry_after_microseconds = int(float(retry_after) * 1e6) if retry_after else 0
        record = JobFinished(
            job_id, response.status, response.body, retry_after_microseconds, self.dispatcher.now()
        )
        self.writes[job_id] = self.tasks.spawn(self._write(record))

    async def _write(self, record: JobFinished) -> None:
        """Writes a final response and then tells it.

        Tried again while it cannot be written: the job is not lost, as a restart would end it, or find it
        done.
        """
        job_id = record.job_id
        self.write_ahead_log.reach_crash_point(CrashPoint.BEFORE_FINAL_RESPONSE)
        while True:
            try:
                await self.write_ahead_log.append(record)
                break
            except LogWriteError as error:
                reason = str(error)
                self.log.emit(f"jobs: no final answer: {reason}", event="response_write_failed", error=reason)
                await asyncio.sleep(WRITE_RETRY_INTERVAL)
        self.write_ahead_log.reach_crash_point(CrashPoint.AFTER_FINAL_RESPONSE)
        self.leases.drop(job_id)
        self.state.settled.add(job_id)
        self.writes.pop(job_id, None)
        self.waiters.resolve(job_id, final_response(self.state.table.jobs[job_id]))

    async def wait_for_writes(self) -> None:
        """Waits for the final responses that are being written, for two seconds at most."""
        if self.writes:
            await asyncio.wait(list(self.writes.values()), timeout=CLOSE_TIMEOUT)
