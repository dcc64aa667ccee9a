"""Builders and stand-ins for the tests of durable jobs."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from helpers import SERVICE_CLASSES

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
from locktide.scheduler.config import ServiceClass
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


def accepted_job(
    job_id: str, accepted_at: int = 0, service_class: str = "record", key: str = ""
) -> JobAccepted:
    """Return the record of an accepted job whose deadline is 100 seconds later."""
    return JobAccepted(
        job_id=job_id,
        key=key,
        digest="digest",
        service_class=service_class,
        method="POST",
        target=f"/{service_class}",
        forwarded_headers=[],
        body=b"body",
        recorded_at=accepted_at,
        deadline=accepted_at + 100 * SECOND,
        width=1.0,
    )


def granted_lease(
    job_id: str, fence: int = 1, worker: str = "w0", granted_at: int = 0, expires_at: int = 20 * SECOND
) -> LeaseGranted:
    """Return the record of a lease in zone 0."""
    return LeaseGranted(
        job_id=job_id,
        fence=fence,
        worker=worker,
        zone="zone-0",
        cell=0,
        recorded_at=granted_at,
        expires_at=expires_at,
    )


def run_in_virtual_time(coroutine: Any) -> Any:
    """Run a coroutine in virtual time; return its result."""
    loop = VirtualLoop()  # type: ignore[abstract]
    return loop.run_until_complete(coroutine)


def open_log(
    disk: VirtualDisk, segment_bytes: int = 1 << 30, group_commit: bool = True, skip_damaged: bool = False
) -> WriteAheadLog:
    """Open a log on a simulated disk."""
    log = WriteAheadLog(disk.mount(), segment_bytes, group_commit)
    log.open(skip_damaged)
    return log


class ServedInstallation:
    """Runs dispatchers with `locktide serve`, one after the other, from one installation file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> subprocess.Popen[str]:
        """Start a dispatcher and return its process once it serves requests."""
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
        """Kill all processes that still run."""
        for process in self.processes:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()


class RecordingDispatcher(JobDispatcher):
    """Records the submitted jobs and never finishes one; its clock is that of the event loop.

    Attributes:
        submitted: Timeout of each job in microseconds, by job id.
        longest_wait: For how long a client may wait, in microseconds; a shutdown sets it.
        callbacks: The reports of workers that were forwarded to the dispatcher.
    """

    def __init__(self) -> None:
        self.submitted: dict[str, int] = {}
        self.callbacks: list[Callback] = []
        self.longest_wait = 1000 * SECOND

    def now(self) -> int:
        """Return the time in microseconds."""
        return round(asyncio.get_running_loop().time() * SECOND)

    def service_class(self, _name: str) -> ServiceClass | None:
        """Return the class of every job."""
        return SERVICE_CLASSES[1]

    def is_id_in_use(self, _request_id: str) -> bool:
        """Return False: no other request has the id."""
        return False

    def limit_timeout(self, timeout: int) -> int:
        """Limit a timeout as a shutdown does."""
        return min(timeout, self.longest_wait)

    def submit(
        self, accepted: JobAccepted, timeout: int, _background: bool
    ) -> asyncio.Future[Response] | None:
        """Record a job."""
        self.submitted[accepted.job_id] = timeout
        return asyncio.get_running_loop().create_future()

    def handle_callback(self, callback: Callback) -> None:
        """Record a worker's report."""
        self.callbacks.append(callback)


class JobParts:
    """The parts of a job service with a given log and a `RecordingDispatcher`."""

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
        self.waiters = JobWaiters(self.state, tasks, self.dispatcher)
        self.completion = JobCompletion(context, self.waiters)
        self.acceptance = JobAcceptance(context, self.waiters, self.completion)
        self.leases = context.leases
        self.late_reports = LateReports(context, self.completion)
        self.lease_service = LeaseService(context, self.completion, self.late_reports)
