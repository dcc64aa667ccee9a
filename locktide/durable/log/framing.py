"""How records are framed in a segment: a header, then length, checksum and payload of each record.

Framing finds what a disk and a crash can leave behind: a last record that was not wholly written, sectors
that were never written and read as zeros, and bytes that have changed. CRC-32 finds every burst of up to 32
flipped bits, and misses one in four thousand million of other damage; it is in the standard library.
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
#: Version of the format; a program refuses a directory of a later one.
VERSION = 1
#: Magic, format version, number of the segment.
HEADER = struct.Struct("<8sHxxI")
#: Length and checksum of the payload.
FRAME = struct.Struct("<II")
#: Bytes of the largest payload, far over the largest body with its result: a larger length is damage.
MAX_PAYLOAD = 16 << 20
#: Bytes of the shortest payload that is looked for behind a fault. Fewer match a checksum by chance too
#: easily.
MIN_SEARCHED_PAYLOAD = 8
#: Bytes that a disk writes whole; the sectors of an unfinished write that were not written read as zeros.
SECTOR = 512


class FaultType(StrEnum):
    """Why bytes of a segment are no record."""

    TORN = "torn"  # a crash cut a write short
    DAMAGED = "damaged"  # what had been written whole has changed


@dataclass(frozen=True, slots=True)
class FramingFault:
    """Where a segment stops holding records, in bytes from its start, and why."""

    fault_type: FaultType
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class FramedPayload:
    """A payload whose checksum fits, with the offset in bytes of its frame in the segment."""

    offset: int
    payload: bytes


def encode_header(segment_number: int) -> bytes:
    """Return the first bytes of a segment."""
    return HEADER.pack(MAGIC, VERSION, segment_number)


def encode_frame(payload: bytes) -> bytes:
    """Frame a payload; raise RecordSizeError for a size that no reader accepts."""
    if not 0 < len(payload) <= MAX_PAYLOAD:
        raise RecordSizeError(len(payload))
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def check_header(data: bytes, name: str) -> int:
    """Return the segment's number; raise NewerFormatError or ForeignFileError."""
    if len(data) < HEADER.size:
        raise ForeignFileError(f"{name}: {len(data)} bytes, no header", name)
    magic, version, segment_number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ForeignFileError(f"{name}: not a journal of jobs", name)
    if version > VERSION:
        raise NewerFormatError(f"{name}: format {version}, this locktide knows up to {VERSION}", name)
    return int(segment_number)


def read_frames(data: bytes) -> Iterator[FramedPayload | FramingFault]:
    """Yield each payload of a segment, and at the end the fault that stops the reading, if there is one."""
    offset = HEADER.size
    while offset < len(data):
        payload_start = offset + FRAME.size
        if payload_start > len(data):
            yield FramingFault(FaultType.TORN, offset, f"{len(data) - offset} bytes of a record's head")
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
    """Tell a write that a crash cut short from one that was whole and has changed.

    Torn is only what a crash can leave behind: the file ends within the record, or is zeros from a sector's
    edge to its end. Whatever else is wrong was once read as good, and must not be dropped silently.
    """
    if not any(data[offset:]):
        return FramingFault(FaultType.TORN, offset, "nothing but zeros")
    written_size = len(data.rstrip(b"\0"))
    first_zero_sector = -(-written_size // SECTOR) * SECTOR  # rounded up to the edge of a sector
    if first_zero_sector < len(data) and first_zero_sector < end:
        return FramingFault(FaultType.TORN, offset, "a record that ends in sectors of zeros")
    if 0 < length <= MAX_PAYLOAD and end > len(data) and not has_record_after(data, offset):
        reason = f"{len(data) - offset} bytes of a record of {end - offset}"
        return FramingFault(FaultType.TORN, offset, reason)
    return FramingFault(FaultType.DAMAGED, offset, "a record whose checksum does not fit")


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
