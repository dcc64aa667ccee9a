"""The decisions by themselves: random days under the four rules, plain cases, and each failure found."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from helpers import GRADES, STEP, Checked, listed, terms

from locktide.scheduler.commands import CancelAttempt, FailRequest, StartAttempt, WatchEndpoints, WriteLog
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import (
    AttemptProgressed,
    AttemptSent,
    AttemptStarted,
    ClientDisconnected,
    ConfigReloaded,
    EndpointListUpdate,
    RequestArrived,
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
def test_random_days_keep_the_four_rules(seed: int) -> None:
    dice = random.Random(seed)
    service = Checked(seed, fleet=dice.randint(1, 5), must_ask=seed % 2 == 0)
    names = [f"w{n}" for n in range(dice.randint(1, 8))]
    service.list(
        *[listed(name, cell=place % 2) for place, name in enumerate(names)], kind=ListUpdateKind.CACHED
    )
    for submission in range(300):
        hint = dice.choice([20_000, 200_000, 900_000])
        service.arrive(submission, dice.choice(GRADES).name, dice.choice([1.0, 1.0, 2.0, 4.0]), hint)
        service.pass_time(STEP * dice.randint(0, 20))
        for submitted, shot in service.out():
            draw = dice.random()
            if draw < 0.05:
                service.turn(AttemptStarted(submitted, shot))
            elif draw < 0.10:
                service.turn(AttemptProgressed(submitted, shot, dice.random()))
            elif draw < 0.2:
                service.end(submitted, shot, dice.choice(OUTCOMES))
            elif draw < 0.21 and submitted not in service.answered:
                service.turn(ClientDisconnected(submitted))
        for order in [order for order in service.orders if type(order) is CancelAttempt]:
            if (order.request_id, order.attempt) in service.out() and dice.random() < 0.7:
                service.end(order.request_id, order.attempt, AttemptOutcome.CANCELLED)
        if dice.random() < 0.1:
            place = dice.randrange(len(names))
            state = dice.choice(
                [
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.READY,
                    EndpointState.DRAINING,
                    EndpointState.GONE,
                ]
            )
            started_at = dice.choice([0, service.now])
            service.list(listed(names[place], state, started_at, place % 2), kind=ListUpdateKind.DELTA)
        if dice.random() < 0.03:
            service.list(kind=ListUpdateKind.FETCH_FAILED)
    service.pass_time(7_000_000)
    assert set(service.answered) == set(service.arrivals)
    assert not service.dispatcher.requests.open, "an ended submission is still held"


def test_the_same_events_give_the_same_commands() -> None:
    first, second = Checked(seed=5), Checked(seed=5)
    for service in (first, second):
        service.list(*[listed(f"w{n}") for n in range(5)])
        for submission in range(40):
            service.arrive(submission, "close")
            service.pass_time(STEP)
    assert first.orders == second.orders


def test_the_oldest_waiting_request_is_sent_first() -> None:
    service = Checked()
    service.arrive(1, "cash")
    service.pass_time(STEP)
    service.arrive(2, "cash")
    orders = service.list(listed("w"))
    assert [order.request_id for order in orders if type(order) is StartAttempt] == [1]


def test_after_a_full_worker_a_request_may_be_sent_to_any_other() -> None:
    service = Checked()
    service.list(listed("w0", cell=0))
    service.arrive(1, "record")
    service.list(listed("w1", cell=1))
    service.end(1, 0, AttemptOutcome.FULL)
    service.pass_time(200_000)
    assert [shot["worker"] for shot in service.dispatches[1]] == ["w0", "w1"]


def test_without_a_known_worker_a_request_is_rejected_in_time() -> None:
    service = Checked()
    service.arrive(1, "cash")
    service.pass_time(6_000_000)
    assert service.answered[1] == "denied"


def test_an_error_fails_an_at_most_once_request_at_once() -> None:
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "cash")
    orders = service.end(1, 0, AttemptOutcome.ERROR)
    assert [type(order) for order in orders if type(order) is not WriteLog] == [FailRequest]


def test_the_endpoint_list_is_polled_and_polled_again_after_a_failure() -> None:
    service = Checked(must_ask=True)
    service.list(kind=ListUpdateKind.CACHED)
    assert WatchEndpoints(True) in service.pass_time(5_000_000)
    assert WatchEndpoints(True) not in service.list(kind=ListUpdateKind.FETCH_FAILED)
    assert WatchEndpoints(True) in service.pass_time(11_000_000)


# --- failures found -------------------------------------------------------------------------------------


def test_requests_are_answered_in_time_while_no_worker_has_capacity() -> None:
    """On overload days a round ended as soon as no worker had capacity.

    The check of queue deadlines came after that in the same round, so it was skipped. Requests in the pool
    passed their deadlines and their clients got no response. Every request must have its response by its
    deadline, also while no round places anything.
    """
    service = Checked()
    service.list(listed("w"))
    for submission in range(20):
        service.arrive(submission, "cash")
    service.pass_time(5_100_000)
    assert len(service.answered) == 20


def test_a_round_without_capacity_draws_nothing() -> None:
    """On a day with 180 full workers a pool of waiting requests used up the CPU of its dispatcher.

    Each round drew an endpoint for each request, though none had capacity. The dispatcher was late for
    everything else. A round must not draw while no endpoint has capacity.
    """
    service = Checked()
    service.list(listed("w"))
    for submission in range(20):
        service.arrive(submission, "record")
    before = service.dispatcher.random.state
    service.pass_time(STEP * 3)
    assert service.dispatcher.random.state == before


def test_a_cancelled_request_is_kept_while_an_attempt_may_still_help() -> None:
    """A request with an idempotency key was cancelled at one worker for a retry, late in its slack.

    Back in the pool its queue deadline was over already, so it failed at once, although its client went on
    waiting. What may have run must wait as long as an attempt can help, as a late response is better than
    none.
    """
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "view")
    assert CancelAttempt(1, 0) in service.pass_time(200_000)
    service.list(listed("w0", EndpointState.DRAINING), listed("w1", EndpointState.DRAINING))
    service.end(1, 0, AttemptOutcome.CANCELLED)
    service.pass_time(500_000)
    assert 1 not in service.answered


def test_a_request_bound_to_a_cell_keeps_its_place_in_a_queue() -> None:
    """Requests with idempotency keys were cancelled when their start was late, although their repeats may be
    sent to one cell only. Each gave up its place in the queue of one worker for a later place in that of
    another. They ended later than without a retry. Such a request must stay until its attempt is as good
    as lost.
    """
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "record")
    assert not [order for order in service.pass_time(2_000_000) if type(order) is CancelAttempt]


def test_an_unreachable_worker_is_soon_sent_probes_only() -> None:
    """One site could not be reached, and its workers refused connections at once.

    They had nothing in flight and so looked like the emptiest ones. Three in four attempts were sent there,
    each of them lost. A worker that refuses must be suspected after its first failures and be sent a few
    probes only.
    """
    service = Checked()
    service.list(*[listed(f"w{n}") for n in range(4)])
    for submission in range(200):
        service.arrive(submission, "view")
        service.pass_time(25_000)
        for submitted, shot in service.out():
            bad = service.dispatches[submitted][shot]["worker"] == "w0"
            service.end(submitted, shot, AttemptOutcome.NO_CONNECTION if bad else AttemptOutcome.DONE)
    tried = [shot["worker"] for shots in service.dispatches.values() for shot in shots].count("w0")
    assert 1 <= tried <= 12


def test_requests_are_sent_while_every_worker_is_suspected() -> None:
    """A fault outside the workers made every one of them suspected at the same time.

    With nobody left to send to, every request was rejected, although the workers were sound. While most
    endpoints are suspected, suspicion tells nothing, and requests must be sent all the same.
    """
    service = Checked()
    service.list(*[listed(f"w{n}") for n in range(4)])
    for worker in service.dispatcher.endpoints.by_id.values():
        for _ in range(5):
            service.dispatcher.outliers.record_failure(worker, SuspicionReason.RESET)
    service.arrive(1, "view")
    service.pass_time(STEP * 2)
    assert service.dispatches[1]


def test_a_class_with_long_slack_waits_no_longer_than_one_with_short_slack() -> None:
    """In an overload the pool was full of requests of classes with a long slack, which waited ten times as
    long as others. Requests of the class with the shortest slack were rejected before they were placed:
    that class got nothing. Where the worst-served class decides the objective, every class must wait
    alike; where it counts little, long slack may be used.
    """
    service = Checked()
    service.arrive(1, "view")
    service.arrive(2, "record")
    first, second = (service.dispatcher.requests.open[n] for n in (1, 2))
    assert first.queue_deadline == second.queue_deadline
    service = Checked(worst_grade=0.1)
    service.arrive(1, "view")
    service.arrive(2, "record")
    first, second = (service.dispatcher.requests.open[n] for n in (1, 2))
    assert first.queue_deadline < second.queue_deadline


def test_one_of_many_dispatchers_pauses_between_attempts_at_one_worker() -> None:
    """Seventeen dispatchers shared a worker, and each kept one request in flight there, as its least limit
    was one. Together they held seventeen requests at two slots, and nothing limited them. Where a
    dispatcher's share of a worker is under one slot, it must pause after each attempt, so that it holds
    its share on average.
    """
    service = Checked(fleet=17)
    service.list(listed("w"))
    service.arrive(0, "cash")
    service.pass_time(1_000_000)
    service.turn(AttemptStarted(0, 0))
    service.end(0, 0, AttemptOutcome.DONE)
    service.arrive(1, "cash")
    service.pass_time(STEP * 2)
    assert not service.dispatches[1]


def test_a_request_with_a_heavy_work_hint_is_not_rejected_at_once() -> None:
    """A client hinted that its request would run nearly as long as its timeout.

    The request had no slack by that, and was rejected on arrival. A fast worker would have ended it in
    time, and hints are rough. A request must be sent while half of its hinted run still fits.
    """
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "record", hint=6_500_000)
    assert service.dispatches[1]


def test_a_class_without_stretch_is_not_rejected_while_no_run_is_known() -> None:
    """A class had a latency objective that does not grow with the work.

    Before any run was known, its first guess of a run used up the objective, so there was no slack and each
    request was rejected on arrival. No run ever became known by that. Such a class must keep a part of its
    objective as slack.
    """
    service = Checked()
    classes = [replace(grade, stretch=0.0) if grade.name == "cash" else grade for grade in GRADES]
    service.turn(ConfigReloaded(replace(terms(3, 3, False, 0.4), service_classes=classes)))
    service.list(listed("w"))
    service.arrive(1, "cash")
    assert service.dispatches[1]


def test_requests_beyond_the_quota_are_rejected_first() -> None:
    """In an overload a third of what was served was beyond its tenant's quota, and earned next to nothing.

    Requests within their quotas were rejected meanwhile, as both waited equally long. What is beyond its
    quota must have the earlier queue deadline.
    """
    service = Checked()
    for submission in range(40):
        service.turn(RequestArrived(submission, "view", service.now + 3_000_000, tenant="dairy"))
    held = service.dispatcher.requests.open
    assert held[0].queue_deadline > held[39].queue_deadline


def test_many_dispatchers_together_send_work_to_a_warming_worker() -> None:
    """A worker restarted in a fleet of 76 dispatchers.

    Each of them may send it a 76th of what it takes while it warms up, and no request is that small. So it
    got nothing until it was warm. Some of the dispatchers must send it a request, and all of them together
    no more than it can take.
    """
    sent = 0
    for seed in range(76):
        service = Checked(seed, fleet=76)
        service.list(listed("w", started_at=service.now))
        for submission in range(4):
            service.arrive(submission, "close", hint=300_000)
        sent += len(service.out())
    # What pushes it over in a second, at two slots and 0.3 of capacity, is eight such submissions.
    assert 1 <= sent <= 8


def test_the_estimated_speed_of_a_worker_type_follows_its_run_times() -> None:
    """With many dispatchers nobody sees enough of one worker to learn its concurrency limit.

    Slow worker types were sent as much as fast ones, and their requests were late. The speeds by which
    draws are accepted must follow the run times of each worker type.
    """
    service = Checked(fleet=76)
    throughput = service.dispatcher.estimates.throughput
    for _ in range(20):
        throughput.add("box", 0.5, service.now)
        throughput.add("crate", 1.5, service.now)
    speeds = throughput.relative_speeds
    assert speeds["box"] == 1.0 and 0.1 < speeds["crate"] ** 2 < 0.25


def test_a_success_halves_the_recorded_failures_of_a_worker() -> None:
    """A worker came back after an outage and ended what it was sent well.

    It stayed suspected until its failures had faded, some ten seconds, and its capacity was not used. Each
    success must halve its recorded failures, so that two of them clear one failure.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))
    worker = service.dispatcher.endpoints.by_id["w"]
    service.arrive(0, "view")
    service.end(0, 0, AttemptOutcome.RESET)
    records = [worker.failures.read(service.now)]
    suspected = [is_suspected(worker, service.now)]
    for submission in (1, 2):  # at the same moment: nothing fades
        service.arrive(submission, "view")
        service.end(submission, 0, AttemptOutcome.DONE)
        records.append(worker.failures.read(service.now))
        suspected.append(is_suspected(worker, service.now))
    assert records == [1.0, 0.5, 0.25] and suspected == [True, True, False]


def test_a_worker_that_reports_too_late_stays_suspected_after_its_report() -> None:
    """Some workers ran everything four to ten times slower than the others, and reported seldom.

    Nothing was recorded as a failure, so requests went on to them and were late. A worker must be suspected
    once its report is overdue, and stay so when one comes at last that shows next to nothing done.
    """
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "record")
    service.turn(AttemptStarted(1, 0))
    service.pass_time(2_000_000)
    service.turn(AttemptProgressed(1, 0, 0.05))
    assert is_suspected(service.dispatcher.endpoints.by_id["w"], service.now)


def test_a_request_bound_to_a_cell_is_cancelled_once_it_is_presumed_lost() -> None:
    """A worker was stuck on heavy requests and its queue did not move.

    Requests that may be repeated in its cell only kept their places in that queue until their clients gave
    up. Once half of the timeout is over without a start, such an attempt must be cancelled for a retry.
    """
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "record")
    assert CancelAttempt(1, 0) in service.pass_time(3_200_000)


@pytest.mark.parametrize("told", [True, False])
def test_a_slow_connection_does_not_make_a_prompt_start_late(told: bool) -> None:
    """After each release on sockets the first attempt to each worker had to open a connection.

    That time counted as a part of the start, which seemed late, and the concurrency limits of all workers
    stayed at their floor. The start must be measured from when the last byte was sent, where that is
    reported.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))
    worker = service.dispatcher.endpoints.by_id["w"]
    before = worker.concurrency_limit = 2.0
    for submission in (1, 2):
        service.arrive(submission, "close")
    service.pass_time(100_000)  # past the prompt span: the connection comes up
    if told:
        service.turn(AttemptSent(1, 0), AttemptSent(2, 0))
    service.pass_time(20_000)
    service.turn(AttemptStarted(1, 0), AttemptStarted(2, 0))
    assert (worker.concurrency_limit > before) == told


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
    """Bad clients sent messages that every worker rejected as malformed.

    Each rejection counted as a late start and as a failure, so sound workers lost their concurrency limits
    and became suspected. Outcomes that say nothing of a worker must change neither; a full worker's limit
    falls.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))
    worker = service.dispatcher.endpoints.by_id["w"]
    worker.concurrency_limit = 3.0
    service.arrive(1, "close")
    service.end(1, 0, outcome)
    assert (worker.concurrency_limit < 3.0) == (outcome == AttemptOutcome.FULL)
    assert not is_suspected(worker, service.now)


def test_slow_progress_suspects_nobody_while_few_runs_are_known() -> None:
    """Just after a start on sockets a third of the workers was suspected.

    The first guess of a run is the latency objective, and sound workers that ran longer than a few times of
    it looked slow. While few runs of a class are known, no progress may count as slow.
    """
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "view")
    service.turn(AttemptStarted(1, 0))
    service.pass_time(1_000_000)
    service.turn(AttemptProgressed(1, 0, 0.4))  # 2.5 s in all, ten times the guess
    assert not is_suspected(service.dispatcher.endpoints.by_id["w"], service.now)


@pytest.mark.parametrize("grades, slots", [(GRADES, 1.0), (GRADES[:4], 2.0)])
def test_the_least_limit_of_two_dispatchers_fills_the_slots(grades: list[ServiceClass], slots: float) -> None:
    """On every day on sockets with two dispatchers one request in ten was rejected at half load, with half of
    the slots free. Each dispatcher kept to half of a worker, also while the other left its half unused.
    Where no class is at most once, so that everything may move on from a queue, the least limit must be
    twice the share.
    """
    dispatcher = Scheduler(1, replace(terms(3, 2, False, 0.4), service_classes=grades))
    dispatcher.step(0, [EndpointListUpdate(ListUpdateKind.SNAPSHOT, [listed("w")])])
    assert dispatcher.endpoints.by_id["w"].concurrency_limit == slots


def test_a_worker_that_rejects_everything_does_not_attract_every_request() -> None:
    """One worker took no requests of one class on the wide day on sockets: it answered at once that it was
    full. So it had nothing in flight, looked like the emptiest one, and got each request of that class
    three times. After such an answer it must count as without capacity for a usual run.
    """
    service = Checked(fleet=1)
    service.list(listed("w0"), listed("w1"))
    workers = service.dispatcher.endpoints.by_id
    service.arrive(1, "view")
    first = workers[service.dispatches[1][0]["worker"]]
    service.end(1, 0, AttemptOutcome.FULL)
    assert not has_capacity(first, 1.0, service.now, 62_000) and has_capacity(
        first, 1.0, service.now + 300_000, 62_000
    )
    first.unavailable_until = 0
    service.pass_time(50_000)
    assert {one["worker"] for one in service.dispatches[1]} == {"w0", "w1"}
    assert len(service.dispatches[1]) == 2


def test_a_request_that_returns_to_the_pool_late_gets_its_queue_timeout_anew() -> None:
    """Machines went silent, so that connections to them did not come up.

    Each such attempt took longer than the queue timeout of its request, which was rejected on its return to
    the pool though other workers had capacity. What comes back must get its queue timeout anew.
    """
    service = Checked(fleet=1)
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "cash")
    for worker in service.dispatcher.endpoints.by_id.values():
        worker.paused_until = service.now + 950_000  # so that it has to wait where it is back
    service.pass_time(900_000)
    service.end(1, 0, AttemptOutcome.NO_CONNECTION)
    assert 1 not in service.answered
    service.pass_time(100_000)
    assert {shot["worker"] for shot in service.dispatches[1]} == {"w0", "w1"}


def test_a_background_request_outlives_full_workers() -> None:
    """Durable jobs were rejected within milliseconds when four workers in a row were full, with minutes left
    until their deadlines. Nobody waited for them, and capacity came free soon after. Attempts that did not
    run must not count for a background request, which is sent again once in a usual run of each worker.
    """
    service = Checked()
    service.list(*[listed(f"w{number}") for number in range(3)])
    service.turn(RequestArrived(1, "record", service.now + 60_000_000, background=True))
    full = 0
    for _ in range(5_000_000 // STEP):
        for submission, shot in service.out():
            full += 1
            service.end(submission, shot, AttemptOutcome.FULL)
        service.pass_time(STEP)
    assert not service.answered and service.most < full <= 3 * 8, "once a usual run at each of three"
    while not service.out():
        service.pass_time(STEP)
    service.end(1, service.out()[0][1], AttemptOutcome.DONE)
    assert service.answered[1] == "done"


@pytest.mark.parametrize("before_the_end, attempts", [(1, 2), (0, 1), (-1_000_000, 1)])
def test_a_job_is_repeated_until_its_deduplication_window_ends_and_no_longer(
    before_the_end: int, attempts: int
) -> None:
    """A durable job may have run at a worker that was lost, and waits for another worker of its cell.

    Its client set no limit to that wait, so it may last longer than the workers remember its key. After
    that a repeat would run twice. It must be sent up to the end of the window, and not from then on.
    """
    service = Checked()
    service.list(listed("w0"))
    service.turn(RequestArrived(1, "record", service.now + 60_000_000, background=True))
    window_ends_at = service.dispatches[1][0]["at"] + service.grades["record"].deduplication_window
    service.end(1, 0, AttemptOutcome.RESET)
    service.pass_time(1_000_000)
    assert len(service.dispatches[1]) == 1, "a repeat goes to another worker of its cell, and there is none"
    service.now = window_ends_at - before_the_end
    service.list(listed("w0"), listed("w1"))
    service.pass_time(1_000_000)
    assert [shot["worker"] for shot in service.dispatches[1]] == ["w0", "w1"][:attempts]


def test_a_refused_connection_does_not_shorten_the_pause_after_full() -> None:
    """A worker answered that it was full, and must not be sent anything for a usual run.

    A connection that it refused right after set its own, shorter pause in place of that. The worker was
    sent requests that it could not take. The longer pause must hold.
    """
    service = Checked()
    service.list(listed("w"))
    worker = service.dispatcher.endpoints.by_id["w"]
    worker.concurrency_limit = 2.0
    service.arrive(1, "record")
    service.arrive(2, "record")
    service.end(1, 0, AttemptOutcome.FULL)
    rests = worker.unavailable_until
    assert rests > service.now + 250_000
    service.end(2, 0, AttemptOutcome.NO_CONNECTION)
    assert worker.unavailable_until == rests


FLOODS = {"one tenant": ("spam", None), "certain keys": ("dairy", 7), "no common mark": (None, None)}


@pytest.mark.parametrize("flood", FLOODS)
def test_a_flood_of_requests_that_fail_anywhere_suspects_no_worker(flood: str) -> None:
    """One tenant sent worthless requests that got a quick error at every worker.

    The errors were recorded as the workers' failures, and soon every worker was suspected, for all tenants.
    A request that fails at two workers must be rejected as unprocessable, and the health of both must stay
    as it was.
    """
    tenant, key = FLOODS[flood]
    service = Checked(fleet=3)
    service.list(*[listed(f"w{number}") for number in range(8)])
    done = 0
    for number in range(60):
        bad, submission = number % 2 == 0, number
        limit_at, about = service.now + 3_000_000, key if bad else 9
        service.turn(RequestArrived(submission, "view", limit_at, tenant=tenant, affinity_key=about))
        for _ in range(4):
            service.pass_time(STEP)
            for one, shot in service.out():
                if one == submission:
                    service.end(one, shot, AttemptOutcome.ERROR if bad else AttemptOutcome.DONE)
        if bad:
            assert len(service.dispatches[submission]) == 2 and service.answered[submission] == "denied"
        else:
            done += service.answered.get(submission) == "done"  # a good one of that tenant is served
    assert done == 30
    workers = service.dispatcher.endpoints.by_id.values()
    assert not any(is_suspected(worker, service.now) for worker in workers)
    assert max(worker.failures.read(service.now) for worker in workers) < 0.01


def test_a_faulty_worker_is_found_amid_requests_that_fail_anywhere() -> None:
    """Half of all requests fail anywhere, and one worker fails the good ones, too.

    If errors were never recorded as a worker's while such a flood lasts, it would go on failing them. It
    must become suspected, and none of the others.
    """
    service = Checked(fleet=3)
    service.list(*[listed(f"w{number}") for number in range(6)])
    for submission in range(60):
        service.turn(RequestArrived(submission, "view", service.now + 3_000_000, tenant="spam"))
        for _ in range(4):
            service.pass_time(STEP)
            for one, shot in service.out():
                if one == submission:
                    bad = one % 2 == 0 or service.dispatches[one][shot]["worker"] == "w0"
                    service.end(one, shot, AttemptOutcome.ERROR if bad else AttemptOutcome.DONE)
    doubted = [
        name for name, one in service.dispatcher.endpoints.by_id.items() if is_suspected(one, service.now)
    ]
    assert doubted == ["w0"]


def test_requests_with_one_key_are_sent_to_the_same_two_workers_by_every_dispatcher() -> None:
    names = [f"w{number}" for number in range(20)]

    def met(seed: int, key: int, listing: list[str], count: int = 1) -> list[str]:
        service = Checked(seed, fleet=3)
        for submission in range(1_000, 1_040):  # others, for which there is no worker yet
            service.turn(RequestArrived(submission, "view", service.now + 3_000_000, affinity_key=submission))
        service.pass_time(1_000_000)
        service.list(*[listed(name) for name in listing])
        for submission in range(count):
            service.turn(RequestArrived(submission, "view", service.now + 3_000_000, affinity_key=key))
        service.pass_time(400_000)
        sent = [service.dispatches[submission] for submission in range(count)]
        return [shots[0]["worker"] for shots in sent if shots]

    homes = {key: {met(seed, key, names)[0] for seed in range(12)} for key in range(30)}
    assert all(len(home) == 2 for home in homes.values()) and len(set().union(*homes.values())) > 15
    left_out = [name for name in names if name != "w3"]
    for key, home in homes.items():
        moved = {met(seed, key, left_out)[0] for seed in range(12)}
        assert moved == home or "w3" in home and home - {"w3"} < moved
    # A key that is half of all has half as many again as half of the workers: two would be too few for it.
    assert len(set(met(1, 5, names, count=40))) > 10
