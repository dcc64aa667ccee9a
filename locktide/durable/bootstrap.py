"""Joins durable jobs to a node by an installation's settings."""

from __future__ import annotations

import time
from pathlib import Path

from locktide.config.installation import Durable
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.durable import leases
from locktide.durable.disk import DirectoryStorage, Storage
from locktide.durable.job_service import JobConfig, JobService
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.durable.recovery import ClockReading
from locktide.transport.log import Log

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def moment(boot_id: Path = BOOT_ID) -> ClockReading:
    """The machine's clocks. Where it does not say which boot this is, none is like another."""
    try:
        boot = boot_id.read_text(encoding="ascii").strip()
    except OSError:
        boot = f"unknown-{time.time_ns()}"
    return ClockReading(time.time_ns() // 1000, boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)


def terms(told: Durable) -> JobConfig:
    return JobConfig(
        frozenset(told.grades),
        round(told.limit * 1e6),
        round(told.keep * 1e6),
        told.most_open,
        told.pace,
        leases.LeaseConfig(round(told.start_within * 1e6), round(told.beat_within * 1e6)),
    )


async def join(
    node: Dispatcher, told: Durable, log: Log, disk: Storage | None = None, now: ClockReading | None = None
) -> JobService:
    """Raises Taken, Newer, Foreign, Damaged or OSError, and has changed nothing then."""
    journal = WriteAheadLog(disk or DirectoryStorage(Path(told.directory)), int(told.segment_mb * (1 << 20)))
    journal.open(skip_damaged=told.damaged == "skip")
    desk = JobService(node, journal, terms(told), log)
    await desk.recover(now or moment())
    return desk
