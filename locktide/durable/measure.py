"""What a journal costs on this disk: acceptance by one sync each and by group commit, recovery by size."""

from __future__ import annotations

import asyncio
import shutil
import time
from dataclasses import dataclass
from pathlib import Path

from locktide.durable import leases, recovery
from locktide.durable.disk import DirectoryStorage
from locktide.durable.log.records import JobAccepted, LeaseGranted, WriterStarted
from locktide.durable.log.write_ahead_log import WriteAheadLog

CLIENTS = 64  # that hand in at once: as many wait at a busy dispatcher
BODY = b"x" * 200
S = 1_000_000


@dataclass(frozen=True, slots=True)
class Cost:
    """Of `count` acceptances, in seconds."""

    count: int
    took: float
    p50: float
    p99: float
    syncs: int

    @property
    def rate(self) -> float:
        return self.count / self.took


@dataclass(frozen=True, slots=True)
class Took:
    """Seconds to read a journal and to plan what to do with its open jobs."""

    jobs: int
    mean: float
    worst: float


def job(number: int) -> JobAccepted:
    id = f"job-{number:08d}"
    onward = [(b"req-id", id.encode()), (b"idempotency-key", id.encode())]
    limit_at = number + 100 * S
    return JobAccepted(id, id, "0" * 64, "record", "POST", "/record", onward, BODY, number, limit_at, 1.0)


async def acceptance(folder: Path, count: int, group: bool) -> Cost:
    """Each client hands in its next job once the last one is on the disk."""
    journal = WriteAheadLog(DirectoryStorage(folder), 1 << 40, group)
    journal.open()
    waits: list[float] = []
    numbers = iter(range(count))

    async def client() -> None:
        for number in numbers:
            begun = time.perf_counter()
            await journal.append(job(number))
            waits.append(time.perf_counter() - begun)

    begun = time.perf_counter()
    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    took = time.perf_counter() - begun
    journal.close()
    waits.sort()
    return Cost(count, took, waits[len(waits) // 2], waits[len(waits) * 99 // 100], journal.syncs)


async def write(folder: Path, count: int) -> None:
    """A journal with so many open jobs; every fourth is on lease."""
    journal = WriteAheadLog(DirectoryStorage(folder), 1 << 40)
    journal.open()
    begun = [journal.append(WriterStarted(0, "boot", 0))]
    for number in range(count):
        begun.append(journal.append(job(number)))
        if not number % 4:
            begun.append(journal.append(LeaseGranted(job(number).id, 1, "w0", "", 0, number, 60 * S)))
    await asyncio.gather(*begun)
    journal.close()


def recover(folder: Path) -> float:
    begun = time.perf_counter()
    journal = WriteAheadLog(DirectoryStorage(folder), 1 << 40)
    journal.open()
    held = leases.LeaseTable(leases.LeaseConfig(60 * S, 15 * S))
    steps = recovery.plan(journal.table, held, recovery.ElapsedBounds(0, 0), journal.table.last_at)
    took = time.perf_counter() - begun
    assert len(steps) == journal.table.opened
    journal.close()
    return took


def recoveries(below: Path, sizes: list[int], times: int) -> list[Took]:
    """Below a directory that is made, and removed again."""
    found = []
    for size in sizes:
        folder = below / f"recover-{size}"
        try:
            asyncio.run(write(folder, size))
            took = [recover(folder) for _ in range(times)]
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        found.append(Took(size, sum(took) / len(took), max(took)))
    return found


def acceptances(below: Path, count: int) -> tuple[Cost, Cost]:
    """One sync each, then group commit, on the same disk."""
    costs = []
    for group in (False, True):
        folder = below / f"accept-{group}"
        try:
            costs.append(asyncio.run(acceptance(folder, count, group)))
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    return costs[0], costs[1]
