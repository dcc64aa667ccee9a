"""Attaches a job service to a dispatcher, configured by an installation's settings."""

from __future__ import annotations

import time
from pathlib import Path

from locktide.config.installation.durable_jobs import DurableJobsSection
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.durable.disk import DirectoryStorage, Storage
from locktide.durable.job_config import JobConfig
from locktide.durable.job_service import JobService
from locktide.durable.leases import LeaseConfig
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.durable.recovery import ClockReading
from locktide.durable.units import MICROSECONDS_PER_SECOND
from locktide.transport.log import Log

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BYTES_PER_MEGABYTE = 1 << 20
NANOSECONDS_PER_MICROSECOND = 1000


def read_clocks(boot_id_file: Path = BOOT_ID_FILE) -> ClockReading:
    """Read the machine's clocks.

    On a machine without a boot id each process makes up a boot id of its own, so that the uptime that one
    process recorded is never compared with the uptime that another one reads.
    """
    try:
        boot_id = boot_id_file.read_text(encoding="ascii").strip()
    except OSError:
        boot_id = f"unknown-{time.time_ns()}"
    return ClockReading(
        wall_time=time.time_ns() // NANOSECONDS_PER_MICROSECOND,
        boot_id=boot_id,
        uptime=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MICROSECOND,
    )


def job_config(settings: DurableJobsSection) -> JobConfig:
    """Return the configuration of durable jobs that the installation's settings describe."""
    return JobConfig(
        service_classes=frozenset(settings.service_classes),
        detached_timeout=_microseconds(settings.detached_timeout),
        retention=_microseconds(settings.retention),
        max_open_jobs=settings.max_open_jobs,
        resume_rate=settings.resume_rate,
        leases=LeaseConfig(_microseconds(settings.start_timeout), _microseconds(settings.heartbeat_timeout)),
    )


def _microseconds(seconds: float) -> int:
    return round(seconds * MICROSECONDS_PER_SECOND)


async def attach_job_service(
    dispatcher: Dispatcher,
    settings: DurableJobsSection,
    log: Log,
    storage: Storage | None = None,
    clocks: ClockReading | None = None,
) -> JobService:
    """Open the write-ahead log, attach a job service to the dispatcher and recover its jobs.

    Args:
        dispatcher: The dispatcher, which must not serve requests yet.
        settings: The section `[durable]` of the installation.
        log: The log of the dispatcher.
        storage: The storage of the write-ahead log; None for the directory that the settings name.
        clocks: A reading of the machine's clocks; None to read them now.

    Raises:
        LogOpenError: The write-ahead log cannot be opened; no file has been changed.
        OSError: The write-ahead log cannot be opened because of a disk error.
    """
    storage = storage or DirectoryStorage(Path(settings.directory))
    write_ahead_log = WriteAheadLog(storage, int(settings.segment_mb * BYTES_PER_MEGABYTE))
    write_ahead_log.open(skip_damaged=settings.damaged == "skip")
    service = JobService(dispatcher, write_ahead_log, job_config(settings), log)
    await service.recover(clocks or read_clocks())
    return service
