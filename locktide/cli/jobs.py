"""`locktide jobs`: reads the write-ahead log of durable jobs, also while it is in use; changes nothing."""

from __future__ import annotations

import base64
import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from locktide.durable.disk import DirectoryStorage
from locktide.durable.errors import ForeignFileError, NewerFormatError
from locktide.durable.job_states import JOB_STATE_WORDS
from locktide.durable.jobs import Job, JobTable
from locktide.durable.log.reader import LogContents, read_log
from locktide.durable.log.records import LateReport, LeaseGranted


def read_directory(directory: Path) -> tuple[JobTable, LogContents]:
    """Read the log in a directory; exit with 2 if there is no directory, with 1 if the log cannot be read."""
    if not directory.is_dir():
        print(f"locktide: {directory}: no such directory", file=sys.stderr)
        sys.exit(2)
    try:
        return _read(directory)
    except (NewerFormatError, ForeignFileError) as error:
        print(f"locktide: {error}", file=sys.stderr)
        sys.exit(1)
    except FileNotFoundError:  # compacted during the read: the files that are there now have all records
        return _read(directory)


def _read(directory: Path) -> tuple[JobTable, LogContents]:
    table = JobTable()
    contents = read_log(DirectoryStorage(directory), table)
    return table, contents


def format_time(unix_microseconds: int) -> str:
    """Return a time as ISO 8601 in UTC."""
    return datetime.fromtimestamp(unix_microseconds / 1e6, UTC).isoformat(timespec="milliseconds")


def export_job(job: Job) -> dict[str, Any]:
    """Return a job as plain values, under the keys of the exported JSON; bodies are in base64."""
    accepted = job.accepted
    finished = job.finished
    return {
        "id": job.job_id,
        "grade": accepted.service_class,
        "key": accepted.key,
        "state": JOB_STATE_WORDS[job.state],
        "accepted_at": format_time(accepted.recorded_at),
        "time_limit_at": format_time(accepted.deadline),
        "target": accepted.target,
        "body": base64.b64encode(accepted.body).decode(),
        "may_have_run": job.possibly_executed(),
        "leases": [_export_lease(job, lease) for lease in job.leases],
        "late_words": [_export_late_report(report) for report in job.late_reports],
        "finished_at": format_time(finished.recorded_at) if finished else None,
        "status": finished.status if finished else None,
        "result": base64.b64encode(finished.body).decode() if finished else None,
    }


def _export_lease(job: Job, lease: LeaseGranted) -> dict[str, Any]:
    ended = job.ended_attempts.get(lease.fence)
    return {
        "fence": lease.fence,
        "worker": lease.worker,
        "zone": lease.zone,
        "cell": lease.cell,
        "at": format_time(lease.recorded_at),
        "until_at_first": format_time(lease.expires_at),
        "outcome": ended.outcome if ended else None,
    }


def _export_late_report(report: LateReport) -> dict[str, Any]:
    return {
        "fence": report.fence,
        "worker": report.worker,
        "state": report.state,
        "at": format_time(report.recorded_at),
    }


def _oldest_first(table: JobTable) -> list[Job]:
    return sorted(table.jobs.values(), key=lambda job: job.accepted.recorded_at)


@click.group()
def jobs() -> None:
    """Read the write-ahead log of durable jobs: list, show, verify, export. Nothing is changed."""


DIRECTORY = click.argument("directory", type=click.Path(path_type=Path))


@jobs.command("list")
@DIRECTORY
@click.option(
    "--state", type=click.Choice(list(JOB_STATE_WORDS.values())), help="List only jobs in this state."
)
def list_jobs(directory: Path, state: str | None) -> None:
    """List the jobs that are open or retained, one a line, oldest first."""
    table, _ = read_directory(directory)
    for job in _oldest_first(table):
        job_state = JOB_STATE_WORDS[job.state]
        if state in (None, job_state):
            service_class = job.accepted.service_class
            accepted_at = format_time(job.accepted.recorded_at)
            click.echo(f"{job.job_id}  {service_class}  {job_state}  {accepted_at}  {len(job.leases)} leases")


@jobs.command()
@DIRECTORY
@click.argument("job_id", metavar="ID")
def show(directory: Path, job_id: str) -> None:
    """Show one job as JSON, including late reports of workers whose lease had ended."""
    table, _ = read_directory(directory)
    if job_id not in table.jobs:
        print(f"locktide: {job_id}: no such job in {directory}", file=sys.stderr)
        sys.exit(1)
    click.echo(json.dumps(export_job(table.jobs[job_id]), indent=1))


@jobs.command()
@DIRECTORY
def verify(directory: Path) -> None:
    """Read the whole log and report its faults. Exit code 1 for damage; a torn end is not damage."""
    table, contents = read_directory(directory)
    click.echo(
        f"{contents.segment_count} segments, {contents.record_count} records, {contents.byte_count} bytes"
    )
    click.echo(f"{table.open_count} jobs open, {len(table.jobs) - table.open_count} finished and kept")
    for fault in contents.torn:
        click.echo(f"torn end, never acknowledged: {fault}")
    for fault in contents.damaged:
        click.echo(f"DAMAGED: {fault}")
    sys.exit(1 if contents.damaged else 0)


@jobs.command()
@DIRECTORY
def export(directory: Path) -> None:
    """Export every job as a line of JSON."""
    table, _ = read_directory(directory)
    for job in _oldest_first(table):
        click.echo(json.dumps(export_job(job)))


@jobs.command()
@DIRECTORY
@click.option("--count", default=3000, show_default=True, type=click.IntRange(64), help="Jobs to accept.")
@click.option(
    "--sizes", default="1000,10000,100000", show_default=True, help="Numbers of open jobs to recover."
)
@click.option(
    "--times", default=3, show_default=True, type=click.IntRange(1, 100), help="Recoveries of each size."
)
def measure(directory: Path, count: int, sizes: str, times: int) -> None:
    """Measure what a write-ahead log below DIRECTORY costs on its disk.

    Takes a minute; all files that are written are removed again.
    """
    # Imported here: only this command needs it.
    from locktide.durable.measure import measure_acceptances, measure_recoveries

    single, group = measure_acceptances(directory, count)
    for name, cost in (("one sync each", single), ("group commit", group)):
        click.echo(
            f"{name}: {cost.rate:.0f} jobs/s, accepted in {cost.p50 * 1000:.2f} ms (median), "
            f"{cost.p99 * 1000:.2f} ms (99%), {cost.sync_count} syncs for {cost.count} jobs"
        )
    click.echo(
        f"group commit relative to one sync each: {group.rate / single.rate:.1f} times the rate, "
        f"{group.p99 / single.p99:.2f} times the 99% latency"
    )
    for recovery in measure_recoveries(directory, [int(size) for size in sizes.split(",")], times):
        click.echo(
            f"recovery of {recovery.job_count} open jobs: {recovery.mean:.3f} s mean, "
            f"{recovery.worst:.3f} s worst"
        )
