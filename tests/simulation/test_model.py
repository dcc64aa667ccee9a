"""The model of a fleet, by itself: no socket, no clock."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from locktide.config.errors import ConfigFileError
from locktide.simulation.model import random_scenario as rough
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model import scenario as script
from locktide.simulation.model import traffic
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

S = 1_000_000
TERMS = WorkerConfig(2, 1.0, 4, 0.25, 4 * S, 4.0, 2 * S, S, "queued", True)


def job(key: int, work: float = 1.0, width: int = 1, sender: int = 0) -> RunningJob:
    return RunningJob(key, f"j{key}", sender, int(work * S), width)


def run(worker: EmulatedWorker, until: float) -> list[tuple[float, str, int]]:
    """Advances from moment to moment, as a driver does."""
    told = []
    while (at := worker.next_at()) is not None and at <= until * S:
        for word in worker.advance(at):
            told.append((round(word.at / S, 3), word.state, word.job.key))
    told += [(round(word.at / S, 3), word.state, word.job.key) for word in worker.advance(int(until * S))]
    return [one for one in told if one[1] != "running"]


# --- a worker


def test_jobs_start_in_order_and_the_first_waits_until_it_fits() -> None:
    worker = EmulatedWorker(TERMS, 0)
    for one in (job(1, 1.0), job(2, 1.0, width=2), job(3, 1.0)):
        assert worker.offer(0, one) == TAKEN
    told = run(worker, 5)
    starts = [(at, key) for at, state, key in told if state == STARTED]
    assert starts == [(0.0, 1), (1.0, 2), (2.0, 3)]  # 3 would have fitted at once, but 2 is before it
    assert [key for _, state, key in told if state == DONE] == [1, 2, 3]


def test_a_cold_worker_takes_as_long_as_its_rising_speed_says() -> None:
    worker = EmulatedWorker(TERMS, 0, cold=True)
    worker.offer(0, job(1, 1.0))
    worker.advance(0)
    # 0.25 t + 0.75 t^2 / 8 = 1: at 2.194 s
    assert [at for at, state, _ in run(worker, 5) if state == DONE] == [pytest.approx(2.194, abs=0.002)]
    worker.offer(5 * S, job(2, 1.0))
    assert [at for at, state, _ in run(worker, 9) if state == DONE] == [pytest.approx(6.0, abs=0.002)]


def test_pauses_and_slowdowns_lengthen_what_runs() -> None:
    worker = EmulatedWorker(TERMS, 0)
    worker.offer(0, job(1, 2.0))
    worker.advance(0)
    worker.advance(S // 2)
    worker.hold(S)  # stands still from 0.5 to 1 s
    worker.advance(S)
    worker.slow = 2.0
    assert [at for at, state, _ in run(worker, 9) if state == DONE] == [pytest.approx(4.0, abs=0.002)]


def test_a_full_queue_and_a_draining_worker_take_nothing() -> None:
    worker = EmulatedWorker(TERMS, 0)
    taken = 0
    for key in range(11):
        taken += worker.offer(0, job(key)) == TAKEN
        worker.advance(0)
    assert taken == 2 + 8  # two run, four wait for each core
    returned = worker.drain(S // 2)
    assert [word.state for word in returned] == [RETURNED] * 8
    assert worker.offer(S // 2, job(20)) == FULL
    assert [key for _, state, key in run(worker, 3) if state == DONE] == [0, 1]


def test_a_withdrawal_stops_what_waits_and_leaves_what_runs() -> None:
    worker = EmulatedWorker(TERMS, 0)
    for key in range(3):
        worker.offer(0, job(key))
    worker.advance(0)
    assert [one.key for one in worker.withdraw("j2", 0)] == [2]
    assert worker.withdraw("j0", 0) == [] and worker.jobs[0].given_up
    assert worker.withdraw("j1", 5) == [] and not worker.jobs[1].given_up  # another dispatcher's
    assert worker.job_count() == 2


def test_a_cold_worker_falls_over_by_more_than_it_may_be_sent_and_a_warm_one_does_not() -> None:
    def pushed(cold: bool) -> int:
        worker = EmulatedWorker(replace(TERMS, queue=100), 0, cold=cold)
        for key in range(30):
            worker.advance(key * 10_000)
            worker.offer(key * 10_000, job(key, 1.0))
            if sent := worker.pushed_over(key * 10_000):
                return len(sent)
        return 0

    # 4 times 2 cores at a quarter of the speed for 2 s, 4 s of work, and two jobs for chance
    assert pushed(cold=True) == 7
    assert pushed(cold=False) == 0


def test_a_pod_drops_repeats_that_it_took_within_the_span_and_only_those_that_had_an_effect() -> None:
    pod = DeduplicationCell(10 * S)
    first = pod.record("k", 0)
    assert pod.record("k", 9 * S) is first and not first.had_effect  # never ran: the repeat has the effect
    assert pod.record("k", 10 * S) is not first


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
    worker = EmulatedWorker(replace(TERMS, cancels=cancels), 0, cold=cold)
    ends: dict[int, int] = {}
    taken: list[int] = []
    now = 0

    def note(words: list) -> None:  # type: ignore[type-arg]
        for word in words:
            assert 0.0 <= word.share <= 1.0 and word.at <= now
            if word.state not in (STARTED, "running"):
                ends[word.job.key] = ends.get(word.job.key, 0) + 1

    for place, (what, number, later) in enumerate(operations):
        now += later
        note(worker.advance(now))
        if what in ("offer", "wide"):
            one = job(place, 0.1 * (number + 1), 2 if what == "wide" else 1)
            if worker.up and worker.offer(now, one) == TAKEN:
                taken.append(place)
        elif what == "withdraw":
            for one in worker.withdraw(f"j{number}", 0):
                ends[one.key] = ends.get(one.key, 0) + 1
        elif what == "hold":
            worker.hold(now + 50_000 * number)
        elif what == "slow":
            worker.slow = 1.0 + number / 4
        elif what == "drain" and worker.up:
            note(worker.drain(now))
        elif what == "kill" and worker.up:
            for one in worker.kill():
                ends[one.key] = ends.get(one.key, 0) + 1
            worker.start(now, cold=True)
        note(worker.advance(now))
        used = sum(one.width for one in worker.jobs.values())
        assert used + worker.free_cores == worker.config.cores and worker.free_cores >= 0
    for _ in range(300):
        if (at := worker.next_at()) is None:
            break
        now = max(now, at)
        note(worker.advance(now))
    assert worker.job_count() == 0
    assert ends == dict.fromkeys(taken, 1)


# --- the roster


def entry(state: str = ACTIVE, boot_at: int = 0, number: int = 0) -> ListedWorker:
    return ListedWorker(number, f"w{number}", "zone0", "box", 0, state, 1.0, boot_at)


def test_an_agent_hears_late_tells_changes_and_knows_when_it_told() -> None:
    agent = DiscoveryAgent([entry(), entry(number=1)])
    agent.change(2 * S, entry(LEAVING))
    assert not agent.advance(S) and agent.next_at() == 2 * S
    assert agent.advance(2 * S)
    told = agent.answer(3 * S, 1, False, lambda number: f"127.0.0.1:{7000 + number}")
    assert told is not None and not told["all"] and [one["state"] for one in told["targets"]] == [LEAVING]
    assert agent.drain_notified_at(0) == 3 * S and agent.drain_notified_at(1) is None
    agent.change(4 * S, entry(LEFT))
    agent.advance(4 * S)
    agent.answer(5 * S, told["rev"], False, str)
    assert agent.drain_notified_at(0) == 3 * S  # of drained, then left, the first counts
    agent.change(6 * S, entry(ACTIVE, boot_at=9))
    agent.advance(6 * S)
    agent.answer(7 * S, None, True, str)
    assert agent.drain_notified_at(0) is None and agent.told_at(0, ACTIVE, 9) == 7 * S


def test_news_of_an_older_process_does_not_undo_that_of_a_newer_one() -> None:
    agent = DiscoveryAgent([entry()])
    agent.change(S, entry(ACTIVE, boot_at=5))
    agent.change(2 * S, entry(LEFT))
    agent.advance(3 * S)
    assert agent.entries[0].state == ACTIVE and agent.entries[0].boot_at == 5


def test_a_stale_agent_has_its_news_later() -> None:
    agent = DiscoveryAgent([entry()])
    agent.change(S, entry(LEFT))
    agent.extra_delay = 5 * S
    assert not agent.advance(5 * S) and agent.advance(6 * S)


# --- clients and their front


def ask(effect: str = "reissuable", retries: int = 1) -> ClientRequest:
    grade = script.ServiceClassSpec(name="view", effect=effect, soft=0.5, stretch=2.0, limit=4.0, late=0.25)  # type: ignore[arg-type]
    return ClientRequest(0, 0, grade, S, 1, 0, retries, True, 0, "k")


def test_revenue_counts_from_the_first_try_and_in_part_after_the_soft_limit() -> None:
    one = ask()
    assert one.soft_limit == int(2.5 * S)
    one.answered_at = int(2.5 * S)
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
def test_clients_try_again_only_what_is_harmless(effect: str, ended: str, again: bool) -> None:
    one = ask(effect)
    tried = RequestTry("x", one, 0, 0, 0, ended, 100_000)
    one.tries.append(tried)
    assert (traffic.retry_delay(one, tried, Scenario()) is not None) == again


def test_advice_is_heeded_and_retries_end() -> None:
    one = ask()
    tried = RequestTry("x", one, 0, 0, 0, traffic.DENIED, 100_000, advice=S)
    one.tries.append(tried)
    assert traffic.retry_delay(one, tried, Scenario()) == S
    one.tries.append(tried)
    assert traffic.retry_delay(one, tried, Scenario()) is None


def test_the_front_notices_a_death_late_and_takes_in_who_is_ready() -> None:
    front = LoadBalancer([0, 1], 2 * S, 7, 0)
    assert front.choose(0) is None
    front.ready(0)
    front.ready(1)
    front.note_death(1, S)
    assert {front.choose(2 * S) for _ in range(50)} == {0, 1}
    assert {front.choose(3 * S) for _ in range(50)} == {0}
    front.ready(1)
    front.remove(0)  # as planned: at once
    assert {front.choose(4 * S) for _ in range(50)} == {1}


def test_traffic_is_the_same_for_a_seed_and_asks_for_the_load_that_was_set() -> None:
    told = Scenario(length=400.0)
    asks = traffic.draw_requests(told)
    assert [one.work for one in asks] == [one.work for one in traffic.draw_requests(told)]
    load = sum(one.work * one.width for one in asks) / S / 400 / traffic.capacity(told)
    assert load == pytest.approx(told.clients.load, rel=0.08)
    # One more incident in the traffic moves nothing before it.
    surge = FaultSpec(at=200.0, length=50.0, what="heavy", factor=3.0, share=1.0)
    later = traffic.draw_requests(Scenario(length=400.0, incident=[surge]))
    before = [(one.at, one.work) for one in asks if one.at < 200 * S]
    assert before == [(one.at, one.work) for one in later if one.at < 200 * S]


def test_surges_bring_as_much_more_as_they_say() -> None:
    surge = FaultSpec(at=100.0, length=100.0, what="surge", factor=2.5)
    asks = traffic.draw_requests(Scenario(length=300.0, incident=[surge]))
    inside = sum(100 * S <= one.at < 200 * S for one in asks)
    assert inside / (len(asks) - inside) * 2 == pytest.approx(2.5, rel=0.15)


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


# --- scripts


BROKEN = {
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


@pytest.mark.parametrize("text", BROKEN)
def test_a_faulty_script_is_refused_with_the_key_and_what_was_found(text: str) -> None:
    with pytest.raises(ConfigFileError) as found:
        script.parse(text)
    for words in BROKEN[text]:
        assert words in str(found.value)


def test_all_faults_of_a_script_are_named_at_once() -> None:
    with pytest.raises(ConfigFileError) as found:
        script.parse("lenght = 3\n[fleet]\nworkers = 0\n[[incident]]\nat = 'noon'\nfor = -1.0")
    assert len(found.value.lines) == 4


def test_a_part_of_the_fleet_is_drawn_and_kinds_and_zones_are_named() -> None:
    told = Scenario()
    assert script.resolve_targets(told, FaultSpec(at=1.0, whom="25%")) == ([], 0.25)
    assert script.resolve_targets(told, FaultSpec(at=1.0, whom="zone1, w0"))[0] == [0, 1, 3, 5, 7, 9, 11]
    kinds = script.assign_worker_types(told)
    assert script.resolve_targets(told, FaultSpec(at=1.0, whom="slow"))[0] == [
        number for number, kind in enumerate(kinds) if kind.name == "slow"
    ]
    assert len({kind.name for kind in kinds[:3]}) == 3  # dealt out, not in blocks


def test_rough_days_are_drawn_alike_for_a_seed_and_are_good_scripts() -> None:
    assert rough.draw(5) == rough.draw(5) != rough.draw(6)
    every = {what for what in script.FaultKind.__args__ if not what.startswith("talk-")}  # type: ignore[attr-defined]
    drawn = {one.what for seed in range(200) for one in rough.draw(seed).incident}
    assert drawn == every - {"trap-dispatcher"}
    kept = [one for seed in range(200) for one in rough.draw(seed, durable=True).incident]
    points = {one.point for one in kept}
    assert {one.what for one in kept} == every
    assert points == set(script.CrashPoint.__args__)  # type: ignore[attr-defined]
