"""The move: settings that are taken anew in service, there and back."""

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
from helpers import GRADES, STEP, Checked, begin, call, listed, submit, terms

from locktide.dispatcher.requests import arrival_event
from locktide.protocol.messages import SubmitRequest
from locktide.protocol.server_connection import ServerHttpConnection
from locktide.scheduler.commands import CancelAttempt, FailRequest, WatchEndpoints, WriteLog
from locktide.scheduler.config import CostConfig
from locktide.scheduler.events import ConfigReloaded, EndpointEntry
from locktide.scheduler.types import AttemptOutcome, ListUpdateKind, QuotaCoverage


def rated(ratings: dict[str, float], **started: int) -> list[EndpointEntry]:
    return [listed(name, rating=rating, started_at=started.get(name, 0)) for name, rating in ratings.items()]


# --- settings taken anew --------------------------------------------------------------------------------

THERE = terms(3, 7, True, 0.3, live=True, prices=CostConfig(0.05, 0.02, "zone-0", 5_000_000))
HERE = terms(3, 3, False, 0.4)


@pytest.mark.parametrize("seed", range(12))
def test_random_days_with_reloads_keep_the_rules(seed: int) -> None:
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


def test_a_reload_back_leaves_nothing_of_the_other_configuration() -> None:
    """A fleet was switched to live ratings and back.

    Loads that were learned meanwhile stayed, so that draws went by ratings that nobody renewed, and the
    list was polled although updates are pushed. After the way back no load may be left, and nothing may be
    polled.
    """
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


def test_an_open_request_keeps_a_service_class_that_a_reload_removed() -> None:
    """A reload removed a service class of which requests were open.

    They had no class any more by which to be placed or answered. They must be sent and answered by the
    class that they came with.
    """
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
def test_the_extras_of_a_request_reach_its_arrival_event(
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


def test_reloads_there_and_back_under_load_lose_and_repeat_no_request(tmp_path: Path) -> None:
    """A process is reloaded with other settings and back while requests keep coming, at-most-once ones among
    them, and once with a faulty file. A reload that loses a request or sends one again would show in the
    counts of either side. Every request must get one response, what was done ran once, what was rejected
    never, and the faulty file must leave the settings as they are.
    """
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


def test_a_reload_gives_no_tenant_its_burst_anew() -> None:
    """An operator reloaded the settings a few times in a minute, as a tenant sent far beyond its quota.

    Each reload filled every tenant's bucket: five seconds of its rate were admitted as within the quota each
    time. What is spent must stay spent, whatever of the settings has changed.
    """
    service = Checked(fleet=1)
    service.list(listed("w"))  # from here on the clock stands
    quotas = service.dispatcher.admission.quotas
    within = [quotas.cover("dairy") for _ in range(40)].count(QuotaCoverage.OWN)
    assert within == 26, "five seconds of five requests each, and one"
    for config in (HERE, THERE, terms(3, 1, False, 0.4)):
        service.turn(ConfigReloaded(config))
        assert quotas.cover("dairy") is QuotaCoverage.BEYOND
    assert quotas.cover(None) is QuotaCoverage.OWN
