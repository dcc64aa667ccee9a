"""Framing of records: torn ends, changed bytes and sectors of zeros."""

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
    """Guard against a refused start after a crash that truncated the last segment at any byte.

    Each record before the cut must be read. The truncated record must count as torn and not as damaged,
    because a start is refused if a record is damaged.
    """
    framed = [framing.encode_frame(payload) for payload in payloads]
    segment = framing.encode_header(1) + b"".join(framed)
    cut = data.draw(st.integers(framing.HEADER.size, len(segment)))
    items = list(framing.read_frames(segment[:cut]))
    intact = [item.payload for item in items if isinstance(item, FramedPayload)]
    assert intact == payloads[: len(intact)]
    ends = [framing.HEADER.size + sum(map(len, framed[: n + 1])) for n in range(len(framed))]
    assert len(intact) == sum(end <= cut for end in ends)
    if len(items) > len(intact):
        assert items[-1].fault_type == FaultType.TORN  # type: ignore[union-attr]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**31), st.integers(0, 7))
def test_flipped_bit_before_the_last_record_is_damage(position: int, bit: int) -> None:
    """Guard against valid records that are cut off because a changed bit is taken for a torn write.

    A bit changes on the disk in any byte of a record that others follow. This must count as damage, also if
    the changed bytes are a length that reaches beyond the end of the file.
    """
    framed = [framing.encode_frame(records.encode(accepted_job(f"job-{number}"))) for number in range(6)]
    segment = bytearray(framing.encode_header(1) + b"".join(framed))
    position = framing.HEADER.size + position % (len(segment) - framing.HEADER.size - len(framed[-1]))
    segment[position] ^= 1 << bit
    items = list(framing.read_frames(bytes(segment)))
    assert isinstance(items[-1], FramingFault) and items[-1].fault_type == FaultType.DAMAGED


def test_zero_sectors_at_the_end_are_torn() -> None:
    """Guard against a refused start when a crash left sectors at the end of a file unwritten.

    The file was extended before the crash, and the missing sectors read as zeros. The record that extends
    into them was never acknowledged: it must count as torn.
    """
    segment = framing.encode_header(1) + framing.encode_frame(b"x" * 100) + framing.encode_frame(b"y" * 3000)
    boundary = 2 * framing.SECTOR
    torn = list(framing.read_frames(segment[:boundary] + bytes(len(segment) - boundary)))
    assert [item.payload for item in torn[:-1]] == [b"x" * 100]  # type: ignore[union-attr]
    assert torn[-1].fault_type == FaultType.TORN  # type: ignore[union-attr]
