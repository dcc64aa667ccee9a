"""Writes the newest segment of a write-ahead log, to which batches of records are appended."""

from __future__ import annotations

from locktide.durable.disk import Storage
from locktide.durable.errors import LogWriteError
from locktide.durable.log import framing
from locktide.durable.log.reader import segment_name, segment_number


class SegmentWriter:
    """Appends to one segment until the next one is begun.

    Attributes:
        name: File name of the segment; empty before the first segment is begun.
        size: Size of the segment in bytes.
        failure: Why nothing can be written any more; empty while writing is possible.
    """

    def __init__(self, storage: Storage) -> None:
        self.name = ""
        self.size = 0
        self.failure = ""
        self._storage = storage

    def begin(self, number: int) -> None:
        """Begin the segment with this number; after an OSError the previous segment is still in use."""
        name = segment_name(number)
        self._storage.create(name)
        try:
            self._storage.append(name, framing.encode_header(number))
        except OSError:
            # Only the last segment may have a torn end. If this file were left behind, the segment in use
            # would no longer be the last one, and a torn end of it would be read as damage. Verified by
            # `test_full_disk_at_the_start_of_a_segment_leaves_no_file_behind`.
            self._storage.remove(name)
            raise
        self.name = name
        self.size = framing.HEADER.size

    def begin_next(self) -> None:
        """Begin the next segment; after an OSError the previous segment is still in use."""
        self.begin(segment_number(self.name) + 1)

    def append(self, frames: bytes) -> None:
        """Append a batch completely or not at all; raise LogWriteError."""
        try:
            self._storage.append(self.name, frames)
        except OSError as error:
            self._undo_append(str(error))
            raise LogWriteError(str(error), self.name, may_be_stored=bool(self.failure)) from error
        self.size += len(frames)

    def _undo_append(self, reason: str) -> None:
        """Remove the part that was written of a batch whose append has failed."""
        try:
            self._storage.truncate(self.name, self.size)
        except OSError as error:
            self.failure = f"{reason}; and the partial write could not be removed: {error}"

    async def sync(self) -> None:
        """Make the segment durable; raise LogWriteError, after which nothing can be written any more.

        After a failed sync it is not known what is on the disk, and the next sync may report success although
        data is missing (Rebello et al., "Can applications recover from fsync failures?", USENIX ATC 2020).
        Verified by `test_no_write_succeeds_after_a_failed_sync`.
        """
        name = self.name
        try:
            await self._storage.sync(name)
        except OSError as error:
            self.failure = f"sync failed: {error}"
            raise LogWriteError(self.failure, name, may_be_stored=True) from error
