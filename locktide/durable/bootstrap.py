"""Attaches durable jobs to a dispatcher by an installation's settings."""

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
from locktide.transport.log import Log

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MEGABYTE = 1 << 20


def read_clocks(boot_id_file: Path = BOOT_ID) -> ClockReading:
    """Reads the machine's clocks; where it does not tell its boot, the id given is like no other."""
    try:
        boot_id = boot_id_file.read_text(encoding="ascii").strip()
    except OSError:
        boot_id = f"unknown-{time.time_ns()}"
    wall_time = time.time_ns() // 1000
    uptime = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
    return ClockReading(wall_time, boot_id, uptime)


def job_config(settings: DurableJobsSection) -> JobConfig:
    """Returns the configuration of jobs by the installation's settings."""
    return JobConfig(
        service_classes=frozenset(settings.service_classes),
        detached_timeout=_microseconds(settings.detached_timeout),
        retention=_microseconds(settings.retention),
        max_open_jobs=settings.max_open_jobs,
        resume_rate=settings.resume_rate,
        leases=LeaseConfig(_microseconds(settings.start_timeout), _microseconds(settings.heartbeat_timeout)),
    )


def _microseconds(seconds: float) -> int:
    return round(seconds * 1e6)


async def attach_job_service(
    dispatcher: Dispatcher,
    settings: DurableJobsSection,
    log: Log,
    storage: Storage | None = None,
    clocks: ClockReading | None = None,
) -> JobService:
    """Opens the write-ahead log, attaches a job service to the dispatcher and recovers its jobs.

    Raises LogOpenError or OSError, and has changed nothing then.
    """
    storage = storage or DirectoryStorage(Path(settings.directory))
    write_ahead_log = WriteAheadLog(storage, int(settings.segment_mb * MEGABYTE))
    write_ahead_log.open(skip_damaged=settings.damaged == "skip")
    service = JobService(dispatcher, write_ahead_log, job_config(settings), log)
    await service.recover(clocks or read_clocks())
    return service
