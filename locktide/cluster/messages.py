"""Messages between dispatchers: typed structs in MessagePack, one datagram each.

A datagram is four bytes of CRC-32 (big-endian) followed by the packed list [version, sender, generation of
the sender, message]. Structs are packed as arrays: the positions of fields and the tags of messages belong to
the wire format, the names of fields and classes do not. The checksum rejects datagrams that were corrupted on
the way; it does not authenticate the sender.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta

#: Version of the protocol; version 1 had neither loans nor the fairness ledger.
VERSION = 2
#: Largest datagram, in bytes: less than the smallest MTU of any path, so that no datagram is fragmented.
MAX_DATAGRAM = 1200
CHECKSUM_BYTES = 4

Count = Annotated[int, Meta(ge=0)]
#: Millionths of a whole.
Millionths = Annotated[int, Meta(ge=0, le=1_000_000)]
#: A member's name, and its generation: when this process started, in whole microseconds of Unix time.
MemberId = tuple[str, int]
#: A ballot of the election: a counter and the proposer's member id; ballots are totally ordered.
Ballot = tuple[Count, str, int]
#: Index of a quota among the sorted names of all quotas. Members whose checksums of the names are equal have
#: equal indices. Fifty quotas and the loans between them fit one datagram.
QuotaIndex = Annotated[int, Meta(ge=0, le=255)]
#: A loan: the lending quota, the borrowing quota, and the amount in millionths of the whole
#: lending quota.
LoanTriple = tuple[QuotaIndex, QuotaIndex, Millionths]


class MemberState(IntEnum):
    """State of a member as known to another one; of two states of one incarnation the higher number wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as known to another one.

    A member raises its own `incarnation` to refute a suspicion.
    """

    name: str
    generation: int
    incarnation: Count
    state: MemberState
    address: tuple[str, Annotated[int, Meta(ge=0, le=65535)]]


class Message(msgspec.Struct, array_like=True):
    """Base class of all messages; each message has its own tag."""


class Ping(Message, tag="Ping"):
    """A direct probe, answered by an Ack of the same sequence number.

    `target_record` is the sender's record of the probed member, so that a suspected member can refute the
    suspicion.
    """

    sequence: int
    target_record: MemberRecord | None
    gossip: list[MemberRecord]


class IndirectProbe(Message, tag="Probe"):
    """Requests the receiver to ping `target` on the sender's behalf."""

    sequence: int
    target: str
    gossip: list[MemberRecord]


class Ack(Message, tag="Ack"):
    """The answer to a Ping of the same sequence number."""

    sequence: int
    gossip: list[MemberRecord]


class Nack(Message, tag="Nack"):
    """The immediate answer to an IndirectProbe: the request has arrived, the target has not answered yet."""

    sequence: int


class FullSync(Message, tag="Whole"):
    """One page of all records of the sender; if `reply_wanted`, the receiver sends its own records back."""

    records: list[MemberRecord]
    reply_wanted: bool


class Prepare(Message, tag="Prepare"):
    """First phase of a ballot, from a proposer to each acceptor."""

    ballot: Ballot


class Promise(Message, tag="Promise"):
    """An acceptor's answer to a Prepare of ballot `requested`.

    `promised` is the highest ballot that the acceptor has promised; `refused` is true if that is higher than
    the requested one. `lease_owner` is the owner of the lease as far as this acceptor knows.
    """

    requested: Ballot
    promised: Ballot
    lease_owner: MemberId | None
    refused: bool


class Propose(Message, tag="Propose"):
    """Second phase of a ballot: proposes the lease for `lease_owner`."""

    ballot: Ballot
    lease_owner: MemberId


class Accepted(Message, tag="Accepted"):
    """An acceptor's answer to a Propose of ballot `requested`; `promised` and `refused` as in a Promise."""

    requested: Ballot
    promised: Ballot
    refused: bool


class LeaderHeartbeat(Message, tag="Lead"):
    """Sent by the owner of the leader lease; `term` is the ballot with which it acquired the lease."""

    term: Ballot


class LeaseRequest(Message, tag="Ask"):
    """A member's request for leases, with its current leases and its demand.

    `held_shares` and `loans` are the leases in force, from grant `seq` of term `held_term`; `demand` is by
    quota, in the unit of the quota. `names_checksum` is the checksum of the sorted names of the quotas, which
    determine their indices.
    """

    term: Ballot
    number: int
    held_term: Ballot | None
    seq: int
    held_shares: dict[QuotaIndex, Millionths]
    demand: dict[QuotaIndex, Count]
    loans: list[LoanTriple]
    leaving: bool
    names_checksum: int = 0


class LeaseGrant(Message, tag="Grant"):
    """The answer to the lease request of that number; its leases count from when the request was sent.

    `more_expected` means that the member should get more once other members have returned some of theirs.
    """

    term: Ballot
    number: int
    seq: int
    shares: dict[QuotaIndex, Millionths]
    loans: list[LoanTriple]
    more_expected: bool


class LeaseRevocation(Message, tag="Recall"):
    """Revokes the loans of these quotas, as they have demand again.

    A revocation only ends the loans sooner: without it they end when they expire.
    """

    term: Ballot
    lenders: list[QuotaIndex]


class LedgerRow(msgspec.Struct, array_like=True, frozen=True):
    """A tenant's use of each resource through the writer, and the needs of its requests that wait there.

    The tenant is identified by its index.
    """

    index: Count
    version: Count
    in_use: list[Count]
    waiting: list[Count]


class WriterDelta(msgspec.Struct, array_like=True):
    """Rows of one writer in the order of versions.

    No row is left out: the list has each current row of the writer with a version after `after_version` and
    up to that of the last row in the list.
    """

    name: str
    generation: int
    after_version: Count
    rows: list[LedgerRow]


class Digest(Message, tag="Heads"):
    """The version up to which the sender has read each writer of a range of names, and the closed writers.

    The range begins after `after_name` and ends with `up_to_name`; if `up_to_name` is empty, the message has
    only the digest of all rows. `schema_checksum` is the checksum of the names of tenants and resources,
    which determine their indices.
    """

    schema_checksum: int
    digest: int
    versions: list[tuple[str, int, Count]]
    closed: list[tuple[str, int, Count]]
    after_name: str
    up_to_name: str
    reply_expected: bool


class Delta(Message, tag="Rows"):
    """Rows that the receiver lacks, by writer."""

    schema_checksum: int
    writer_deltas: list[WriterDelta]


class InspectionRequest(Message, tag="Look"):
    """The request of `locktide cluster show`; it is answered on loopback only."""

    request_id: int


class InspectionPage(Message, tag="Seen"):
    """One of `page_count` pages of a member's view, as JSON text."""

    request_id: int
    page_index: int
    page_count: int
    text: str


MembershipMessage = Ping | IndirectProbe | Ack | Nack | FullSync
QuotaMessage = (
    Prepare | Promise | Propose | Accepted | LeaderHeartbeat | LeaseRequest | LeaseGrant | LeaseRevocation
)
FairnessMessage = Digest | Delta
AnyMessage = MembershipMessage | QuotaMessage | FairnessMessage | InspectionRequest | InspectionPage


class Envelope(msgspec.Struct, array_like=True):
    """A message with its sender."""

    version: int
    sender: str
    generation: int
    message: AnyMessage

    @property
    def sender_id(self) -> MemberId:
        """Name and generation of the sender."""
        return self.sender, self.generation


READER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)
WRITER = msgspec.msgpack.Encoder()


def encoded_size(part: msgspec.Struct) -> int:
    """Return the size of a part of a message in bytes."""
    return len(WRITER.encode(part))


def encode(sender: MemberId, message: Message) -> bytes:
    """Return the datagram of a message."""
    body = WRITER.encode((VERSION, *sender, message))
    return crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode(datagram: bytes) -> Envelope | None:
    """Return the message of a datagram; None if it is corrupt, too long or of another version."""
    if not CHECKSUM_BYTES < len(datagram) <= MAX_DATAGRAM:
        return None
    body = datagram[CHECKSUM_BYTES:]
    if crc32(body) != int.from_bytes(datagram[:CHECKSUM_BYTES], "big"):
        return None
    try:
        envelope = READER.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None
    return envelope if envelope.version == VERSION else None
