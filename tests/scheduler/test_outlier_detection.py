"""Outlier detection: what makes an endpoint suspected, what clears it, and which probes it is sent."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import ROUND_INTERVAL, CheckedScheduler, endpoint_entry

from locktide.scheduler.commands import WriteLog
from locktide.scheduler.events import AttemptProgressed, AttemptStarted
from locktide.scheduler.log_events import WorkerCleared, WorkerSuspected
from locktide.scheduler.policy.outlier_detection import PROBE_INTERVAL, is_suspected
from locktide.scheduler.types import AttemptOutcome, SuspicionReason

USUAL_RUN = 100_000  # microseconds
RUN_SPREAD = 8_000  # microseconds between one run time and the next
RUN_COUNT = 10
SECOND = 1_000_000  # microseconds


def after_some_runs() -> CheckedScheduler:
    """Return a dispatcher with one worker that has completed requests of class `record` in the usual time."""
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    for number in range(RUN_COUNT):
        checked.arrive(number, "record")
        checked.step(AttemptStarted(number, 0))
        checked.pass_time(USUAL_RUN + (number - RUN_COUNT // 2) * RUN_SPREAD)
        checked.end_attempt(number, 0, AttemptOutcome.DONE)
    checked.pass_time(ROUND_INTERVAL)
    return checked


def suspicions(checked: CheckedScheduler) -> list[SuspicionReason]:
    """Return the reasons of all suspicions logged so far."""
    logged = [command.event for command in checked.commands if type(command) is WriteLog]
    return [event.reason for event in logged if type(event) is WorkerSuspected]


@pytest.mark.parametrize(("fraction_done", "reasons"), [(0.05, [SuspicionReason.SLOW_PROGRESS]), (0.9, [])])
def test_progress_that_projects_a_far_longer_run_makes_the_worker_suspected(
    fraction_done: float, reasons: list[SuspicionReason]
) -> None:
    """Some workers ran all requests four to ten times slower than the others.

    They kept reporting progress, so they were not suspected; they were sent more requests, which were late. A
    progress report that projects a far longer run than usual must make the worker suspected before its
    request has ended. A report that projects a usual run must not.
    """
    checked = after_some_runs()
    checked.arrive(RUN_COUNT, "record")
    checked.step(AttemptStarted(RUN_COUNT, 0))
    checked.pass_time(USUAL_RUN)
    checked.step(AttemptProgressed(RUN_COUNT, 0, fraction_done))
    assert suspicions(checked) == reasons


def test_a_running_attempt_that_stops_reporting_makes_its_worker_suspected() -> None:
    """A worker hung in the middle of its jobs while its connections stayed open.

    No attempt failed, so it was sent more requests until their clients gave up. A worker must be suspected
    one and a half report intervals after its last report, and not before.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "record")
    checked.step(AttemptStarted(1, 0))
    checked.pass_time(1_500_000)
    assert suspicions(checked) == []
    checked.pass_time(1_500_000)  # the first check found the report just in time; this is the second
    assert suspicions(checked) == [SuspicionReason.NO_PROGRESS]


def test_a_late_start_clears_the_worker_suspected_for_the_missing_start() -> None:
    """A worker with a long queue starts a request after it was suspected because of the missing start.

    The worker was busy, not dead. If the failure remained, the worker would be sent only probes although its
    queue is empty again. The start must clear it at once.
    """
    checked = after_some_runs()
    checked.arrive(RUN_COUNT, "record")
    checked.pass_time(1_000_000)
    worker = checked.scheduler.endpoints.by_id["w"]
    assert suspicions(checked) == [SuspicionReason.NO_START] and is_suspected(worker, checked.now)
    checked.step(AttemptStarted(RUN_COUNT, 0))
    assert not is_suspected(worker, checked.now)


def test_no_start_suspects_nobody_while_the_worker_gives_signs_of_life() -> None:
    """A request waited behind a heavy one at a healthy worker, which reported progress on the heavy one.

    The late start would have made a worker suspected that was only busy. If the worker has reported anything
    since the request was sent, a late start must not be recorded as a failure.
    """
    checked = after_some_runs()
    checked.arrive(RUN_COUNT, "record", work_hint=10 * USUAL_RUN)
    checked.step(AttemptStarted(RUN_COUNT, 0))
    checked.scheduler.endpoints.by_id["w"].concurrency_limit = 2.0
    checked.arrive(RUN_COUNT + 1, "record")
    assert len(checked.running_attempts()) == 2
    for step in range(1, 6):
        checked.pass_time(200_000)
        checked.step(AttemptProgressed(RUN_COUNT, 0, 0.2 * step))
    assert suspicions(checked) == []


def test_a_suspected_worker_is_sent_a_probe_at_most_once_a_second() -> None:
    """A worker with a long good record fails; because of its record nearly every draw for a probe succeeds.

    With one draw for each request, a busy dispatcher would send the worker as much as before, and lose all of
    it. There must be at most one draw for a probe in each interval, however many requests arrive.
    """
    checked = after_some_runs()
    detector = checked.scheduler.outliers
    worker = checked.scheduler.endpoints.by_id["w"]
    admitted = []
    for _ in range(3 * PROBE_INTERVAL // ROUND_INTERVAL):
        checked.now += ROUND_INTERVAL
        checked.scheduler.clock.now = checked.now
        if detector.admits_probe(worker):
            admitted.append(checked.now)
    gaps = [later - earlier for earlier, later in pairwise(admitted)]
    assert admitted and min(gaps) >= PROBE_INTERVAL


@pytest.mark.parametrize("start_reports", [1, 2])
def test_a_late_start_takes_back_no_more_than_is_left_of_its_failure(start_reports: int) -> None:
    """A worker was suspected because of a missing start, and started the attempt seconds later.

    The whole failure was subtracted from a count that had decayed since, and subtracted again when the start
    was reported twice. The count became negative, so the worker's next real failure did not make it
    suspected.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "cash")  # at most once: it is not cancelled for a retry
    checked.pass_time(4 * USUAL_RUN)
    while not suspicions(checked):
        checked.pass_time(USUAL_RUN)
    checked.pass_time(SECOND)
    checked.step(*[AttemptStarted(1, 0)] * start_reports)
    worker = checked.scheduler.endpoints.by_id["w"]
    assert worker.failures.read(checked.now) == pytest.approx(0.0, abs=1e-9)
    checked.end_attempt(1, 0, AttemptOutcome.RESET)
    assert is_suspected(worker, checked.now)
    assert suspicions(checked) == [SuspicionReason.NO_START, SuspicionReason.RESET]


def test_the_end_of_a_suspicion_is_logged_once() -> None:
    """The log showed that a worker was suspected, but never that it was used again.

    An operator could only calculate the end of a suspicion from the decay time. Each suspicion must be
    followed by exactly one log event once the worker may be sent requests again, whatever cleared it, even if
    nothing else happens.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"), endpoint_entry("x"))
    checked.arrive(1, "cash")
    worker = checked.attempts[1][0]["worker"]
    checked.end_attempt(1, 0, AttemptOutcome.RESET)
    assert suspicions(checked) == [SuspicionReason.RESET]
    checked.pass_time(6 * SECOND)
    assert cleared(checked) == [], "one failure suspects for seven seconds"
    checked.pass_time(2 * SECOND)
    checked.arrive(2, "view")
    checked.pass_time(SECOND)
    assert [event.worker for event in cleared(checked)] == [worker]
    assert 6_900 <= cleared(checked)[0].suspected_ms <= 8_100


def cleared(checked: CheckedScheduler) -> list[WorkerCleared]:
    logged = [command.event for command in checked.commands if type(command) is WriteLog]
    return [event for event in logged if type(event) is WorkerCleared]
