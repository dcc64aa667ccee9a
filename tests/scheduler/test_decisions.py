"""Scheduler decisions: random events under the four rules, basic cases, and a test for each failure found."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import ROUND_INTERVAL, SERVICE_CLASSES, CheckedScheduler, endpoint_entry, scheduler_config

from locktide.scheduler.commands import (
    CancelAttempt,
    FailRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import (
    AttemptProgressed,
    AttemptSent,
    AttemptStarted,
    ClientDisconnected,
    ConfigReloaded,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.policy.outlier_detection import is_suspected
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind, SuspicionReason

OUTCOMES = [
    AttemptOutcome.DONE,
    AttemptOutcome.DONE,
    AttemptOutcome.DONE,
    AttemptOutcome.DONE,
    AttemptOutcome.ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.NO_CONNECTION,
    AttemptOutcome.RESET,
    AttemptOutcome.NEVER_SENT,
]


@pytest.mark.parametrize("seed", range(24))
def test_random_events_keep_the_four_rules(seed: int) -> None:
    generator = random.Random(seed)
    checked = CheckedScheduler(seed, dispatcher_count=generator.randint(1, 5), is_polled=seed % 2 == 0)
    names = [f"w{n}" for n in range(generator.randint(1, 8))]
    checked.update_endpoints(
        *[endpoint_entry(name, cell=index % 2) for index, name in enumerate(names)],
        kind=ListUpdateKind.CACHED,
    )
    for request_id in range(300):
        hint = generator.choice([20_000, 200_000, 900_000])
        checked.arrive(
            request_id, generator.choice(SERVICE_CLASSES).name, generator.choice([1.0, 1.0, 2.0, 4.0]), hint
        )
        checked.pass_time(ROUND_INTERVAL * generator.randint(0, 20))
        for open_request_id, attempt in checked.running_attempts():
            draw = generator.random()
            if draw < 0.05:
                checked.step(AttemptStarted(open_request_id, attempt))
            elif draw < 0.10:
                checked.step(AttemptProgressed(open_request_id, attempt, generator.random()))
            elif draw < 0.2:
                checked.end_attempt(open_request_id, attempt, generator.choice(OUTCOMES))
            elif draw < 0.21 and open_request_id not in checked.finished:
                checked.step(ClientDisconnected(open_request_id))
        for command in [command for command in checked.commands if type(command) is CancelAttempt]:
            if (
                command.request_id,
                command.attempt,
            ) in checked.running_attempts() and generator.random() < 0.7:
                checked.end_attempt(command.request_id, command.attempt, AttemptOutcome.CANCELLED)
        if generator.random() < 0.1:
            index = generator.randrange(len(names))
            state = generator.choice(
                [
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.GONE,
                ]
            )
            started_at = generator.choice([0, checked.now])
            checked.update_endpoints(
                endpoint_entry(names[index], state, started_at, index % 2), kind=ListUpdateKind.DELTA
            )
        if generator.random() < 0.03:
            checked.update_endpoints(kind=ListUpdateKind.FETCH_FAILED)
    checked.pass_time(7_000_000)
    assert set(checked.finished) == set(checked.arrivals)
    assert not checked.scheduler.requests.open, "an ended request is still open"


def test_the_same_events_give_the_same_commands() -> None:
    first, second = CheckedScheduler(seed=5), CheckedScheduler(seed=5)
    for checked in (first, second):
        checked.update_endpoints(*[endpoint_entry(f"w{n}") for n in range(5)])
        for request_id in range(40):
            checked.arrive(request_id, "close")
            checked.pass_time(ROUND_INTERVAL)
    assert first.commands == second.commands


def test_the_oldest_waiting_request_is_sent_first() -> None:
    checked = CheckedScheduler()
    checked.arrive(1, "cash")
    checked.pass_time(ROUND_INTERVAL)
    checked.arrive(2, "cash")
    commands = checked.update_endpoints(endpoint_entry("w"))
    assert [command.request_id for command in commands if type(command) is StartAttempt] == [1]


def test_after_a_full_worker_a_request_may_be_sent_to_any_other() -> None:
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0", cell=0))
    checked.arrive(1, "record")
    checked.update_endpoints(endpoint_entry("w1", cell=1))
    checked.end_attempt(1, 0, AttemptOutcome.FULL)
    checked.pass_time(200_000)
    assert [attempt["worker"] for attempt in checked.attempts[1]] == ["w0", "w1"]


def test_without_a_known_worker_a_request_is_rejected_in_time() -> None:
    checked = CheckedScheduler()
    checked.arrive(1, "cash")
    checked.pass_time(6_000_000)
    assert checked.finished[1] == "rejected"


def test_an_error_fails_an_at_most_once_request_at_once() -> None:
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "cash")
    commands = checked.end_attempt(1, 0, AttemptOutcome.ERROR)
    assert [type(command) for command in commands if type(command) is not WriteLog] == [FailRequest]


def test_the_endpoint_list_is_polled_and_polled_again_after_a_failure() -> None:
    checked = CheckedScheduler(is_polled=True)
    checked.update_endpoints(kind=ListUpdateKind.CACHED)
    assert WatchEndpoints(True) in checked.pass_time(5_000_000)
    assert WatchEndpoints(True) not in checked.update_endpoints(kind=ListUpdateKind.FETCH_FAILED)
    assert WatchEndpoints(True) in checked.pass_time(11_000_000)


def test_the_endpoint_list_is_polled_though_the_timer_fires_a_microsecond_early() -> None:
    """A host rounds its clock down, and the call was not due yet when its timer fired.

    A dispatcher without traffic has no later step, so it never called discovery again.
    """
    checked = CheckedScheduler(is_polled=True)
    commands = checked.update_endpoints(kind=ListUpdateKind.CACHED)
    (timer,) = (command for command in commands if type(command) is SetTimer)
    checked.now += timer.delay - 1
    assert WatchEndpoints(True) in checked.step(TimerFired(timer.timer_id))


# --- regression tests -----------------------------------------------------------------------------------


def test_requests_are_answered_in_time_while_no_worker_has_capacity() -> None:
    """In an overload a round ended as soon as no worker had capacity.

    The check of queue deadlines came later in the same round and was skipped. Requests in the pool passed
    their deadlines and their clients got no response. Every request must have its response by its deadline,
    even while no round places a request.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    for request_id in range(20):
        checked.arrive(request_id, "cash")
    checked.pass_time(5_100_000)
    assert len(checked.finished) == 20


def test_a_round_without_capacity_draws_nothing() -> None:
    """With 180 full workers the requests in the pool used up the CPU time of their dispatcher.

    Each round drew an endpoint for each request, although none had capacity, and the dispatcher was late with
    all other work. A round must not draw while no endpoint has capacity.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    for request_id in range(20):
        checked.arrive(request_id, "record")
    before = checked.scheduler.random.state
    checked.pass_time(ROUND_INTERVAL * 3)
    assert checked.scheduler.random.state == before


def test_a_cancelled_request_is_kept_while_an_attempt_may_still_help() -> None:
    """An attempt of a request with an idempotency key was cancelled for a retry, late in the request's slack.

    When the request returned to the pool, its queue deadline was already over, so it failed at once although
    its client was still waiting. A request that may have run must wait as long as another attempt can help,
    as a late response is better than none.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    checked.arrive(1, "view")
    assert CancelAttempt(1, 0) in checked.pass_time(200_000)
    checked.update_endpoints(
        endpoint_entry("w0", EndpointState.DRAINING), endpoint_entry("w1", EndpointState.DRAINING)
    )
    checked.end_attempt(1, 0, AttemptOutcome.CANCELLED)
    checked.pass_time(500_000)
    assert 1 not in checked.finished


def test_a_request_bound_to_a_cell_keeps_its_place_in_a_queue() -> None:
    """Attempts of requests that may be repeated only in one cell were cancelled when their start was late.

    Each request gave up its place in the queue of one worker for a later place in that of another, and ended
    later than without the retry. Such an attempt must not be cancelled until it is presumed lost.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    checked.arrive(1, "record")
    assert not [command for command in checked.pass_time(2_000_000) if type(command) is CancelAttempt]


def test_an_unreachable_worker_is_soon_sent_probes_only() -> None:
    """One site was unreachable, and connections to its workers were refused at once.

    These workers had nothing in flight, so they always had capacity. Three in four attempts were sent there
    and were lost. A worker that refuses connections must be suspected after its first failures and then be
    sent only a few probes.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(*[endpoint_entry(f"w{n}") for n in range(4)])
    for request_id in range(200):
        checked.arrive(request_id, "view")
        checked.pass_time(25_000)
        for open_request_id, attempt in checked.running_attempts():
            is_refusing = checked.attempts[open_request_id][attempt]["worker"] == "w0"
            checked.end_attempt(
                open_request_id, attempt, AttemptOutcome.NO_CONNECTION if is_refusing else AttemptOutcome.DONE
            )
    attempt_count = [
        attempt["worker"] for attempts in checked.attempts.values() for attempt in attempts
    ].count("w0")
    assert 1 <= attempt_count <= 12


def test_requests_are_sent_while_every_worker_is_suspected() -> None:
    """A fault outside the workers made all of them suspected at the same time.

    With no worker left, every request was rejected, although the workers were healthy. While most endpoints
    are suspected, the suspicions carry no information, and requests must be sent anyway.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(*[endpoint_entry(f"w{n}") for n in range(4)])
    for worker in checked.scheduler.endpoints.by_id.values():
        for _ in range(5):
            checked.scheduler.outliers.record_failure(worker, SuspicionReason.RESET)
    checked.arrive(1, "view")
    checked.pass_time(ROUND_INTERVAL * 2)
    assert checked.attempts[1]


def test_a_class_with_long_slack_waits_no_longer_than_one_with_short_slack() -> None:
    """In an overload the pool was full of requests with a long slack, which waited ten times longer.

    All requests of the class with the shortest slack were rejected before they were placed. If the
    worst-served class decides the objective, all classes must wait equally long; if its weight is low, a
    class with a long slack may wait longer.
    """
    checked = CheckedScheduler()
    checked.arrive(1, "view")
    checked.arrive(2, "record")
    first, second = (checked.scheduler.requests.open[n] for n in (1, 2))
    assert first.queue_deadline == second.queue_deadline
    checked = CheckedScheduler(worst_class_weight=0.1)
    checked.arrive(1, "view")
    checked.arrive(2, "record")
    first, second = (checked.scheduler.requests.open[n] for n in (1, 2))
    assert first.queue_deadline < second.queue_deadline


def test_one_of_many_dispatchers_pauses_between_attempts_at_one_worker() -> None:
    """Seventeen dispatchers shared a worker with two slots, each with a minimum limit of one request.

    Together they had seventeen requests in flight there, so the limit had no effect. If a dispatcher's share
    of a worker is less than one slot, the dispatcher must pause after each attempt, so that it uses its share
    on average.
    """
    checked = CheckedScheduler(dispatcher_count=17)
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(0, "cash")
    checked.pass_time(1_000_000)
    checked.step(AttemptStarted(0, 0))
    checked.end_attempt(0, 0, AttemptOutcome.DONE)
    checked.arrive(1, "cash")
    checked.pass_time(ROUND_INTERVAL * 2)
    assert not checked.attempts[1]


def test_a_request_with_a_heavy_work_hint_is_not_rejected_at_once() -> None:
    """A client's work hint was nearly as long as the timeout of its request.

    By this hint the request had no slack, and it was rejected on arrival. But hints are rough, and a fast
    worker could have completed it in time. A request must be sent while half of its hinted run time still
    fits.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "record", work_hint=6_500_000)
    assert checked.attempts[1]


def test_a_class_without_stretch_is_not_rejected_while_no_run_is_known() -> None:
    """The latency objective of a class did not grow with the work.

    While no run was known, the initial estimate of the run time used up the objective. Without slack each
    request was rejected on arrival, so that no run ever became known. Such a class must keep a part of its
    objective as slack.
    """
    checked = CheckedScheduler()
    classes = [replace(grade, stretch=0.0) if grade.name == "cash" else grade for grade in SERVICE_CLASSES]
    checked.step(ConfigReloaded(replace(scheduler_config(3, 3, False, 0.4), service_classes=classes)))
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "cash")
    assert checked.attempts[1]


def test_requests_beyond_the_quota_are_rejected_first() -> None:
    """In an overload a third of the served requests were beyond their tenants' quotas and had little value.

    Meanwhile requests within their quotas were rejected, as both waited equally long. A request beyond its
    quota must have the earlier queue deadline.
    """
    checked = CheckedScheduler()
    for request_id in range(40):
        checked.step(RequestArrived(request_id, "view", checked.now + 3_000_000, tenant="dairy"))
    open_requests = checked.scheduler.requests.open
    assert open_requests[0].queue_deadline > open_requests[39].queue_deadline


def test_many_dispatchers_together_send_work_to_a_warming_worker() -> None:
    """A worker restarted in a fleet with 76 dispatchers.

    Each dispatcher may send it a 76th of what it can take while it warms up, and no request is that small, so
    it was sent nothing until it was warm. Some dispatchers must send it a request, but all of them together
    no more than it can take.
    """
    sent = 0
    for seed in range(76):
        checked = CheckedScheduler(seed, dispatcher_count=76)
        checked.update_endpoints(endpoint_entry("w", started_at=checked.now))
        for request_id in range(4):
            checked.arrive(request_id, "close", work_hint=300_000)
        sent += len(checked.running_attempts())
    # At two slots and a capacity of 0.3, eight such requests within a second overload the worker.
    assert 1 <= sent <= 8


def test_the_estimated_speed_of_a_worker_type_follows_its_run_times() -> None:
    """With many dispatchers, none of them has enough attempts at one worker to learn its concurrency limit.

    Slow worker types were sent as much as fast ones, and their requests were late. The speeds that decide
    whether draws are accepted must follow the run times of each worker type.
    """
    checked = CheckedScheduler(dispatcher_count=76)
    throughput = checked.scheduler.estimates.throughput
    for _ in range(20):
        throughput.add("box", 0.5, checked.now)
        throughput.add("crate", 1.5, checked.now)
    speeds = throughput.relative_speeds
    assert speeds["box"] == 1.0 and 0.1 < speeds["crate"] ** 2 < 0.25


def test_a_success_halves_the_recorded_failures_of_a_worker() -> None:
    """A worker recovered from an outage and succeeded with the requests that it was sent.

    It stayed suspected until its failures had decayed, for about ten seconds, and its capacity was not used.
    Each success must halve the recorded failures, so that two successes clear one failure.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    worker = checked.scheduler.endpoints.by_id["w"]
    checked.arrive(0, "view")
    checked.end_attempt(0, 0, AttemptOutcome.RESET)
    records = [worker.failures.read(checked.now)]
    suspected = [is_suspected(worker, checked.now)]
    for request_id in (1, 2):  # at the same time: nothing decays
        checked.arrive(request_id, "view")
        checked.end_attempt(request_id, 0, AttemptOutcome.DONE)
        records.append(worker.failures.read(checked.now))
        suspected.append(is_suspected(worker, checked.now))
    assert records == [1.0, 0.5, 0.25] and suspected == [True, True, False]


def test_a_worker_that_reports_too_late_stays_suspected_after_its_report() -> None:
    """Some workers ran all requests four to ten times slower than the others, and seldom reported progress.

    No failure was recorded, so they were sent more requests, which were late. A worker must be suspected once
    its report is overdue, and stay suspected when a late report shows very little progress.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "record")
    checked.step(AttemptStarted(1, 0))
    checked.pass_time(2_000_000)
    checked.step(AttemptProgressed(1, 0, 0.05))
    assert is_suspected(checked.scheduler.endpoints.by_id["w"], checked.now)


def test_a_request_bound_to_a_cell_is_cancelled_once_it_is_presumed_lost() -> None:
    """A worker was busy with heavy requests and its queue did not move.

    Requests that may be repeated only in its cell stayed in this queue until their clients gave up. If such
    an attempt has not started after half of its timeout, it must be cancelled for a retry.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    checked.arrive(1, "record")
    assert CancelAttempt(1, 0) in checked.pass_time(3_200_000)


@pytest.mark.parametrize("is_sending_reported", [True, False])
def test_a_slow_connection_does_not_make_a_prompt_start_late(is_sending_reported: bool) -> None:
    """With real sockets the first attempt to each worker after a start has to open a connection.

    The time for this counted as part of the time until the start, so starts seemed late and the concurrency
    limits of all workers stayed at their minimum. The time until the start must be measured from when the
    last byte was sent, if that is reported.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    worker = checked.scheduler.endpoints.by_id["w"]
    before = worker.concurrency_limit = 2.0
    for request_id in (1, 2):
        checked.arrive(request_id, "close")
    checked.pass_time(100_000)  # longer than a prompt start: the connection is being opened
    if is_sending_reported:
        checked.step(AttemptSent(1, 0), AttemptSent(2, 0))
    checked.pass_time(20_000)
    checked.step(AttemptStarted(1, 0), AttemptStarted(2, 0))
    assert (worker.concurrency_limit > before) == is_sending_reported


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.NEVER_SENT,
        AttemptOutcome.UNPROCESSABLE,
        AttemptOutcome.CONNECTION_CLOSED,
        AttemptOutcome.FULL,
    ],
)
def test_an_outcome_that_is_not_the_workers_leaves_its_limit_and_health_alone(
    outcome: AttemptOutcome,
) -> None:
    """Faulty clients sent requests that every worker rejected as malformed.

    Each rejection counted as a late start and as a failure, so the limits of healthy workers fell and the
    workers became suspected. Outcomes that say nothing about a worker must change neither its limit nor its
    health. A full worker's limit must fall.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    worker = checked.scheduler.endpoints.by_id["w"]
    worker.concurrency_limit = 3.0
    checked.arrive(1, "close")
    checked.end_attempt(1, 0, outcome)
    assert (worker.concurrency_limit < 3.0) == (outcome == AttemptOutcome.FULL)
    assert not is_suspected(worker, checked.now)


def test_slow_progress_suspects_nobody_while_few_runs_are_known() -> None:
    """Just after a start with real sockets a third of the workers were suspected.

    The initial estimate of a run time is the latency objective, and healthy workers with run times of several
    times this estimate seemed slow. While few runs of a class are known, no progress may count as slow.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "view")
    checked.step(AttemptStarted(1, 0))
    checked.pass_time(1_000_000)
    checked.step(AttemptProgressed(1, 0, 0.4))  # projects a run of 2.5 s, ten times the estimate
    assert not is_suspected(checked.scheduler.endpoints.by_id["w"], checked.now)


@pytest.mark.parametrize(
    "service_classes, expected_limit", [(SERVICE_CLASSES, 1.0), (SERVICE_CLASSES[:4], 2.0)]
)
def test_the_least_limit_of_two_dispatchers_fills_the_slots(
    service_classes: list[ServiceClass], expected_limit: float
) -> None:
    """With two dispatchers one request in ten was rejected at half load, while half of the slots were free.

    Each dispatcher used at most half of a worker, even while the other left its half unused. If no class is
    at most once, so that every request can be sent elsewhere from a queue, the minimum limit must be twice
    the share.
    """
    dispatcher = Scheduler(1, replace(scheduler_config(3, 2, False, 0.4), service_classes=service_classes))
    dispatcher.step(0, [EndpointListUpdate(ListUpdateKind.SNAPSHOT, [endpoint_entry("w")])])
    assert dispatcher.endpoints.by_id["w"].concurrency_limit == expected_limit


def test_a_worker_that_rejects_everything_does_not_attract_every_request() -> None:
    """One worker rejected all requests of one class: it responded at once that it was full.

    So it never had anything in flight and always had capacity, and was sent each request of this class three
    times. After "full" a worker must count as without capacity for a usual run time.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    workers = checked.scheduler.endpoints.by_id
    checked.arrive(1, "view")
    first = workers[checked.attempts[1][0]["worker"]]
    checked.end_attempt(1, 0, AttemptOutcome.FULL)
    assert not has_capacity(first, 1.0, checked.now, 62_000) and has_capacity(
        first, 1.0, checked.now + 300_000, 62_000
    )
    first.unavailable_until = 0
    checked.pass_time(50_000)
    assert {sent_attempt["worker"] for sent_attempt in checked.attempts[1]} == {"w0", "w1"}
    assert len(checked.attempts[1]) == 2


def test_a_request_that_returns_to_the_pool_late_gets_its_queue_timeout_anew() -> None:
    """Machines did not respond any more, so connections to them could not be opened.

    Each such attempt took longer than the queue timeout of its request, so the request was rejected when it
    returned to the pool, although other workers had capacity. A request that returns to the pool must get its
    full queue timeout again.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    checked.arrive(1, "cash")
    for worker in checked.scheduler.endpoints.by_id.values():
        worker.paused_until = checked.now + 950_000  # makes the request wait in the pool
    checked.pass_time(900_000)
    checked.end_attempt(1, 0, AttemptOutcome.NO_CONNECTION)
    assert 1 not in checked.finished
    checked.pass_time(100_000)
    assert {attempt["worker"] for attempt in checked.attempts[1]} == {"w0", "w1"}


def test_a_background_request_outlives_full_workers() -> None:
    """Durable jobs were rejected within milliseconds after four full workers, minutes before their deadlines.

    No client waited for them, and capacity became free soon after. Attempts that did not run must not count
    for a background request. It must be sent again, to each worker once per usual run time.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(*[endpoint_entry(f"w{number}") for number in range(3)])
    checked.step(RequestArrived(1, "record", checked.now + 60_000_000, background=True))
    full_count = 0
    for _ in range(5_000_000 // ROUND_INTERVAL):
        for request_id, attempt in checked.running_attempts():
            full_count += 1
            checked.end_attempt(request_id, attempt, AttemptOutcome.FULL)
        checked.pass_time(ROUND_INTERVAL)
    assert (
        not checked.finished and checked.max_attempts < full_count <= 3 * 8
    ), "once per usual run time at each of three workers"
    while not checked.running_attempts():
        checked.pass_time(ROUND_INTERVAL)
    checked.end_attempt(1, checked.running_attempts()[0][1], AttemptOutcome.DONE)
    assert checked.finished[1] == "done"


@pytest.mark.parametrize("time_before_end, attempt_count", [(1, 2), (0, 1), (-1_000_000, 1)])
def test_a_job_is_repeated_until_its_deduplication_window_ends_and_no_longer(
    time_before_end: int, attempt_count: int
) -> None:
    """A durable job may have run at a worker that was lost, and waits for another worker of its cell.

    Its client set no limit for this wait, so the wait may be longer than workers remember its idempotency
    key. After that a repeat would run the job twice. The job may be sent until the end of the window, and not
    from then on.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"))
    checked.step(RequestArrived(1, "record", checked.now + 60_000_000, background=True))
    window_ends_at = checked.attempts[1][0]["at"] + checked.service_classes["record"].deduplication_window
    checked.end_attempt(1, 0, AttemptOutcome.RESET)
    checked.pass_time(1_000_000)
    assert len(checked.attempts[1]) == 1, "a repeat needs another worker of its cell, and there is none"
    checked.now = window_ends_at - time_before_end
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    checked.pass_time(1_000_000)
    assert [attempt["worker"] for attempt in checked.attempts[1]] == ["w0", "w1"][:attempt_count]


def test_a_refused_connection_does_not_shorten_the_pause_after_full() -> None:
    """A worker responded that it was full, so it must not be sent anything for a usual run time.

    A refused connection right after that replaced this pause by a shorter one, and the worker was sent
    requests that it could not take. The longer pause must remain.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    worker = checked.scheduler.endpoints.by_id["w"]
    worker.concurrency_limit = 2.0
    checked.arrive(1, "record")
    checked.arrive(2, "record")
    checked.end_attempt(1, 0, AttemptOutcome.FULL)
    paused_until = worker.unavailable_until
    assert paused_until > checked.now + 250_000
    checked.end_attempt(2, 0, AttemptOutcome.NO_CONNECTION)
    assert worker.unavailable_until == paused_until


FLOODS = {"one tenant": ("spam", None), "certain keys": ("dairy", 7), "no common mark": (None, None)}


@pytest.mark.parametrize("flood", FLOODS)
def test_a_flood_of_requests_that_fail_anywhere_suspects_no_worker(flood: str) -> None:
    """One tenant sent faulty requests, which every worker quickly answered with an error.

    The errors were recorded as failures of the workers, and soon every worker was suspected, for all tenants.
    A request that fails at two workers must be rejected as unprocessable, and the health of both must not
    change.
    """
    tenant, key = FLOODS[flood]
    checked = CheckedScheduler(dispatcher_count=3)
    checked.update_endpoints(*[endpoint_entry(f"w{number}") for number in range(8)])
    done_count = 0
    for number in range(60):
        is_faulty, request_id = number % 2 == 0, number
        deadline, affinity_key = checked.now + 3_000_000, key if is_faulty else 9
        checked.step(RequestArrived(request_id, "view", deadline, tenant=tenant, affinity_key=affinity_key))
        for _ in range(4):
            checked.pass_time(ROUND_INTERVAL)
            for open_request_id, attempt in checked.running_attempts():
                if open_request_id == request_id:
                    checked.end_attempt(
                        open_request_id, attempt, AttemptOutcome.ERROR if is_faulty else AttemptOutcome.DONE
                    )
        if is_faulty:
            assert len(checked.attempts[request_id]) == 2 and checked.finished[request_id] == "rejected"
        else:
            done_count += checked.finished.get(request_id) == "done"  # a valid request is served
    assert done_count == 30
    workers = checked.scheduler.endpoints.by_id.values()
    assert not any(is_suspected(worker, checked.now) for worker in workers)
    assert max(worker.failures.read(checked.now) for worker in workers) < 0.01


def test_a_faulty_worker_is_found_amid_requests_that_fail_anywhere() -> None:
    """Half of all requests fail at any worker, and one worker fails the valid requests, too.

    If no error were attributed to a worker during such a flood, this worker would continue to fail requests.
    It must become suspected, and no other worker.
    """
    checked = CheckedScheduler(dispatcher_count=3)
    checked.update_endpoints(*[endpoint_entry(f"w{number}") for number in range(6)])
    for request_id in range(60):
        checked.step(RequestArrived(request_id, "view", checked.now + 3_000_000, tenant="spam"))
        for _ in range(4):
            checked.pass_time(ROUND_INTERVAL)
            for one, attempt in checked.running_attempts():
                if one == request_id:
                    is_error = one % 2 == 0 or checked.attempts[one][attempt]["worker"] == "w0"
                    checked.end_attempt(
                        one, attempt, AttemptOutcome.ERROR if is_error else AttemptOutcome.DONE
                    )
    suspected = [
        name for name, one in checked.scheduler.endpoints.by_id.items() if is_suspected(one, checked.now)
    ]
    assert suspected == ["w0"]


def test_requests_with_one_key_are_sent_to_the_same_two_workers_by_every_dispatcher() -> None:
    names = [f"w{number}" for number in range(20)]

    def drawn_workers(seed: int, key: int, listed_names: list[str], count: int = 1) -> list[str]:
        checked = CheckedScheduler(seed, dispatcher_count=3)
        for request_id in range(1_000, 1_040):  # requests with other keys, for which there is no worker yet
            checked.step(RequestArrived(request_id, "view", checked.now + 3_000_000, affinity_key=request_id))
        checked.pass_time(1_000_000)
        checked.update_endpoints(*[endpoint_entry(name) for name in listed_names])
        for request_id in range(count):
            checked.step(RequestArrived(request_id, "view", checked.now + 3_000_000, affinity_key=key))
        checked.pass_time(400_000)
        attempts_by_request = [checked.attempts[request_id] for request_id in range(count)]
        return [attempts[0]["worker"] for attempts in attempts_by_request if attempts]

    workers_by_key = {key: {drawn_workers(seed, key, names)[0] for seed in range(12)} for key in range(30)}
    assert (
        all(len(workers) == 2 for workers in workers_by_key.values())
        and len(set().union(*workers_by_key.values())) > 15
    )
    remaining_names = [name for name in names if name != "w3"]
    for key, workers in workers_by_key.items():
        drawn = {drawn_workers(seed, key, remaining_names)[0] for seed in range(12)}
        assert drawn == workers or "w3" in workers and workers - {"w3"} < drawn
    # A key with half of all requests has 1.5 times half of the workers: two would be too few for it.
    assert len(set(drawn_workers(1, 5, names, count=40))) > 10
