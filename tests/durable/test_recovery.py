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
    """The clock of a machine is set while no dispatcher runs, by ten minutes back or across a reboot.

    Deadlines of recovered jobs would be moved by as much, and a retry could come after its deduplication
    window. On the same boot the uptime must count alone. On another boot a clock that was set back must
    leave the elapsed time
    unknown: no deadline is cut short, and no deduplication window is counted on.
    """
    last_recorded_at = 1010 * SECOND
    same_boot = ClockReading(400 * SECOND, "boot", 90 * SECOND)
    elapsed = recovery.elapsed_since(WRITER, last_recorded_at, same_boot)
    assert elapsed == ElapsedBounds(30 * SECOND, 30 * SECOND)
    other_boot = ClockReading(1025 * SECOND, "other", 3 * SECOND)
    elapsed = recovery.elapsed_since(WRITER, last_recorded_at, other_boot)
    assert elapsed == ElapsedBounds(15 * SECOND, 15 * SECOND)
    clock_set_back = ClockReading(900 * SECOND, "other", 3 * SECOND)
    elapsed = recovery.elapsed_since(WRITER, last_recorded_at, clock_set_back)
    assert elapsed == ElapsedBounds(0, recovery.UNKNOWN_SPAN)


def test_plan_finishes_waits_and_resumes_oldest_first() -> None:
    """A dispatcher comes back after some seconds, with jobs in every state in its log.

    A job past its deadline must get its final response, which depends on whether it may have run. A job
    whose attempt may still run must be waited for, and the others resumed, oldest first, each with the rest
    of its time.
    """
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
    """A machine comes back from a reboot with its clock set back; a job had been sent once before.

    How long ago is not known, so the worker may have dropped its memory of the idempotency key, and a retry
    would run the job twice. The attempt must count as older than any deduplication window.
    """
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


def test_recovered_lease_ends_with_its_job_at_the_latest() -> None:
    """A job has three seconds left when its dispatcher comes back, and its worker stays silent.

    The worker gets the time of a heartbeat, five seconds. Its lease must not outlast the job, whose client
    gets the final response at the deadline.
    """
    table = table_from(WRITER, accepted_job("a", 1000 * SECOND), granted_lease("a", at=1000 * SECOND))
    leases = LeaseTable(LEASE_CONFIG)
    elapsed = ElapsedBounds(97 * SECOND, 97 * SECOND)
    now = 5000 * SECOND
    (step,) = recovery.plan(table, leases, elapsed, now)
    assert isinstance(step, ResumeJob) and step.deadline == now + 3 * SECOND
    assert not leases.expire(step.deadline - 1)
    assert [lease.job_id for lease in leases.expire(step.deadline)] == ["a"]


NOW = 10 * SECOND


def recover_request(
    *attempts: RecoveredAttempt, service_class: str = "record", seconds: float = 2.0
) -> list[Any]:
    """Return the commands of a scheduler for a request of an earlier process, over two seconds."""
    config = terms(most=3, fleet=1, must_ask=False, worst_grade=0.4)
    scheduler = Scheduler(1, config)
    now = NOW
    entries = [listed("w0"), listed("w1", cell=1), listed("w2")]
    scheduler.step(now, [EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries)])
    arrival = RequestArrived("a", service_class, now + 5 * SECOND, background=True)
    commands = scheduler.step(now, [RequestRecovered(arrival, now - SECOND, list(attempts))])
    for _ in range(round(seconds * 10)):
        now += 100_000
        commands += scheduler.step(now, [])
    return [command for command in commands if not isinstance(command, SetTimer | WriteLog)]


def earlier_attempt(
    outcome: AttemptOutcome | None, worker: str = "w0", age: int = SECOND, cell: int = 0
) -> RecoveredAttempt:
    """Return an attempt that was sent `age` microseconds before the recovery."""
    return RecoveredAttempt(worker, f"zone-{cell}", cell, NOW - age, outcome)


def test_recovered_request_without_attempts_is_sent() -> None:
    commands = recover_request()
    assert [type(command) for command in commands] == [StartAttempt]


def test_recovered_request_whose_attempt_may_still_run_is_waited_for() -> None:
    """A dispatcher dies while a worker runs a job, and is back before the worker has finished.

    Another attempt would run beside the first. Nothing may be sent while the first has no outcome.
    """
    assert recover_request(earlier_attempt(None)) == []


def test_recovered_request_that_may_have_run_is_retried_in_its_cell_on_another_worker() -> None:
    """The connection of an attempt broke before the dispatcher died, so the job may have run.

    Only workers of the same cell remember its idempotency key: elsewhere it would run twice. The cell is
    the one that the worker had then, also where the worker is not listed any more.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET))
    assert [command.worker for command in commands] == ["w2"]
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, worker="unlisted", cell=1))
    assert [command.worker for command in commands] == ["w1"]


def test_recovered_request_past_its_deduplication_window_is_not_retried() -> None:
    """The job may have run five seconds ago, and workers remember keys for four.

    A retry would not be recognised as a repeat and would run the job twice.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, age=5 * SECOND))
    assert not [command for command in commands if isinstance(command, StartAttempt)]


def test_recovered_request_sent_before_the_zero_of_the_clock_fails_at_once() -> None:
    """A job was sent long ago, at a time that is negative on this process's clock, and may have run.

    The end of its deduplication window was negative, too, and was taken for "its repeats are always dropped":
    nothing could be sent, but the job waited for a worker until its own deadline. It must fail at once.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, age=NOW + 5 * SECOND))
    assert [type(command) for command in commands] == [FailRequest]


def test_background_job_is_failed_once_its_repeats_are_no_longer_dropped() -> None:
    """A durable job may have run at a worker whose whole cell was lost then, four seconds before its end.

    Only that cell could have it again, and only while it remembered the job's key. When the window was over
    nothing could be sent any more, but the job waited on, until its own deadline minutes later. It must fail
    when the window is over, and not before.
    """
    attempt = earlier_attempt(AttemptOutcome.RESET, cell=7)
    assert recover_request(attempt, seconds=2.9) == []  # three seconds of its window were left
    assert [type(command) for command in recover_request(attempt, seconds=3.2)] == [FailRequest]


def test_recovered_request_that_runs_at_most_once_fails_if_it_may_have_run() -> None:
    """A job that must not run twice was sent before the crash, and may have run or not.

    It must fail rather than be sent again. Where a worker had declined it, it did not run, and must be sent.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET), service_class="cash")
    assert [type(command) for command in commands] == [FailRequest]
    commands = recover_request(earlier_attempt(AttemptOutcome.FULL), service_class="cash")
    assert [type(command) for command in commands] == [StartAttempt]


def test_recovered_request_counts_attempts_that_may_have_run_but_no_declined_ones() -> None:
    """A job in the background had all its attempts before the crash.

    Attempts that workers declined do not count, as nobody waits for the job: it must be sent again.
    Attempts that may have run count: the job must fail once it has had as many as it may have.
    """
    commands = recover_request(*[earlier_attempt(AttemptOutcome.FULL)] * 3)
    assert [type(command) for command in commands] == [StartAttempt]
    commands = recover_request(*[earlier_attempt(AttemptOutcome.RESET)] * 3)
    assert [type(command) for command in commands] == [FailRequest]
