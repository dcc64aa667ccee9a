"""What the journal says, one record for each thing that came about. Times are Unix microseconds of the
writer.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, array_like=True):
    pass


class Began(Record, tag="Began"):
    """A dispatcher has taken over the journal. `boot` and `boot_at` tell how time went on if its clock is
    set.
    """

    at: int
    boot: str
    boot_at: int  # microseconds since the machine's start


class Accepted(Record, tag="Accepted"):
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


class Leased(Record, tag="Leased"):
    """Written before the first byte of the dispatch: from here on it may have run."""

    id: str
    fence: int
    worker: str
    zone: str
    cell: int
    at: int
    until: int


class Ended(Record, tag="Ended"):
    id: str
    fence: int
    outcome: str
    at: int


class Finished(Record, tag="Finished"):
    """The one final answer."""

    id: str
    status: int
    body: bytes
    advice: int  # microseconds of Retry-After
    at: int


class Late(Record, tag="Late"):
    """What a worker said under a lease that had ended: kept for who looks, of no effect."""

    id: str
    fence: int
    worker: str
    state: str
    at: int


class Kept(Record, tag="Kept"):
    """A job as it stood, in a snapshot: everything that was said of it before."""

    accepted: Accepted
    leases: list[Leased]
    ended: list[Ended]
    finished: Finished | None
    late: list[Late]


class Whole(Record, tag="Whole"):
    """The snapshot in this segment is complete: older segments are of no more use."""

    jobs: int


Any = Began | Accepted | Leased | Ended | Finished | Late | Kept | Whole
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Any)


def decode(payload: bytes) -> Any:
    """Raises msgspec.DecodeError."""
    return _decoder.decode(payload)
