"""Reads the segments of a write-ahead log, and notes what is torn or damaged."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import msgspec

from locktide.durable.disk import Storage
from locktide.durable.jobs import JobTable
from locktide.durable.log import framing, records
from locktide.durable.log.framing import FaultKind, FramingFault

SEGMENT_NAME = re.compile(r"(\d{10})\.journal")


@dataclass(slots=True)
class LogContents:
    """What was found in a log, for the dispatcher's start and for `locktide jobs verify`."""

    segment_count: int = 0
    record_count: int = 0
    byte_count: int = 0
    torn: list[str] = field(default_factory=list)
    damaged: list[str] = field(default_factory=list)
    valid_sizes: dict[str, int] = field(default_factory=dict)  # by segment: bytes before the first fault


def segment_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"{number:010d}.journal"


def segment_number(name: str) -> int:
    """Returns the number of a segment by its file name."""
    return int(name.partition(".")[0])


def list_segments(storage: Storage) -> list[str]:
    """Returns the file names of all segments, oldest first."""
    return [name for name in storage.list_files() if SEGMENT_NAME.fullmatch(name)]


def read_log(storage: Storage, table: JobTable) -> LogContents:
    """Applies all good records to `table`; raises NewerFormatError and ForeignFileError.

    Of a segment with a fault the rest is left out. Whether to go on with a damaged log is for the caller to
    decide.
    """
    contents = LogContents()
    names = list_segments(storage)
    for name in names:
        _read_segment(name, storage.read(name), name == names[-1], table, contents)
    return contents


def _read_segment(name: str, data: bytes, is_last: bool, table: JobTable, contents: LogContents) -> None:
    if is_last and _has_unfinished_header(data, name):
        contents.torn.append(f"{name}: {len(data)} bytes, no whole header")
        contents.valid_sizes[name] = 0
        return
    framing.check_header(data, name)
    contents.segment_count += 1
    contents.byte_count += len(data)
    contents.valid_sizes[name] = len(data)
    for item in framing.read_frames(data):
        if isinstance(item, FramingFault):
            # Only the segment that was written last can have been cut short.
            is_torn = item.kind is FaultKind.TORN and is_last
            faults = contents.torn if is_torn else contents.damaged
            faults.append(f"{name}: at byte {item.offset}: {item.reason}")
            contents.valid_sizes[name] = item.offset
            return
        try:
            table.apply(records.decode(item.payload))
        except msgspec.DecodeError as error:
            contents.damaged.append(f"{name}: at byte {item.offset}: {error}")
            contents.valid_sizes[name] = item.offset
            return
        contents.record_count += 1


def _has_unfinished_header(data: bytes, name: str) -> bool:
    """Whether a crash came before this segment's header was on the disk, so before any record of it."""
    header = framing.encode_header(segment_number(name))
    return data[: len(header)] != header and header.startswith(data.rstrip(b"\0"))
