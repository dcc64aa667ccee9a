"""What is on the disk, and what is on its way there, of each job."""

from __future__ import annotations

import asyncio

from locktide.durable.jobs import JobTable


class DurableState:
    """The table of jobs, and which of its records are not on the disk yet.

    The table has each record as soon as its write begins. A response that rests on a record is sent only
    once it is on the disk: else a crash could take back what a client was promised.

    Attributes:
        table: The jobs, with the records that are being written.
        accepting: The writes of acceptances that are under way, by job.
        settled: Jobs whose final response is on the disk.
    """

    def __init__(self, table: JobTable) -> None:
        self.table = table
        self.accepting: dict[str, asyncio.Future[None]] = {}
        self.settled: set[str] = {job.job_id for job in table.jobs.values() if job.finished}

    def is_accepted(self, job_id: str) -> bool:
        """Whether the job's acceptance is on the disk."""
        return job_id in self.table.jobs and job_id not in self.accepting

    def is_settled(self, job_id: str) -> bool:
        """Whether the job's final response is on the disk."""
        return job_id in self.settled

    def drop_expired(self, now: int, retention: int) -> None:
        """Forget the jobs that finished `retention` microseconds ago."""
        if self.table.drop_expired(now, retention):
            self.settled &= self.table.jobs.keys()
