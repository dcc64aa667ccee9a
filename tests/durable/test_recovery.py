"""Recovery: the elapsed time, the plan, and how the scheduler treats recovered attempts."""

from __future__ import annotations

from typing import Any

from durable_helpers import SECOND, accepted_job, granted_lease
from helpers import endpoint_entry, scheduler_config

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
    """Guard against wrong deadlines and late retries when the clock is set while no dispatcher runs.

    The clock is set back by ten minutes, or across a reboot. Deadlines would move by as much, and a retry
    could be sent after its deduplication window. On the same boot only the uptime must count. On another
    boot, with a clock that was set back, the elapsed time must be unknown: no deadline is shortened, and
    every deduplication window counts as over.
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
    """Guard against a wrong plan for any state that a job can have in the log.

    A job past its deadline must get a final response whose status depends on whether the job may have run.
    The dispatcher must wait for a pending attempt, and resume the other jobs, oldest first, each with the
    time that it has left.
    """
    table = table_from(
        WRITER,
        accepted_job("new", 1005 * SECOND),
        accepted_job("old", 1001 * SECOND),
        accepted_job("ran", 1002 * SECOND),
        accepted_job("gone", 900 * SECOND),
        accepted_job("gone and ran", 901 * SECOND),
        accepted_job("done", 1003 * SECOND),
        granted_lease("old", granted_at=1004 * SECOND, expires_at=1020 * SECOND),
        granted_lease("ran", granted_at=1004 * SECOND),
        AttemptEnded("ran", 1, STORED_OUTCOMES[AttemptOutcome.RESET], 1006 * SECOND),
        granted_lease("gone and ran", granted_at=1004 * SECOND),
        JobFinished("done", 200, b"", 0, 1006 * SECOND),
    )
    now = 5000 * SECOND
    steps = recovery.plan(table, LeaseTable(LEASE_CONFIG), ElapsedBounds(4 * SECOND, 4 * SECOND), now)
    assert [step.job.job_id for step in steps] == ["gone", "gone and ran", "old", "ran", "new"]
    finish_steps = [step for step in steps if isinstance(step, FinishJob)]
    assert [finish_step.status for finish_step in finish_steps] == [503, 502]
    old, ran, new = (step for step in steps if isinstance(step, ResumeJob))
    # The job was accepted at 1001 s for 100 s. It is 9 s later, so that the job has 91 s left.
    assert old.deadline == now + 91 * SECOND and old.pending == [0] and old.attempts[0].outcome is None
    assert old.attempts[0].sent_at == now - 6 * SECOND
    assert ran.pending == [] and ran.attempts[0].outcome == AttemptOutcome.RESET and new.attempts == []


def test_nothing_is_retried_after_the_clock_stepped_back() -> None:
    """Guard against a retry after an unknown time, when a machine reboots with its clock set back.

    The worker may no longer remember the idempotency key of the earlier attempt, and would run the job twice.
    The attempt must count as older than any deduplication window.
    """
    table = table_from(
        WRITER,
        accepted_job("a", 1001 * SECOND),
        granted_lease("a", granted_at=1002 * SECOND),
        AttemptEnded("a", 1, STORED_OUTCOMES[AttemptOutcome.RESET], 1003 * SECOND),
    )
    (step,) = recovery.plan(
        table, LeaseTable(LEASE_CONFIG), ElapsedBounds(0, recovery.UNKNOWN_SPAN), 5000 * SECOND
    )
    assert isinstance(step, ResumeJob) and step.attempts[0].sent_at < -recovery.UNKNOWN_SPAN // 2


def test_recovered_lease_ends_with_its_job_at_the_latest() -> None:
    """Guard against a lease that outlasts its job, whose client gets the final response at the deadline.

    A job has three seconds left at the restart and its worker sends no report. The heartbeat timeout of five
    seconds would extend the lease past the deadline of the job.
    """
    table = table_from(WRITER, accepted_job("a", 1000 * SECOND), granted_lease("a", granted_at=1000 * SECOND))
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
    """Return the commands of a scheduler for a recovered request, within `seconds` after the recovery."""
    config = scheduler_config(max_attempts=3, dispatcher_count=1, is_polled=False, worst_class_weight=0.4)
    scheduler = Scheduler(1, config)
    now = NOW
    entries = [endpoint_entry("w0"), endpoint_entry("w1", cell=1), endpoint_entry("w2")]
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
    """Guard against a second attempt beside one that still runs.

    A dispatcher is killed while a worker runs a job, and restarted before the worker has finished. Nothing
    may be sent while the first attempt has no outcome.
    """
    assert recover_request(earlier_attempt(None)) == []


def test_recovered_request_that_may_have_run_is_retried_in_its_cell_on_another_worker() -> None:
    """Guard against a retry in a cell that does not know the job's idempotency key.

    The connection of an attempt broke before the crash, so that the job may have run; only workers of the
    same cell remember its key. The cell of the attempt counts, also if the endpoint list no longer has the
    worker.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET))
    assert [command.worker for command in commands] == ["w2"]
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, worker="unlisted", cell=1))
    assert [command.worker for command in commands] == ["w1"]


def test_recovered_request_past_its_deduplication_window_is_not_retried() -> None:
    """Guard against a retry that no worker recognises as a repetition, so that the job runs twice.

    The job may have run five seconds ago, and workers remember idempotency keys for four.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, age=5 * SECOND))
    assert not [command for command in commands if isinstance(command, StartAttempt)]


def test_recovered_request_sent_before_the_zero_of_the_clock_fails_at_once() -> None:
    """Guard against a job that cannot be sent but waits until its deadline instead of failing at once.

    The job was sent at a time that is negative on this process's clock. The end of its deduplication window
    was negative, too, and was taken for the value that means that repetitions are always dropped.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET, age=NOW + 5 * SECOND))
    assert [type(command) for command in commands] == [FailRequest]


def test_background_job_is_failed_once_its_repeats_are_no_longer_dropped() -> None:
    """Guard against a job that can no longer be retried but waits until its deadline, minutes later.

    The job may have run on a worker whose whole cell was lost. Only that cell may get a retry, and only
    within the deduplication window. The job must fail when the window is over, and not before.
    """
    attempt = earlier_attempt(AttemptOutcome.RESET, cell=7)
    assert recover_request(attempt, seconds=2.9) == []  # three seconds of the window are left
    assert [type(command) for command in recover_request(attempt, seconds=3.2)] == [FailRequest]


def test_recovered_request_that_runs_at_most_once_fails_if_it_may_have_run() -> None:
    """Guard against a second run of a job that must run at most once and was sent before the crash.

    If the attempt may have run, the job must fail. If the worker declined it, the job did not run and must be
    sent again.
    """
    commands = recover_request(earlier_attempt(AttemptOutcome.RESET), service_class="cash")
    assert [type(command) for command in commands] == [FailRequest]
    commands = recover_request(earlier_attempt(AttemptOutcome.FULL), service_class="cash")
    assert [type(command) for command in commands] == [StartAttempt]


def test_recovered_request_counts_attempts_that_may_have_run_but_no_declined_ones() -> None:
    """Guard against a wrong count of the attempts that a background job had before the crash.

    Attempts that workers declined do not count, because no client waits for the job: it must be sent again.
    Attempts that may have run count: the job must fail once it has had the maximum number of attempts.
    """
    commands = recover_request(*[earlier_attempt(AttemptOutcome.FULL)] * 3)
    assert [type(command) for command in commands] == [StartAttempt]
    commands = recover_request(*[earlier_attempt(AttemptOutcome.RESET)] * 3)
    assert [type(command) for command in commands] == [FailRequest]
