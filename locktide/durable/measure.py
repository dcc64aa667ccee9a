"""Measures a write-ahead log on a given disk: acceptance with and without group commit, recovery by size."""

from __future__ import annotations

import asyncio
import shutil
import time
from dataclasses import dataclass
from pathlib import Path

from locktide.durable import recovery
from locktide.durable.disk import DirectoryStorage
from locktide.durable.leases import LeaseConfig, LeaseTable
from locktide.durable.log.records import JobAccepted, LeaseGranted, WriterStarted
from locktide.durable.log.write_ahead_log import WriteAheadLog

CLIENTS = 64  # that submit at once: as many wait at a busy dispatcher
BODY = b"x" * 200
SECOND = 1_000_000  # in microseconds
UNLIMITED_SEGMENT = 1 << 40  # bytes: nothing is compacted
LEASED_JOB_INTERVAL = 4  # every fourth job of a log to recover has a lease
LEASE_CONFIG = LeaseConfig(60 * SECOND, 15 * SECOND)


@dataclass(frozen=True, slots=True)
class AcceptanceCost:
    """Cost of `count` acceptances; times in seconds."""

    count: int
    duration: float
    p50: float
    p99: float
    sync_count: int

    @property
    def rate(self) -> float:
        """Jobs accepted in a second."""
        return self.count / self.duration


@dataclass(frozen=True, slots=True)
class RecoveryCost:
    """Seconds to read a log and to plan what to do with its open jobs."""

    job_count: int
    mean: float
    worst: float


def example_job(number: int) -> JobAccepted:
    """Returns the record of an accepted job of ordinary size."""
    job_id = f"job-{number:08d}"
    headers = [(b"req-id", job_id.encode()), (b"idempotency-key", job_id.encode())]
    return JobAccepted(
        job_id=job_id,
        key=job_id,
        digest="0" * 64,
        service_class="record",
        method="POST",
        target="/record",
        forwarded_headers=headers,
        body=BODY,
        recorded_at=number,
        deadline=number + 100 * SECOND,
        width=1.0,
    )


async def measure_acceptance(directory: Path, count: int, group_commit: bool) -> AcceptanceCost:
    """Lets each client submit its next job once the last one is on the disk."""
    log = WriteAheadLog(DirectoryStorage(directory), UNLIMITED_SEGMENT, group_commit)
    log.open()
    waits: list[float] = []
    numbers = iter(range(count))

    async def submit_jobs() -> None:
        for number in numbers:
            submitted_at = time.perf_counter()
            await log.append(example_job(number))
            waits.append(time.perf_counter() - submitted_at)

    started_at = time.perf_counter()
    await asyncio.gather(*(submit_jobs() for _ in range(CLIENTS)))
    duration = time.perf_counter() - started_at
    log.close()
    waits.sort()
    p50 = waits[len(waits) // 2]
    p99 = waits[len(waits) * 99 // 100]
    return AcceptanceCost(count, duration, p50, p99, log.sync_count)


async def write_open_jobs(directory: Path, count: int) -> None:
    """Writes a log with so many open jobs; every fourth has a lease."""
    log = WriteAheadLog(DirectoryStorage(directory), UNLIMITED_SEGMENT)
    log.open()
    writes = [log.append(WriterStarted(0, "boot", 0))]
    for number in range(count):
        job = example_job(number)
        writes.append(log.append(job))
        if number % LEASED_JOB_INTERVAL == 0:
            writes.append(log.append(LeaseGranted(job.job_id, 1, "w0", "", 0, number, 60 * SECOND)))
    await asyncio.gather(*writes)
    log.close()


def time_recovery(directory: Path) -> float:
    """Returns the seconds that one recovery takes."""
    started_at = time.perf_counter()
    log = WriteAheadLog(DirectoryStorage(directory), UNLIMITED_SEGMENT)
    log.open()
    leases = LeaseTable(LEASE_CONFIG)
    elapsed = recovery.ElapsedBounds(0, 0)
    steps = recovery.plan(log.table, leases, elapsed, log.table.last_recorded_at)
    duration = time.perf_counter() - started_at
    assert len(steps) == log.table.open_count
    log.close()
    return duration


def measure_recoveries(parent: Path, sizes: list[int], repetitions: int) -> list[RecoveryCost]:
    """Measures recovery at each size, in directories below `parent` that are removed again."""
    costs = []
    for size in sizes:
        directory = parent / f"recover-{size}"
        try:
            asyncio.run(write_open_jobs(directory, size))
            durations = [time_recovery(directory) for _ in range(repetitions)]
        finally:
            shutil.rmtree(directory, ignore_errors=True)
        costs.append(RecoveryCost(size, sum(durations) / len(durations), max(durations)))
    return costs


def measure_acceptances(parent: Path, count: int) -> tuple[AcceptanceCost, AcceptanceCost]:
    """Measures acceptance with one sync each, then with group commit, on the same disk."""
    costs = []
    for group_commit in (False, True):
        directory = parent / f"accept-{group_commit}"
        try:
            costs.append(asyncio.run(measure_acceptance(directory, count, group_commit)))
        finally:
            shutil.rmtree(directory, ignore_errors=True)
    return costs[0], costs[1]
