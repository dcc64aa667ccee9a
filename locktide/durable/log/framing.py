"""How records are framed in a segment: a header, then length, checksum and payload of each record.

CRC-32 finds every burst of up to 32 flipped bits, and misses one in four milliards of other damage; it is in
the standard library. Guards against what a disk and a crash can leave: a last record that was not wholly
written, sectors that were never written and read as zeros, and bytes that have changed.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from locktide.durable.errors import ForeignFileError, NewerFormatError

MAGIC = b"LKTDJOBS"
VERSION = 1
HEADER = struct.Struct("<8sHxxI")  # magic, format version, number of the segment
FRAME = struct.Struct("<II")  # length and checksum of the payload
MAX_PAYLOAD = 16 << 20  # bytes: far over the largest body with its result
MIN_SEARCHED_PAYLOAD = 8  # bytes: a shorter record is not looked for inside a damaged segment
SECTOR = 512  # bytes that a disk writes whole; the rest of an unfinished write reads as zeros


class FaultKind(StrEnum):
    """Why bytes of a segment are no record."""

    TORN = "torn"  # a crash cut a write short
    DAMAGED = "damaged"  # what had been written whole has changed


@dataclass(slots=True)
class FramingFault:
    """Where a segment stops holding records, and why."""

    kind: FaultKind
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class FramedPayload:
    """A payload whose checksum fits, with the offset of its frame in the segment."""

    offset: int
    payload: bytes


def encode_header(segment_number: int) -> bytes:
    """Returns the first bytes of a segment."""
    return HEADER.pack(MAGIC, VERSION, segment_number)


def encode_frame(payload: bytes) -> bytes:
    """Frames a payload; raises ValueError for a size that no reader would take."""
    if not 0 < len(payload) <= MAX_PAYLOAD:
        raise ValueError(f"a record of {len(payload)} bytes")
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def check_header(data: bytes, name: str) -> int:
    """Returns the segment's number; raises NewerFormatError or ForeignFileError."""
    if len(data) < HEADER.size:
        raise ForeignFileError(f"{name}: {len(data)} bytes, no header", name)
    magic, version, segment_number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ForeignFileError(f"{name}: not a journal of jobs", name)
    if version > VERSION:
        raise NewerFormatError(f"{name}: format {version}, this locktide knows up to {VERSION}", name)
    return int(segment_number)


def read_frames(data: bytes) -> Iterator[FramedPayload | FramingFault]:
    """Yields each payload of a segment, and at the end the fault that stops the reading, if there is one."""
    offset = HEADER.size
    while offset < len(data):
        payload_start = offset + FRAME.size
        if payload_start > len(data):
            yield FramingFault(FaultKind.TORN, offset, f"{len(data) - offset} bytes of a record's head")
            return
        length, checksum = FRAME.unpack_from(data, offset)
        end = payload_start + length
        payload = data[payload_start:end]
        if not (0 < length <= MAX_PAYLOAD and end <= len(data) and zlib.crc32(payload) == checksum):
            yield classify_fault(data, offset, length, end)
            return
        yield FramedPayload(offset, payload)
        offset = end


def classify_fault(data: bytes, offset: int, length: int, end: int) -> FramingFault:
    """Tells a write that a crash cut short from one that was whole and has changed.

    Torn is only what a crash can leave behind: the file ends within the record, or is zeros from a sector's
    edge to its end. Whatever else is wrong was once read as good, and must not be dropped silently.
    """
    if not any(data[offset:]):
        return FramingFault(FaultKind.TORN, offset, "nothing but zeros")
    zeros = len(data) - len(data.rstrip(b"\0"))
    sector_edge = -(-(len(data) - zeros) // SECTOR) * SECTOR
    if zeros and sector_edge < len(data) and sector_edge < end:
        return FramingFault(FaultKind.TORN, offset, "a record that ends in sectors of zeros")
    if 0 < length <= MAX_PAYLOAD and end > len(data) and not has_record_after(data, offset):
        reason = f"{len(data) - offset} bytes of a record of {end - offset}"
        return FramingFault(FaultKind.TORN, offset, reason)
    return FramingFault(FaultKind.DAMAGED, offset, "a record whose checksum does not fit")


def has_record_after(data: bytes, offset: int) -> bool:
    """Whether a good record follows somewhere after `offset`, so that it was not the last write."""
    for candidate in range(offset + 1, len(data) - FRAME.size):
        length, checksum = FRAME.unpack_from(data, candidate)
        payload_start = candidate + FRAME.size
        end = payload_start + length
        if length < MIN_SEARCHED_PAYLOAD or end > len(data):
            continue
        if zlib.crc32(data[payload_start:end]) == checksum:
            return True
    return False
