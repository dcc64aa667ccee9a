"""Errors of durable jobs; each names the directory, file or record at fault."""

from __future__ import annotations

from collections.abc import Sequence

from locktide.errors import LocktideError


class DurableError(LocktideError):
    """Base of the errors of durable jobs.

    Attributes:
        path: The directory or file at fault; empty where the storage has none.
    """

    def __init__(self, message: str, path: str = "") -> None:
        super().__init__(message)
        self.path = path


class LogOpenError(DurableError):
    """The log cannot be opened; nothing in its directory was changed."""


class DirectoryInUseError(LogOpenError):
    """Another process has locked the directory."""


class NewerFormatError(LogOpenError):
    """A segment was written by a later locktide in a later format."""


class ForeignFileError(LogOpenError):
    """A file with the name of a segment is not one."""


class DamagedLogError(LogOpenError):
    """Records that were written whole have changed on the disk.

    Attributes:
        faults: Segment, byte and reason of each fault.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class LogWriteError(DurableError):
    """The disk is full or broken: a record was not written.

    Attributes:
        path: The segment that was written to.
        reason: Why it could not be written.
    """

    def __init__(self, reason: str, path: str) -> None:
        super().__init__(f"{path}: {reason}", path)
        self.reason = reason


class ResultNotStoredError(DurableError, ConnectionError):
    """A final response can never be written by this process.

    A connection error, so that the worker's connection ends without a response: it keeps its result then, and
    reports it to the next process.
    """


class RecordSizeError(DurableError):
    """A record is empty, or too large for its reader.

    Attributes:
        size: Bytes of the record.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"a record of {size} bytes")
        self.size = size
