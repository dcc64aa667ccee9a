"""Datagrams between dispatchers, byte for byte, as dispatchers of different releases exchange them.

The expected bytes were produced once by the program of commit 53c25d5 (format version 2), before its classes
were renamed. Fields are given by name, so that a swap of two fields of one type makes a test fail.
"""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any
from zlib import crc32

import pytest

from locktide.cluster import messages
from locktide.cluster.config import ClusterConfig
from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.fairness.replicated_ledger import ReplicatedLedger
from locktide.cluster.inspection import inspect
from locktide.cluster.inspection_client import inspect_member
from locktide.cluster.member import ClusterMember
from locktide.cluster.messages import LedgerRow, MemberRecord, MemberState, decode, encode
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.udp_transport import open_udp_transport
from locktide.simulation.cluster.processes import free_port

SENDER = ("d0", 1_700_000_000_000_001)
BALLOT, LATER = (3, "d1", 7), (2**40, "d2", 8)
RECORD = MemberRecord(
    name="d1",
    generation=1_700_000_000_000_000,
    incarnation=2,
    state=MemberState.LEFT,
    address=("127.0.0.1", 9001),
)
OTHER_RECORD = MemberRecord(
    name="d2", generation=5, incarnation=0, state=MemberState.SUSPECT, address=("10.0.0.2", 65_535)
)
LEDGER_ROW = LedgerRow(index=65_535, version=2, in_use=[1000, 0], waiting=[500])

# Each message with its whole datagram in hex: CRC-32, then [version, sender, generation, [tag, fields...]].
DATAGRAMS: list[tuple[Any, str]] = [
    (
        messages.Ping(sequence=300, target_record=RECORD, gossip=[OTHER_RECORD]),
        "41c041a09402a26430cf00060a24181e400194a450696e67cd012c95a26431cf00060a24181e4000020392a93132372e"
        "302e302e31cd23299195a2643205000192a831302e302e302e32cdffff",
    ),
    (
        messages.Ping(sequence=1, target_record=None, gossip=[]),
        "7c269ad19402a26430cf00060a24181e400194a450696e6701c090",
    ),
    (
        messages.IndirectProbe(sequence=2, target="d2", gossip=[RECORD]),
        "09f3d43e9402a26430cf00060a24181e400194a550726f626502a264329195a26431cf00060a24181e4000020392a931"
        "32372e302e302e31cd2329",
    ),
    (
        messages.Ack(sequence=3, gossip=[RECORD]),
        "acce7da69402a26430cf00060a24181e400193a341636b039195a26431cf00060a24181e4000020392a93132372e302e"
        "302e31cd2329",
    ),
    (messages.Nack(sequence=4), "b20b43579402a26430cf00060a24181e400192a44e61636b04"),
    (
        messages.FullSync(records=[RECORD, OTHER_RECORD], reply_wanted=True),
        "7d90ea2e9402a26430cf00060a24181e400193a557686f6c659295a26431cf00060a24181e4000020392a93132372e30"
        "2e302e31cd232995a2643205000192a831302e302e302e32cdffffc3",
    ),
    (
        messages.Prepare(ballot=LATER),
        "83a8190b9402a26430cf00060a24181e400192a75072657061726593cf0000010000000000a2643208",
    ),
    (
        messages.Promise(requested=BALLOT, promised=LATER, lease_owner=("d3", 9), refused=True),
        "d45a12c49402a26430cf00060a24181e400195a750726f6d6973659303a264310793cf0000010000000000a264320892"
        "a2643309c3",
    ),
    (
        messages.Promise(requested=BALLOT, promised=LATER, lease_owner=None, refused=False),
        "536515ec9402a26430cf00060a24181e400195a750726f6d6973659303a264310793cf0000010000000000a2643208c0"
        "c2",
    ),
    (
        messages.Propose(ballot=BALLOT, lease_owner=("d3", 9)),
        "c15507369402a26430cf00060a24181e400193a750726f706f73659303a264310792a2643309",
    ),
    (
        messages.Accepted(requested=BALLOT, promised=LATER, refused=False),
        "aca4d2359402a26430cf00060a24181e400194a841636365707465649303a264310793cf0000010000000000a2643208"
        "c2",
    ),
    (messages.LeaderHeartbeat(term=BALLOT), "4524ba239402a26430cf00060a24181e400192a44c6561649303a2643107"),
    (
        messages.LeaseRequest(
            term=LATER,
            number=5,
            held_term=BALLOT,
            seq=6,
            held_shares={0: 250_000},
            demand={1: 70_000},
            loans=[(0, 1, 9)],
            leaving=True,
            names_checksum=0xFEDCBA98,
        ),
        "2ad2c9ba9402a26430cf00060a24181e40019aa341736b93cf0000010000000000a2643208059303a2643107068100ce"
        "0003d0908101ce000111709193000109c3cefedcba98",
    ),
    (
        messages.LeaseRequest(
            term=LATER, number=5, held_term=None, seq=0, held_shares={}, demand={}, loans=[], leaving=False
        ),
        "3470393b9402a26430cf00060a24181e40019aa341736b93cf0000010000000000a264320805c000808090c200",
    ),
    (
        messages.LeaseGrant(
            term=BALLOT,
            number=7,
            seq=8,
            shares={0: 1_000_000, 255: 1},
            loans=[(2, 3, 400)],
            more_expected=True,
        ),
        "1331e0879402a26430cf00060a24181e400197a54772616e749303a264310707088200ce000f4240ccff0191930203cd"
        "0190c3",
    ),
    (
        messages.LeaseRevocation(term=BALLOT, lenders=[0, 4]),
        "a0b153339402a26430cf00060a24181e400193a6526563616c6c9303a2643107920004",
    ),
    (
        messages.Digest(
            schema_checksum=11,
            digest=2**63 + 1,
            versions=[("d1", 7, 12)],
            closed=[("d2", 8, 13)],
            after_name="d0",
            up_to_name="d9",
            reply_expected=True,
        ),
        "8f800ca29402a26430cf00060a24181e400198a548656164730bcf80000000000000019193a26431070c9193a2643208"
        "0da26430a26439c3",
    ),
    (
        messages.Delta(
            schema_checksum=14,
            writer_deltas=[
                messages.WriterDelta(name="d1", generation=7, after_version=15, rows=[LEDGER_ROW])
            ],
        ),
        "8267cded9402a26430cf00060a24181e400193a4526f77730e9194a26431070f9194cdffff0292cd03e80091cd01f4",
    ),
    (messages.InspectionRequest(request_id=16), "3bd44a1d9402a26430cf00060a24181e400192a44c6f6f6b10"),
    (
        messages.InspectionPage(request_id=17, page_index=18, page_count=19, text='{"name": "\u00fc"}'),
        "a28a0aa29402a26430cf00060a24181e400195a45365656e111213ae7b226e616d65223a2022c3bc227d",
    ),
]

INSPECTED = {
    "name": "d0",
    "start": 1,
    "leads": False,
    "led_by": None,
    "term": None,
    "health": 0,
    "stepped_down": False,
    "parts": {"bakery": 100_000, "dairy": 100_000},
    "loans": [],
    "ledger": {
        "digest": "0000000000000000",
        "contended": False,
        "order": [],
        "held": {},
        "fair": {},
        "over": [],
    },
    "for_us": 0,
    "members": [{"name": "d0", "start": 1, "turn": 0, "state": "alive", "address": "127.0.0.1:9000"}],
}


def member_config(address: tuple[str, int]) -> ClusterConfig:
    fairness = FairnessConfig(["slots"], {"dairy": 1, "bakery": 2}, {}, [1000], 1_000_000)
    quotas = [QuotaSpec("dairy", 5.0, 25.0, True), QuotaSpec("bakery", 1.0, 1.0)]
    return ClusterConfig(("d0", 1), address, {"d0": address}, [], quotas, 0.2, 2, fairness=fairness)


@pytest.mark.parametrize(("message", "datagram"), DATAGRAMS, ids=lambda value: type(value).__name__)
def test_each_message_has_the_same_bytes_both_ways(message: Any, datagram: str) -> None:
    assert encode(SENDER, message).hex() == datagram
    envelope = decode(bytes.fromhex(datagram))
    assert envelope is not None
    assert (envelope.version, envelope.sender, envelope.generation) == (2, *SENDER)
    assert type(envelope.message) is type(message) and envelope.message == message


def test_no_message_type_is_left_out() -> None:
    tags = {
        messages.READER.decode(bytes.fromhex(datagram)[4:]).message.__struct_config__.tag
        for _, datagram in DATAGRAMS
    }
    assert tags == {
        "Ping",
        "Probe",
        "Ack",
        "Nack",
        "Whole",
        "Prepare",
        "Promise",
        "Propose",
        "Accepted",
        "Lead",
        "Ask",
        "Grant",
        "Recall",
        "Heads",
        "Rows",
        "Look",
        "Seen",
    }
    assert {kind.__struct_config__.tag for kind in messages.Message.__subclasses__()} == tags


def test_only_whole_datagrams_of_this_version_are_read() -> None:
    valid = bytes.fromhex("3eb1290e" "9402a00092a44c6f6f6b10")
    body = valid[4:]
    assert decode(valid) is not None
    assert decode(valid[:-1]) is None
    assert decode(crc32(body).to_bytes(4, "little") + body) is None
    for version in (b"\x01", b"\x03"):
        other = body[:1] + version + body[2:]
        assert decode(crc32(other).to_bytes(4, "big") + other) is None
    for length in (1200, 1201):
        longest = encode(
            ("d0", 7),
            messages.InspectionPage(request_id=1, page_index=0, page_count=1, text="x" * (length - 22)),
        )
        assert len(longest) == length
        assert (decode(longest) is not None) is (length == 1200)
    assert (messages.MAX_DATAGRAM, messages.VERSION) == (1200, 2)


def test_digests_and_sums_that_members_compare_are_the_same() -> None:
    member = ClusterMember(member_config(("127.0.0.1", 9000)), 0)
    assert member.ledger is not None
    assert (member.quota_names.checksum, member.ledger.anti_entropy.schema_checksum) == (
        443426513,
        1457360318,
    )
    replica = ReplicatedLedger()
    replica.put(("d1", 7), LEDGER_ROW)
    assert replica.digest == 2019037609288762282
    replica.close("d2", (8, 13))
    assert replica.digest == 11458797023336671415


def test_an_inspection_shows_the_same_keys() -> None:
    assert json.dumps(inspect(ClusterMember(member_config(("127.0.0.1", 9000)), 0), 0)) == json.dumps(
        INSPECTED
    )


def test_an_inspection_over_the_socket_shows_the_same_keys() -> None:
    class SilentLog:
        def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
            pass

    async def run() -> dict[str, Any]:
        own_address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        transport = await open_udp_transport(member_config(own_address), SilentLog(), None, own_address)
        try:
            return await inspect_member(own_address)
        finally:
            await transport.close()

    view = asyncio.run(run())
    assert list(view) == [*INSPECTED, "refused_datagrams"]
    assert view["members"][0].keys() == INSPECTED["members"][0].keys()  # type: ignore[index,attr-defined]
