"""Compaction: a snapshot of the jobs replaces the older segments of a write-ahead log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from locktide.durable.disk import Storage
from locktide.durable.errors import LogWriteError
from locktide.durable.jobs import JobTable
from locktide.durable.log import records
from locktide.durable.log.crash_point import CrashPoint

#: Records of a snapshot that are appended in one go, before the event loop can run other tasks: about a
#: millisecond.
SNAPSHOT_BATCH = 100

AppendRecord = Callable[[records.AnyRecord], asyncio.Future[None]]


class Compactor:
    """Writes a snapshot through the log itself, and then removes the older segments.

    Records that are appended during compaction go into the same new segment, before or after the snapshot of
    their job. Either order results in the same jobs, because a snapshot contains everything that was recorded
    of its job before. The older segments are removed only after `SnapshotComplete` is on the disk. A crash
    before that leaves them in place, and the next start reads them together with the new one. Verified by
    `test_compaction_keeps_open_jobs_and_drops_finished_ones`.
    """

    def __init__(
        self,
        storage: Storage,
        table: JobTable,
        append: AppendRecord,
        reach_crash_point: Callable[[CrashPoint], None],
    ) -> None:
        self._storage = storage
        self._table = table
        self._append = append
        self._reach_crash_point = reach_crash_point

    async def compact(self, older_segments: Sequence[str]) -> None:
        """Write a snapshot of the jobs, and then remove the older segments; keep them if the write fails."""
        try:
            await self._write_snapshot()
            self._reach_crash_point(CrashPoint.BEFORE_OLD_SEGMENTS_REMOVED)
            for name in older_segments:
                self._storage.remove(name)
            self._reach_crash_point(CrashPoint.AFTER_OLD_SEGMENTS_REMOVED)
        except (LogWriteError, OSError):
            return  # the older segments are read with the new one, and removed by the next compaction

    async def _write_snapshot(self) -> None:
        job_ids = list(self._table.jobs)
        if self._table.writer is not None:
            await self._append(self._table.writer)
        for start in range(0, len(job_ids), SNAPSHOT_BATCH):
            await self._write_jobs(job_ids[start : start + SNAPSHOT_BATCH])
        await self._append(records.SnapshotComplete(len(job_ids)))

    async def _write_jobs(self, job_ids: Sequence[str]) -> None:
        # A job may have been removed from the table while the previous batch was written.
        jobs = [self._table.jobs[job_id] for job_id in job_ids if job_id in self._table.jobs]
        await asyncio.gather(*(self._append(job.snapshot()) for job in jobs))
