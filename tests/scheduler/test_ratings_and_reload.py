"""Reloads of the configuration while requests are open, to other settings and back."""

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
from helpers import (
    ROUND_INTERVAL,
    SERVICE_CLASSES,
    CheckedScheduler,
    callback_bytes,
    endpoint_entry,
    scheduler_config,
    start_dispatcher_process,
    submit_bytes,
)

from locktide.dispatcher.requests import arrival_event
from locktide.protocol.messages import SubmitRequest
from locktide.protocol.server_connection import ServerHttpConnection
from locktide.scheduler.commands import CancelAttempt, FailRequest, WatchEndpoints, WriteLog
from locktide.scheduler.config import CostConfig
from locktide.scheduler.events import ConfigReloaded, EndpointEntry
from locktide.scheduler.types import AttemptOutcome, ListUpdateKind, QuotaCoverage


def rated(ratings: dict[str, float], **started: int) -> list[EndpointEntry]:
    return [
        endpoint_entry(name, rating=rating, started_at=started.get(name, 0))
        for name, rating in ratings.items()
    ]


# --- reloads --------------------------------------------------------------------------------------------

LIVE_CONFIG = scheduler_config(
    3, 7, True, 0.3, has_live_ratings=True, costs=CostConfig(0.05, 0.02, "zone-0", 5_000_000)
)
INITIAL_CONFIG = scheduler_config(3, 3, False, 0.4)


@pytest.mark.parametrize("seed", range(12))
def test_random_events_with_reloads_keep_the_rules(seed: int) -> None:
    generator = random.Random(seed)
    checked = CheckedScheduler(seed)
    names = [f"w{n}" for n in range(6)]
    checked.update_endpoints(*[endpoint_entry(name, cell=n % 2) for n, name in enumerate(names)])
    for request_id in range(200):
        if request_id % 25 == 24:
            checked.step(ConfigReloaded(LIVE_CONFIG if request_id % 50 == 24 else INITIAL_CONFIG))
        checked.arrive(request_id, generator.choice(SERVICE_CLASSES).name, generator.choice([1.0, 2.0, 4.0]))
        checked.pass_time(ROUND_INTERVAL * generator.randint(0, 10))
        for open_request_id, attempt in checked.running_attempts():
            if generator.random() < 0.2:
                outcomes = [
                    AttemptOutcome.DONE,
                    AttemptOutcome.DONE,
                    AttemptOutcome.FULL,
                    AttemptOutcome.ERROR,
                    AttemptOutcome.RESET,
                ]
                checked.end_attempt(open_request_id, attempt, generator.choice(outcomes))
        for command in [command for command in checked.commands if type(command) is CancelAttempt]:
            if (
                command.request_id,
                command.attempt,
            ) in checked.running_attempts() and generator.random() < 0.7:
                checked.end_attempt(command.request_id, command.attempt, AttemptOutcome.CANCELLED)
        if generator.random() < 0.2:
            index = generator.randrange(6)
            rating = generator.random() * 9
            checked.update_endpoints(
                endpoint_entry(names[index], cell=index % 2, rating=rating), kind=ListUpdateKind.DELTA
            )
    checked.pass_time(7_000_000)
    assert set(checked.finished) == set(checked.arrivals)


def test_a_reload_back_leaves_no_state_of_the_other_configuration() -> None:
    """A fleet was switched to live ratings and back.

    The loads learned in the meantime remained, so draws were weighted by ratings that were no longer renewed,
    and the list was polled although updates are pushed. After the switch back no load may remain, and the
    list must not be polled.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(*rated({"w0": 8.0, "w1": 8.0}))
    checked.step(ConfigReloaded(LIVE_CONFIG))
    checked.update_endpoints(*rated({"w0": 2.0, "w1": 8.0}), kind=ListUpdateKind.DELTA)
    assert (
        checked.scheduler.endpoints.by_id["w0"].load == 3.0 and checked.scheduler.estimates.mean_load == 1.5
    )
    commands = checked.step(ConfigReloaded(INITIAL_CONFIG))
    assert checked.scheduler.endpoints.by_id["w0"].load == checked.scheduler.estimates.mean_load == 0.0
    assert not [command for command in commands if type(command) is WatchEndpoints]


def test_an_open_request_keeps_a_service_class_that_a_reload_removed() -> None:
    """A reload removed a service class with open requests.

    Without their class these requests could neither be placed nor answered. They must be processed with the
    class with which they arrived.
    """
    checked = CheckedScheduler()
    checked.arrive(1, "cash")
    classes = [service_class for service_class in SERVICE_CLASSES if service_class.name != "cash"]
    checked.step(ConfigReloaded(replace(INITIAL_CONFIG, service_classes=classes)))
    checked.update_endpoints(endpoint_entry("w0"))
    assert checked.attempts[1]
    assert [
        type(command)
        for command in checked.end_attempt(1, 0, AttemptOutcome.ERROR)
        if type(command) is not WriteLog
    ] == [FailRequest]


@pytest.mark.parametrize(
    "extras, target, expected",
    [
        ("slots=2,hint=120.5,tenant=dairy", "/view?x=1&obj=7f3a", (2.0, 120_500, "dairy", crc32(b"7f3a"))),
        ("", "/view", (1.0, 0, None, None)),
        ("hint=soon", "/view?obj=", (1.0, 0, None, None)),
        ("hint=-5,tenant=", "/view?obj=a&obj=b", (1.0, 0, "", crc32(b"a"))),
        ("hint=1e9", "/view?obj=%ff%zz", (1.0, 0, None, crc32("\ufffd%zz".encode()))),
    ],
)
def test_the_extras_of_a_request_reach_its_arrival_event(
    extras: str, target: str, expected: tuple[Any, ...]
) -> None:
    connection = ServerHttpConnection({"view": 3_000_000}, ())
    connection.feed(submit_bytes(target, Req_Extra=extras, Req_Kind="view"))
    message = connection.next_message()
    assert isinstance(message, SubmitRequest)
    event = arrival_event(message, 9_000_000)
    assert (event.width, event.work_hint, event.tenant, event.affinity_key) == expected
    assert (event.request_id, event.service_class, event.deadline) == ("a1", "view", 9_000_000)


class Worker:
    """Worker stand-in that accepts each job, reports its start and end, and counts how often it was sent."""

    def __init__(self, dispatcher_address: Any) -> None:
        self.dispatcher_address, self.run_counts = dispatcher_address, Counter[str]()
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line)
                await reader.readexactly(int(fields.get(b"Content-Length", b"0")))
                if head.startswith(b"POST"):
                    self.run_counts[fields[b"Req-Id"].decode()] += 1
                    task = asyncio.create_task(self.run(fields[b"Req-Id"].decode()))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    async def run(self, job: str) -> None:
        reader, writer = await asyncio.open_connection(*self.dispatcher_address)
        for fields in ({"state": "started"}, {"state": "done", "result": job}):
            await asyncio.sleep(0.03)
            writer.write(callback_bytes(id=job, **fields, **{"from": "w0"}))
            await reader.readuntil(b"\r\n\r\n")
        writer.close()


def test_reloads_under_load_neither_lose_nor_repeat_a_request(tmp_path: Path) -> None:
    """A process is reloaded with other settings and back, and once with a faulty file, while requests arrive.

    Some of the requests are at most once. A reload that loses a request or sends it again shows in the counts
    of clients or worker. Every request must get one response; a successful request must have run once, a
    rejected one never. The faulty file must not change the settings.
    """
    process, address, listening = start_dispatcher_process(tmp_path)
    path = tmp_path / "start.json"
    initial = json.loads(path.read_text())
    at_most_once_class = {"Name": "cash", "Semantics": "single_shot", "SoftLimit": 900.0, "TimeLimit": 9000.0}
    initial["settings"]["ServiceGrades"].append(at_most_once_class)
    changed = json.loads(json.dumps(initial))
    changed["settings"] |= {
        "WeightKind": "live",
        "Zone": "north",
        "FleetSize": 40,
        "Prices": {"Handshake": 0.05, "CrossZone": 0.02},
    }
    changed["settings"]["ServiceGrades"][1] |= {"TimeLimit": 7000.0}
    responses: dict[str, list[bytes]] = {}
    log: list[bytes] = []

    async def client(name: str, service_class: str) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(submit_bytes(f"/{service_class}", Req_Id=name, Req_Deadline="6000m"))
        head = await reader.readuntil(b"\r\n\r\n")
        responses.setdefault(name, []).append(head.split(b" ")[1])
        writer.close()

    async def switch(document: dict[str, Any]) -> None:
        path.write_text(json.dumps(document))
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        while True:
            line = await asyncio.to_thread(process.stderr.readline)
            log.append(line)
            assert line, "the dispatcher has ended"
            if b"reload: " in line:
                return

    async def run() -> Worker:
        worker = Worker(address)
        server = await asyncio.start_server(worker.serve, sock=listening)
        await switch(initial)  # with the second service class
        async with asyncio.TaskGroup() as clients:
            for number in range(60):
                clients.create_task(client(f"s{number}", "cash" if number % 2 else "view"))
                await asyncio.sleep(0.025)
                if number in (15, 45):
                    await switch(changed)
                if number == 30:
                    await switch({**changed, "settings": {**changed["settings"], "WeightKind": "lively"}})
                    await switch(initial)
        server.close()
        return worker

    try:
        worker = asyncio.run(asyncio.wait_for(run(), 30))
    finally:
        process.kill()
        listening.close()
    done = [name for name, reported in responses.items() if reported == [b"200"]]
    # A request is rejected if no worker has capacity.
    rejected = [name for name, reported in responses.items() if reported == [b"503"]]
    assert sorted(done + rejected) == sorted(f"s{number}" for number in range(60)) and len(done) > 45
    assert worker.run_counts == Counter(dict.fromkeys(done, 1)), "done requests ran once, rejected ones never"
    reported = [line for line in log if b"reload: " in line]
    assert len(reported) == 5 and sum(b"settings taken" in line for line in reported) == 4
    assert b"settings.WeightKind: expected one of" in reported[2] and b"the old settings stay" in reported[2]
    assert any(b" 0 requests open" not in line for line in reported[1:])


def test_a_reload_gives_no_tenant_its_burst_anew() -> None:
    """An operator reloaded the settings a few times within a minute while a tenant far exceeded its quota.

    Each reload filled the buckets of all tenants, so each time requests worth five seconds of the rate were
    admitted as within the quota. Used tokens must stay used, whatever the reload changes.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))  # from here on the clock does not advance
    quotas = checked.scheduler.admission.quotas
    within = [quotas.cover("dairy") for _ in range(40)].count(QuotaCoverage.OWN)
    assert within == 26, "five seconds with five requests per second, and one more"
    for config in (INITIAL_CONFIG, LIVE_CONFIG, scheduler_config(3, 1, False, 0.4)):
        checked.step(ConfigReloaded(config))
        assert quotas.cover("dairy") is QuotaCoverage.BEYOND
    assert quotas.cover(None) is QuotaCoverage.OWN


def test_a_quota_that_a_reload_takes_away_and_brings_back_is_not_full_anew() -> None:
    """A configuration without the tenant's quota and the one before it came in turns.

    With each return the tenant had five seconds of its rate at once. Its bucket must go on as if the quota
    had always been there, and must not be kept for longer than that makes a difference.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    quotas = checked.scheduler.admission.quotas
    with_quota = checked.scheduler.config.current
    without = replace(with_quota, quotas=replace(with_quota.quotas, quotas={}))
    for _ in range(40):
        quotas.cover("dairy")
    checked.step(ConfigReloaded(without))
    assert quotas.cover("dairy") is QuotaCoverage.OWN, "there is no quota now"
    checked.step(ConfigReloaded(with_quota))
    assert quotas.cover("dairy") is QuotaCoverage.BEYOND
    checked.step(ConfigReloaded(without))
    checked.now += 6_000_000
    checked.step(ConfigReloaded(without))
    assert quotas.buckets == {}
