"""What the journal says, one record for each thing that came about. Times are Unix microseconds of the
writer.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, array_like=True):
    pass


class WriterStarted(Record, tag="Began"):
    """A dispatcher has taken over the journal. `boot` and `boot_at` tell how time went on if its clock is
    set.
    """

    at: int
    boot: str
    boot_at: int  # microseconds since the machine's start


class JobAccepted(Record, tag="Accepted"):
    id: str
    key: str  # the number of a numbered one, or what its client calls it by; empty for none
    digest: str
    grade: str
    method: str
    target: str
    onward: list[tuple[bytes, bytes]]
    body: bytes
    at: int
    limit_at: int
    width: float


class LeaseGranted(Record, tag="Leased"):
    """Written before the first byte of the dispatch: from here on it may have run."""

    id: str
    fence: int
    worker: str
    zone: str
    cell: int
    at: int
    until: int


class AttemptEnded(Record, tag="Ended"):
    id: str
    fence: int
    outcome: str
    at: int


class JobFinished(Record, tag="Finished"):
    """The one final answer."""

    id: str
    status: int
    body: bytes
    advice: int  # microseconds of Retry-After
    at: int


class LateReport(Record, tag="Late"):
    """What a worker said under a lease that had ended: kept for who looks, of no effect."""

    id: str
    fence: int
    worker: str
    state: str
    at: int


class JobSnapshot(Record, tag="Kept"):
    """A job as it stood, in a snapshot: everything that was said of it before."""

    accepted: JobAccepted
    leases: list[LeaseGranted]
    ended: list[AttemptEnded]
    finished: JobFinished | None
    late: list[LateReport]


class SnapshotComplete(Record, tag="Whole"):
    """The snapshot in this segment is complete: older segments are of no more use."""

    jobs: int


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
    """Raises msgspec.DecodeError."""
    return _decoder.decode(payload)
