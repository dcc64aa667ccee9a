"""Framing of the records in a segment: a header, then the length, checksum and payload of each record.

Framing detects what a crash or a faulty disk can leave behind: a last record that was not completely written,
sectors that were never written and read as zeros, and bytes that have changed. CRC-32 is in the standard
library. It detects every burst of up to 32 flipped bits, and misses about one in four billion (2^32) other
errors.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from locktide.durable.errors import ForeignFileError, NewerFormatError, RecordSizeError

#: First bytes of each segment.
MAGIC = b"LKTDJOBS"
#: Version of the format; a program refuses to open a directory with a later version.
VERSION = 1
#: Segment header: magic, format version, number of the segment.
HEADER = struct.Struct("<8sHxxI")
#: Frame header: length and checksum of the payload.
FRAME = struct.Struct("<II")
#: Largest payload in bytes, far above the largest request body with its result: a larger length is damage.
MAX_PAYLOAD = 16 << 20
#: Shortest payload, in bytes, that is searched for after a fault. The checksum of a shorter one matches by
#: chance too easily.
MIN_SEARCHED_PAYLOAD = 8
#: Size in bytes of a sector, which a disk writes completely or not at all. The sectors that an
#: interrupted write did not reach read as zeros.
SECTOR = 512


class FaultType(StrEnum):
    """Why bytes of a segment are not a valid record."""

    TORN = "torn"  # a crash interrupted the write
    DAMAGED = "damaged"  # a completely written record has changed


@dataclass(frozen=True, slots=True)
class FramingFault:
    """The fault that ends the valid records of a segment, with its offset in bytes in the segment."""

    fault_type: FaultType
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class FramedPayload:
    """A payload with a correct checksum, and the offset in bytes of its frame in the segment."""

    offset: int
    payload: bytes


def encode_header(segment_number: int) -> bytes:
    """Return the first bytes of a segment."""
    return HEADER.pack(MAGIC, VERSION, segment_number)


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload; raise RecordSizeError for a size that no reader accepts."""
    if not 0 < len(payload) <= MAX_PAYLOAD:
        raise RecordSizeError(len(payload))
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def check_header(data: bytes, name: str) -> int:
    """Return the number in a segment's header; raise NewerFormatError or ForeignFileError."""
    if len(data) < HEADER.size:
        raise ForeignFileError(f"{name}: {len(data)} bytes are too few for a segment header", name)
    magic, version, segment_number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ForeignFileError(f"{name}: not a segment of a write-ahead log", name)
    if version > VERSION:
        raise NewerFormatError(
            f"{name}: format version {version} is newer than {VERSION}, the latest that this locktide reads",
            name,
        )
    return int(segment_number)


def read_frames(data: bytes) -> Iterator[FramedPayload | FramingFault]:
    """Yield each valid payload of a segment, and finally the fault that ends the reading, if there is one."""
    offset = HEADER.size
    while offset < len(data):
        payload_start = offset + FRAME.size
        if payload_start > len(data):
            yield FramingFault(FaultType.TORN, offset, f"{len(data) - offset} bytes of a frame header")
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
    """Decide whether a crash interrupted a write, or a completely written record has changed.

    The fault is `TORN` only if a crash can have caused it: the file ends within the record, or contains only
    zeros from a sector boundary to its end. Any other fault is in a record that was valid once, and such a
    record must not be dropped silently.
    """
    if not any(data[offset:]):
        return FramingFault(FaultType.TORN, offset, "only zeros follow")
    written_size = len(data.rstrip(b"\0"))
    first_zero_sector = -(-written_size // SECTOR) * SECTOR  # rounded up to a sector boundary
    if first_zero_sector < len(data) and first_zero_sector < end:
        return FramingFault(FaultType.TORN, offset, "a record whose last sectors are zeros")
    if 0 < length <= MAX_PAYLOAD and end > len(data) and not has_record_after(data, offset):
        reason = f"{len(data) - offset} bytes of a record of {end - offset}"
        return FramingFault(FaultType.TORN, offset, reason)
    return FramingFault(FaultType.DAMAGED, offset, "a record with a wrong length or checksum")


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether a valid record follows after `offset`, so that the one at `offset` is not the last."""
    for candidate in range(offset + 1, len(data) - FRAME.size):
        length, checksum = FRAME.unpack_from(data, candidate)
        payload_start = candidate + FRAME.size
        end = payload_start + length
        if length < MIN_SEARCHED_PAYLOAD or end > len(data):
            continue
        if zlib.crc32(data[payload_start:end]) == checksum:
            return True
    return False
