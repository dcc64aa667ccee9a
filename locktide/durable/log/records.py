"""The records of the write-ahead log, one for each change of a job.

Times are Unix microseconds of the process that wrote the record. Records are stored as arrays: the tags and
the order of the fields are the stored format, the names of the fields are not.
"""

from __future__ import annotations

import msgspec

from locktide.durable.log.stored_outcomes import StoredOutcome


class Record(msgspec.Struct, array_like=True):
    """Base of all records."""


class WriterStarted(Record, tag="Began"):
    """A dispatcher has taken over the log; boot and uptime tell elapsed time even if its clock is set."""

    recorded_at: int
    boot_id: str
    uptime: int  # microseconds since the machine's start


class JobAccepted(Record, tag="Accepted"):
    """A job was accepted from its client."""

    job_id: str
    key: str  # the idempotency key; empty for none
    digest: str  # of method, target and body
    service_class: str
    method: str
    target: str
    forwarded_headers: list[tuple[bytes, bytes]]
    body: bytes
    recorded_at: int
    deadline: int
    width: float


class LeaseGranted(Record, tag="Leased"):
    """A worker has a lease; written before the attempt's first byte: from here on it may have run."""

    job_id: str
    fence: int
    worker: str
    zone: str
    cell: int
    recorded_at: int
    expires_at: int


class AttemptEnded(Record, tag="Ended"):
    """An attempt under a lease has its outcome."""

    job_id: str
    fence: int
    outcome: StoredOutcome
    recorded_at: int


class JobFinished(Record, tag="Finished"):
    """The one final response of a job."""

    job_id: str
    status: int
    body: bytes
    retry_after: int  # microseconds; 0 for none
    recorded_at: int


class LateReport(Record, tag="Late"):
    """What a worker reported under a lease that had ended: kept for operators, without effect."""

    job_id: str
    fence: int
    worker: str
    state: str
    recorded_at: int


class JobSnapshot(Record, tag="Kept"):
    """All that was recorded of a job before, written by compaction."""

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
    """Decodes one record; raises msgspec.DecodeError."""
    return _decoder.decode(payload)
