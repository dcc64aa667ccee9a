"""The records of the write-ahead log, one for each change of a job.

Times are Unix microseconds by the clock of the process that wrote the record. Records are stored as arrays:
the tags and the order of the fields are part of the stored format, the names of the fields are not.
"""

from __future__ import annotations

import msgspec

from locktide.durable.log.stored_outcomes import StoredOutcome
from locktide.durable.log.stored_service_class import StoredServiceClass


class Record(msgspec.Struct, array_like=True):
    """Base of all records."""


class WriterStarted(Record, tag="Began"):
    """A dispatcher has opened the log.

    Attributes:
        recorded_at: The dispatcher's clock, in Unix microseconds.
        boot_id: Identifies the current boot of the machine.
        uptime: Microseconds since that boot, at the same moment. Recovery computes the elapsed time from it,
            because the clock may have been set.
    """

    recorded_at: int
    boot_id: str
    uptime: int


class JobAccepted(Record, tag="Accepted"):
    """A job was accepted from its client.

    Attributes:
        job_id: The id that the client gave the job.
        key: The idempotency key; empty if there is none.
        digest: SHA-256 of method, target and body, in hexadecimal.
        service_class: Name of the job's service class.
        method: HTTP method, forwarded to the worker.
        target: HTTP request target, forwarded to the worker.
        forwarded_headers: Header fields that are forwarded to the worker.
        body: The payload.
        recorded_at: When the job was accepted.
        deadline: When the job ends if it has no final response by then.
        width: How many slots the job takes on a worker.
        accepted_class: The service class by which it was accepted; None in records of earlier versions.
    """

    job_id: str
    key: str
    digest: str
    service_class: str
    method: str
    target: str
    forwarded_headers: list[tuple[bytes, bytes]]
    body: bytes
    recorded_at: int
    deadline: int
    width: float
    accepted_class: StoredServiceClass | None = None


class LeaseGranted(Record, tag="Leased"):
    """A worker was granted a lease.

    The record is written before the first byte of the attempt: from then on the job may have run.
    """

    job_id: str
    fence: int
    worker: str
    zone: str
    cell: int
    recorded_at: int
    expires_at: int


class AttemptEnded(Record, tag="Ended"):
    """An attempt under a lease has ended with an outcome."""

    job_id: str
    fence: int
    outcome: StoredOutcome
    recorded_at: int


class JobFinished(Record, tag="Finished"):
    """The job has its final response; there is exactly one for each job."""

    job_id: str
    status: int
    body: bytes
    retry_after: int  # value of Retry-After for the client, in microseconds; 0 if there is none
    recorded_at: int


class LateReport(Record, tag="Late"):
    """A worker's report under a lease that had ended: stored for operators, without effect."""

    job_id: str
    fence: int
    worker: str
    state: str  # the state as the callback spells it
    recorded_at: int


class JobSnapshot(Record, tag="Kept"):
    """Everything that was recorded of one job so far, written by compaction."""

    accepted: JobAccepted
    leases: list[LeaseGranted]
    ended_attempts: list[AttemptEnded]
    finished: JobFinished | None
    late_reports: list[LateReport]


class SnapshotComplete(Record, tag="Whole"):
    """The snapshot in this segment is complete: older segments are no longer needed."""

    job_count: int


AnyRecord = (
    WriterStarted
    | JobAccepted
    | LeaseGranted
    | AttemptEnded
    | JobFinished
    | LateReport
    | JobSnapshot
    | SnapshotComplete
)
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(AnyRecord)


def decode(payload: bytes) -> AnyRecord:
    """Decode one record; raise msgspec.DecodeError."""
    return _decoder.decode(payload)
