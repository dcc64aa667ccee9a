"""The journal of jobs: records appended to segments, many to one sync; read again at a start; compacted by
snapshots.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from locktide.durable.disk import Storage
from locktide.durable.jobs import JobTable
from locktide.durable.log import framing as frames
from locktide.durable.log import records

SEGMENT = re.compile(r"(\d{10})\.journal")
# Records of a snapshot that are written before other work has its turn again: about a millisecond of it.
CHUNK = 100


class DamagedLogError(Exception):
    """The journal holds what was once good and is not any more. Nothing was changed."""


class LogWriteError(Exception):
    """The disk is full or broken: what was to be written does not stand."""


@dataclass(slots=True)
class LogContents:
    """What a start found, for the log and for `locktide jobs verify`."""

    segments: int = 0
    records: int = 0
    bytes: int = 0
    torn: list[str] = field(default_factory=list)
    damaged: list[str] = field(default_factory=list)


def segment_name(number: int) -> str:
    return f"{number:010d}.journal"


def unfinished(data: bytes, name: str) -> bool:
    """Whether a crash came before the header of this segment was on the disk, so before any record of it."""
    whole = frames.header(int(name.partition(".")[0]))
    return data[: len(whole)] != whole and whole.startswith(data.rstrip(b"\0"))


def read(disk: Storage, table: JobTable, found: LogContents) -> dict[str, int]:
    """Applies all good records; the size up to which each segment is good. Raises Newer and Foreign.

    What is damaged is noted and the rest of its segment is left out; whether that is borne is the caller's to
    say.
    """
    sizes: dict[str, int] = {}
    names = [name for name in disk.names() if SEGMENT.fullmatch(name)]
    for place, name in enumerate(names):
        data = disk.read(name)
        last = place == len(names) - 1
        if last and unfinished(data, name):  # made just before a crash
            found.torn.append(f"{name}: {len(data)} bytes, no whole header")
            sizes[name] = 0
            continue
        frames.check_header(data, name)
        found.segments += 1
        sizes[name] = len(data)
        for item in frames.records(data):
            if isinstance(item, frames.FramingFault):
                what = f"{name}: at byte {item.at}: {item.why}"
                # Only the segment that was written last can have been cut short.
                torn = item.kind == frames.TORN and last
                (found.torn if torn else found.damaged).append(what)
                sizes[name] = item.at
                break
            at, payload = item
            try:
                table.apply(records.decode(payload))
            except msgspec.DecodeError as trouble:
                found.damaged.append(f"{name}: at byte {at}: {trouble}")
                sizes[name] = at
                break
            found.records += 1
        found.bytes += len(data)
    return sizes


class WriteAheadLog:
    """Owns the segments of one directory. `append` returns once the record is on the disk."""

    def __init__(self, disk: Storage, segment_bytes: int, group: bool = True) -> None:
        self.disk, self.segment_bytes, self.group = disk, segment_bytes, group
        self.table = JobTable()
        self.found = LogContents()
        self.name, self.size = "", 0
        self.waiting: list[tuple[bytes, asyncio.Future[None]]] = []
        self.writing: asyncio.Task[None] | None = None
        self.compacting: asyncio.Task[None] | None = None
        self.broken = ""  # why nothing can be written any more
        self.syncs = self.appended = 0
        self.point: Callable[[str], None] = lambda name: None  # where a test may let the process die

    # --- opening

    def open(self, skip_damaged: bool = False) -> None:
        """Takes the directory and reads it. Raises Taken, Newer, Foreign, Damaged or OSError, and has changed
        nothing then."""
        self.disk.take()
        try:
            sizes = read(self.disk, self.table, self.found)
            if self.found.damaged and not skip_damaged:
                raise DamagedLogError("; ".join(self.found.damaged))
        except BaseException:
            self.disk.give_back()
            raise
        last = max(sizes, default="")
        if self.found.torn and last:
            if sizes[last]:
                self.disk.truncate(last, sizes[last])
            else:
                self.disk.remove(last)
        # A segment of our own, so that what an older process wrote is never written to again.
        number = int(SEGMENT.fullmatch(last)[1]) if last else 0  # type: ignore[index]
        self.begin_segment(number + 1)

    def begin_segment(self, number: int) -> None:
        name = segment_name(number)
        self.disk.create(name)
        self.disk.append(name, frames.header(number))
        self.name, self.size = name, frames.HEADER.size

    @property
    def number(self) -> int:
        return int(self.name.partition(".")[0])

    # --- writing

    def append(self, record: records.AnyRecord) -> asyncio.Future[None]:
        """Applies it and writes it behind all that was appended before; done once it is on the disk.

        Raises Unwritable out of the future; the caller must not go on as if it stood.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.broken:
            done.set_exception(LogWriteError(self.broken))
            return done
        self.table.apply(record)
        self.waiting.append((frames.frame(records.encode(record)), done))
        if self.writing is None:
            self.writing = asyncio.create_task(self.write())
        return done

    async def write(self) -> None:
        """Writes what waits, in one batch for each sync: what comes meanwhile makes the next batch."""
        try:
            while self.waiting:
                count = len(self.waiting) if self.group else 1
                batch, self.waiting = self.waiting[:count], self.waiting[count:]
                await self.write_batch(batch)
                if self.size > self.segment_bytes and self.compacting is None and not self.broken:
                    self.rotate()
        finally:
            self.writing = None

    def rotate(self) -> None:
        """Between two batches: what was written is on the disk, and what follows goes to a new segment."""
        older = [name for name in self.disk.names() if SEGMENT.fullmatch(name)]
        try:
            self.begin_segment(self.number + 1)
        except OSError:
            return  # no room for one: the old segment goes on
        self.compacting = asyncio.create_task(self.compact(older))

    async def write_batch(self, batch: list[tuple[bytes, asyncio.Future[None]]]) -> None:
        data, name = b"".join(framed for framed, _ in batch), self.name
        self.point("before write")
        try:
            self.disk.append(name, data)
        except OSError as trouble:
            self.cut_back(str(trouble))
            self.fail(batch, str(trouble))
            return
        self.size += len(data)
        self.point("between write and sync")
        try:
            await self.disk.sync(name)
        except OSError as trouble:
            # What a failed sync leaves on the disk is not known, and the next one may say that all is well
            # (Rebello et al., "Can applications recover from fsync failures?", USENIX ATC 2020).
            self.broken = f"sync failed: {trouble}"
            self.fail(batch, self.broken)
            self.fail(self.waiting, self.broken)
            self.waiting = []
            return
        self.point("after sync")
        self.syncs += 1
        self.appended += len(batch)
        for _, done in batch:
            if not done.done():
                done.set_result(None)

    def cut_back(self, why: str) -> None:
        """Takes away what stands of a batch that could not be written whole."""
        try:
            self.disk.truncate(self.name, self.size)
        except OSError as trouble:
            self.broken = f"{why}; and it could not be taken back: {trouble}"

    @staticmethod
    def fail(batch: list[tuple[bytes, asyncio.Future[None]]], why: str) -> None:
        for _, done in batch:
            if not done.done():
                done.set_exception(LogWriteError(why))

    async def settle(self) -> None:
        """Until nothing waits to be written."""
        while self.writing is not None or self.compacting is not None:
            task = self.writing or self.compacting
            assert task is not None
            await asyncio.wait([task])

    # --- compaction

    async def compact(self, older: list[str]) -> None:
        """Writes the jobs that count into a new segment, and then drops the older ones.

        What comes meanwhile goes into the new segment too. A job's snapshot holds all that was said of it
        before, so it does not matter whether such a record stands before or after it.
        """
        try:
            ids = list(self.table.jobs)
            if self.table.began is not None:
                await self.append(self.table.began)
            for place in range(0, len(ids), CHUNK):
                jobs = [self.table.jobs[id] for id in ids[place : place + CHUNK] if id in self.table.jobs]
                if jobs:
                    await asyncio.gather(*(self.append(job.kept()) for job in jobs))
            await self.append(records.SnapshotComplete(len(ids)))
            self.point("before old segments go")
            for name in older:
                self.disk.remove(name)
            self.point("after old segments went")
        except (LogWriteError, OSError):
            pass  # the older segments stand, and are read with the new one
        finally:
            self.compacting = None

    def close(self) -> None:
        for task in (self.writing, self.compacting):
            if task is not None:
                task.cancel()
        self.fail(self.waiting, "closed")
        self.waiting = []
        self.disk.give_back()
