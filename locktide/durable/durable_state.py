"""What is on the disk, and what is on its way there, of each job."""

from __future__ import annotations

import asyncio

from locktide.durable.jobs import JobTable


class DurableState:
    """The table of jobs, with what of it is not on the disk yet.

    The table holds each record as soon as its write begins; a client may be told of it only once it is on
    the disk.
    """

    def __init__(self, table: JobTable) -> None:
        self.table = table
        self.accepting: dict[str, asyncio.Future[None]] = {}  # jobs whose acceptance is being written
        # Jobs whose final response is on the disk.
        self.settled: set[str] = {job.job_id for job in table.jobs.values() if job.finished}

    def is_accepted(self, job_id: str) -> bool:
        """Whether the job's acceptance is on the disk."""
        return job_id in self.table.jobs and job_id not in self.accepting

    def is_settled(self, job_id: str) -> bool:
        """Whether the job's final response is on the disk."""
        return job_id in self.settled

    def drop_expired(self, now: int, retention: int) -> None:
        """Forgets the jobs that finished `retention` microseconds ago."""
        if self.table.drop_expired(now, retention):
            self.settled &= self.table.jobs.keys()
