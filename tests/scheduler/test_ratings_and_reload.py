"""The move: ratings that follow load, and settings that are taken anew in service, there and back."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any
from zlib import crc32

import pytest
from helpers import COLD, GRADES, STEP, Checked, begin, call, listed, submit, terms

from locktide.dispatcher.requests import arrival_event
from locktide.protocol.messages import SubmitRequest
from locktide.protocol.server_connection import ServerHttpConnection
from locktide.scheduler.commands import CancelAttempt, FailRequest, RejectRequest, WatchEndpoints, WriteLog
from locktide.scheduler.config import CostConfig, ServiceClass
from locktide.scheduler.events import ConfigReloaded, EndpointEntry
from locktide.scheduler.log_events import WorkerSuspected
from locktide.scheduler.policy.outlier_detection import is_suspected
from locktide.scheduler.types import AttemptOutcome, Effect, ListUpdateKind, SuspicionReason

# --- ratings that follow load ---------------------------------------------------------------------------


def rated(ratings: dict[str, float], **started: int) -> list[EndpointEntry]:
    return [listed(name, rating=rating, started_at=started.get(name, 0)) for name, rating in ratings.items()]


def first_places(
    ratings: dict[str, float], seeds: int = 400, prices: CostConfig | None = None, **started: int
) -> Counter[str]:
    """Where as many dispatchers, who all know the same, send the first submission of each."""
    places: Counter[str] = Counter()
    for seed in range(seeds):
        service = Checked(seed, fleet=seeds, live=True, prices=prices)
        service.list(*rated(dict.fromkeys(ratings, 8.0)))  # the size of each
        service.list(*rated(ratings, **started), kind=ListUpdateKind.DELTA)
        service.arrive(1, "view")
        service.pass_time(10 * STEP)
        places[service.dispatches[1][0]["worker"]] += 1
    return places


def test_one_late_picture_for_all_spreads_them_in_the_measure_of_what_is_free() -> None:
    ratings = {f"w{number}": 4.0 for number in range(9)} | {"w9": 8.0}
    places = first_places(ratings)
    # The only empty worker gets eight times what one with each core taken gets, and not all that comes.
    assert 0.35 < places["w9"] / 400 < 0.6 and len(places) == 10


@pytest.mark.parametrize("rating", [0.0, 1e-9, 1e15])
def test_ratings_that_are_wrong_cost_little(rating: float) -> None:
    service = Checked(fleet=5, live=True)
    service.list(*rated({"w0": 8.0, "w1": 8.0, "w2": 8.0}))
    service.list(*rated({"w0": rating, "w1": 6.0, "w2": 5.0}), kind=ListUpdateKind.DELTA)
    for submission in range(60):
        service.arrive(submission, "view")
        service.pass_time(20 * STEP)
        for one, shot in service.out():
            service.end(one, shot, AttemptOutcome.DONE)
    assert sum(answer == "done" for answer in service.answered.values()) > 55


def test_a_rating_that_stands_still_keeps_bound_work_away_until_it_moves_again() -> None:
    """Workers that hung got 80 to 109 dispatches in 7 s, as many as the others: they looked as good."""
    service = Checked(live=True)
    ratings = {f"w{number}": 6.0 for number in range(4)}
    service.list(*rated(dict.fromkeys(ratings, 8.0)))
    service.list(*rated(ratings), kind=ListUpdateKind.DELTA)

    def renewed(*but: str) -> list[Any]:
        for name in ratings:
            ratings[name] += 0.01
        service.pass_time(700_000)
        return service.list(
            *rated({n: r for n, r in ratings.items() if n not in but}), kind=ListUpdateKind.DELTA
        )

    def sent(first: int) -> set[str]:
        for submission in range(first, first + 40):
            service.arrive(submission, "cash")
            service.pass_time(2 * STEP)
            for one, shot in service.out():
                service.end(one, shot, AttemptOutcome.DONE)
        met = [service.dispatches[one] for one in range(first, first + 40)]
        return {dispatches[0]["worker"] for dispatches in met if dispatches}

    assert sent(0) == set(ratings)
    assert WriteLog(WorkerSuspected("w2", SuspicionReason.STALE_RATING)) in renewed("w2")
    assert sent(100) == set(ratings) - {"w2"}
    renewed()
    assert sent(200) == set(ratings)


def test_a_list_that_brings_no_ratings_speaks_against_nobody() -> None:
    service = Checked(live=True)
    service.list(*rated({"w0": 8.0, "w1": 8.0, "w2": 8.0}))
    service.list(*rated({"w0": 4.0, "w1": 5.0, "w2": 6.0}), kind=ListUpdateKind.DELTA)
    for _ in range(5):
        service.list(kind=ListUpdateKind.DELTA)
        service.list(listed("w0", rating=4.5), kind=ListUpdateKind.DELTA)
        service.list(*rated({"w0": 4.5, "w1": 5.0, "w2": 6.0}))  # whole, as after a reload, and nothing new
    assert not any(
        is_suspected(worker, service.now) for worker in service.dispatcher.endpoints.by_id.values()
    )


def test_all_do_not_turn_to_the_one_that_has_just_started() -> None:
    """Incident i56200f: 231 dispatchers sent an empty cold worker 4.1 times what it could do."""
    ratings = {f"w{number}": 3.5 for number in range(9)} | {"w9": 8.0}
    begun = 10_000_000 - 1_000_000  # a second ago
    places = first_places(ratings, w9=begun)
    warmth = COLD.initial_capacity + (1 - COLD.initial_capacity) / 8
    assert places["w9"] / 400 < 1.6 * warmth / 10


def test_cold_workers_share_what_all_send_though_one_alone_has_room() -> None:
    """The other cold ones were full and at rest: 20 dispatches in 0.45 s, 4.2 times what one could do."""
    names = [f"w{number}" for number in range(10)]
    work: Counter[str] = Counter()
    for seed in range(200):
        service = Checked(seed, fleet=200, live=True)
        service.list(*[listed(name, rating=8.0) for name in names])
        begun = service.now - 3_000_000
        service.list(*[listed(name, started_at=begun, rating=8.0) for name in names])
        for name in names[1:]:  # each has answered 'full'
            service.dispatcher.endpoints.by_id[name].unavailable_until = service.now + 5_000_000
        for submission in range(8):
            service.arrive(submission, "view", hint=300_000)
        service.pass_time(500_000)
        work.update(shots[0]["worker"] for shots in service.dispatches.values() if shots)
    # Half of the limit, which is what its warmth allows in a window.
    warmth = COLD.initial_capacity + (1 - COLD.initial_capacity) * 3 / 8
    assert 0 < work["w0"] * 0.3 / 8 < 0.75 * COLD.overload_factor * warmth


def test_a_connection_that_is_open_is_used_again_where_new_ones_have_a_price() -> None:
    def connections(price: float) -> int:
        service = Checked(live=True, prices=CostConfig(connection=price, idle_timeout=5_000_000))
        service.list(*rated({f"w{number}": 8.0 for number in range(10)}))
        for submission in range(60):
            service.arrive(submission, "view")
            service.pass_time(5 * STEP)
            service.end(submission, 0, AttemptOutcome.DONE)
        return len({service.dispatches[submission][0]["worker"] for submission in range(60)})

    assert connections(0.05) < 6 and connections(0.0) == 10


def test_what_may_go_anywhere_leaves_the_kind_that_a_grade_is_bound_to() -> None:
    service = Checked(live=True)
    classes = [
        *GRADES,
        ServiceClass("bound", Effect.IDEMPOTENT, "", 0, 250_000, 2.0, 3_000_000, 5.0, 0.5, "slow"),
    ]
    service.turn(ConfigReloaded(replace(terms(3, 3, False, 0.4, live=True), service_classes=classes)))
    service.list(*[listed(f"w{n}", rating=8.0, kind="slow" if n < 5 else "fast") for n in range(10)])
    for submission in range(200):
        service.arrive(submission, "view")
        service.pass_time(STEP)
        service.end(submission, 0, AttemptOutcome.DONE)
    slow = sum(service.dispatches[one][0]["worker"] in ("w0", "w1", "w2", "w3", "w4") for one in range(200))
    assert 20 < slow < 65  # a quarter as often


@pytest.mark.parametrize("rating, moved", [(8.0, True), (4.0, False)])
def test_a_late_start_moves_early_only_while_cores_are_free(rating: float, moved: bool) -> None:
    """In a saturated fleet a quarter of all left a queue, and seven in ten were turned away elsewhere."""
    service = Checked(live=True)
    service.list(*rated({f"w{number}": 8.0 for number in range(6)}))
    service.list(*rated({f"w{number}": rating for number in range(6)}), kind=ListUpdateKind.DELTA)
    service.arrive(1, "view")
    service.pass_time(300_000)  # of a slack of 500 ms
    withdrawn = [order for order in service.orders if type(order) is CancelAttempt]
    assert bool(withdrawn) == moved


def test_refusals_do_not_use_up_all_dispatches_at_once() -> None:
    service = Checked(live=True)
    service.list(*rated({f"w{number}": 8.0 for number in range(6)}))
    service.arrive(1, "record")
    service.end(1, 0, AttemptOutcome.FULL)
    service.pass_time(2 * STEP)
    assert len(service.dispatches[1]) == 1 and 1 not in service.answered
    service.pass_time(200_000)
    assert len(service.dispatches[1]) == 2


def test_what_is_given_up_is_answered_at_once() -> None:
    service = Checked(live=True)
    service.list(*rated({f"w{number}": 8.0 for number in range(6)}))
    service.arrive(1, "record")
    for shot in range(service.most):
        orders = service.end(1, shot, AttemptOutcome.FULL)
        if shot < service.most - 1:
            service.pass_time(300_000)
    assert [order.request_id for order in orders if type(order) is RejectRequest] == [1]
    assert service.arrivals[1].deadline - service.now > 4_000_000, "its client has long to wait yet"


# --- settings taken anew --------------------------------------------------------------------------------

THERE = terms(3, 7, True, 0.3, live=True, prices=CostConfig(0.05, 0.02, "zone-0", 5_000_000))
HERE = terms(3, 3, False, 0.4)


@pytest.mark.parametrize("seed", range(12))
def test_random_days_with_switches_keep_the_rules(seed: int) -> None:
    dice = random.Random(seed)
    service = Checked(seed)
    names = [f"w{n}" for n in range(6)]
    service.list(*[listed(name, cell=n % 2) for n, name in enumerate(names)])
    for submission in range(200):
        if submission % 25 == 24:
            service.turn(ConfigReloaded(THERE if submission % 50 == 24 else HERE))
        service.arrive(submission, dice.choice(GRADES).name, dice.choice([1.0, 2.0, 4.0]))
        service.pass_time(STEP * dice.randint(0, 10))
        for submitted, shot in service.out():
            if dice.random() < 0.2:
                outcomes = [
                    AttemptOutcome.DONE,
                    AttemptOutcome.DONE,
                    AttemptOutcome.FULL,
                    AttemptOutcome.ERROR,
                    AttemptOutcome.RESET,
                ]
                service.end(submitted, shot, dice.choice(outcomes))
        for order in [order for order in service.orders if type(order) is CancelAttempt]:
            if (order.request_id, order.attempt) in service.out() and dice.random() < 0.7:
                service.end(order.request_id, order.attempt, AttemptOutcome.CANCELLED)
        if dice.random() < 0.2:
            place = dice.randrange(6)
            rating = dice.random() * 9
            service.list(listed(names[place], cell=place % 2, rating=rating), kind=ListUpdateKind.DELTA)
    service.pass_time(7_000_000)
    assert set(service.answered) == set(service.arrivals)


def test_the_way_back_leaves_nothing_of_the_other_settings() -> None:
    service = Checked()
    service.list(*rated({"w0": 8.0, "w1": 8.0}))
    service.turn(ConfigReloaded(THERE))
    service.list(*rated({"w0": 2.0, "w1": 8.0}), kind=ListUpdateKind.DELTA)
    assert (
        service.dispatcher.endpoints.by_id["w0"].load == 3.0 and service.dispatcher.estimates.mean_load == 1.5
    )
    orders = service.turn(ConfigReloaded(HERE))
    assert service.dispatcher.endpoints.by_id["w0"].load == service.dispatcher.estimates.mean_load == 0.0
    assert not [order for order in orders if type(order) is WatchEndpoints]


def test_what_is_open_keeps_its_grade_when_that_goes() -> None:
    service = Checked()
    service.arrive(1, "cash")
    classes = [grade for grade in GRADES if grade.name != "cash"]
    service.turn(ConfigReloaded(replace(HERE, service_classes=classes)))
    service.list(listed("w0"))
    assert service.dispatches[1]
    assert [
        type(order) for order in service.end(1, 0, AttemptOutcome.ERROR) if type(order) is not WriteLog
    ] == [FailRequest]


@pytest.mark.parametrize(
    "extras, target, told",
    [
        ("slots=2,hint=120.5,tenant=dairy", "/view?x=1&obj=7f3a", (2.0, 120_500, "dairy", crc32(b"7f3a"))),
        ("", "/view", (1.0, 0, None, None)),
        ("hint=soon", "/view?obj=", (1.0, 0, None, None)),
        ("hint=-5,tenant=", "/view?obj=a&obj=b", (1.0, 0, "", crc32(b"a"))),
        ("hint=1e9", "/view?obj=%ff%zz", (1.0, 0, None, crc32("\ufffd%zz".encode()))),
    ],
)
def test_what_a_submission_tells_beside_its_grade_reaches_the_decisions(
    extras: str, target: str, told: tuple[Any, ...]
) -> None:
    conversation = ServerHttpConnection({"view": 3_000_000}, ())
    conversation.feed(submit(target, Req_Extra=extras, Req_Kind="view"))
    message = conversation.next_message()
    assert isinstance(message, SubmitRequest)
    news = arrival_event(message, 9_000_000)
    assert (news.width, news.work_hint, news.tenant, news.affinity_key) == told
    assert (news.request_id, news.service_class, news.deadline) == ("a1", "view", 9_000_000)


class Worker:
    """A stand-in that takes each job, tells its start and its end, and counts what it was sent."""

    def __init__(self, home: Any) -> None:
        self.home, self.runs = home, Counter[str]()
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
                await reader.readexactly(int(fields.get(b"Content-Length", b"0")))
                if head.startswith(b"POST"):
                    self.runs[fields[b"Req-Id"].decode()] += 1
                    task = asyncio.create_task(self.run(fields[b"Req-Id"].decode()))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def run(self, job: str) -> None:
        reader, writer = await asyncio.open_connection(*self.home)
        for told in ({"state": "started"}, {"state": "done", "result": job}):
            await asyncio.sleep(0.03)
            writer.write(call(id=job, **told, **{"from": "w0"}))
            await reader.readuntil(b"\r\n\r\n")
        writer.close()


def test_a_switch_there_and_back_under_load_loses_and_doubles_nothing(tmp_path: Path) -> None:
    """At-most-once work is out and new work comes all along; every submission is counted on both sides."""
    process, address, listening = begin(tmp_path)
    path = tmp_path / "start.json"
    here = json.loads(path.read_text())
    once = {"Name": "cash", "Semantics": "single_shot", "SoftLimit": 900.0, "TimeLimit": 9000.0}
    here["settings"]["ServiceGrades"].append(once)
    there = json.loads(json.dumps(here))
    there["settings"] |= {
        "WeightKind": "live",
        "Zone": "north",
        "FleetSize": 40,
        "Prices": {"Handshake": 0.05, "CrossZone": 0.02},
    }
    there["settings"]["ServiceGrades"][1] |= {"TimeLimit": 7000.0}
    answers: dict[str, list[bytes]] = {}
    log: list[bytes] = []

    async def client(name: str, grade: str) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit(f"/{grade}", Req_Id=name, Req_Deadline="6000m"))
        head = await reader.readuntil(b"\r\n\r\n")
        answers.setdefault(name, []).append(head.split(b" ")[1])
        writer.close()

    async def switch(to: dict[str, Any]) -> None:
        path.write_text(json.dumps(to))
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        while True:
            line = await asyncio.to_thread(process.stderr.readline)
            log.append(line)
            assert line, "the dispatcher has ended"
            if b"reload: " in line:
                return

    async def story() -> Worker:
        worker = Worker(address)
        server = await asyncio.start_server(worker.serve, sock=listening)
        await switch(here)  # the second grade
        async with asyncio.TaskGroup() as clients:
            for number in range(60):
                clients.create_task(client(f"s{number}", "cash" if number % 2 else "view"))
                await asyncio.sleep(0.025)
                if number in (15, 45):
                    await switch(there)
                if number == 30:
                    await switch({**there, "settings": {**there["settings"], "WeightKind": "lively"}})
                    await switch(here)
        server.close()
        return worker

    try:
        worker = asyncio.run(asyncio.wait_for(story(), 30))
    finally:
        process.kill()
        listening.close()
    done = [name for name, told in answers.items() if told == [b"200"]]
    denied = [name for name, told in answers.items() if told == [b"503"]]  # nobody had room
    assert sorted(done + denied) == sorted(f"s{number}" for number in range(60)) and len(done) > 45
    assert worker.runs == Counter(dict.fromkeys(done, 1)), "what was done ran once, what was denied never"
    told = [line for line in log if b"reload: " in line]
    assert len(told) == 5 and sum(b"settings taken" in line for line in told) == 4
    assert b"settings.WeightKind: expected one of" in told[2] and b"the old settings stay" in told[2]
    assert any(b" 0 requests open" not in line for line in told[1:])
