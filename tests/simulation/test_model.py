"""The fleet model by itself, without sockets and clocks."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.config.errors import ConfigFileError
from locktide.simulation.model import random_scenario, traffic
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import scenario as scenarios
from locktide.simulation.model.discovery import ACTIVE, LEAVING, LEFT, DiscoveryAgent, ListedWorker
from locktide.simulation.model.network import CLIENT, DISPATCHER, WORKER, Machine, NetworkLinks
from locktide.simulation.model.scenario import FaultSpec, NetworkSpec, Scenario
from locktide.simulation.model.traffic import ClientRequest, LoadBalancer, RequestTry
from locktide.simulation.model.worker import (
    DONE,
    FULL,
    RETURNED,
    STARTED,
    TAKEN,
    DeduplicationCell,
    EmulatedWorker,
    RunningJob,
    WorkerConfig,
)

SECOND = 1_000_000
CONFIG = WorkerConfig(2, 1.0, 4, 0.25, 4 * SECOND, 4.0, 2 * SECOND, SECOND, "queued", True)


def make_job(key: int, work: float = 1.0, width: int = 1, sender: int = 0) -> RunningJob:
    return RunningJob(key, f"j{key}", sender, int(work * SECOND), width)


def run(worker: EmulatedWorker, until: float) -> list[tuple[float, str, int]]:
    """Advance the worker from report to report, as a site does; return the reports without progress."""
    reported = []
    while (at := worker.next_at()) is not None and at <= until * SECOND:
        for report in worker.advance(at):
            reported.append((round(report.at / SECOND, 3), report.state, report.job.key))
    reported += [
        (round(report.at / SECOND, 3), report.state, report.job.key)
        for report in worker.advance(int(until * SECOND))
    ]
    return [one for one in reported if one[1] != "running"]


# --- a worker


def test_jobs_start_in_order_and_the_first_waits_until_it_fits() -> None:
    worker = EmulatedWorker(CONFIG, 0)
    for one in (make_job(1, 1.0), make_job(2, 1.0, width=2), make_job(3, 1.0)):
        assert worker.offer(0, one) == TAKEN
    reported = run(worker, 5)
    starts = [(at, key) for at, state, key in reported if state == STARTED]
    assert starts == [(0.0, 1), (1.0, 2), (2.0, 3)]  # 3 would fit at once, but waits behind 2
    assert [key for _, state, key in reported if state == DONE] == [1, 2, 3]


def test_a_cold_worker_takes_as_long_as_its_rising_speed_says() -> None:
    worker = EmulatedWorker(CONFIG, 0, cold=True)
    worker.offer(0, make_job(1, 1.0))
    worker.advance(0)
    # 0.25 t + 0.75 t^2 / 8 = 1: at 2.194 s
    assert [at for at, state, _ in run(worker, 5) if state == DONE] == [pytest.approx(2.194, abs=0.002)]
    worker.offer(5 * SECOND, make_job(2, 1.0))
    assert [at for at, state, _ in run(worker, 9) if state == DONE] == [pytest.approx(6.0, abs=0.002)]


def test_pauses_and_slowdowns_lengthen_what_runs() -> None:
    worker = EmulatedWorker(CONFIG, 0)
    worker.offer(0, make_job(1, 2.0))
    worker.advance(0)
    worker.advance(SECOND // 2)
    worker.hold(SECOND)  # paused from 0.5 to 1 s
    worker.advance(SECOND)
    worker.slow = 2.0
    assert [at for at, state, _ in run(worker, 9) if state == DONE] == [pytest.approx(4.0, abs=0.002)]


def test_a_full_queue_and_a_draining_worker_take_nothing() -> None:
    worker = EmulatedWorker(CONFIG, 0)
    accepted = 0
    for key in range(11):
        accepted += worker.offer(0, make_job(key)) == TAKEN
        worker.advance(0)
    assert accepted == 2 + 8  # two run, four wait for each core
    returned = worker.drain(SECOND // 2)
    assert [report.state for report in returned] == [RETURNED] * 8
    assert worker.offer(SECOND // 2, make_job(20)) == FULL
    assert [key for _, state, key in run(worker, 3) if state == DONE] == [0, 1]


def test_a_withdrawal_stops_what_waits_and_leaves_what_runs() -> None:
    worker = EmulatedWorker(CONFIG, 0)
    for key in range(3):
        worker.offer(0, make_job(key))
    worker.advance(0)
    assert [one.key for one in worker.withdraw("j2", 0)] == [2]
    assert worker.withdraw("j0", 0) == [] and worker.jobs[0].is_cancelled
    assert worker.withdraw("j1", 5) == [] and not worker.jobs[1].is_cancelled  # sent by another dispatcher
    assert worker.job_count() == 2


def test_a_cold_worker_falls_over_by_more_than_it_may_be_sent_and_a_warm_one_does_not() -> None:
    def jobs_until_crash(cold: bool) -> int:
        worker = EmulatedWorker(replace(CONFIG, queue=100), 0, cold=cold)
        for key in range(30):
            worker.advance(key * 10_000)
            worker.offer(key * 10_000, make_job(key, 1.0))
            if sent := worker.pushed_over(key * 10_000):
                return len(sent)
        return 0

    # 4 times 2 cores at a quarter of the speed for 2 s: 4 s of work, and two jobs allowed for chance.
    assert jobs_until_crash(cold=True) == 7
    assert jobs_until_crash(cold=False) == 0


def test_a_pod_drops_repeats_that_it_took_within_the_span_and_only_those_that_had_an_effect() -> None:
    pod = DeduplicationCell(10 * SECOND)
    first = pod.record("k", 0)
    # The first one never ran: the repeat has the effect.
    assert pod.record("k", 9 * SECOND) is first and not first.had_effect
    assert pod.record("k", 10 * SECOND) is not first


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "wide", "withdraw", "hold", "slow", "drain", "kill"]),
        st.integers(0, 12),
        st.integers(0, 900_000),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None)
@given(OPERATIONS, st.booleans(), st.sampled_from(["none", "queued", "running"]))
def test_whatever_is_done_to_a_worker_each_job_ends_once_and_no_core_is_used_twice(
    operations: list[tuple[str, int, int]], cold: bool, cancels: str
) -> None:
    worker = EmulatedWorker(replace(CONFIG, cancels=cancels), 0, cold=cold)
    ends: dict[int, int] = {}
    accepted: list[int] = []
    now = 0

    def record(reports: list) -> None:  # type: ignore[type-arg]
        for report in reports:
            assert 0.0 <= report.share <= 1.0 and report.at <= now
            if report.state not in (STARTED, "running"):
                ends[report.job.key] = ends.get(report.job.key, 0) + 1

    for index, (operation, number, later) in enumerate(operations):
        now += later
        record(worker.advance(now))
        if operation in ("offer", "wide"):
            one = make_job(index, 0.1 * (number + 1), 2 if operation == "wide" else 1)
            if worker.up and worker.offer(now, one) == TAKEN:
                accepted.append(index)
        elif operation == "withdraw":
            for one in worker.withdraw(f"j{number}", 0):
                ends[one.key] = ends.get(one.key, 0) + 1
        elif operation == "hold":
            worker.hold(now + 50_000 * number)
        elif operation == "slow":
            worker.slow = 1.0 + number / 4
        elif operation == "drain" and worker.up:
            record(worker.drain(now))
        elif operation == "kill" and worker.up:
            for one in worker.kill():
                ends[one.key] = ends.get(one.key, 0) + 1
            worker.start(now, cold=True)
        record(worker.advance(now))
        used = sum(one.width for one in worker.jobs.values())
        assert used + worker.free_cores == worker.config.cores and worker.free_cores >= 0
    for _ in range(300):
        if (at := worker.next_at()) is None:
            break
        now = max(now, at)
        record(worker.advance(now))
    assert worker.job_count() == 0
    assert ends == dict.fromkeys(accepted, 1)


# --- the discovery service


def entry(state: str = ACTIVE, boot_at: int = 0, number: int = 0) -> ListedWorker:
    return ListedWorker(number, f"w{number}", "zone0", "box", 0, state, 1.0, boot_at)


def test_an_agent_gets_changes_late_and_records_when_it_has_sent_them() -> None:
    agent = DiscoveryAgent([entry(), entry(number=1)])
    agent.change(2 * SECOND, entry(LEAVING))
    assert not agent.advance(SECOND) and agent.next_at() == 2 * SECOND
    assert agent.advance(2 * SECOND)
    answer = agent.answer(3 * SECOND, 1, False, lambda number: f"127.0.0.1:{7000 + number}")
    assert (
        answer is not None and not answer["all"] and [one["state"] for one in answer["targets"]] == [LEAVING]
    )
    assert agent.drain_notified_at(0) == 3 * SECOND and agent.drain_notified_at(1) is None
    agent.change(4 * SECOND, entry(LEFT))
    agent.advance(4 * SECOND)
    agent.answer(5 * SECOND, answer["rev"], False, str)
    # For a worker that drained and then left, the first time counts.
    assert agent.drain_notified_at(0) == 3 * SECOND
    agent.change(6 * SECOND, entry(ACTIVE, boot_at=9))
    agent.advance(6 * SECOND)
    agent.answer(7 * SECOND, None, True, str)
    assert agent.drain_notified_at(0) is None and agent.notification_time(0, ACTIVE, 9) == 7 * SECOND


def test_news_of_an_older_process_does_not_undo_that_of_a_newer_one() -> None:
    agent = DiscoveryAgent([entry()])
    agent.change(SECOND, entry(ACTIVE, boot_at=5))
    agent.change(2 * SECOND, entry(LEFT))
    agent.advance(3 * SECOND)
    assert agent.entries[0].state == ACTIVE and agent.entries[0].boot_at == 5


def test_a_stale_agent_has_its_news_later() -> None:
    agent = DiscoveryAgent([entry()])
    agent.change(SECOND, entry(LEFT))
    agent.extra_delay = 5 * SECOND
    assert not agent.advance(5 * SECOND) and agent.advance(6 * SECOND)


# --- clients and the load balancer


def make_request(effect: str = "reissuable", retries: int = 1) -> ClientRequest:
    grade = scenarios.ServiceClassSpec(
        name="view",
        effect=effect,  # type: ignore[arg-type]
        soft=0.5,
        stretch=2.0,
        limit=4.0,
        late=0.25,
    )
    return ClientRequest(0, 0, grade, SECOND, 1, 0, retries, True, 0, "k")


def test_revenue_counts_from_the_first_try_and_in_part_after_the_soft_limit() -> None:
    one = make_request()
    assert one.soft_limit == int(2.5 * SECOND)
    one.answered_at = int(2.5 * SECOND)
    assert one.earned() == one.revenue
    one.answered_at += 1
    assert one.earned() == one.revenue / 4


@pytest.mark.parametrize(
    ("effect", "ended", "again"),
    [
        ("reissuable", traffic.TERMINATED, True),
        ("reissuable", traffic.BROKEN, True),
        ("numbered", traffic.DENIED, True),
        ("numbered", traffic.BROKEN, False),
        ("at-most-once", traffic.REFUSED, True),
        ("at-most-once", traffic.TERMINATED, False),
        ("reissuable", traffic.ANSWERED, False),
        ("reissuable", traffic.SILENT, False),
    ],
)
def test_clients_retry_only_what_is_safe_to_repeat(effect: str, ended: str, again: bool) -> None:
    one = make_request(effect)
    submission = RequestTry("x", one, 0, 0, 0, ended, 100_000)
    one.tries.append(submission)
    assert (traffic.retry_delay(one, submission, Scenario()) is not None) == again


def test_retry_after_is_honoured_and_retries_end() -> None:
    one = make_request()
    submission = RequestTry("x", one, 0, 0, 0, traffic.DENIED, 100_000, advice=SECOND)
    one.tries.append(submission)
    assert traffic.retry_delay(one, submission, Scenario()) == SECOND
    one.tries.append(submission)
    assert traffic.retry_delay(one, submission, Scenario()) is None


def test_the_load_balancer_notices_a_crash_late_and_adds_ready_dispatchers() -> None:
    load_balancer = LoadBalancer([0, 1], 2 * SECOND, 7, 0)
    assert load_balancer.choose(0) is None
    load_balancer.note_ready(0)
    load_balancer.note_ready(1)
    load_balancer.note_death(1, SECOND)
    assert {load_balancer.choose(2 * SECOND) for _ in range(50)} == {0, 1}
    assert {load_balancer.choose(3 * SECOND) for _ in range(50)} == {0}
    load_balancer.note_ready(1)
    load_balancer.remove(0)  # a planned stop takes effect at once
    assert {load_balancer.choose(4 * SECOND) for _ in range(50)} == {1}


def test_traffic_is_the_same_for_a_seed_and_asks_for_the_load_that_was_set() -> None:
    scenario = Scenario(length=400.0)
    requests = traffic.draw_requests(scenario)
    assert [one.work for one in requests] == [one.work for one in traffic.draw_requests(scenario)]
    load = sum(one.work * one.width for one in requests) / SECOND / 400 / traffic.capacity(scenario)
    assert load == pytest.approx(scenario.clients.load, rel=0.08)
    # A further fault in the traffic changes nothing before it.
    surge = FaultSpec(at=200.0, length=50.0, what="heavy", factor=3.0, share=1.0)
    later = traffic.draw_requests(Scenario(length=400.0, incident=[surge]))
    before = [(one.at, one.work) for one in requests if one.at < 200 * SECOND]
    assert before == [(one.at, one.work) for one in later if one.at < 200 * SECOND]


def test_surges_bring_as_much_more_as_they_say() -> None:
    surge = FaultSpec(at=100.0, length=100.0, what="surge", factor=2.5)
    requests = traffic.draw_requests(Scenario(length=300.0, incident=[surge]))
    inside = sum(100 * SECOND <= one.at < 200 * SECOND for one in requests)
    assert inside / (len(requests) - inside) * 2 == pytest.approx(2.5, rel=0.15)


# --- links


def test_cut_zones_and_machines_let_nothing_through_until_all_that_cut_them_is_over() -> None:
    links = NetworkLinks(NetworkSpec(same=0.001, cross=0.01, jitter=0.5), 1)
    near, far = Machine(WORKER, 0, 0), Machine(DISPATCHER, 0, 1)
    assert (
        10_000 <= links.delay(near, far) <= 15_000
        and links.base_delay(near, Machine(DISPATCHER, 1, 0)) == 1000
    )
    links.cut_zone(1, 0)
    links.cut_zone(1, 0)
    assert links.cut(near, far) and not links.cut(far, Machine(WORKER, 5, 1))
    links.heal_zone(1)
    assert links.cut(near, far)
    links.heal_zone(1)
    links.cut_machine(near, 0)
    assert links.cut(near, far) and links.cut(Machine(CLIENT, 0, 0), near)
    links.heal_machine(near)
    assert not links.cut(near, far)


def test_chance_depends_on_its_purpose_alone() -> None:
    assert chance.unit(3, "a", 1) == chance.unit(3, "a", 1) != chance.unit(3, "a", 2)
    drawn = [chance.unit(3, "even", number) for number in range(4000)]
    assert sum(drawn) / 4000 == pytest.approx(0.5, abs=0.02)
    factors = [chance.stretch(3, 0.4, "cost", number) for number in range(4000)]
    assert sum(factors) / 4000 == pytest.approx(1.0, abs=0.03)


# --- scenarios


FAULTY_SCENARIOS = {
    "[fleet]\nwrokers = 3": ["fleet.wrokers: expected one of"],
    "[fleet]\nworkers = -1": ["fleet.workers: expected int >= 1, found -1"],
    "length = 'long'": ["length: expected float, found 'long'"],
    "[[incident]]\nat = -3.0": ["incident[0].at: expected float >= 0.0, found -3.0"],
    "[[incident]]\nat = 1\nwhom = 'w12'": ["incident[0].whom: expected w0 to w11", "found 'w12'"],
    "[[incident]]\nat = 1\nwhat = 'kill-dispatcher'\nwhom = 'w1'": ["incident[0].whom: expected d0 to d2"],
    "[[incident]]\nat = 1\nwhat = 'partition'\nwhom = '25%'": ["incident[0].whom: expected zone0 to zone1"],
    "[[incident]]\nat = 1\nwhat = 'earthquake'": ["incident[0].what: ", "found 'earthquake'"],
    "[[incident]]\nat = 99\nwhat = 'surge'": ["incident[0].at: expected less than length (40)"],
    "[[incident]]\nwhat = 'surge'": ["incident[0].at: expected a value, found none"],
    "[[grade]]\nname = 'a'\n[[grade]]\nname = 'a'": ["grade[1].name: expected a name of its own"],
    "[[grade]]\nname = 'a'\nsoft = 9.0": ["grade[0].soft: expected less than limit"],
    "fleet = 3": ["fleet: expected a table, found 3"],
    "name = nonsense": ["script: "],
}


@pytest.mark.parametrize("text", FAULTY_SCENARIOS)
def test_a_faulty_scenario_is_refused_with_the_key_and_what_was_found(text: str) -> None:
    with pytest.raises(ConfigFileError) as found:
        scenarios.parse(text)
    for reports in FAULTY_SCENARIOS[text]:
        assert reports in str(found.value)


def test_all_faults_of_a_scenario_are_named_at_once() -> None:
    with pytest.raises(ConfigFileError) as found:
        scenarios.parse("lenght = 3\n[fleet]\nworkers = 0\n[[incident]]\nat = 'noon'\nfor = -1.0")
    assert len(found.value.lines) == 4


def test_a_part_of_the_fleet_is_drawn_and_kinds_and_zones_are_named() -> None:
    scenario = Scenario()
    assert scenarios.resolve_targets(scenario, FaultSpec(at=1.0, whom="25%")) == ([], 0.25)
    assert scenarios.resolve_targets(scenario, FaultSpec(at=1.0, whom="zone1, w0"))[0] == [
        0,
        1,
        3,
        5,
        7,
        9,
        11,
    ]
    kinds = scenarios.assign_worker_types(scenario)
    assert scenarios.resolve_targets(scenario, FaultSpec(at=1.0, whom="slow"))[0] == [
        number for number, kind in enumerate(kinds) if kind.name == "slow"
    ]
    assert len({kind.name for kind in kinds[:3]}) == 3  # interleaved, not in blocks


def test_random_scenarios_are_the_same_for_a_seed_and_valid() -> None:
    assert random_scenario.draw(5) == random_scenario.draw(5) != random_scenario.draw(6)
    all_kinds = {operation for operation in scenarios.FaultKind.__args__ if not operation.startswith("talk-")}  # type: ignore[attr-defined]
    drawn = {one.what for seed in range(200) for one in random_scenario.draw(seed).incident}
    assert drawn == all_kinds - {"trap-dispatcher"}
    durable_faults = [one for seed in range(200) for one in random_scenario.draw(seed, durable=True).incident]
    points = {one.point for one in durable_faults}
    assert {one.what for one in durable_faults} == all_kinds
    assert points == set(scenarios.CrashPoint.__args__)  # type: ignore[attr-defined]
