"""What dispatchers say to each other: typed structs in MessagePack, one datagram each.

A datagram is four bytes of CRC-32 and the packed list [version, sender, its start, word]. The sum is there so
that nothing is believed of a datagram that was garbled under way; it keeps out accidents, no enemy.
"""

from __future__ import annotations

from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta

VERSION = 2  # 1 knew no loans and no ledger
MAX_DATAGRAM = (1200  # bytes of a datagram: less than any path's smallest unit, so that none is cut into pieces
    )

Count = Annotated[int, Meta(ge = 0)]
Millionths = Annotated[int, Meta(ge = 0, le = 1_000_000)]  # millionths of a whole
# Who somebody is: the name, and when this process of it started (whole microseconds of Unix time).
MemberId = tuple[str, int]
# The order of elections: a count, and who stands.
Ballot = tuple[Count, str, int]
# Quotas go by their place among the sorted names, which is the same wherever `names_checksum` is: fifty
# of them and the loans between them fit one datagram.
QuotaIndex = Annotated[int, Meta(ge = 0, le = 255)]
# A loan: whose quota, which quota's requests may spend of it, and how many millionths of the lender's whole.
LoanTriple = tuple[QuotaIndex, QuotaIndex, Millionths]


class MemberRecord(msgspec.Struct, array_like = True, frozen = True):
    """One member as somebody knows it. `turn` is what it raises itself to refute a suspicion."""

    name: str
    generation: int
    incarnation: Count
    state: Annotated[int, Meta(ge = 0, le = 3)]
    address: tuple[str, Annotated[int, Meta(ge = 0, le = 65535)]]


class Message(msgspec.Struct, array_like = True):
    pass


class Ping(Message, tag = "Ping"):
    """Answered by an Ack of the same number. `row` is what its sender believes of who is asked."""

    sequence: int
    target_record: MemberRecord | None
    gossip: list[MemberRecord]


class IndirectProbe(Message, tag = "Probe"):
    """Asks for a ping of `name`: an indirect probe."""

    sequence: int
    target: str
    gossip: list[MemberRecord]


class Ack(Message, tag = "Ack"):
    sequence: int
    gossip: list[MemberRecord]


class Nack(Message, tag = "Nack"):
    """In answer to a Probe: it was heard, and the one probed has not answered yet."""

    sequence: int


class FullSync(Message, tag = "Whole"):
    """A part of a full exchange; the last that was asked for answers in kind."""

    records: list[MemberRecord]
    reply_wanted: bool


class Prepare(Message, tag = "Prepare"):
    ballot: Ballot


class Promise(Message, tag = "Promise"):
    """`owner` holds the lease, as far as this elector knows; `refused` where it has promised `ballot`."""

    requested: Ballot
    promised: Ballot
    lease_owner: MemberId | None
    refused: bool


class Propose(Message, tag = "Propose"):
    ballot: Ballot
    lease_owner: MemberId


class Accepted(Message, tag = "Accepted"):
    requested: Ballot
    promised: Ballot
    refused: bool


class LeaderHeartbeat(Message, tag = "Lead"):
    """The owner of the lease says so; `term` is the ballot with which it began to hold it."""

    term: Ballot


class LeaseRequest(Message, tag = "Ask"):
    """A member's request for leases: what it holds and what it has demand for.

    `held_shares` and `loans` are in force by grant `seq` of `held_term`; `demand` is by quota, in whatever
    unit the quota has. `names_checksum` is of the quotas' names, which number them.
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


class LeaseGrant(Message, tag = "Grant"):
    """The answer to the request of that number: leases counted from when the request was sent.

    `more_expected`: the member should have more, once others have let go of it.
    """

    term: Ballot
    number: int
    seq: int
    shares: dict[QuotaIndex, Millionths]
    loans: list[LoanTriple]
    more_expected: bool


class LeaseRevocation(Message, tag = "Recall"):
    """Revokes what was lent of these quotas, as they have demand again.

    It only makes haste: a loan ends by itself.
    """

    term: Ballot
    lenders: list[QuotaIndex]


class LedgerRow(msgspec.Struct, array_like = True, frozen = True):
    """What a tenant, by its index, uses of each resource through the writer, and what waits there."""

    index: Count
    version: Count
    in_use: list[Count]
    waiting: list[Count]


class WriterDelta(msgspec.Struct, array_like = True):
    """Rows of one writer: all that it wrote after a version, as far as they go, in the order of versions."""

    name: str
    start: int
    after_version: Count
    rows: list[LedgerRow]


class Digest(Message, tag = "Heads"):
    """Up to which version the sender has read each writer of a range of names, and which are closed.

    The range begins after `after_name` and goes up to `up_to_name`; where that is empty, there is only the
    digest of all rows. `schema_checksum` is of the names of tenants and resources, which number them.
    """

    schema_checksum: int
    digest: int
    versions: list[tuple[str, int, Count]]
    closed: list[tuple[str, int, Count]]
    after_name: str
    up_to_name: str
    reply_expected: bool


class Delta(Message, tag = "Rows"):
    """Rows that the receiver lacks, by writer."""

    schema_checksum: int
    writer_deltas: list[WriterDelta]


class InspectionRequest(Message, tag = "Look"):
    """Of `locktide cluster show`: answered on loopback only."""

    request_id: int


class InspectionPage(Message, tag = "Seen"):
    """A page of what a member sees, as JSON; `pages` in all."""

    request_id: int
    page_index: int
    page_count: int
    text: str


MembershipMessage = Ping | IndirectProbe | Ack | Nack | FullSync
QuotaMessage = (Prepare | Promise | Propose | Accepted | LeaderHeartbeat | LeaseRequest | LeaseGrant | LeaseRevocation)
FairnessMessage = Digest | Delta
AnyMessage = MembershipMessage | QuotaMessage | FairnessMessage | InspectionRequest | InspectionPage


class Envelope(msgspec.Struct, array_like = True):
    """A word, and by whom it was said."""

    version: int
    sender: str
    generation: int
    message: AnyMessage


READER: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)
WRITER = msgspec.msgpack.Encoder()


def encoded_size(part: msgspec.Struct) -> int:
    """Bytes of a part of a word."""
    return len(WRITER.encode(part))


def encode(who: MemberId, word: Message) -> bytes:
    body = WRITER.encode((VERSION, who[0], who[1], word))
    return crc32(body).to_bytes(4, "big") + body


def decode(datagram: bytes) -> Envelope | None:
    """None for what is garbled, cut short, too long, of another version or nothing of ours."""
    if not 4 < len(datagram) <= MAX_DATAGRAM or crc32(datagram[4:]) != int.from_bytes(datagram[: 4], "big"):
        return None
    try:
        said = READER.decode(datagram[4:])
    except(msgspec.DecodeError, RecursionError):
        return None
    return said if said.version == VERSION else None
