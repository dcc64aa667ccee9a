"""The write-ahead log of jobs: records appended to segments by group commit, compacted by snapshots.

Why a record whose future is done survives any crash:

1. Records are framed with length and checksum, and written in the order of the calls of `append`, to one
   segment at a time.
2. The futures of a batch are set only after a sync that began when the whole batch had been appended.
3. If a batch cannot be appended completely, the part that was written is removed, so that the segment ends
   with a complete record. If the removal fails, or a sync fails, nothing is written until the dispatcher is
   restarted.
4. A crash can therefore leave a torn end only in the last segment, and no future of a record in the torn end
   is done. The next start removes the torn end and begins a segment of its own. Any other fault is damage to
   records that were acknowledged, and the start is refused.
5. Older segments are removed only after a complete snapshot of their jobs is on the disk (`compaction`).

Verified by `tests/durable/log/test_write_ahead_log.py`: `test_acknowledged_records_survive_a_crash` (1, 2 and
4), `test_full_disk_rejects_a_record_and_loses_no_other`,
`test_partial_write_that_cannot_be_removed_ends_all_writing` and `test_no_write_succeeds_after_a_failed_sync`
(3), `test_full_disk_at_the_start_of_a_segment_leaves_no_file_behind` and
`test_damaged_log_is_refused_unless_damage_is_skipped` (4),
`test_compaction_keeps_open_jobs_and_drops_finished_ones` (5); and by `tests/durable/test_crashes.py` with
whole dispatchers killed at each crash point.

A record is applied to the table of jobs when it is appended, before it is on the disk. Code that sends a
response on the basis of the table first waits for the record's future (`durable_state`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from locktide.durable.disk import Storage
from locktide.durable.errors import DamagedLogError, LogWriteError
from locktide.durable.jobs import JobTable
from locktide.durable.log import framing, records
from locktide.durable.log.compaction import Compactor
from locktide.durable.log.crash_point import CrashPoint, ignore_crash_point
from locktide.durable.log.reader import LogContents, list_segments, read_log, segment_number
from locktide.durable.log.segment_writer import SegmentWriter


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A framed record that waits for its sync."""

    frame: bytes
    done: asyncio.Future[None]

    def fail(self, error: LogWriteError) -> None:
        """Complete the future with an error of its own for each record of a batch."""
        if not self.done.done():
            self.done.set_exception(LogWriteError(error.reason, error.path, error.may_be_stored))

    def succeed(self) -> None:
        """Complete the future: the record is on the disk."""
        if not self.done.done():
            self.done.set_result(None)


class WriteAheadLog:
    """Owns the segments of one directory, and the table of jobs that is built from their records.

    Attributes:
        table: The jobs.
        contents: What was found in the directory when the log was opened.
        sync_count: How many syncs have succeeded.
        reach_crash_point: Called at each crash point; a simulation kills the dispatcher there.
    """

    def __init__(self, storage: Storage, segment_bytes: int, group_commit: bool = True) -> None:
        """Create a log object without opening the log.

        Args:
            storage: The directory.
            segment_bytes: Size of a segment in bytes above which the log is compacted.
            group_commit: Whether records that wait at the same time share a sync; if not, each has its own.
        """
        self.table = JobTable()
        self.contents = LogContents()
        self.sync_count = 0
        self.reach_crash_point: Callable[[CrashPoint], None] = ignore_crash_point
        self._storage = storage
        self._segment_bytes = segment_bytes
        self._group_commit = group_commit
        self._segment = SegmentWriter(storage)
        self._pending: list[PendingWrite] = []
        self._write_task: asyncio.Task[None] | None = None
        self._compaction_task: asyncio.Task[None] | None = None

    @property
    def failure(self) -> str:
        """Why nothing can be written any more; empty while writing is possible."""
        return self._segment.failure

    # --- opening

    def open(self, skip_damaged: bool = False) -> None:
        """Lock the directory, read the log and begin a new segment.

        Raises LogOpenError, or OSError if the log cannot be read; in both cases no file has been changed.
        """
        self._storage.acquire_lock()
        try:
            self.contents = read_log(self._storage, self.table)
            if self.contents.damaged and not skip_damaged:
                raise DamagedLogError(self.contents.damaged)
        except BaseException:
            self._storage.release_lock()
            raise
        last = max(self.contents.valid_sizes, default="")
        if self.contents.torn and last:
            self._cut_torn_end(last)
        # Each process begins a segment of its own, and never writes to the segments of earlier processes.
        self._segment.begin(segment_number(last) + 1 if last else 1)

    def _cut_torn_end(self, name: str) -> None:
        valid_size = self.contents.valid_sizes[name]
        if valid_size:
            self._storage.truncate(name, valid_size)
        else:
            self._storage.remove(name)

    # --- writing

    def append(self, record: records.AnyRecord) -> asyncio.Future[None]:
        """Apply a record to the table, and write it after all records that were appended before.

        Returns:
            A future that is done once the record is on the disk. If it raises LogWriteError, the record is
            not stored, unless the error says that it may be, and the caller must not continue as if it were.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.failure:
            done.set_exception(LogWriteError(self.failure, self._segment.name))
            return done
        self.table.apply(record)
        frame = framing.encode_frame(records.encode(record))
        self._pending.append(PendingWrite(frame, done))
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._write_pending())
        return done

    async def _write_pending(self) -> None:
        """Write the pending records, one batch per sync; records appended meanwhile form the next batch."""
        try:
            while self._pending:
                await self._write_batch(self._next_batch())
                if self._is_compaction_due():
                    self._begin_compaction()
        finally:
            self._write_task = None

    def _next_batch(self) -> list[PendingWrite]:
        size = len(self._pending) if self._group_commit else 1
        batch = self._pending[:size]
        self._pending = self._pending[size:]
        return batch

    async def _write_batch(self, batch: Sequence[PendingWrite]) -> None:
        """Append and sync a batch, and complete the futures of its records."""
        self.reach_crash_point(CrashPoint.BEFORE_WRITE)
        try:
            self._segment.append(b"".join(write.frame for write in batch))
            self.reach_crash_point(CrashPoint.BETWEEN_WRITE_AND_SYNC)
            await self._segment.sync()
        except LogWriteError as error:
            self._fail(batch, error)
            return
        self.reach_crash_point(CrashPoint.AFTER_SYNC)
        self.sync_count += 1
        for write in batch:
            write.succeed()

    def _fail(self, batch: Sequence[PendingWrite], error: LogWriteError) -> None:
        for write in batch:
            write.fail(error)
        if self.failure:
            self._fail_pending(self.failure)

    def _fail_pending(self, reason: str) -> None:
        error = LogWriteError(reason, self._segment.name)
        for write in self._pending:
            write.fail(error)
        self._pending = []

    async def wait_until_idle(self) -> None:
        """Wait until nothing is being written or compacted."""
        while (task := self._write_task or self._compaction_task) is not None:
            await asyncio.wait([task])

    def close(self) -> None:
        """Stop writing, fail the records that were not written, and release the directory."""
        for task in (self._write_task, self._compaction_task):
            if task is not None:
                task.cancel()
        self._fail_pending("the log is closed")
        self._storage.release_lock()

    # --- compaction

    def _is_compaction_due(self) -> bool:
        is_full = self._segment.size > self._segment_bytes
        return is_full and self._compaction_task is None and not self.failure

    def _begin_compaction(self) -> None:
        """Begin a new segment between two batches, and start to compact the older ones."""
        older_segments = list_segments(self._storage)
        try:
            self._segment.begin_next()
        except OSError:
            return  # no space for a new segment: records are still appended to the current one
        self._compaction_task = asyncio.create_task(self._compact(older_segments))

    async def _compact(self, older_segments: Sequence[str]) -> None:
        compactor = Compactor(self._storage, self.table, self.append, self.reach_crash_point)
        try:
            await compactor.compact(older_segments)
        finally:
            self._compaction_task = None


async def wait_ignoring_write_error(write: asyncio.Future[None]) -> None:
    """Wait for a write, and ignore its failure.

    Without the record, recovery assumes that more has run than really has, never less.
    """
    with suppress(LogWriteError):
        await write
