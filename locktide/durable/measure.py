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
from locktide.durable.units import MICROSECONDS_PER_SECOND

#: Clients that submit concurrently, about as many as wait at a busy dispatcher.
CLIENT_COUNT = 64
#: Payload of each job.
BODY = b"x" * 200
#: Microseconds from the acceptance of a job to its deadline.
JOB_TIMEOUT = 100 * MICROSECONDS_PER_SECOND
#: Segment size in bytes that no measured log reaches, so that none is compacted.
UNLIMITED_SEGMENT = 1 << 40
#: Every n-th job of a log to recover has a lease.
LEASED_JOB_INTERVAL = 4
LEASE_CONFIG = LeaseConfig(
    start_timeout=60 * MICROSECONDS_PER_SECOND, heartbeat_timeout=15 * MICROSECONDS_PER_SECOND
)
MEDIAN_PERCENT = 50
TAIL_PERCENT = 99


@dataclass(frozen=True, slots=True)
class AcceptanceCost:
    """The time and the disk syncs that the acceptance of a number of jobs took.

    Attributes:
        count: How many jobs were accepted.
        duration: Seconds from the first submission to the last acceptance.
        p50: Median time to accept a job, in seconds.
        p99: 99th percentile of the time to accept a job, in seconds.
        sync_count: How many syncs of the disk succeeded.
    """

    count: int
    duration: float
    p50: float
    p99: float
    sync_count: int

    @property
    def rate(self) -> float:
        """Jobs accepted per second."""
        return self.count / self.duration


@dataclass(frozen=True, slots=True)
class RecoveryCost:
    """The time to read a log and to plan the recovery of its open jobs.

    Attributes:
        job_count: How many open jobs the log has.
        mean: Mean time of a recovery, in seconds.
        worst: Longest time of a recovery, in seconds.
    """

    job_count: int
    mean: float
    worst: float


def example_job(number: int) -> JobAccepted:
    """Return the record of an accepted job with a payload of typical size."""
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
        deadline=number + JOB_TIMEOUT,
        width=1.0,
    )


def example_lease(job: JobAccepted) -> LeaseGranted:
    """Return the record of a lease of a job."""
    return LeaseGranted(
        job_id=job.job_id,
        fence=1,
        worker="w0",
        zone="",
        cell=0,
        recorded_at=job.recorded_at,
        expires_at=LEASE_CONFIG.start_timeout,
    )


async def measure_acceptance(directory: Path, count: int, group_commit: bool) -> AcceptanceCost:
    """Accept `count` jobs from concurrent clients; each submits its next job once the last is on the disk."""
    log = WriteAheadLog(
        storage=DirectoryStorage(directory), segment_bytes=UNLIMITED_SEGMENT, group_commit=group_commit
    )
    log.open()
    waits: list[float] = []
    numbers = iter(range(count))

    async def submit_jobs() -> None:
        for number in numbers:
            submitted_at = time.perf_counter()
            await log.append(example_job(number))
            waits.append(time.perf_counter() - submitted_at)

    started_at = time.perf_counter()
    await asyncio.gather(*(submit_jobs() for _ in range(CLIENT_COUNT)))
    duration = time.perf_counter() - started_at
    log.close()
    waits.sort()
    return AcceptanceCost(
        count=count,
        duration=duration,
        p50=_percentile(waits, MEDIAN_PERCENT),
        p99=_percentile(waits, TAIL_PERCENT),
        sync_count=log.sync_count,
    )


def _percentile(sorted_values: list[float], percent: int) -> float:
    return sorted_values[len(sorted_values) * percent // 100]


async def write_open_jobs(directory: Path, count: int) -> None:
    """Write a log with `count` open jobs, some of which have a lease."""
    log = WriteAheadLog(DirectoryStorage(directory), UNLIMITED_SEGMENT)
    log.open()
    writes = [log.append(WriterStarted(0, "boot", 0))]
    for number in range(count):
        job = example_job(number)
        writes.append(log.append(job))
        if number % LEASED_JOB_INTERVAL == 0:
            writes.append(log.append(example_lease(job)))
    await asyncio.gather(*writes)
    log.close()


def time_recovery(directory: Path) -> float:
    """Return the seconds that one recovery takes."""
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
    """Measure recovery for each number of open jobs, in directories below `parent` that are removed again."""
    costs = []
    for size in sizes:
        directory = parent / f"recover-{size}"
        try:
            asyncio.run(write_open_jobs(directory, size))
            durations = [time_recovery(directory) for _ in range(repetitions)]
        finally:
            shutil.rmtree(directory, ignore_errors=True)
        mean = sum(durations) / len(durations)
        costs.append(RecoveryCost(job_count=size, mean=mean, worst=max(durations)))
    return costs


def measure_acceptances(parent: Path, count: int) -> tuple[AcceptanceCost, AcceptanceCost]:
    """Measure acceptance with one sync per job, then with group commit, on the same disk."""
    costs = []
    for group_commit in (False, True):
        directory = parent / f"accept-{group_commit}"
        try:
            costs.append(asyncio.run(measure_acceptance(directory, count, group_commit)))
        finally:
            shutil.rmtree(directory, ignore_errors=True)
    return costs[0], costs[1]
