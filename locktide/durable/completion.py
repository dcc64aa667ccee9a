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

#: Seconds between two attempts to write the final response or a lease of one job. An operator has to free
#: space on a full disk, so that a shorter interval gains nothing.
WRITE_RETRY_INTERVAL = 0.5
#: Seconds for which a shutdown waits for final responses that are being written. A job whose final response
#: is not written by then is recovered at the next start.
CLOSE_TIMEOUT = 2.0


class JobCompletion:
    """Finishes jobs: only the first final response counts, and it is sent once it is on the disk.

    Attributes:
        writes: The writes of final responses that are in progress or have failed permanently, by job id.
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
        """Finish a job with the dispatcher's response as soon as the response is available."""
        response.add_done_callback(lambda done: self._dispatcher_responded(job_id, done))

    def _dispatcher_responded(self, job_id: str, done: asyncio.Future[Response]) -> None:
        if not done.cancelled():
            self.finish(job_id, done.result())

    def finish(self, job_id: str, response: Response) -> None:
        """Start to write the final response, unless the job already has one."""
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
        write.add_done_callback(_retrieve_exception)  # a caller that awaits it still gets its error
        self.writes[job_id] = write

    async def _write_and_respond(self, record: JobFinished) -> None:
        """Write a final response, and then send it to the waiting clients.

        Raises:
            ResultNotStoredError: The log has failed permanently. The job stays open on the disk, and the next
                process finishes it; the waiting clients get the response that the job is not done yet.
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
        self.state.stored_final_responses.add(job_id)
        self.writes.pop(job_id, None)
        self.waiters.resolve(job_id, final_response(self.state.table.jobs[job_id]))

    async def _write(self, record: JobFinished) -> bool:
        """Write a final response; return whether it is on the disk.

        Until the final response is on the disk, no client and no worker gets a response, and a restart would
        resume or finish the job.
        """
        try:
            await self.write_ahead_log.append(record)
        except LogWriteError as error:
            self.log.emit(
                f"job {record.job_id}: the final response could not be written: {error}",
                event="response_write_failed",
                job=record.job_id,
                error=str(error),
            )
            return False
        return True

    async def wait_for_writes(self) -> None:
        """Wait for the final responses that are being written, at most for `CLOSE_TIMEOUT`."""
        if self.writes:
            await asyncio.wait(list(self.writes.values()), timeout=CLOSE_TIMEOUT)


def _retrieve_exception(write: asyncio.Task[None]) -> None:
    """Retrieve the error of a write that has ended; asyncio would log it as never retrieved otherwise."""
    if not write.cancelled():
        write.exception()


def _retry_after(response: Response) -> int:
    """Return the value of Retry-After in microseconds; 0 if the response has none."""
    seconds = dict(response.headers).get(names.RETRY_AFTER)
    return int(float(seconds) * MICROSECONDS_PER_SECOND) if seconds else 0
