"""The state that the journal's records make: the same when they are written and when they are read again."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.durable.log import records
from locktide.durable.log.records import (
    AttemptEnded,
    JobAccepted,
    JobFinished,
    JobSnapshot,
    LateReport,
    LeaseGranted,
)
from locktide.scheduler.types import PROVEN_NOT_RUN

OPEN, DONE, DENIED, TERMINATED = "open", "done", "denied", "terminated"


@dataclass(slots=True)
class Job:
    accepted: JobAccepted
    leases: list[LeaseGranted] = field(default_factory=list)
    ended: dict[int, AttemptEnded] = field(default_factory=dict)  # by fence
    finished: JobFinished | None = None
    late: list[LateReport] = field(default_factory=list)

    @property
    def id(self) -> str:
        return self.accepted.id

    @property
    def state(self) -> str:
        if self.finished is None:
            return OPEN
        return {200: DONE, 503: DENIED}.get(self.finished.status, TERMINATED)

    @property
    def fence(self) -> int:
        """Of the last lease; 0 for none."""
        return self.leases[-1].fence if self.leases else 0

    def out(self) -> list[LeaseGranted]:
        """Leases without an end."""
        return [lease for lease in self.leases if lease.fence not in self.ended]

    def may_have_run(self) -> bool:
        return any(
            lease.fence not in self.ended or self.ended[lease.fence].outcome not in PROVEN_NOT_RUN
            for lease in self.leases
        )

    def kept(self) -> JobSnapshot:
        return JobSnapshot(self.accepted, self.leases, list(self.ended.values()), self.finished, self.late)


class JobTable:
    """All jobs that are open, or finished and kept for their clients."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.by_key: dict[tuple[str, str], str] = {}  # grade and key -> id
        self.opened = 0
        self.last_at = 0  # the latest time that any record tells
        self.began: records.WriterStarted | None = None  # of the last process

    def apply(self, record: records.AnyRecord) -> None:
        """What is said of a job that is not known is of one whose client's time to ask has gone by."""
        if isinstance(record, JobSnapshot):
            self.add(
                Job(
                    record.accepted,
                    list(record.leases),
                    {one.fence: one for one in record.ended},
                    record.finished,
                    list(record.late),
                )
            )
            return
        if isinstance(record, records.SnapshotComplete):
            return
        self.last_at = max(self.last_at, record.at)
        if isinstance(record, records.WriterStarted):
            self.began = record
        elif isinstance(record, JobAccepted):
            if record.id not in self.jobs:
                self.add(Job(record))
        elif job := self.jobs.get(record.id):
            if isinstance(record, LeaseGranted):
                job.leases.append(record)
            elif isinstance(record, AttemptEnded):
                job.ended.setdefault(record.fence, record)
            elif isinstance(record, LateReport):
                job.late.append(record)
            elif job.finished is None:  # the first final answer is the one
                job.finished = record
                self.opened -= 1

    def add(self, job: Job) -> None:
        before = self.jobs.get(job.id)
        if before is not None:
            self.opened -= before.finished is None
        self.jobs[job.id] = job
        self.opened += job.finished is None
        if job.accepted.key:
            self.by_key[job.accepted.grade, job.accepted.key] = job.id
        self.last_at = max(self.last_at, job.accepted.at)

    def drop(self, id: str) -> None:
        """It was never accepted after all."""
        job = self.jobs.pop(id, None)
        if job is not None:
            self.opened -= job.finished is None
            if self.by_key.get((job.accepted.grade, job.accepted.key)) == id:
                del self.by_key[job.accepted.grade, job.accepted.key]

    def find(self, grade: str, key: str) -> Job | None:
        return self.jobs.get(self.by_key.get((grade, key), ""))

    def open(self) -> list[Job]:
        """Oldest first."""
        return sorted(
            (job for job in self.jobs.values() if job.finished is None),
            key=lambda job: (job.accepted.at, job.id),
        )

    def forget(self, now: int, keep: int) -> int:
        """Drops what is finished and was kept long enough; how many."""
        gone = [job for job in self.jobs.values() if job.finished and job.finished.at + keep <= now]
        for job in gone:
            self.drop(job.id)
        return len(gone)
