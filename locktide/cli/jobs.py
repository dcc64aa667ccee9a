"""`locktide jobs`: reads a journal of jobs, also while its dispatcher runs; it changes nothing."""

from __future__ import annotations

import base64
import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from locktide.durable.disk import DirectoryStorage
from locktide.durable.jobs import Job, JobTable
from locktide.durable.log import framing as frames
from locktide.durable.log import write_ahead_log as journal


def look(directory: Path) -> tuple[JobTable, journal.LogContents]:
    if not directory.is_dir():
        print(f"locktide: {directory}: no such directory", file=sys.stderr)
        sys.exit(2)
    table, found = JobTable(), journal.LogContents()
    try:
        journal.read(DirectoryStorage(directory), table, found)
    except (frames.NewerFormatError, frames.ForeignFileError) as trouble:
        print(f"locktide: {trouble}", file=sys.stderr)
        sys.exit(1)
    except FileNotFoundError:  # compacted while we read: what is there now holds all
        table, found = JobTable(), journal.LogContents()
        journal.read(DirectoryStorage(directory), table, found)
    return table, found


def moment(at: int) -> str:
    return datetime.fromtimestamp(at / 1e6, UTC).isoformat(timespec="milliseconds")


def told(job: Job) -> dict[str, Any]:
    """A job as plain values; bodies in base64."""
    accepted, finished = job.accepted, job.finished
    return {
        "id": job.id,
        "grade": accepted.grade,
        "key": accepted.key,
        "state": job.state,
        "accepted_at": moment(accepted.at),
        "time_limit_at": moment(accepted.limit_at),
        "target": accepted.target,
        "body": base64.b64encode(accepted.body).decode(),
        "may_have_run": job.may_have_run(),
        "leases": [
            {
                "fence": lease.fence,
                "worker": lease.worker,
                "zone": lease.zone,
                "cell": lease.cell,
                "at": moment(lease.at),
                "until_at_first": moment(lease.until),
                "outcome": job.ended[lease.fence].outcome if lease.fence in job.ended else None,
            }
            for lease in job.leases
        ],
        "late_words": [
            {"fence": one.fence, "worker": one.worker, "state": one.state, "at": moment(one.at)}
            for one in job.late
        ],
        "finished_at": moment(finished.at) if finished else None,
        "status": finished.status if finished else None,
        "result": base64.b64encode(finished.body).decode() if finished else None,
    }


@click.group()
def jobs() -> None:
    """Read a journal of durable jobs: list, show, verify, export. Nothing is changed."""


DIRECTORY = click.argument("directory", type=click.Path(path_type=Path))


@jobs.command("list")
@DIRECTORY
@click.option("--state", type=click.Choice(["open", "done", "denied", "terminated"]), help="Only these.")
def list_jobs(directory: Path, state: str | None) -> None:
    """One line for each job that is open or kept, oldest first."""
    table, _ = look(directory)
    for job in sorted(table.jobs.values(), key=lambda job: job.accepted.at):
        if state in (None, job.state):
            grade = job.accepted.grade
            click.echo(f"{job.id}  {grade}  {job.state}  {moment(job.accepted.at)}  {len(job.leases)} leases")


@jobs.command()
@DIRECTORY
@click.argument("id")
def show(directory: Path, id: str) -> None:
    """All that is known of one job, as JSON; also late words of workers whose lease had ended."""
    table, _ = look(directory)
    if id not in table.jobs:
        print(f"locktide: {id}: no such job in {directory}", file=sys.stderr)
        sys.exit(1)
    click.echo(json.dumps(told(table.jobs[id]), indent=1))


@jobs.command()
@DIRECTORY
def verify(directory: Path) -> None:
    """Read everything and say what is wrong. Exit code 1 for damage; a torn end is not damage."""
    table, found = look(directory)
    click.echo(f"{found.segments} segments, {found.records} records, {found.bytes} bytes")
    click.echo(f"{table.opened} jobs open, {len(table.jobs) - table.opened} finished and kept")
    for what in found.torn:
        click.echo(f"torn end, never promised to anybody: {what}")
    for what in found.damaged:
        click.echo(f"DAMAGED: {what}")
    sys.exit(1 if found.damaged else 0)


@jobs.command()
@DIRECTORY
def export(directory: Path) -> None:
    """Every job as a line of JSON."""
    table, _ = look(directory)
    for job in sorted(table.jobs.values(), key=lambda job: job.accepted.at):
        click.echo(json.dumps(told(job)))


@jobs.command()
@DIRECTORY
@click.option("--count", default=3000, show_default=True, type=click.IntRange(64), help="Jobs to accept.")
@click.option("--sizes", default="1000,10000,100000", show_default=True, help="Open jobs to recover.")
@click.option("--times", default=3, show_default=True, type=click.IntRange(1, 100), help="Recoveries each.")
def measure(directory: Path, count: int, sizes: str, times: int) -> None:
    """What a journal below DIRECTORY costs on its disk. Takes a minute; what it writes is removed again."""
    from locktide.durable import measure as ours  # noqa: PLC0415

    each, group = ours.acceptances(directory, count)
    for name, cost in (("one sync each", each), ("group commit", group)):
        click.echo(
            f"{name}: {cost.rate:.0f} jobs/s, accepted in {cost.p50 * 1000:.2f} ms (half), "
            f"{cost.p99 * 1000:.2f} ms (99%), {cost.syncs} syncs for {cost.count} jobs"
        )
    click.echo(
        f"group commit over one sync each: {group.rate / each.rate:.1f} times the jobs, "
        f"{group.p99 / each.p99:.2f} of the 99% wait"
    )
    for took in ours.recoveries(directory, [int(size) for size in sizes.split(",")], times):
        click.echo(f"recovery of {took.jobs} open jobs: {took.mean:.3f} s mean, {took.worst:.3f} worst")
