"""The write-ahead log of jobs: records appended to segments by group commit, compacted by snapshots."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from locktide.durable.disk import Storage
from locktide.durable.errors import DamagedLogError, LogWriteError
from locktide.durable.jobs import JobTable
from locktide.durable.log import framing, records
from locktide.durable.log.crash_point import CrashPoint, ignore_crash_point
from locktide.durable.log.reader import LogContents, list_segments, read_log, segment_name, segment_number

# Records of a snapshot that are written before other work has its turn again: about a millisecond of it.
SNAPSHOT_BATCH = 100


@dataclass(slots=True)
class PendingWrite:
    """A framed record that waits for its sync."""

    frame: bytes
    done: asyncio.Future[None]


class WriteAheadLog:
    """Owns the segments of one directory, and the table of jobs that its records make."""

    def __init__(self, storage: Storage, segment_bytes: int, group_commit: bool = True) -> None:
        self.storage = storage
        self.segment_bytes = segment_bytes  # size after which the log is compacted
        self.group_commit = group_commit
        self.table = JobTable()
        self.contents = LogContents()  # as found when it was opened
        self.segment = ""  # file name of the segment that is appended to
        self.segment_size = 0
        self.pending: list[PendingWrite] = []
        self.writing: asyncio.Task[None] | None = None
        self.compacting: asyncio.Task[None] | None = None
        self.failure = ""  # why nothing can be written any more
        self.sync_count = 0
        self.written_count = 0
        self.reach_crash_point: Callable[[CrashPoint], None] = ignore_crash_point

    # --- opening

    def open(self, skip_damaged: bool = False) -> None:
        """Locks the directory, reads it and begins a new segment.

        Raises LogOpenError or OSError, and has changed nothing then.
        """
        self.storage.acquire_lock()
        try:
            self.contents = read_log(self.storage, self.table)
            if self.contents.damaged and not skip_damaged:
                raise DamagedLogError("; ".join(self.contents.damaged))
        except BaseException:
            self.storage.release_lock()
            raise
        last = max(self.contents.valid_sizes, default="")
        if self.contents.torn and last:
            self._cut_torn_end(last)
        # A segment of our own, so that what an older process wrote is never written to again.
        self._begin_segment(segment_number(last) + 1 if last else 1)

    def _cut_torn_end(self, name: str) -> None:
        valid_size = self.contents.valid_sizes[name]
        if valid_size:
            self.storage.truncate(name, valid_size)
        else:
            self.storage.remove(name)

    def _begin_segment(self, number: int) -> None:
        name = segment_name(number)
        self.storage.create(name)
        self.storage.append(name, framing.encode_header(number))
        self.segment = name
        self.segment_size = framing.HEADER.size

    # --- writing

    def append(self, record: records.AnyRecord) -> asyncio.Future[None]:
        """Applies a record and writes it after all that was appended before; done once it is on the disk.

        The future raises LogWriteError; the caller must not go on as if the record were stored.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.failure:
            done.set_exception(LogWriteError(self.failure, self.segment))
            return done
        self.table.apply(record)
        self.pending.append(PendingWrite(framing.encode_frame(records.encode(record)), done))
        if self.writing is None:
            self.writing = asyncio.create_task(self._write_pending())
        return done

    async def _write_pending(self) -> None:
        """Writes one batch for each sync: what is appended meanwhile makes the next batch."""
        try:
            while self.pending:
                count = len(self.pending) if self.group_commit else 1
                batch = self.pending[:count]
                self.pending = self.pending[count:]
                await self._write_batch(batch)
                is_full = self.segment_size > self.segment_bytes
                if is_full and self.compacting is None and not self.failure:
                    self._rotate()
        finally:
            self.writing = None

    def _rotate(self) -> None:
        """Begins a new segment between two batches, and the compaction of the older ones."""
        older = list_segments(self.storage)
        try:
            self._begin_segment(segment_number(self.segment) + 1)
        except OSError:
            return  # no space for a new segment: the old one is still appended to
        self.compacting = asyncio.create_task(self._compact(older))

    async def _write_batch(self, batch: list[PendingWrite]) -> None:
        data = b"".join(write.frame for write in batch)
        segment = self.segment
        self.reach_crash_point(CrashPoint.BEFORE_WRITE)
        try:
            self.storage.append(segment, data)
        except OSError as error:
            self._undo_partial_write(str(error))
            self._fail(batch, str(error))
            return
        self.segment_size += len(data)
        self.reach_crash_point(CrashPoint.BETWEEN_WRITE_AND_SYNC)
        try:
            await self.storage.sync(segment)
        except OSError as error:
            # What a failed sync leaves on the disk is not known, and the next one may report success
            # (Rebello et al., "Can applications recover from fsync failures?", USENIX ATC 2020).
            self.failure = f"sync failed: {error}"
            self._fail(batch, self.failure)
            self._fail_pending(self.failure)
            return
        self.reach_crash_point(CrashPoint.AFTER_SYNC)
        self.sync_count += 1
        self.written_count += len(batch)
        for write in batch:
            if not write.done.done():
                write.done.set_result(None)

    def _undo_partial_write(self, reason: str) -> None:
        """Removes what was written of a batch that could not be written whole."""
        try:
            self.storage.truncate(self.segment, self.segment_size)
        except OSError as error:
            self.failure = f"{reason}; and it could not be taken back: {error}"

    def _fail(self, batch: Sequence[PendingWrite], reason: str) -> None:
        for write in batch:
            if not write.done.done():
                write.done.set_exception(LogWriteError(reason, self.segment))

    def _fail_pending(self, reason: str) -> None:
        self._fail(self.pending, reason)
        self.pending = []

    async def wait_until_idle(self) -> None:
        """Returns once nothing is being written or compacted."""
        while self.writing is not None or self.compacting is not None:
            task = self.writing or self.compacting
            assert task is not None
            await asyncio.wait([task])

    # --- compaction

    async def _compact(self, older: list[str]) -> None:
        """Writes a snapshot of the jobs into the new segment, and then removes the older segments.

        What is appended meanwhile goes into the new segment too. The snapshot of a job holds all that was
        recorded of it before, so it does not matter whether such a record is before or after it.
        """
        try:
            await self._write_snapshot()
            self.reach_crash_point(CrashPoint.BEFORE_OLD_SEGMENTS_REMOVED)
            for name in older:
                self.storage.remove(name)
            self.reach_crash_point(CrashPoint.AFTER_OLD_SEGMENTS_REMOVED)
        except (LogWriteError, OSError):
            pass  # the older segments are kept, and are read with the new one
        finally:
            self.compacting = None

    async def _write_snapshot(self) -> None:
        job_ids = list(self.table.jobs)
        if self.table.writer is not None:
            await self.append(self.table.writer)
        for start in range(0, len(job_ids), SNAPSHOT_BATCH):
            batch = job_ids[start : start + SNAPSHOT_BATCH]
            jobs = [self.table.jobs[job_id] for job_id in batch if job_id in self.table.jobs]
            if jobs:
                await asyncio.gather(*(self.append(job.snapshot()) for job in jobs))
        await self.append(records.SnapshotComplete(len(job_ids)))

    def close(self) -> None:
        """Stops writing, fails what was not written and releases the directory."""
        for task in (self.writing, self.compacting):
            if task is not None:
                task.cancel()
        self._fail_pending("closed")
        self.storage.release_lock()


async def wait_or_lose(write: asyncio.Future[None]) -> None:
    """Waits for a record that may be lost: without it recovery assumes more has run, never less."""
    with suppress(LogWriteError):
        await write
