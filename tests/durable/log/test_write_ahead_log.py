"""The write-ahead log: refused files, group commit, full and failing disks, compaction."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest
from durable_helpers import accepted_job, granted_lease, open_log, run_in_virtual_time

from locktide.durable.disk import DirectoryStorage
from locktide.durable.errors import DamagedLogError, ForeignFileError, LogWriteError, NewerFormatError
from locktide.durable.log import framing, records
from locktide.durable.log.crash_point import CrashPoint
from locktide.durable.log.reader import segment_name
from locktide.durable.log.records import JobFinished, WriterStarted
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.simulation.virtual_time.disk import VirtualDisk


def test_newer_format_and_foreign_file_are_refused_and_left_unchanged(tmp_path: Path) -> None:
    """Guard against overwritten files when a dispatcher opens a directory that it cannot read.

    A later version wrote the files before a rollback, or a wrong setting names a foreign directory. The owner
    of overwritten files could no longer read them. The start must be refused, and no file may change.
    """
    name = tmp_path / segment_name(1)
    newer = bytearray(framing.encode_header(1))
    newer[8] = framing.VERSION + 1
    for data, error in ((bytes(newer), NewerFormatError), (b"something else entirely", ForeignFileError)):
        name.write_bytes(data)
        with pytest.raises(error):
            WriteAheadLog(DirectoryStorage(tmp_path), 1 << 20).open()
        assert name.read_bytes() == data and len(list(tmp_path.glob("*.journal"))) == 1


def test_damaged_log_is_refused_unless_damage_is_skipped() -> None:
    """Guard against accepted jobs that are lost unnoticed after a bit has changed in an acknowledged record.

    A dispatcher that skipped the rest of the segment would lose them. The start must be refused with segment
    and byte, and the files must stay unchanged, until an operator decides to skip the damage.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, 0.001)
        log = open_log(disk)
        for number in range(5):
            await log.append(accepted_job(f"j{number}"))
        disk.crash()
        disk.files[segment_name(1)][200] ^= 4
        bytes_before = bytes(disk.files[segment_name(1)])
        with pytest.raises(DamagedLogError, match="at byte"):
            open_log(disk)
        assert bytes(disk.files[segment_name(1)]) == bytes_before and disk.mounted is None
        reopened = open_log(disk, skip_damaged=True)
        assert 0 < len(reopened.table.jobs) < 5 and reopened.contents.damaged

    run_in_virtual_time(scenario())


def test_group_commit_shares_a_sync_between_records() -> None:
    async def append_100_records(group_commit: bool) -> tuple[int, float]:
        disk = VirtualDisk(1, 0.01)
        log = open_log(disk, group_commit=group_commit)
        started_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(log.append(accepted_job(f"j{number}")) for number in range(100)))
        return log.sync_count, asyncio.get_running_loop().time() - started_at

    (shared_syncs, shared_time), (single_syncs, single_time) = (
        run_in_virtual_time(append_100_records(True)),
        run_in_virtual_time(append_100_records(False)),
    )
    assert shared_syncs <= 2 and single_syncs == 100 and single_time > 20 * shared_time


def test_acknowledged_records_survive_a_crash() -> None:
    """Guard against lost records when the power fails during writes and again during the next starts.

    Any prefix of the data that was not synced may be on the disk, with the rest missing or zeros. Every
    record whose future was done before the crash must be read again, and no record may count as damaged.
    """

    async def scenario(seed: int) -> None:
        disk = VirtualDisk(seed, 0.01, zeros=0.5)
        log = open_log(disk)
        acknowledged: list[str] = []

        async def append_later(number: int) -> None:
            await asyncio.sleep(number * 0.003)
            await log.append(accepted_job(f"j{number}"))
            acknowledged.append(f"j{number}")

        writers = [asyncio.create_task(append_later(number)) for number in range(40)]
        await asyncio.sleep(0.02 + seed * 0.0017)
        acknowledged_before_crash = set(acknowledged)
        disk.crash()
        reopened = open_log(disk)
        assert acknowledged_before_crash <= reopened.table.jobs.keys() and not reopened.contents.damaged
        for task in writers:
            task.cancel()
        # The process is killed during recovery, three times in a row.
        for _ in range(3):
            appended = reopened.append(WriterStarted(0, "boot", 0))
            await asyncio.sleep(0)
            disk.crash()
            appended.cancel()
            reopened = open_log(disk)
            assert acknowledged_before_crash <= reopened.table.jobs.keys()

    for seed in range(25):
        run_in_virtual_time(scenario(seed))


def test_full_disk_rejects_a_record_and_loses_no_other() -> None:
    """Guard against unreadable records after a record that was written in part because the disk was full.

    The write of the record must fail and the part must be removed, and records must be accepted again as soon
    as there is space.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, 0.001)
        log = open_log(disk)
        await log.append(accepted_job("before"))
        disk.free_bytes = 50
        with pytest.raises(LogWriteError, match="no space"):
            await log.append(accepted_job("too much"))
        disk.free_bytes = None
        await log.append(accepted_job("after"))
        disk.crash()
        reopened = open_log(disk)
        assert reopened.table.jobs.keys() == {"before", "after"} and not reopened.contents.torn

    run_in_virtual_time(scenario())


def test_partial_write_that_cannot_be_removed_ends_all_writing() -> None:
    """Guard against a damaged log when the disk is full and the partial write cannot be removed either.

    If the next record were written after the part, it would be acknowledged, and the next start would find
    damage and refuse the log. Nothing may be written until a restart, which cuts off the part.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, 0.001)
        storage = disk.mount()
        log = WriteAheadLog(storage, 1 << 30, group_commit=False)
        log.open()
        await log.append(accepted_job("before"))

        def fail_and_free_space(name: str, size: int) -> None:
            disk.free_bytes = None
            raise OSError(errno.EIO, f"input/output error: {name} to {size} bytes")

        storage.truncate = fail_and_free_space  # type: ignore[method-assign]
        disk.free_bytes = 50
        writes = [log.append(accepted_job("half")), log.append(accepted_job("waiting"))]
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert [type(result) for result in results] == [LogWriteError, LogWriteError]
        with pytest.raises(LogWriteError, match="partial write could not be removed"):
            await log.append(accepted_job("later"))
        disk.synced = {file: len(data) for file, data in disk.files.items()}  # the part is on the disk
        disk.crash()
        reopened = open_log(disk)
        assert reopened.table.jobs.keys() == {"before"} and len(reopened.contents.torn) == 1

    run_in_virtual_time(scenario())


def test_full_disk_at_the_start_of_a_segment_leaves_no_file_behind() -> None:
    """Guard against a refused log when the disk is full at the start of a segment and a later write is torn.

    The new segment stayed without its header, so that the torn end of the segment in use was no longer in the
    last segment and counted as damage. The file must be removed, and begun again once there is space.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, 0.001)
        log = open_log(disk, segment_bytes=50)
        framed = framing.FRAME.size + len(records.encode(accepted_job("a")))
        disk.free_bytes = framed + framing.HEADER.size // 2
        await log.append(accepted_job("a"))
        assert list(disk.files) == [segment_name(1)] and not log.failure
        disk.free_bytes = None
        await log.append(accepted_job("b"))
        await log.wait_until_idle()
        assert list(disk.files) == [segment_name(2)]
        disk.crash()
        assert open_log(disk).table.jobs.keys() == {"a", "b"}

    run_in_virtual_time(scenario())


def test_no_write_succeeds_after_a_failed_sync() -> None:
    """Guard against lost records when a sync fails and the next one reports success.

    The kernel may have dropped the pages that could not be written, so that the second report does not cover
    them. This process must not acknowledge any further record.
    """

    async def scenario() -> None:
        disk = VirtualDisk(1, 0.001)
        log = open_log(disk)
        disk.fails_sync = True
        with pytest.raises(LogWriteError):
            await log.append(accepted_job("a"))
        disk.fails_sync = False
        with pytest.raises(LogWriteError, match="sync failed"):
            await log.append(accepted_job("b"))

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("point", ["", "before old segments go", "after old segments went"])
def test_compaction_keeps_open_jobs_and_drops_finished_ones(point: str) -> None:
    """Guard against jobs that are lost or come back when a crash interrupts the removal of older segments.

    The log exceeds its segment size repeatedly. Every open job must be in the log at the next start, and
    finished jobs past their retention must not. The log must not grow with the total number of jobs.
    """

    async def scenario() -> None:
        disk = VirtualDisk(3, 0.001)
        log = open_log(disk, segment_bytes=20_000)

        def crash_at_point(reached: CrashPoint) -> None:
            if reached == point:
                disk.crash()

        log.reach_crash_point = crash_at_point
        for number in range(400):
            job_id = f"j{number}"
            await log.append(accepted_job(job_id, number))
            if number % 10:
                await log.append(granted_lease(job_id))
                await log.append(JobFinished(job_id, 200, b"result", 0, number))
                log.table.drop_expired(number, 50)
            if disk.mounted is None:
                break
        last = number
        if not point:
            await log.wait_until_idle()
            disk.crash()
        reopened = open_log(disk)
        assert [job.job_id for job in reopened.table.open_jobs()] == [f"j{n}" for n in range(0, last + 1, 10)]
        if not point:
            assert sum(map(len, disk.files.values())) < 45_000  # not compacted: 90,000

    run_in_virtual_time(scenario())
