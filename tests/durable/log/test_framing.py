"""Framing of records: what a crash cuts off, changed bytes, sectors of zeros."""

from __future__ import annotations

from typing import Any

from durable_helpers import accepted_job
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.durable.log import framing, records
from locktide.durable.log.framing import FaultType, FramedPayload, FramingFault


@settings(max_examples=60, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=300), max_size=12), st.data())
def test_records_before_a_cut_are_read_and_nothing_else(payloads: list[bytes], data: Any) -> None:
    """A crash cuts the file at any byte.

    Each record before the cut must be read, and the cut one must count as torn, not as damage: a start
    would be refused for it.
    """
    framed = [framing.encode_frame(payload) for payload in payloads]
    whole = framing.encode_header(1) + b"".join(framed)
    cut = data.draw(st.integers(framing.HEADER.size, len(whole)))
    read = list(framing.read_frames(whole[:cut]))
    good = [item.payload for item in read if isinstance(item, FramedPayload)]
    assert good == payloads[: len(good)]
    ends = [framing.HEADER.size + sum(map(len, framed[: n + 1])) for n in range(len(framed))]
    assert len(good) == sum(end <= cut for end in ends)
    if len(read) > len(good):
        assert read[-1].fault_type == FaultType.TORN  # type: ignore[union-attr]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**31), st.integers(0, 7))
def test_flipped_bit_before_the_last_record_is_damage(place: int, bit: int) -> None:
    """A bit changes at rest, in any byte of a record that others follow.

    Also where the changed bytes are a length that ends behind the file, it must not be taken for a write
    that was cut short, because the records behind it would be cut off with it.
    """
    framed = [framing.encode_frame(records.encode(accepted_job(f"job-{number}"))) for number in range(6)]
    whole = bytearray(framing.encode_header(1) + b"".join(framed))
    place = framing.HEADER.size + place % (len(whole) - framing.HEADER.size - len(framed[-1]))
    whole[place] ^= 1 << bit
    read = list(framing.read_frames(bytes(whole)))
    assert isinstance(read[-1], FramingFault) and read[-1].fault_type == FaultType.DAMAGED


def test_zero_sectors_at_the_end_are_torn() -> None:
    """A file system has made a file longer before a crash, but not written all of its sectors.

    They read as zeros. The record that reaches into them was acknowledged to nobody: it must count as torn.
    """
    whole = framing.encode_header(1) + framing.encode_frame(b"x" * 100) + framing.encode_frame(b"y" * 3000)
    edge = 2 * framing.SECTOR
    torn = list(framing.read_frames(whole[:edge] + bytes(len(whole) - edge)))
    assert [item.payload for item in torn[:-1]] == [b"x" * 100]  # type: ignore[union-attr]
    assert torn[-1].fault_type == FaultType.TORN  # type: ignore[union-attr]
