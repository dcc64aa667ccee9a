"""Builders for tests of durable jobs."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from locktide.durable.log.records import JobAccepted, LeaseGranted
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.simulation.virtual_time.loop import VirtualLoop

SECOND = 1_000_000  # in microseconds
ROOT = Path(__file__).resolve().parents[1]


def accepted_job(job_id: str, at: int = 0, service_class: str = "record", key: str = "") -> JobAccepted:
    """Return the record of a job that is accepted at some time and given up 100 seconds later."""
    return JobAccepted(
        job_id=job_id,
        key=key,
        digest="digest",
        service_class=service_class,
        method="POST",
        target=f"/{service_class}",
        forwarded_headers=[],
        body=b"body",
        recorded_at=at,
        deadline=at + 100 * SECOND,
        width=1.0,
    )


def granted_lease(
    job_id: str, fence: int = 1, worker: str = "w0", at: int = 0, until: int = 20 * SECOND
) -> LeaseGranted:
    """Return the record of a lease in zone 0."""
    return LeaseGranted(
        job_id=job_id, fence=fence, worker=worker, zone="zone-0", cell=0, recorded_at=at, expires_at=until
    )


def run_in_virtual_time(work: Any) -> Any:
    """Run a coroutine in virtual time; return its result."""
    loop = VirtualLoop()  # type: ignore[abstract]
    return loop.run_until_complete(work)


def open_log(
    platter: VirtualDisk, segment_bytes: int = 1 << 30, group_commit: bool = True, skip_damaged: bool = False
) -> WriteAheadLog:
    """Open a log on a simulated disk."""
    log = WriteAheadLog(platter.mount(), segment_bytes, group_commit)
    log.open(skip_damaged)
    return log


class ServedInstallation:
    """Dispatchers that `locktide serve` runs one after the other by one file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> subprocess.Popen[str]:
        """Start a dispatcher, and return it once it serves."""
        process = subprocess.Popen(
            [sys.executable, "-m", "locktide.cli.main", "serve", str(self.path), "--log-format", "json"],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        assert process.stderr is not None
        line = process.stderr.readline()
        while line and json.loads(line)["event"] != "dispatcher_serving":
            line = process.stderr.readline()
        return process

    def stop(self) -> None:
        """Kill what still runs."""
        for process in self.processes:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()
