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
    """After a rollback, or by a wrong setting, a dispatcher opens a directory that is not its own.

    Were it to write there, the later program or whoever owns the file could not read it any more. The start
    must be refused, and every file must stay as it was.
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
    """A bit changes on the disk in a record that was acknowledged long ago.

    A dispatcher that left out the rest of the segment would lose accepted jobs, and nobody would know. The
    start must be refused with segment and byte, and the files left as they are, until an operator decides
    to skip the damage.
    """

    async def scenario() -> None:
        platter = VirtualDisk(1, 0.001)
        log = open_log(platter)
        for number in range(5):
            await log.append(accepted_job(f"j{number}"))
        platter.crash()
        platter.files[segment_name(1)][200] ^= 4
        before = bytes(platter.files[segment_name(1)])
        with pytest.raises(DamagedLogError, match="at byte"):
            open_log(platter)
        assert bytes(platter.files[segment_name(1)]) == before and platter.mounted is None
        reopened = open_log(platter, skip_damaged=True)
        assert 0 < len(reopened.table.jobs) < 5 and reopened.contents.damaged

    run_in_virtual_time(scenario())


def test_group_commit_shares_a_sync_between_records() -> None:
    async def append_100_records(group: bool) -> tuple[int, float]:
        platter = VirtualDisk(1, 0.01)
        log = open_log(platter, group_commit=group)
        started_at = asyncio.get_running_loop().time()
        await asyncio.gather(*(log.append(accepted_job(f"j{number}")) for number in range(100)))
        return log.sync_count, asyncio.get_running_loop().time() - started_at

    (shared_syncs, shared_time), (single_syncs, single_time) = (
        run_in_virtual_time(append_100_records(True)),
        run_in_virtual_time(append_100_records(False)),
    )
    assert shared_syncs <= 2 and single_syncs == 100 and single_time > 20 * shared_time


def test_acknowledged_records_survive_a_crash() -> None:
    """The machine loses its power while records are being written, and again during each of the next starts.

    Of what was not synced any first part may be on the disk, the rest missing or zeros. Every record whose
    future was done before the crash must be read again, and nothing may be taken for damage.
    """

    async def scenario(seed: int) -> None:
        platter = VirtualDisk(seed, 0.01, zeros=0.5)
        log = open_log(platter)
        acknowledged: list[str] = []

        async def add(number: int) -> None:
            await asyncio.sleep(number * 0.003)
            await log.append(accepted_job(f"j{number}"))
            acknowledged.append(f"j{number}")

        writers = [asyncio.create_task(add(number)) for number in range(40)]
        await asyncio.sleep(0.02 + seed * 0.0017)
        acknowledged_before_crash = set(acknowledged)
        platter.crash()
        reopened = open_log(platter)
        assert acknowledged_before_crash <= reopened.table.jobs.keys() and not reopened.contents.damaged
        for task in writers:
            task.cancel()
        # Killed while it recovers, three times in a row.
        for _ in range(3):
            appended = reopened.append(WriterStarted(0, "boot", 0))
            await asyncio.sleep(0)
            platter.crash()
            appended.cancel()
            reopened = open_log(platter)
            assert acknowledged_before_crash <= reopened.table.jobs.keys()

    for seed in range(25):
        run_in_virtual_time(scenario(seed))


def test_full_disk_rejects_a_record_and_loses_no_other() -> None:
    """The disk is full in the middle of a record, and an operator frees space later.

    Half a record in the log would make everything behind it unreadable. The record must be rejected and its
    half removed, and records must be accepted again as soon as there is space.
    """

    async def scenario() -> None:
        platter = VirtualDisk(1, 0.001)
        log = open_log(platter)
        await log.append(accepted_job("before"))
        platter.room = 50
        with pytest.raises(LogWriteError, match="no space"):
            await log.append(accepted_job("too much"))
        platter.room = None
        await log.append(accepted_job("after"))
        platter.crash()
        reopened = open_log(platter)
        assert reopened.table.jobs.keys() == {"before", "after"} and not reopened.contents.torn

    run_in_virtual_time(scenario())


def test_record_that_cannot_be_taken_back_ends_all_writing() -> None:
    """The disk is full in the middle of a record, and cutting the log back fails as well.

    Half a record stays in the segment, while another record waits to be written. Were that one written
    behind the half, it would be acknowledged, and the next start would find damage and refuse the log.
    Nothing may be written any more until a restart, which cuts off the half.
    """

    async def scenario() -> None:
        platter = VirtualDisk(1, 0.001)
        storage = platter.mount()
        log = WriteAheadLog(storage, 1 << 30, group_commit=False)
        log.open()
        await log.append(accepted_job("before"))

        def fail_and_free_space(name: str, size: int) -> None:
            platter.room = None
            raise OSError(errno.EIO, f"input/output error: {name} to {size} bytes")

        storage.truncate = fail_and_free_space  # type: ignore[method-assign]
        platter.room = 50
        writes = [log.append(accepted_job("half")), log.append(accepted_job("waiting"))]
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert [type(result) for result in results] == [LogWriteError, LogWriteError]
        with pytest.raises(LogWriteError, match="partial write could not be removed"):
            await log.append(accepted_job("later"))
        platter.synced = {file: len(data) for file, data in platter.files.items()}  # the half is on the disk
        platter.crash()
        reopened = open_log(platter)
        assert reopened.table.jobs.keys() == {"before"} and len(reopened.contents.torn) == 1

    run_in_virtual_time(scenario())


def test_full_disk_at_the_start_of_a_segment_leaves_no_file_behind() -> None:
    """The disk is full just as the log begins its next segment, and the dispatcher dies later in a write.

    The file of the new segment was there without its header, so the torn end of the one in use was not in
    the last segment any more: the next start took it for damage and refused the log. The file must be
    removed, and the log must begin it anew once there is space.
    """

    async def scenario() -> None:
        platter = VirtualDisk(1, 0.001)
        log = open_log(platter, segment_bytes=50)
        framed = framing.FRAME.size + len(records.encode(accepted_job("a")))
        platter.room = framed + framing.HEADER.size // 2
        await log.append(accepted_job("a"))
        assert list(platter.files) == [segment_name(1)] and not log.failure
        platter.room = None
        await log.append(accepted_job("b"))
        await log.wait_until_idle()
        assert list(platter.files) == [segment_name(2)]
        platter.crash()
        assert open_log(platter).table.jobs.keys() == {"a", "b"}

    run_in_virtual_time(scenario())


def test_no_write_succeeds_after_a_failed_sync() -> None:
    """The disk reports that a sync has failed, and that the next one succeeded.

    The kernel may have dropped the pages that could not be written, so the second report says nothing about
    them. No record may be acknowledged by this process any more.
    """

    async def scenario() -> None:
        platter = VirtualDisk(1, 0.001)
        log = open_log(platter)
        platter.fails_sync = True
        with pytest.raises(LogWriteError):
            await log.append(accepted_job("a"))
        platter.fails_sync = False
        with pytest.raises(LogWriteError, match="sync failed"):
            await log.append(accepted_job("b"))

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("point", ["", "before old segments go", "after old segments went"])
def test_compaction_keeps_open_jobs_and_drops_finished_ones(point: str) -> None:
    """A log grows over its size again and again, and in two cases the dispatcher dies while older segments
    go.

    Whatever part of them is gone, every open job must be there at the next start, and jobs that are
    finished and past their retention must not come back. The log must not grow with the number of jobs that
    ever were.
    """

    async def scenario() -> None:
        platter = VirtualDisk(3, 0.001)
        log = open_log(platter, segment_bytes=20_000)

        def crash_at_point(reached: CrashPoint) -> None:
            if reached == point:
                platter.crash()

        log.reach_crash_point = crash_at_point
        for number in range(400):
            job_id = f"j{number}"
            await log.append(accepted_job(job_id, number))
            if number % 10:
                await log.append(granted_lease(job_id))
                await log.append(JobFinished(job_id, 200, b"result", 0, number))
                log.table.drop_expired(number, 50)
            if platter.mounted is None:
                break
        last = number
        if not point:
            await log.wait_until_idle()
            platter.crash()
        reopened = open_log(platter)
        assert [job.job_id for job in reopened.table.open_jobs()] == [f"j{n}" for n in range(0, last + 1, 10)]
        if not point:
            assert sum(map(len, platter.files.values())) < 45_000  # 400 jobs were 90,000 bytes

    run_in_virtual_time(scenario())
