"""Late reports: what is written of them, and what is not."""

from __future__ import annotations

from durable_helpers import SECOND, accepted_job, granted_lease, open_log, run_in_virtual_time

from locktide.durable.background_tasks import BackgroundTasks
from locktide.durable.completion import JobCompletion
from locktide.durable.durable_state import DurableState
from locktide.durable.job_config import JobConfig
from locktide.durable.job_context import JobContext
from locktide.durable.job_dispatcher import JobDispatcher
from locktide.durable.jobs import Job
from locktide.durable.late_reports import MAX_LATE_REPORTS, LateReports
from locktide.durable.leases import LeaseConfig, LeaseTable
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.durable.waiters import JobWaiters
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.transport.log import Log

LEASE_CONFIG = LeaseConfig(start_timeout=20 * SECOND, heartbeat_timeout=5 * SECOND)


class StoppedDispatcher(JobDispatcher):
    """A dispatcher whose clock does not move; nothing else of it is used."""

    def __init__(self) -> None:
        pass

    def now(self) -> int:
        """Return the time in microseconds."""
        return SECOND


def late_reports_of(log: WriteAheadLog) -> LateReports:
    """Return what records the late reports of a log's jobs."""
    state = DurableState(log.table)
    tasks = BackgroundTasks()
    config = JobConfig(
        service_classes=["record"],
        detached_timeout=SECOND,
        retention=SECOND,
        max_open_jobs=10,
        resume_rate=1.0,
        leases=LEASE_CONFIG,
    )
    context = JobContext(
        config=config,
        write_ahead_log=log,
        state=state,
        leases=LeaseTable(LEASE_CONFIG),
        tasks=tasks,
        dispatcher=StoppedDispatcher(),
        log=Log("d0"),
    )
    return LateReports(context, JobCompletion(context, JobWaiters(state, tasks)))


def final_report(worker: str) -> Callback:
    """Return the report that a worker has failed at the job."""
    return Callback("a", worker, "failed", 0.0, AttemptOutcome.ERROR, b"")


async def job_with_a_lease(log: WriteAheadLog) -> Job:
    """Write a job that a worker has a lease on."""
    await log.append(accepted_job("a"))
    await log.append(granted_lease("a", worker="w0"))
    return log.table.jobs["a"]


def test_late_report_that_is_sent_again_is_recorded_once() -> None:
    """A worker whose lease has expired reports its end, gets no response in time, and reports it again.

    Each report costs a sync of the disk, and operators would take two records for two events. The second
    one must be acknowledged without a record. A report under another lease is another event.
    """

    async def scenario() -> None:
        log = open_log(VirtualDisk(1, 0.001))
        job = await job_with_a_lease(log)
        late_reports = late_reports_of(log)
        write = late_reports.record(job, final_report("w0"))
        assert write is not None
        await write
        assert late_reports.record(job, final_report("w0")) is None
        assert [(report.fence, report.worker) for report in job.late_reports] == [(1, "w0")]
        other_write = late_reports.record(job, final_report("w9"))
        assert other_write is not None
        await other_write
        assert [(report.fence, report.worker) for report in job.late_reports] == [(1, "w0"), (0, "w9")]

    run_in_virtual_time(scenario())


def test_late_reports_of_a_job_are_limited() -> None:
    """Something that is no worker of ours reports the end of one job under ever new names.

    Each report would be written to the disk and read at every start. Only so many may be recorded of a job.
    """

    async def scenario() -> None:
        log = open_log(VirtualDisk(1, 0.001))
        job = await job_with_a_lease(log)
        late_reports = late_reports_of(log)
        for number in range(2 * MAX_LATE_REPORTS):
            write = late_reports.record(job, final_report(f"stranger{number}"))
            assert (write is not None) == (number < MAX_LATE_REPORTS)
            if write is not None:
                await write
        assert len(job.late_reports) == MAX_LATE_REPORTS

    run_in_virtual_time(scenario())
