"""Errors of durable jobs."""

from __future__ import annotations

from locktide.errors import LocktideError


class DurableError(LocktideError):
    """Base of the errors of durable jobs.

    Attributes:
        path: the directory or file at fault; empty where the storage has none.
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
    """Records that were written whole have changed on the disk."""


class LogWriteError(DurableError):
    """The disk is full or broken: the record was not written."""
