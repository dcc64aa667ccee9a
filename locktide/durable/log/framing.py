"""How records stand in a segment: a header, then length, checksum and payload of each.

CRC-32 finds every burst of up to 32 flipped bits, and misses one in four milliards of other damage; it is in
the standard library. Guards against what a disk and a crash can leave: a last record that was not wholly
written, sectors that were never written and read as zeros, and bytes that have changed.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

MAGIC = b"LKTDJOBS"
VERSION = 1
HEADER = struct.Struct("<8sHxxI")  # magic, format version, number of the segment
FRAME = struct.Struct("<II")  # length and checksum of the payload
LARGEST = 16 << 20  # bytes of a payload: far over the largest body with its result
SECTOR = 512  # what a disk writes whole; the rest of an unfinished write reads as zeros

TORN, DAMAGED = "torn", "damaged"


class NewerFormatError(Exception):
    """A segment of a later format: written by a later locktide, and not to be touched by this one."""


class ForeignFileError(Exception):
    """Not a segment at all."""


@dataclass(slots=True)
class FramingFault:
    """What a segment holds from `at` on that is no record."""

    kind: str  # TORN: a write that was under way; DAMAGED: what had been written has changed
    at: int
    why: str


def header(number: int) -> bytes:
    return HEADER.pack(MAGIC, VERSION, number)


def frame(payload: bytes) -> bytes:
    """Raises ValueError for a payload that no reader would take."""
    if not 0 < len(payload) <= LARGEST:
        raise ValueError(f"a record of {len(payload)} bytes")
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def check_header(data: bytes, name: str) -> int:
    """The segment's number; raises Newer or Foreign."""
    if len(data) < HEADER.size:
        raise ForeignFileError(f"{name}: {len(data)} bytes, no header")
    magic, version, number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ForeignFileError(f"{name}: not a journal of jobs")
    if version > VERSION:
        raise NewerFormatError(f"{name}: format {version}, this locktide knows up to {VERSION}")
    return int(number)


def records(data: bytes) -> Iterator[tuple[int, bytes] | FramingFault]:
    """Each payload with its place, and at the end what is no record, if anything is."""
    at = HEADER.size
    while at < len(data):
        if at + FRAME.size > len(data):
            yield FramingFault(TORN, at, f"{len(data) - at} bytes of a record's head")
            return
        length, checksum = FRAME.unpack_from(data, at)
        begin, end = at + FRAME.size, at + FRAME.size + length
        if 0 < length <= LARGEST and end <= len(data) and zlib.crc32(data[begin:end]) == checksum:
            yield at, data[begin:end]
            at = end
            continue
        yield trouble(data, at, length, end)
        return


def trouble(data: bytes, at: int, length: int, end: int) -> FramingFault:
    """A write that a crash cut short, or one that was whole and has changed.

    Torn is only what a crash can leave behind: the file ends within the record, or is zeros from a sector's
    edge to its end. Whatever else is wrong was once read as good, and nothing of it may be dropped unseen.
    """
    if not any(data[at:]):
        return FramingFault(TORN, at, "nothing but zeros")
    zeros = len(data) - len(data.rstrip(b"\0"))
    edge = -(-(len(data) - zeros) // SECTOR) * SECTOR
    if zeros and edge < len(data) and edge < end:
        return FramingFault(TORN, at, "a record that ends in sectors of zeros")
    if 0 < length <= LARGEST and end > len(data) and not follows(data, at):
        return FramingFault(TORN, at, f"{len(data) - at} bytes of a record of {end - at}")
    return FramingFault(DAMAGED, at, "a record whose checksum does not fit")


def follows(data: bytes, at: int) -> bool:
    """Whether a good record stands somewhere after `at`: then what is before it was not the last write."""
    for place in range(at + 1, len(data) - FRAME.size):
        length, checksum = FRAME.unpack_from(data, place)
        if 8 <= length <= len(data) - place - FRAME.size:
            begin = place + FRAME.size
            if zlib.crc32(data[begin : begin + length]) == checksum:
                return True
    return False
