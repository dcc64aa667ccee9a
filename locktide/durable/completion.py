"""Writes the one final response of each job before any client or worker is notified of it."""

from __future__ import annotations

import asyncio

from locktide.durable.errors import LogWriteError, ResultNotStoredError
from locktide.durable.job_context import JobContext
from locktide.durable.log.crash_point import CrashPoint
from locktide.durable.log.records import JobFinished
from locktide.durable.responses import final_response, wait_timed_out_response
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.durable.waiters import JobWaiters
from locktide.protocol import names
from locktide.transport.interfaces import Response

#: Seconds between two attempts to write a final response, or a lease of one job. Space on a full disk is
#: freed by hand, so a shorter interval gains nothing.
WRITE_RETRY_INTERVAL = 0.5
#: Seconds that a stop waits for final responses that are being written. The jobs of those that
#: are not written by then are recovered at the next start.
CLOSE_TIMEOUT = 2.0


class JobCompletion:
    """Finishes jobs: the first final response counts, and is sent once it is on the disk.

    Attributes:
        writes: The writes of final responses that are under way, or have failed for good, by job.
    """

    def __init__(self, context: JobContext, waiters: JobWaiters) -> None:
        self.state = context.state
        self.write_ahead_log = context.write_ahead_log
        self.leases = context.leases
        self.waiters = waiters
        self.tasks = context.tasks
        self.dispatcher = context.dispatcher
        self.log = context.log
        self.writes: dict[str, asyncio.Task[None]] = {}

    def finish_with(self, job_id: str, response: asyncio.Future[Response]) -> None:
        """Finish a job by the dispatcher's response, once that is there."""
        response.add_done_callback(lambda done: self._dispatcher_responded(job_id, done))

    def _dispatcher_responded(self, job_id: str, done: asyncio.Future[Response]) -> None:
        if not done.cancelled():
            self.finish(job_id, done.result())

    def finish(self, job_id: str, response: Response) -> None:
        """Begin to write the final response, unless the job has one."""
        job = self.state.table.jobs.get(job_id)
        if job is None or job_id in self.writes or job.finished is not None:
            return
        record = JobFinished(
            job_id=job_id,
            status=response.status,
            body=response.body,
            retry_after=_retry_after(response),
            recorded_at=self.dispatcher.now(),
        )
        write = self.tasks.spawn(self._write_and_respond(record))
        write.add_done_callback(_mark_retrieved)  # who waits for it gets its error; often nobody does
        self.writes[job_id] = write

    async def _write_and_respond(self, record: JobFinished) -> None:
        """Write a final response, and then send it to the clients that wait.

        Raises:
            ResultNotStoredError: The log has failed for good. The job stays open on the disk, and the next
                process ends it; its clients are answered that it goes on.
        """
        job_id = record.job_id
        self.write_ahead_log.reach_crash_point(CrashPoint.BEFORE_FINAL_RESPONSE)
        while not await self._write(record):
            if self.write_ahead_log.failure:
                self.waiters.resolve(job_id, wait_timed_out_response(job_id))
                raise ResultNotStoredError(f"job {job_id}: {self.write_ahead_log.failure}")
            await asyncio.sleep(WRITE_RETRY_INTERVAL)
        self.write_ahead_log.reach_crash_point(CrashPoint.AFTER_FINAL_RESPONSE)
        self.leases.drop(job_id)
        self.state.settled.add(job_id)
        self.writes.pop(job_id, None)
        self.waiters.resolve(job_id, final_response(self.state.table.jobs[job_id]))

    async def _write(self, record: JobFinished) -> bool:
        """Write a final response; return whether it is on the disk.

        Until it is, no client and no worker gets a response, and a restart would resume or end the job.
        """
        try:
            await self.write_ahead_log.append(record)
        except LogWriteError as error:
            self.log.emit(
                f"job {record.job_id}: no final response: {error}",
                event="response_write_failed",
                job=record.job_id,
                error=str(error),
            )
            return False
        return True

    async def wait_for_writes(self) -> None:
        """Wait for the final responses that are being written, for `CLOSE_TIMEOUT` at most."""
        if self.writes:
            await asyncio.wait(list(self.writes.values()), timeout=CLOSE_TIMEOUT)


def _mark_retrieved(write: asyncio.Task[None]) -> None:
    """Look at the error of a write that has ended, which asyncio would report as never retrieved."""
    if not write.cancelled():
        write.exception()


def _retry_after(response: Response) -> int:
    """Return the advice to come back later, in microseconds; 0 for none."""
    seconds = dict(response.headers).get(names.RETRY_AFTER)
    return int(float(seconds) * MICROSECONDS_PER_SECOND) if seconds else 0
