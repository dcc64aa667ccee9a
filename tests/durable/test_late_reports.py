"""Late reports: which of them are recorded, and which are not."""

from __future__ import annotations

from durable_helpers import JobParts, accepted_job, granted_lease, open_log, run_in_virtual_time

from locktide.durable.jobs import Job
from locktide.durable.late_reports import MAX_LATE_REPORTS
from locktide.durable.log.write_ahead_log import WriteAheadLog
from locktide.protocol.messages import Callback
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.virtual_time.disk import VirtualDisk


def final_report(worker: str) -> Callback:
    """Return the report of a worker that the job has failed."""
    return Callback("a", worker, "failed", 0.0, AttemptOutcome.ERROR, b"")


async def job_with_a_lease(log: WriteAheadLog) -> Job:
    """Write a job and a lease on it, and return the job."""
    await log.append(accepted_job("a"))
    await log.append(granted_lease("a", worker="w0"))
    return log.table.jobs["a"]


def test_late_report_that_is_sent_again_is_recorded_once() -> None:
    """Guard against a second record of a late report that a worker repeats after a missing response.

    Each record costs a sync of the disk, and operators would take two records for two events. The repetition
    must be acknowledged without a record. A report under another lease is another event.
    """

    async def scenario() -> None:
        log = open_log(VirtualDisk(1, 0.001))
        job = await job_with_a_lease(log)
        late_reports = JobParts(log).late_reports
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
    """Guard against an unlimited number of late reports of one job, sent under ever new worker names.

    Each report would be written to the disk and read at every start. At most `MAX_LATE_REPORTS` may be
    recorded for a job.
    """

    async def scenario() -> None:
        log = open_log(VirtualDisk(1, 0.001))
        job = await job_with_a_lease(log)
        late_reports = JobParts(log).late_reports
        for number in range(2 * MAX_LATE_REPORTS):
            write = late_reports.record(job, final_report(f"stranger{number}"))
            assert (write is not None) == (number < MAX_LATE_REPORTS)
            if write is not None:
                await write
        assert len(job.late_reports) == MAX_LATE_REPORTS

    run_in_virtual_time(scenario())
