"""Which records of each job are on the disk, and which are still being written."""

from __future__ import annotations

import asyncio

from locktide.durable.jobs import JobTable


class DurableState:
    """The table of jobs, and which of its records are not on the disk yet.

    A record is applied to the table as soon as its write begins. A response that depends on a record is sent
    only once the record is on the disk: otherwise a crash could undo what the response promised the client.

    Attributes:
        table: The jobs, including the records that are still being written.
        acceptance_writes: The writes of `JobAccepted` records that are in progress, by job id.
        stored_final_responses: Ids of the jobs whose final response is on the disk.
        unconfirmed_jobs: Ids of the jobs whose acceptance may or may not be on the disk; they come from the
            one batch after which the log takes no more records.
    """

    def __init__(self, table: JobTable) -> None:
        self.table = table
        self.acceptance_writes: dict[str, asyncio.Future[None]] = {}
        self.stored_final_responses: set[str] = {job.job_id for job in table.jobs.values() if job.finished}
        self.unconfirmed_jobs: set[str] = set()

    def is_accepted(self, job_id: str) -> bool:
        """Return whether the job's acceptance is on the disk."""
        is_uncertain = job_id in self.acceptance_writes or job_id in self.unconfirmed_jobs
        return job_id in self.table.jobs and not is_uncertain

    def is_final_response_stored(self, job_id: str) -> bool:
        """Return whether the job's final response is on the disk."""
        return job_id in self.stored_final_responses

    def drop_expired(self, now: int, retention: int) -> None:
        """Remove the jobs that finished at least `retention` microseconds ago."""
        if self.table.drop_expired(now, retention):
            self.stored_final_responses &= self.table.jobs.keys()
