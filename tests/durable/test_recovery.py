"""Recovery: elapsed time, the plan, and what the scheduler makes of recovered attempts."""

from __future__ import annotations

from typing import Any

from durable_helpers import SECOND, accepted_job, granted_lease
from helpers import listed, terms

from locktide.durable import recovery
from locktide.durable.jobs import JobTable
from locktide.durable.leases import LeaseConfig, LeaseTable
from locktide.durable.log import records
from locktide.durable.log.records import AttemptEnded, JobFinished, WriterStarted
from locktide.durable.log.stored_outcomes import STORED_OUTCOMES
from locktide.durable.recovery import ClockReading, ElapsedBounds, FinishJob, ResumeJob
from locktide.scheduler.commands import FailRequest, SetTimer, StartAttempt, WriteLog
from locktide.scheduler.events import EndpointListUpdate, RecoveredAttempt, RequestArrived, RequestRecovered
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, ListUpdateKind

LEASE_CONFIG = LeaseConfig(20 * SECOND, 5 * SECOND)


def table_from(*entries: records.AnyRecord) -> JobTable:
    table = JobTable()
    for record in entries:
        table.apply(record)
    return table


WRITER = WriterStarted(1000 * SECOND, "boot", 50 * SECOND)


def test_elapsed_time_follows_the_boot_clock_when_the_wall_clock_is_set() -> None:
    last_recorded_at = 1010 * SECOND
    assert recovery.elapsed_since(
        WRITER, last_recorded_at, ClockReading(400 * SECOND, "boot", 90 * SECOND)
    ) == ElapsedBounds(30 * SECOND, 30 * SECOND)
    assert recovery.elapsed_since(
        WRITER, last_recorded_at, ClockReading(1025 * SECOND, "other", 3 * SECOND)
    ) == ElapsedBounds(15 * SECOND, 15 * SECOND)
    stepped = recovery.elapsed_since(
        WRITER, last_recorded_at, ClockReading(900 * SECOND, "other", 3 * SECOND)
    )
    assert stepped == ElapsedBounds(
        0, recovery.UNKNOWN_SPAN
    )  # no deadline is cut short, no deduplication window is counted on


def test_plan_finishes_waits_and_resumes_oldest_first() -> None:
    table = table_from(
        WRITER,
        accepted_job("new", 1005 * SECOND),
        accepted_job("old", 1001 * SECOND),
        accepted_job("ran", 1002 * SECOND),
        accepted_job("gone", 900 * SECOND),
        accepted_job("gone and ran", 901 * SECOND),
        accepted_job("done", 1003 * SECOND),
        granted_lease("old", at=1004 * SECOND, until=1020 * SECOND),
        granted_lease("ran", at=1004 * SECOND),
        AttemptEnded("ran", 1, STORED_OUTCOMES[AttemptOutcome.RESET], 1006 * SECOND),
        granted_lease("gone and ran", at=1004 * SECOND),
        JobFinished("done", 200, b"", 0, 1006 * SECOND),
    )
    now = 5000 * SECOND
    steps = recovery.plan(table, LeaseTable(LEASE_CONFIG), ElapsedBounds(4 * SECOND, 4 * SECOND), now)
    assert [step.job.job_id for step in steps] == ["gone", "gone and ran", "old", "ran", "new"]
    ends = [step for step in steps if isinstance(step, FinishJob)]
    assert [end.status for end in ends] == [503, 502]
    old, ran, new = (step for step in steps if isinstance(step, ResumeJob))
    # Written at 1001 s and open for 100: 9 s later, on our clock, 91 are left.
    assert old.deadline == now + 91 * SECOND and old.pending == [0] and old.attempts[0].outcome is None
    assert old.attempts[0].sent_at == now - 6 * SECOND
    assert ran.pending == [] and ran.attempts[0].outcome == AttemptOutcome.RESET and new.attempts == []


def test_nothing_is_retried_after_the_clock_stepped_back() -> None:
    table = table_from(
        WRITER,
        accepted_job("a", 1001 * SECOND),
        granted_lease("a", at=1002 * SECOND),
        AttemptEnded("a", 1, STORED_OUTCOMES[AttemptOutcome.RESET], 1003 * SECOND),
    )
    (step,) = recovery.plan(
        table, LeaseTable(LEASE_CONFIG), ElapsedBounds(0, recovery.UNKNOWN_SPAN), 5000 * SECOND
    )
    assert isinstance(step, ResumeJob) and step.attempts[0].sent_at < -recovery.UNKNOWN_SPAN // 2


def recover_request(*attempts: RecoveredAttempt, service_class: str = "record") -> list[Any]:
    """Returns the commands of a scheduler for a request of an earlier process, over two seconds."""
    scheduler = Scheduler(1, terms(3, 1, False, False, 0.4))
    now = 10_000_000
    entries = [listed("w0"), listed("w1", cell=1), listed("w2")]
    scheduler.step(now, [EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries)])
    arrival = RequestArrived("a", service_class, now + 5 * SECOND, background=True)
    commands = scheduler.step(now, [RequestRecovered(arrival, now - SECOND, list(attempts))])
    for _ in range(20):
        now += 100_000
        commands += scheduler.step(now, [])
    return [command for command in commands if not isinstance(command, SetTimer | WriteLog)]


def earlier_attempt(
    outcome: str | None, worker: str = "w0", age: int = SECOND, cell: int = 0
) -> RecoveredAttempt:
    return RecoveredAttempt(worker, f"zone-{cell}", cell, 10_000_000 - age, outcome)


def test_scheduler_resumes_possibly_executed_requests() -> None:
    commands = recover_request()
    assert [type(command) for command in commands] == [StartAttempt]
    commands = recover_request(earlier_attempt(None))  # may still run: waited for
    assert commands == []
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET))
    assert [command.worker for command in commands] == ["w2"]  # inside its cell alone, elsewhere than before
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, worker="unlisted", cell=1))
    assert [command.worker for command in commands] == ["w1"]
    commands = recover_request(
        earlier_attempt(AttemptOutcome.RESET, age=5 * SECOND)
    )  # past the window of four seconds
    assert not [command for command in commands if isinstance(command, StartAttempt)]
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET), service_class="cash")  # at most once
    assert [type(command) for command in commands] == [FailRequest]
    commands = recover_request(
        earlier_attempt(AttemptOutcome.FULL), service_class="cash"
    )  # proven not to have run
    assert [type(command) for command in commands] == [StartAttempt]
    commands = recover_request(
        earlier_attempt(AttemptOutcome.FULL),
        earlier_attempt(AttemptOutcome.FULL),
        earlier_attempt(AttemptOutcome.FULL),
    )  # nobody waits: it is retried
    assert [type(command) for command in commands] == [StartAttempt]
    commands = recover_request(
        earlier_attempt(AttemptOutcome.RESET),
        earlier_attempt(AttemptOutcome.RESET),
        earlier_attempt(AttemptOutcome.RESET),
    )  # no attempt is left
    assert [type(command) for command in commands] == [FailRequest]
