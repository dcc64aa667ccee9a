"""Reads the segments of a write-ahead log, and collects their torn and damaged records."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import msgspec

from locktide.durable.disk import Storage
from locktide.durable.jobs import JobTable
from locktide.durable.log import framing, records
from locktide.durable.log.framing import FaultType, FramingFault

SEGMENT_NAME = re.compile(r"(\d{10})\.journal")


@dataclass(slots=True)
class LogContents:
    """Statistics and faults of a log, for the dispatcher's start and for `locktide jobs verify`.

    Attributes:
        segment_count: How many segments have a header.
        record_count: How many records were applied.
        byte_count: Total size in bytes of the segments that have a header.
        torn: Segment, byte offset and reason of each end that was torn by a crash.
        damaged: The same for each completely written record that has changed or cannot be decoded.
        valid_sizes: Bytes before the first fault, by segment.
    """

    segment_count: int = 0
    record_count: int = 0
    byte_count: int = 0
    torn: list[str] = field(default_factory=list)
    damaged: list[str] = field(default_factory=list)
    valid_sizes: dict[str, int] = field(default_factory=dict)


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:010d}.journal"


def segment_number(name: str) -> int:
    """Return the number of the segment with this file name."""
    return int(name.partition(".")[0])


def list_segments(storage: Storage) -> list[str]:
    """Return the file names of all segments, oldest first."""
    return [name for name in storage.list_files() if SEGMENT_NAME.fullmatch(name)]


def read_log(storage: Storage, table: JobTable) -> LogContents:
    """Apply all valid records to `table`; raise NewerFormatError or ForeignFileError.

    If a segment has a fault, the rest of it is skipped. The caller decides whether to continue with a damaged
    log.
    """
    reader = _LogReader(table)
    names = list_segments(storage)
    for name in names:
        reader.read_segment(name, storage.read(name), is_last=name == names[-1])
    return reader.contents


class _LogReader:
    """Reads the segments of a log, oldest first."""

    def __init__(self, table: JobTable) -> None:
        self.contents = LogContents()
        self._table = table

    def read_segment(self, name: str, data: bytes, is_last: bool) -> None:
        contents = self.contents
        if is_last and _has_unfinished_header(data, name):
            contents.torn.append(f"{name}: {len(data)} bytes of an incomplete segment header")
            contents.valid_sizes[name] = 0
            return
        framing.check_header(data, name)
        contents.segment_count += 1
        contents.byte_count += len(data)
        contents.valid_sizes[name] = self._read_records(name, data, is_last)

    def _read_records(self, name: str, data: bytes, is_last: bool) -> int:
        """Apply the records of a segment; return how many bytes precede the first fault."""
        for item in framing.read_frames(data):
            if isinstance(item, FramingFault):
                # Only the last segment can have an end that was torn by a crash.
                is_torn = item.fault_type is FaultType.TORN and is_last
                faults = self.contents.torn if is_torn else self.contents.damaged
                faults.append(f"{name}: at byte {item.offset}: {item.reason}")
                return item.offset
            try:
                self._table.apply(records.decode(item.payload))
            except msgspec.DecodeError as error:
                self.contents.damaged.append(f"{name}: at byte {item.offset}: {error}")
                return item.offset
            self.contents.record_count += 1
        return len(data)


def _has_unfinished_header(data: bytes, name: str) -> bool:
    """Return whether a crash interrupted the write of this segment's header, so that no record follows."""
    header = framing.encode_header(segment_number(name))
    return data[: len(header)] != header and header.startswith(data.rstrip(b"\0"))
