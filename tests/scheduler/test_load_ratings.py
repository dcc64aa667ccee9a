"""Load ratings: weighted draws, stale ratings, and what else depends on knowledge of load."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from helpers import (
    ROUND_INTERVAL,
    SERVICE_CLASSES,
    SLOW_START,
    CheckedScheduler,
    endpoint_entry,
    scheduler_config,
)

from locktide.scheduler.commands import CancelAttempt, Command, RejectRequest, WriteLog
from locktide.scheduler.config import CostConfig, ServiceClass
from locktide.scheduler.events import ConfigReloaded, EndpointEntry
from locktide.scheduler.log_events import WorkerSuspected
from locktide.scheduler.policy.outlier_detection import is_suspected
from locktide.scheduler.types import (
    AttemptOutcome,
    DeduplicationScope,
    Effect,
    ListUpdateKind,
    SuspicionReason,
)

#: Rating of an idle worker.
IDLE = 8.0


def rated(ratings: dict[str, float], **started_at: int) -> list[EndpointEntry]:
    """Return list entries with these ratings; `started_at` gives the start times of some workers."""
    return [
        endpoint_entry(name, rating=rating, started_at=started_at.get(name, 0))
        for name, rating in ratings.items()
    ]


def first_draws(ratings: dict[str, float], dispatchers: int = 400, **started_at: int) -> Counter[str]:
    """Return how many dispatchers, all with the same ratings, send their first request to each worker."""
    drawn: Counter[str] = Counter()
    for seed in range(dispatchers):
        checked = CheckedScheduler(seed, dispatcher_count=dispatchers, has_live_ratings=True)
        checked.update_endpoints(*rated(dict.fromkeys(ratings, IDLE)))
        checked.update_endpoints(*rated(ratings, **started_at), kind=ListUpdateKind.DELTA)
        checked.arrive(1, "view")
        checked.pass_time(10 * ROUND_INTERVAL)
        drawn[checked.attempts[1][0]["worker"]] += 1
    return drawn


def test_dispatchers_with_the_same_ratings_draw_in_proportion_to_what_is_free() -> None:
    """All dispatchers have the same ratings, about a second late, and one worker is idle.

    If each dispatcher chose the best rating, the idle worker would be sent all requests of that second. The
    idle worker must be drawn more often than a busy one, but the others must be drawn as well.
    """
    drawn = first_draws({f"w{number}": IDLE / 2 for number in range(9)} | {"w9": IDLE})
    # The idle worker has eight times the weight of a worker with one request per core.
    assert 0.35 < drawn["w9"] / 400 < 0.6 and len(drawn) == 10


@pytest.mark.parametrize("rating", [0.0, 1e-9, 1e15])
def test_a_faulty_rating_of_one_worker_costs_few_requests(rating: float) -> None:
    checked = CheckedScheduler(dispatcher_count=5, has_live_ratings=True)
    checked.update_endpoints(*rated({"w0": IDLE, "w1": IDLE, "w2": IDLE}))
    checked.update_endpoints(*rated({"w0": rating, "w1": 6.0, "w2": 5.0}), kind=ListUpdateKind.DELTA)
    for request in range(60):
        checked.arrive(request, "view")
        checked.pass_time(20 * ROUND_INTERVAL)
        for open_request, attempt in checked.running_attempts():
            checked.end_attempt(open_request, attempt, AttemptOutcome.DONE)
    assert sum(response == "done" for response in checked.finished.values()) > 55


class RenewedRatings:
    """Four workers with some load, whose ratings are renewed by updates of the endpoint list."""

    def __init__(self) -> None:
        self.checked = CheckedScheduler(has_live_ratings=True)
        self.ratings = {f"w{number}": 6.0 for number in range(4)}
        self.checked.update_endpoints(*rated(dict.fromkeys(self.ratings, IDLE)))
        self.checked.update_endpoints(*rated(self.ratings), kind=ListUpdateKind.DELTA)

    def renew(self, *left_out: str) -> list[Command]:
        """Renew all ratings except those left out; return the resulting commands."""
        for name in self.ratings:
            self.ratings[name] += 0.01
        self.checked.pass_time(700_000)
        renewed = {name: rating for name, rating in self.ratings.items() if name not in left_out}
        return self.checked.update_endpoints(*rated(renewed), kind=ListUpdateKind.DELTA)

    def first_workers(self, first: int, count: int = 40) -> set[str]:
        """Send `count` at-most-once requests with ids from `first` on; return the workers that got them."""
        for request in range(first, first + count):
            self.checked.arrive(request, "cash")
            self.checked.pass_time(2 * ROUND_INTERVAL)
            for open_request, attempt in self.checked.running_attempts():
                self.checked.end_attempt(open_request, attempt, AttemptOutcome.DONE)
        attempts = [self.checked.attempts[request] for request in range(first, first + count)]
        return {each[0]["worker"] for each in attempts if each}


def test_a_worker_with_a_stale_rating_gets_no_at_most_once_request_until_it_is_renewed() -> None:
    """Workers that hung were sent 80 to 109 attempts in 7 s, as many as the others.

    The rating of a hung worker stays at its last value, from when it still had free cores, so the worker
    continues to be drawn. A rating that does not change while most others do must make its worker suspected,
    and the next change must clear it.
    """
    workers = RenewedRatings()
    assert workers.first_workers(0) == set(workers.ratings)
    assert WriteLog(WorkerSuspected("w2", SuspicionReason.STALE_RATING)) in workers.renew("w2")
    assert workers.first_workers(100) == set(workers.ratings) - {"w2"}
    workers.renew()
    assert workers.first_workers(200) == set(workers.ratings)


def test_an_update_without_new_ratings_suspects_no_worker() -> None:
    """After a reload the complete list was sent without any change, and counted as a renewal of all ratings.

    Two such lists would have made each busy worker suspected. Only an update that changes most ratings may
    count against a worker whose rating it does not change.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    checked.update_endpoints(*rated({"w0": IDLE, "w1": IDLE, "w2": IDLE}))
    checked.update_endpoints(*rated({"w0": 4.0, "w1": 5.0, "w2": 6.0}), kind=ListUpdateKind.DELTA)
    for _ in range(5):
        checked.update_endpoints(kind=ListUpdateKind.DELTA)
        checked.update_endpoints(endpoint_entry("w0", rating=4.5), kind=ListUpdateKind.DELTA)
        checked.update_endpoints(
            *rated({"w0": 4.5, "w1": 5.0, "w2": 6.0})
        )  # a complete list, as after a reload
    endpoints = checked.scheduler.endpoints.by_id.values()
    assert not any(is_suspected(endpoint, checked.now) for endpoint in endpoints)


def test_a_worker_that_has_just_started_is_drawn_less_often_than_the_others() -> None:
    """Incident i56200f: 231 dispatchers sent a newly started worker 4.1 times as much as it could take.

    The worker was idle, so by its rating every dispatcher drew it ten times as often as the others. It must
    be drawn with the mean weight of the others times its slow-start factor.
    """
    started_at = 10_000_000 - 1_000_000  # a second ago
    ratings = {f"w{number}": 3.5 for number in range(9)} | {"w9": IDLE}
    drawn = first_draws(ratings, w9=started_at)
    factor = SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) / 8
    assert drawn["w9"] / 400 < 1.6 * factor / 10


def test_a_single_draw_falls_on_a_warming_worker_by_its_slow_start_factor() -> None:
    """A worker that has just started is idle, so by its rating most draws would select it.

    The slow-start budget would not allow these requests, and they would wait although other workers were
    free. Whatever its rating, the worker must have the mean weight of the others times its slow-start factor.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    ratings = {f"w{number}": 3.5 for number in range(9)} | {"w9": IDLE}
    checked.update_endpoints(*rated(dict.fromkeys(ratings, IDLE)))
    checked.update_endpoints(*rated(ratings, w9=checked.now - 1_000_000), kind=ListUpdateKind.DELTA)
    endpoints = checked.scheduler.endpoints.candidates[None]
    strategy = checked.scheduler.strategies.current
    drawn = Counter(strategy.draw(endpoints, has_key=False).id for _ in range(4000))
    factor = SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) / 8
    expected = factor / (9 + factor)
    assert 0.7 * expected < drawn["w9"] / 4000 < 1.4 * expected


def test_warming_workers_share_the_budget_though_only_one_has_capacity() -> None:
    """Within 0.45 s of its start a worker received 20 attempts, 4.2 times as much as it could take.

    All other warming workers had responded with "full", so the pooled budget of all of them went to this one.
    What all dispatchers together send to a worker must stay within its own budget, and must not be zero.
    """
    names = [f"w{number}" for number in range(10)]
    first_attempts: Counter[str] = Counter()
    for seed in range(200):
        checked = CheckedScheduler(seed, dispatcher_count=200, has_live_ratings=True)
        checked.update_endpoints(*[endpoint_entry(name, rating=IDLE) for name in names])
        started_at = checked.now - 3_000_000
        checked.update_endpoints(
            *[endpoint_entry(name, started_at=started_at, rating=IDLE) for name in names]
        )
        for name in names[1:]:
            endpoint = checked.scheduler.endpoints.by_id[name]
            endpoint.unavailable_until = checked.now + 5_000_000
        for request in range(8):
            checked.arrive(request, "view", work_hint=300_000)
        checked.pass_time(500_000)
        first_attempts.update(each[0]["worker"] for each in checked.attempts.values() if each)
    factor = SLOW_START.initial_capacity + (1 - SLOW_START.initial_capacity) * 3 / 8
    # Left: the need of attempts of 0.3 s on eight cores. Right: the budget of the worker for one second.
    assert 0 < first_attempts["w0"] * 0.3 / 8 < 0.75 * SLOW_START.overload_factor * factor


def workers_of_sixty_requests(connection_cost: float) -> int:
    """Send sixty requests one after the other; return to how many of ten workers they are sent."""
    costs = CostConfig(connection=connection_cost, idle_timeout=5_000_000)
    checked = CheckedScheduler(has_live_ratings=True, costs=costs)
    checked.update_endpoints(*rated({f"w{number}": IDLE for number in range(10)}))
    for request in range(60):
        checked.arrive(request, "view")
        checked.pass_time(5 * ROUND_INTERVAL)
        checked.end_attempt(request, 0, AttemptOutcome.DONE)
    return len({checked.attempts[request][0]["worker"] for request in range(60)})


def test_workers_with_an_idle_connection_are_preferred_where_a_new_one_has_a_cost() -> None:
    assert workers_of_sixty_requests(connection_cost=0.05) < 6
    assert workers_of_sixty_requests(connection_cost=0.0) == 10


def test_workers_of_another_zone_are_drawn_less_often_where_crossing_has_a_cost() -> None:
    costs = CostConfig(cross_zone=0.02, zone="zone-0")
    checked = CheckedScheduler(has_live_ratings=True, costs=costs)
    checked.update_endpoints(
        *[endpoint_entry(f"w{number}", cell=number % 2, rating=IDLE) for number in range(10)]
    )
    for request in range(200):
        checked.arrive(request, "view")
        checked.pass_time(ROUND_INTERVAL)
        checked.end_attempt(request, 0, AttemptOutcome.DONE)
    zones = Counter(checked.attempts[request][0]["zone"] for request in range(200))
    # Twice the cost that divides a weight by e: 0.135 times as many draws as in the own zone.
    assert 10 < zones["zone-1"] < 40


def test_requests_that_may_run_anywhere_draw_a_type_with_a_class_of_its_own_a_quarter_as_often() -> None:
    """One tenth of the requests of a class that only one worker type can run waited 0.5 s for their start.

    They queued behind requests that could have run elsewhere. Other requests must be sent to this worker type
    less often, but not never.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    exclusive = ServiceClass(
        name="bound",
        effect=Effect.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.FLEET,
        deduplication_window=0,
        latency_objective=250_000,
        stretch=2.0,
        timeout=3_000_000,
        priority_weight=5.0,
        overdue_weight=0.5,
        worker_type="slow",
    )
    config = replace(
        scheduler_config(3, 3, False, 0.4, has_live_ratings=True),
        service_classes=[*SERVICE_CLASSES, exclusive],
    )
    checked.step(ConfigReloaded(config))
    slow = [f"w{number}" for number in range(5)]
    fast = [f"w{number}" for number in range(5, 10)]
    checked.update_endpoints(
        *[
            endpoint_entry(name, rating=IDLE, worker_type="slow" if name in slow else "fast")
            for name in slow + fast
        ]
    )
    for request in range(200):
        checked.arrive(request, "view")
        checked.pass_time(ROUND_INTERVAL)
        checked.end_attempt(request, 0, AttemptOutcome.DONE)
    assert 20 < sum(checked.attempts[request][0]["worker"] in slow for request in range(200)) < 65


@pytest.mark.parametrize(("rating", "is_cancelled"), [(IDLE, True), (IDLE / 2, False)])
def test_a_late_start_is_cancelled_early_only_while_cores_are_free(rating: float, is_cancelled: bool) -> None:
    """In a saturated fleet a quarter of the attempts were cancelled in their queues for a retry elsewhere.

    Seven in ten of the retries were rejected as full, and their requests had lost their places in the queues.
    If no worker has free cores, an attempt must keep its place for the whole slack; if some have, it may be
    cancelled earlier.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    checked.update_endpoints(*rated({f"w{number}": IDLE for number in range(6)}))
    checked.update_endpoints(*rated({f"w{number}": rating for number in range(6)}), kind=ListUpdateKind.DELTA)
    checked.arrive(1, "view")
    checked.pass_time(300_000)  # of a slack of 500 ms
    assert any(isinstance(command, CancelAttempt) for command in checked.commands) == is_cancelled


def test_a_request_that_was_refused_as_full_pauses_before_its_next_attempt() -> None:
    """Of 427 requests that were rejected in an overload, 103 had used up all attempts within 0.1 to 0.5 s.

    Every worker was full, and after each "full" the next attempt followed at once. The attempts of a request
    must be spread over its queue timeout.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    checked.update_endpoints(*rated({f"w{number}": IDLE for number in range(6)}))
    checked.arrive(1, "record")
    checked.end_attempt(1, 0, AttemptOutcome.FULL)
    checked.pass_time(2 * ROUND_INTERVAL)
    assert len(checked.attempts[1]) == 1 and 1 not in checked.finished
    checked.pass_time(200_000)
    assert len(checked.attempts[1]) == 2


def test_a_request_without_attempts_left_is_rejected_at_once() -> None:
    """A request had used up its attempts, but its client got no response until the deadline seconds later.

    The request cannot succeed any more. It must be rejected right after its last attempt, while its client
    still has time for a retry.
    """
    checked = CheckedScheduler(has_live_ratings=True)
    checked.update_endpoints(*rated({f"w{number}": IDLE for number in range(6)}))
    checked.arrive(1, "record")
    for attempt in range(checked.max_attempts):
        commands = checked.end_attempt(1, attempt, AttemptOutcome.FULL)
        if attempt < checked.max_attempts - 1:
            checked.pass_time(300_000)
    assert [each.request_id for each in commands if isinstance(each, RejectRequest)] == [1]
    assert checked.arrivals[1].deadline - checked.now > 4_000_000, "the client still has time for a retry"
