"""Datagrams: messages are decoded as they were encoded, and corrupt datagrams are rejected."""

from __future__ import annotations

import random
from typing import Any
from zlib import crc32

from cluster_helpers import MEMBER_RECORDS
from hypothesis import given
from hypothesis import strategies as st

from locktide.cluster.messages import (
    MAX_DATAGRAM,
    VERSION,
    Envelope,
    FullSync,
    LeaderHeartbeat,
    LeaseGrant,
    LeaseRequest,
    LeaseRevocation,
    MemberRecord,
    MemberState,
    Ping,
    decode,
    encode,
)
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

ADDRESS = ("127.0.0.1", 9000)
AMOUNTS = st.dictionaries(st.integers(0, 255), st.integers(0, 10**6), max_size=5)
LOANS = st.lists(st.tuples(st.integers(0, 255), st.integers(0, 255), st.integers(0, 10**6)), max_size=3)
BALLOTS = st.tuples(st.integers(0, 2**40), st.text(max_size=20), st.integers(0, 2**53))
MESSAGES: Any = st.one_of(
    st.builds(Ping, st.integers(0, 2**40), st.none() | MEMBER_RECORDS, st.lists(MEMBER_RECORDS, max_size=4)),
    st.builds(FullSync, st.lists(MEMBER_RECORDS, max_size=4), st.booleans()),
    st.builds(
        LeaseRequest,
        BALLOTS,
        st.integers(0, 99),
        st.none() | BALLOTS,
        st.integers(0, 99),
        AMOUNTS,
        AMOUNTS,
        LOANS,
        st.booleans(),
    ),
    st.builds(LeaseGrant, BALLOTS, st.integers(0, 99), st.integers(0, 99), AMOUNTS, LOANS, st.booleans()),
    st.builds(LeaseRevocation, BALLOTS, st.lists(st.integers(0, 255), max_size=3)),
)


@given(MESSAGES)
def test_a_message_is_decoded_as_it_was_encoded(message: Any) -> None:
    datagram = encode(("d0", 7), message)
    if len(datagram) <= MAX_DATAGRAM:
        assert decode(datagram) == Envelope(VERSION, "d0", 7, message)


def test_a_corrupt_datagram_is_rejected_and_one_with_a_valid_checksum_never_raises() -> None:
    generator = random.Random(5)
    records = [MemberRecord(f"d{number}", 10**15, 3, MemberState(number % 4), ADDRESS) for number in range(9)]
    valid = [
        encode(("d1", 5), message)
        for message in (
            Ping(4, records[0], records),
            FullSync(records, True),
            LeaderHeartbeat((3, "d1", 5)),
            LeaseGrant((3, "d1", 5), 8, 9, {0: 5}, [(0, 1, 7)], True),
        )
    ]
    assert all(decode(datagram) for datagram in valid)
    for _ in range(20_000):
        changed = bytearray(generator.choice(valid))
        for _ in range(generator.randrange(1, 4)):
            changed[generator.randrange(len(changed))] ^= 1 << generator.randrange(8)
        del changed[generator.choice((len(changed), generator.randrange(len(changed) + 1))) :]
        assert bytes(changed) in valid or decode(bytes(changed)) is None
    # A changed body with a matching checksum looks like a valid message: it must be rejected or handled, and
    # must not raise.
    member = VirtualCluster(1, ["d0"]).start("d0").member
    for _ in range(20_000):
        body = bytearray(generator.choice(valid)[4:])
        body[generator.randrange(len(body))] = generator.randrange(256)
        envelope = decode(crc32(bytes(body)).to_bytes(4, "big") + bytes(body))
        if envelope is not None:
            member.handle(envelope, member.leadership.next_heartbeat_at)
