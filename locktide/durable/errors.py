"""Errors of durable jobs; each names the directory, file or record that caused it."""

from __future__ import annotations

from collections.abc import Sequence

from locktide.errors import LocktideError


class DurableError(LocktideError):
    """Base of the errors of durable jobs.

    Attributes:
        path: The directory or file that caused the error; empty if the storage has no paths.
    """

    def __init__(self, message: str, path: str = "") -> None:
        super().__init__(message)
        self.path = path


class LogOpenError(DurableError):
    """The log cannot be opened; no file in its directory was changed."""


class DirectoryInUseError(LogOpenError):
    """Another process has locked the directory."""


class NewerFormatError(LogOpenError):
    """A segment was written by a later version of locktide, in a later format."""


class ForeignFileError(LogOpenError):
    """A file has the name of a segment but not the content of one."""


class DamagedLogError(LogOpenError):
    """Records that were completely written have changed on the disk.

    Attributes:
        faults: Segment, byte offset and reason of each fault.
    """

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = list(faults)


class LogWriteError(DurableError):
    """A record was not written because the disk is full or faulty.

    Attributes:
        path: The segment to which the record was to be appended.
        reason: Why the record could not be written.
        may_be_stored: Whether the record may be on the disk nevertheless, so that the next process may read
            it.
    """

    def __init__(self, reason: str, path: str, may_be_stored: bool = False) -> None:
        super().__init__(f"{path}: {reason}", path)
        self.reason = reason
        self.may_be_stored = may_be_stored


class ResultNotStoredError(DurableError, ConnectionError):
    """This process can no longer write the final response of a job.

    It is a connection error, so that the worker's connection ends without a response. The worker then keeps
    its result and reports it to the next process.
    """


class RecordSizeError(DurableError):
    """A record is empty, or larger than a reader accepts.

    Attributes:
        size: Size of the record in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"record of {size} bytes is empty or larger than a reader accepts")
        self.size = size
