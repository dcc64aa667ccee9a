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
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind

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
def test_random_days_keep_the_rules(seed: int) -> None:
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


def test_same_news_same_orders() -> None:
    first, second = Checked(seed=5), Checked(seed=5)
    for service in (first, second):
        service.list(*[listed(f"w{n}") for n in range(5)])
        for submission in range(40):
            service.arrive(submission, "close")
            service.pass_time(STEP)
    assert first.orders == second.orders


def test_oldest_goes_first() -> None:
    service = Checked()
    service.arrive(1, "cash")
    service.pass_time(STEP)
    service.arrive(2, "cash")
    orders = service.list(listed("w"))
    assert [order.request_id for order in orders if type(order) is StartAttempt] == [1]


def test_full_rejoins_and_may_go_anywhere() -> None:
    service = Checked()
    service.list(listed("w0", cell=0))
    service.arrive(1, "record")
    service.list(listed("w1", cell=1))
    service.end(1, 0, AttemptOutcome.FULL)
    service.pass_time(200_000)
    assert [shot["worker"] for shot in service.dispatches[1]] == ["w0", "w1"]


def test_no_worker_known_is_denied_in_time() -> None:
    service = Checked()
    service.arrive(1, "cash")
    service.pass_time(6_000_000)
    assert service.answered[1] == "denied"


def test_error_of_at_most_once_work_is_terminated_at_once() -> None:
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "cash")
    orders = service.end(1, 0, AttemptOutcome.ERROR)
    assert [type(order) for order in orders if type(order) is not WriteLog] == [FailRequest]


def test_list_is_asked_for_and_asked_again_after_failure() -> None:
    service = Checked(must_ask=True)
    service.list(kind=ListUpdateKind.CACHED)
    assert WatchEndpoints(True) in service.pass_time(5_000_000)
    assert WatchEndpoints(True) not in service.list(kind=ListUpdateKind.FETCH_FAILED)
    assert WatchEndpoints(True) in service.pass_time(11_000_000)


# --- failures found -------------------------------------------------------------------------------------


def test_no_room_anywhere_still_answers_in_time() -> None:
    """Overload days: a round that ended for want of room skipped the check of the time limit."""
    service = Checked()
    service.list(listed("w"))
    for submission in range(20):
        service.arrive(submission, "cash")
    service.pass_time(5_100_000)
    assert len(service.answered) == 20


def test_a_round_without_room_draws_nothing() -> None:
    """A pool in front of 180 full workers used up the CPU of a day."""
    service = Checked()
    service.list(listed("w"))
    for submission in range(20):
        service.arrive(submission, "record")
    before = service.dispatcher.random.state
    service.pass_time(STEP * 3)
    assert service.dispatcher.random.state == before


def test_withdrawn_work_is_not_terminated_while_it_may_still_run() -> None:
    """Numbered work that was withdrawn late in its slack was terminated once back in the pool."""
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "view")
    assert CancelAttempt(1, 0) in service.pass_time(200_000)
    service.list(listed("w0", EndpointState.DRAINING), listed("w1", EndpointState.DRAINING))
    service.end(1, 0, AttemptOutcome.CANCELLED)
    service.pass_time(500_000)
    assert 1 not in service.answered


def test_work_bound_to_a_cell_keeps_its_place_in_a_queue() -> None:
    """Withdrawing numbered work for want of a start traded its place for a worse one."""
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "record")
    assert not [order for order in service.pass_time(2_000_000) if type(order) is CancelAttempt]


def test_an_unreachable_worker_is_soon_left_alone() -> None:
    """A site that could not be reached drew three in four sends."""
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


def test_a_fault_of_all_workers_is_no_ones() -> None:
    """With every worker doubtful, shunning them all would deny everything."""
    service = Checked()
    service.list(*[listed(f"w{n}") for n in range(4)])
    for worker in service.dispatcher.endpoints.by_id.values():
        for _ in range(5):
            service.dispatcher.outliers.record_failure(worker, "a fault of all")
    service.arrive(1, "view")
    service.pass_time(STEP * 2)
    assert service.dispatches[1]


def test_long_slack_does_not_fill_the_pool() -> None:
    """In an overload the grade with the shortest slack got nothing, as others waited ten times as long."""
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


def test_one_of_many_dispatchers_rests_at_a_crowded_worker() -> None:
    """Seventeen dispatchers that each keep one submission on every worker leave no gate at all."""
    service = Checked(fleet=17)
    service.list(listed("w"))
    service.arrive(0, "cash")
    service.pass_time(1_000_000)
    service.turn(AttemptStarted(0, 0))
    service.end(0, 0, AttemptOutcome.DONE)
    service.arrive(1, "cash")
    service.pass_time(STEP * 2)
    assert not service.dispatches[1]


def test_a_heavy_hint_is_not_denied_at_once() -> None:
    """Work hinted to run near its time limit was denied on arrival, though a fast worker could end it."""
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "record", hint=6_500_000)
    assert service.dispatches[1]


def test_no_stretch_is_no_reason_to_deny_at_once() -> None:
    """A grade whose soft limit does not grow with the work was denied on arrival while no run was known."""
    service = Checked()
    classes = [replace(grade, stretch=0.0) if grade.name == "cash" else grade for grade in GRADES]
    service.turn(ConfigReloaded(replace(terms(3, 3, False, 0.4), service_classes=classes)))
    service.list(listed("w"))
    service.arrive(1, "cash")
    assert service.dispatches[1]


def test_work_beyond_its_share_is_denied_first() -> None:
    """In an overload a third of what was served was beyond its tenant's share and earned next to nothing."""
    service = Checked()
    for submission in range(40):
        service.turn(RequestArrived(submission, "view", service.now + 3_000_000, tenant="dairy"))
    held = service.dispatcher.requests.open
    assert held[0].queue_deadline > held[39].queue_deadline


def test_many_dispatchers_together_warm_a_cold_worker() -> None:
    """With 76 dispatchers a fresh worker got nothing until it was warm: no submission fits a 76th of it."""
    sent = 0
    for seed in range(76):
        service = Checked(seed, fleet=76)
        service.list(listed("w", started_at=service.now))
        for submission in range(4):
            service.arrive(submission, "close", hint=300_000)
        sent += len(service.out())
    # What pushes it over in a second, at two slots and 0.3 of capacity, is eight such submissions.
    assert 1 <= sent <= 8


def test_draws_follow_the_pace_of_a_kind() -> None:
    """Slow kinds got as much as fast ones where nobody sees enough of one worker to learn its cap."""
    service = Checked(fleet=76)
    throughput = service.dispatcher.estimates.throughput
    for _ in range(20):
        throughput.add("box", 0.5, service.now)
        throughput.add("crate", 1.5, service.now)
    speeds = throughput.relative_speeds
    assert speeds["box"] == 1.0 and 0.1 < speeds["crate"] ** 2 < 0.25


def test_a_good_end_halves_what_stands_against_a_worker() -> None:
    """So that one that has come back is not shunned until its failures have faded, some ten seconds."""
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


def test_slow_progress_makes_a_worker_doubtful() -> None:
    """Work kept going to workers that ran everything four to ten times slower."""
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "record")
    service.turn(AttemptStarted(1, 0))
    service.pass_time(2_000_000)
    service.turn(AttemptProgressed(1, 0, 0.05))
    assert is_suspected(service.dispatcher.endpoints.by_id["w"], service.now)


def test_bound_work_leaves_a_queue_in_which_it_is_lost() -> None:
    """A worker stuck on heavy work held a queue until its clients gave up."""
    service = Checked()
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "record")
    assert CancelAttempt(1, 0) in service.pass_time(3_200_000)


@pytest.mark.parametrize("told", [True, False])
def test_a_new_connection_does_not_make_a_start_late(told: bool) -> None:
    """Releases on sockets: the first dispatch to each worker seemed late, and its cap stayed at the floor."""
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
def test_what_no_worker_took_up_tells_nothing_of_its_load(outcome: str) -> None:
    """Bad clients on sockets: what workers turned away as such cut their caps and made them doubtful."""
    service = Checked(fleet=1)
    service.list(listed("w"))
    worker = service.dispatcher.endpoints.by_id["w"]
    worker.concurrency_limit = 3.0
    service.arrive(1, "close")
    service.end(1, 0, outcome)
    assert (worker.concurrency_limit < 3.0) == (outcome == AttemptOutcome.FULL)
    assert not is_suspected(worker, service.now)


def test_slow_progress_is_no_blame_while_few_runs_are_known() -> None:
    """After a start on sockets: a third of the workers was avoided, as the first guess of a run is short."""
    service = Checked()
    service.list(listed("w"))
    service.arrive(1, "view")
    service.turn(AttemptStarted(1, 0))
    service.pass_time(1_000_000)
    service.turn(AttemptProgressed(1, 0, 0.4))  # 2.5 s in all, ten times the guess
    assert not is_suspected(service.dispatcher.endpoints.by_id["w"], service.now)


@pytest.mark.parametrize("grades, slots", [(GRADES, 1.0), (GRADES[:4], 2.0)])
def test_two_dispatchers_do_not_leave_half_of_the_slots_empty(
    grades: list[ServiceClass], slots: float
) -> None:
    """Every day on sockets: at half load one submission in ten was denied with half of the slots free."""
    dispatcher = Scheduler(1, replace(terms(3, 2, False, 0.4), service_classes=grades))
    dispatcher.step(0, [EndpointListUpdate(ListUpdateKind.SNAPSHOT, [listed("w")])])
    assert dispatcher.endpoints.by_id["w"].concurrency_limit == slots


def test_a_worker_that_turns_all_away_does_not_draw_all_that_waits() -> None:
    """The wide day on sockets: one worker took no views, so it was the emptiest and had each thrice."""
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


def test_what_comes_back_late_is_not_denied_for_the_time_it_was_away() -> None:
    """Silent machines on sockets: a connection that did not come up took longer than the patience."""
    service = Checked(fleet=1)
    service.list(listed("w0"), listed("w1"))
    service.arrive(1, "cash")
    for worker in service.dispatcher.endpoints.by_id.values():
        worker.resting_until = service.now + 950_000  # so that it has to wait where it is back
    service.pass_time(900_000)
    service.end(1, 0, AttemptOutcome.NO_CONNECTION)
    assert 1 not in service.answered
    service.pass_time(100_000)
    assert {shot["worker"] for shot in service.dispatches[1]} == {"w0", "w1"}


def test_a_job_for_which_nobody_waits_outlives_refusals_by_all_workers() -> None:
    """Durable jobs were denied within milliseconds when four workers had no room, with minutes left."""
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
    """A job that may have run waits on after the window: its client set no end to that."""
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


def test_a_refused_connection_does_not_shorten_the_rest_after_full() -> None:
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
def test_a_flood_that_fails_anywhere_leaves_the_health_of_every_worker_as_it_was(flood: str) -> None:
    """One agency's worthless submissions got quick errors at all workers, and all were avoided for it."""
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


def test_a_worker_that_fails_others_work_is_found_amid_a_flood() -> None:
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


def test_what_shares_a_key_meets_at_the_same_two_workers_of_all_dispatchers_until_they_are_full() -> None:
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
        return [shots[0]["worker"] for one, shots in service.dispatches.items() if shots and one < count]

    homes = {key: {met(seed, key, names)[0] for seed in range(12)} for key in range(30)}
    assert all(len(home) == 2 for home in homes.values()) and len(set().union(*homes.values())) > 15
    left_out = [name for name in names if name != "w3"]
    for key, home in homes.items():
        moved = {met(seed, key, left_out)[0] for seed in range(12)}
        assert moved == home or "w3" in home and home - {"w3"} < moved
    # A key that is half of all has half as many again as half of the workers: two would be too few for it.
    assert len(set(met(1, 5, names, count=40))) > 10
