"""Builders for tests of durable jobs."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from locktide.durable.log.records import JobAccepted, LeaseGranted
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.simulation.virtual_time.loop import VirtualLoop

SECOND = 1_000_000  # in microseconds
ROOT = Path(__file__).resolve().parents[1]


def accepted_job(job_id: str, at: int = 0, service_class: str = "record", key: str = "") -> JobAccepted:
    return JobAccepted(
        job_id,
        key,
        "digest",
        service_class,
        "POST",
        f"/{service_class}",
        [],
        b"body",
        at,
        at + 100 * SECOND,
        1.0,
    )


def granted_lease(
    job_id: str, fence: int = 1, worker: str = "w0", at: int = 0, until: int = 20 * SECOND
) -> LeaseGranted:
    return LeaseGranted(job_id, fence, worker, "zone-0", 0, at, until)


def run_in_virtual_time(work: Any) -> Any:
    loop = VirtualLoop()  # type: ignore[abstract]
    return loop.run_until_complete(work)


def open_log(platter: VirtualDisk, **options: Any) -> WriteAheadLog:
    log = WriteAheadLog(
        platter.mount(), options.pop("segment_bytes", 1 << 30), options.pop("group_commit", True)
    )
    log.open(**options)
    return log
