"""The state of the jobs, built from the log's records in the same way when they are written and when read."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.durable.job_states import JobState, state_of_final_response
from locktide.durable.log.records import (
    AnyRecord,
    AttemptEnded,
    JobAccepted,
    JobFinished,
    JobSnapshot,
    LateReport,
    LeaseGranted,
    SnapshotComplete,
    WriterStarted,
)
from locktide.durable.log.stored_outcomes import decode_outcome
from locktide.scheduler.types import PROVEN_NOT_RUN, AttemptOutcome


@dataclass(slots=True)
class Job:
    """Everything that was recorded of one job.

    Attributes:
        accepted: The record of its acceptance, with the request of its client.
        leases: Its leases, in the order of their fencing numbers.
        ended_attempts: The attempts that have an outcome, by the fencing number of their lease.
        finished: Its final response; None while the job is open.
        late_reports: What workers reported under leases that had ended.
    """

    accepted: JobAccepted
    leases: list[LeaseGranted] = field(default_factory=list)
    ended_attempts: dict[int, AttemptEnded] = field(default_factory=dict)
    finished: JobFinished | None = None
    late_reports: list[LateReport] = field(default_factory=list)

    @classmethod
    def from_snapshot(cls, snapshot: JobSnapshot) -> Job:
        """Return the job that a snapshot contains."""
        return cls(
            accepted=snapshot.accepted,
            leases=list(snapshot.leases),
            ended_attempts={ended.fence: ended for ended in snapshot.ended_attempts},
            finished=snapshot.finished,
            late_reports=list(snapshot.late_reports),
        )

    def snapshot(self) -> JobSnapshot:
        """Return the job as one record."""
        return JobSnapshot(
            accepted=self.accepted,
            leases=self.leases,
            ended_attempts=list(self.ended_attempts.values()),
            finished=self.finished,
            late_reports=self.late_reports,
        )

    @property
    def job_id(self) -> str:
        """The id that the client gave the job."""
        return self.accepted.job_id

    @property
    def state(self) -> JobState:
        """The state, which follows from the final response."""
        if self.finished is None:
            return JobState.OPEN
        return state_of_final_response(self.finished.status)

    @property
    def fence(self) -> int:
        """The fencing number of the last lease; 0 if there is no lease."""
        return self.leases[-1].fence if self.leases else 0

    def possibly_executed(self) -> bool:
        """Return whether a worker may have run the job."""
        return any(self.outcome(lease) not in PROVEN_NOT_RUN for lease in self.leases)

    def outcome(self, lease: LeaseGranted) -> AttemptOutcome | None:
        """Return the outcome of the attempt under a lease; None if it is not known."""
        ended = self.ended_attempts.get(lease.fence)
        return decode_outcome(ended.outcome) if ended else None


class JobTable:
    """The jobs that are open, and the finished ones whose final response can still be queried.

    Attributes:
        jobs: The jobs by their ids, in the order in which they were accepted.
        job_ids_by_key: Ids of the jobs that have an idempotency key, by service class and key.
        open_count: How many jobs have no final response.
        last_recorded_at: The latest time in any record, in Unix microseconds of the process that wrote it.
        writer: The last process that wrote to the log; None in a new log.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.job_ids_by_key: dict[tuple[str, str], str] = {}
        self.open_count = 0
        self.last_recorded_at = 0
        self.writer: WriterStarted | None = None

    def apply(self, record: AnyRecord) -> None:
        """Apply one record.

        A record of an unknown job has no effect: the job was removed because its retention had passed.
        """
        if isinstance(record, JobSnapshot):
            self._put(Job.from_snapshot(record))
            return
        if isinstance(record, SnapshotComplete):
            return
        self.last_recorded_at = max(self.last_recorded_at, record.recorded_at)
        if isinstance(record, WriterStarted):
            self.writer = record
        elif isinstance(record, JobAccepted):
            if record.job_id not in self.jobs:
                self._put(Job(record))
        elif job := self.jobs.get(record.job_id):
            self._apply_to_job(job, record)

    def _apply_to_job(self, job: Job, record: LeaseGranted | AttemptEnded | LateReport | JobFinished) -> None:
        if isinstance(record, LeaseGranted):
            job.leases.append(record)
        elif isinstance(record, AttemptEnded):
            job.ended_attempts.setdefault(record.fence, record)
        elif isinstance(record, LateReport):
            job.late_reports.append(record)
        elif job.finished is None:  # only the first final response of a job counts
            job.finished = record
            self.open_count -= 1

    def _put(self, job: Job) -> None:
        previous = self.jobs.get(job.job_id)
        if previous is not None and previous.finished is None:
            self.open_count -= 1
        self.jobs[job.job_id] = job
        if job.finished is None:
            self.open_count += 1
        accepted = job.accepted
        if accepted.key:
            self.job_ids_by_key[accepted.service_class, accepted.key] = job.job_id
        self.last_recorded_at = max(self.last_recorded_at, accepted.recorded_at)

    def drop(self, job_id: str) -> None:
        """Remove a job, if the table has it."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        if job.finished is None:
            self.open_count -= 1
        class_and_key = (job.accepted.service_class, job.accepted.key)
        if self.job_ids_by_key.get(class_and_key) == job_id:
            del self.job_ids_by_key[class_and_key]

    def find_by_key(self, service_class: str, key: str) -> Job | None:
        """Return the job with that idempotency key; None if there is none."""
        return self.jobs.get(self.job_ids_by_key.get((service_class, key), ""))

    def open_jobs(self) -> list[Job]:
        """Return the jobs without a final response, oldest first."""
        jobs = [job for job in self.jobs.values() if job.finished is None]
        return sorted(jobs, key=lambda job: (job.accepted.recorded_at, job.job_id))

    def drop_expired(self, now: int, retention: int) -> int:
        """Remove the jobs that finished at least `retention` microseconds ago; return how many there were."""
        expired = [
            job for job in self.jobs.values() if job.finished and job.finished.recorded_at + retention <= now
        ]
        for job in expired:
            self.drop(job.job_id)
        return len(expired)
