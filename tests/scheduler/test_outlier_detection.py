"""Outlier detection: what suspects an endpoint, what clears it, and which probes a suspected one is sent."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import STEP, Checked, listed

from locktide.scheduler.commands import WriteLog
from locktide.scheduler.events import AttemptProgressed, AttemptStarted
from locktide.scheduler.log_events import WorkerCleared, WorkerSuspected
from locktide.scheduler.policy.outlier_detection import PROBE_INTERVAL, is_suspected
from locktide.scheduler.types import AttemptOutcome, SuspicionReason

USUAL_RUN = 100_000  # microseconds
RUN_SPREAD = 8_000  # microseconds, between one run and the next
SOME_RUNS = 10
SECOND = 1_000_000  # microseconds


def after_some_runs() -> Checked:
    """Return a dispatcher with one worker that has run some requests of class `record` in the usual time."""
    service = Checked(fleet=1)
    service.list(listed("w"))
    for number in range(SOME_RUNS):
        service.arrive(number, "record")
        service.turn(AttemptStarted(number, 0))
        service.pass_time(USUAL_RUN + (number - SOME_RUNS // 2) * RUN_SPREAD)
        service.end(number, 0, AttemptOutcome.DONE)
    service.pass_time(STEP)
    return service


def suspicions(service: Checked) -> list[SuspicionReason]:
    """Return the reasons for which workers were suspected so far."""
    logged = [command.event for command in service.orders if type(command) is WriteLog]
    return [event.reason for event in logged if type(event) is WorkerSuspected]


@pytest.mark.parametrize(("fraction_done", "reasons"), [(0.05, [SuspicionReason.SLOW_PROGRESS]), (0.9, [])])
def test_progress_from_which_a_far_longer_run_follows_suspects_a_worker(
    fraction_done: float, reasons: list[SuspicionReason]
) -> None:
    """Some workers ran everything four to ten times slower than the others.

    They reported progress all along, so they were never silent, and requests went on to them and were late.
    A report from which a run far longer than usual follows must suspect the worker, before its request has
    ended. A report of a usual run must not.
    """
    service = after_some_runs()
    service.arrive(SOME_RUNS, "record")
    service.turn(AttemptStarted(SOME_RUNS, 0))
    service.pass_time(USUAL_RUN)
    service.turn(AttemptProgressed(SOME_RUNS, 0, fraction_done))
    assert suspicions(service) == reasons


def test_a_running_attempt_that_stops_reporting_suspects_its_worker() -> None:
    """A worker hung in the middle of its jobs, and its connections stayed open.

    Nothing failed, so it was sent more until the clients gave up. It must be suspected one and a half report
    intervals after its last report, and not before.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))
    service.arrive(1, "record")
    service.turn(AttemptStarted(1, 0))
    service.pass_time(1_500_000)
    assert suspicions(service) == []
    service.pass_time(1_500_000)  # the check after the one that found it just in time
    assert suspicions(service) == [SuspicionReason.NO_PROGRESS]


def test_an_attempt_that_starts_late_takes_its_failure_back() -> None:
    """A worker with a long queue starts a request after it was suspected for giving no sign.

    It was slow to start it, not silent. If the failure stayed, a busy worker would be sent probes only as
    soon as its queue is empty again. With the start, it must be cleared at once.
    """
    service = after_some_runs()
    service.arrive(SOME_RUNS, "record")
    service.pass_time(1_000_000)
    worker = service.dispatcher.endpoints.by_id["w"]
    assert suspicions(service) == [SuspicionReason.NO_START] and is_suspected(worker, service.now)
    service.turn(AttemptStarted(SOME_RUNS, 0))
    assert not is_suspected(worker, service.now)


def test_no_start_suspects_nobody_while_the_worker_gives_signs_of_life() -> None:
    """A request waited behind a heavy one at a sound worker, which reported its progress on that.

    Its own start was late, and a worker that is merely busy would have been suspected for it. While
    anything was heard of the worker since the request was sent, a late start must not be recorded as a
    failure.
    """
    service = after_some_runs()
    service.arrive(SOME_RUNS, "record", hint=10 * USUAL_RUN)
    service.turn(AttemptStarted(SOME_RUNS, 0))
    service.dispatcher.endpoints.by_id["w"].concurrency_limit = 2.0
    service.arrive(SOME_RUNS + 1, "record")
    assert len(service.out()) == 2
    for step in range(1, 6):
        service.pass_time(200_000)
        service.turn(AttemptProgressed(SOME_RUNS, 0, 0.2 * step))
    assert suspicions(service) == []


def test_a_suspected_worker_is_sent_a_probe_at_most_once_a_second() -> None:
    """A worker with a long good record fails. Its record makes nearly every draw for a probe succeed.

    Drawn anew for each request, a busy dispatcher would send it as much as before, and lose all of that.
    However many requests come, a probe must be drawn once in its interval at most.
    """
    service = after_some_runs()
    detector = service.dispatcher.outliers
    worker = service.dispatcher.endpoints.by_id["w"]
    admitted = []
    for _ in range(3 * PROBE_INTERVAL // STEP):
        service.now += STEP
        service.dispatcher.clock.now = service.now
        if detector.admits_probe(worker):
            admitted.append(service.now)
    gaps = [later - earlier for earlier, later in pairwise(admitted)]
    assert admitted and min(gaps) >= PROBE_INTERVAL


@pytest.mark.parametrize("starts", [1, 2])
def test_a_late_start_takes_back_no_more_than_is_left_of_its_failure(starts: int) -> None:
    """A worker was suspected for an attempt without a start, which it began seconds later after all.

    The whole failure was taken back from a count that had decayed, and once more where the start was reported
    twice: the count was negative, so that the worker's next real failure did not make it suspected.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))
    service.arrive(1, "cash")  # at most once: it is left where it is
    service.pass_time(4 * USUAL_RUN)
    while not suspicions(service):
        service.pass_time(USUAL_RUN)
    service.pass_time(SECOND)
    service.turn(*[AttemptStarted(1, 0)] * starts)
    worker = service.dispatcher.endpoints.by_id["w"]
    assert worker.failures.read(service.now) == pytest.approx(0.0, abs=1e-9)
    service.end(1, 0, AttemptOutcome.RESET)
    assert is_suspected(worker, service.now)
    assert suspicions(service) == [SuspicionReason.NO_START, SuspicionReason.RESET]


def test_the_end_of_a_suspicion_is_logged_once() -> None:
    """At night the log said that a worker was suspected, and never that it was used again.

    Whether a suspicion had ended could only be reckoned from its memory. Each one must be followed by one
    line once requests may go to the worker again, whatever cleared it, also where nothing else happens.
    """
    service = Checked(fleet=1)
    service.list(listed("w"), listed("x"))
    service.arrive(1, "cash")
    worker = service.dispatches[1][0]["worker"]
    service.end(1, 0, AttemptOutcome.RESET)
    assert suspicions(service) == [SuspicionReason.RESET]
    service.pass_time(6 * SECOND)
    assert cleared(service) == [], "one failure suspects for seven seconds"
    service.pass_time(2 * SECOND)
    service.arrive(2, "view")
    service.pass_time(SECOND)
    assert [event.worker for event in cleared(service)] == [worker]
    assert 6_900 <= cleared(service)[0].suspected_ms <= 8_100


def cleared(service: Checked) -> list[WorkerCleared]:
    logged = [command.event for command in service.orders if type(command) is WriteLog]
    return [event for event in logged if type(event) is WorkerCleared]
