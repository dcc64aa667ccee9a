"""Builders for tests of durable jobs."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from locktide.durable.acceptance import JobAcceptance
from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.completion import JobCompletion
from locktide.durable.durable_state import DurableState
from locktide.durable.job_config import JobConfig
from locktide.durable.job_context import JobContext
from locktide.durable.job_dispatcher import JobDispatcher
from locktide.durable.late_reports import LateReports
from locktide.durable.lease_service import LeaseService
from locktide.durable.leases import LeaseConfig, LeaseTable
from locktide.durable.log.records import JobAccepted, LeaseGranted
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.durable.waiters import JobWaiters
from locktide.protocol.messages import Callback
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.transport.interfaces import Response
from locktide.transport.log import Log

SECOND = 1_000_000  # in microseconds
JOB_CONFIG = JobConfig(
    service_classes=["record"],
    detached_timeout=100 * SECOND,
    retention=SECOND,
    max_open_jobs=10,
    resume_rate=1.0,
    leases=LeaseConfig(start_timeout=20 * SECOND, heartbeat_timeout=5 * SECOND),
)
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


class RecordingDispatcher(JobDispatcher):
    """Records the jobs that it gets and never finishes one; its clock is that of the event loop.

    Attributes:
        submitted: Timeout in microseconds of each job, by its id.
        callbacks: The reports of workers that have counted.
    """

    def __init__(self) -> None:
        self.submitted: dict[str, int] = {}
        self.callbacks: list[Callback] = []

    def now(self) -> int:
        """Return the time in microseconds."""
        return round(asyncio.get_running_loop().time() * SECOND)

    def is_id_in_use(self, _request_id: str) -> bool:
        """Return that no other request has the id."""
        return False

    def submit(
        self, accepted: JobAccepted, timeout: int, _background: bool
    ) -> asyncio.Future[Response] | None:
        """Record a job."""
        self.submitted[accepted.job_id] = timeout
        return asyncio.get_running_loop().create_future()

    def handle_callback(self, callback: Callback) -> None:
        """Record what a worker reports."""
        self.callbacks.append(callback)


class JobParts:
    """The parts of a job service on a log, with a dispatcher that only records."""

    def __init__(self, log: WriteAheadLog) -> None:
        self.log = log
        self.state = DurableState(log.table)
        self.dispatcher = RecordingDispatcher()
        tasks = BackgroundTasks()
        context = JobContext(
            config=JOB_CONFIG,
            write_ahead_log=log,
            state=self.state,
            leases=LeaseTable(JOB_CONFIG.leases),
            tasks=tasks,
            dispatcher=self.dispatcher,
            log=Log("d0"),
        )
        self.waiters = JobWaiters(self.state, tasks)
        self.completion = JobCompletion(context, self.waiters)
        self.acceptance = JobAcceptance(context, self.waiters, self.completion)
        self.leases = context.leases
        self.late_reports = LateReports(context, self.completion)
        self.lease_service = LeaseService(context, self.completion, self.late_reports)
