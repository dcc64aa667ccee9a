"""Grades that are bound to some workers, and connections that are closed on drains."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from helpers import GRADES, Checked, listed, submission, terms

from locktide.bench_adapter.encoding import encode_commands
from locktide.config import settings, start
from locktide.config.errors import ConfigError
from locktide.config.installation.loading import parse_installation
from locktide.config.installation.start import settings_document
from locktide.config.json_reader import JsonObject
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.protocol import messages as clients
from locktide.scheduler.commands import CloseIdleConnections
from locktide.scheduler.config import SchedulerConfig
from locktide.scheduler.events import ConfigReloaded
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.transport.log import Log


def bound(hang_up: int = 0, **where: Any) -> SchedulerConfig:
    told = terms(3, 1, False, 0.4)
    return replace(
        told,
        service_classes=[replace(GRADES[0], **where), *told.service_classes[1:]],
        endpoint_list=replace(told.endpoint_list, close_idle_within=hang_up),
    )


@pytest.mark.parametrize(
    "where",
    [
        {"allowed_zones": frozenset(["zone-1"])},
        {"allowed_worker_types": frozenset(["other"])},
        {"allowed_zones": frozenset(["zone-1"]), "allowed_worker_types": frozenset(["other"])},
    ],
)
def test_a_bound_grade_is_held_while_its_workers_are_down_and_goes_nowhere_else(where: Any) -> None:
    # stlucia-rating, rough-1, 0.03 s: 'quote' went to a zone that is not open to it; kochi-tables likewise.
    made = Checked()
    made.turn(ConfigReloaded(bound(**where)))
    here = listed("w0", cell=0)
    there = listed("w1", state=EndpointState.GONE, cell=1, kind="other")
    made.list(here, there)
    made.arrive(1, "view")
    made.arrive(2, "record")
    assert [sub for sub, _ in made.out()] == [2]
    made.list(here, replace(there, state=EndpointState.READY))
    made.pass_time(40_000)
    worker = made.dispatcher.requests.open[1].attempts[0].endpoint
    assert worker.id == "w1" and len(made.dispatcher.requests.open[1].attempts) == 1


def test_resting_connections_are_closed_at_the_notice_and_after_each_end_there() -> None:
    made = Checked()
    made.turn(ConfigReloaded(bound(100_000)))
    made.list(listed("w0"))
    made.arrive(1, "view")
    drains = made.list(listed("w0", state=EndpointState.DRAINING), kind=ListUpdateKind.DELTA)
    assert CloseIdleConnections("w0") in drains
    assert CloseIdleConnections("w0") in made.end(1, 0, AttemptOutcome.DONE)
    assert encode_commands([CloseIdleConnections("w0")]) == ["CLOSE Worker=w0"]


def test_nothing_is_closed_where_no_time_is_stated() -> None:
    made = Checked()
    made.list(listed("w0"))
    made.arrive(1, "view")
    assert CloseIdleConnections("w0") not in made.list(
        listed("w0", state=EndpointState.DRAINING), kind=ListUpdateKind.DELTA
    )
    assert CloseIdleConnections("w0") not in made.end(1, 0, AttemptOutcome.DONE)


@pytest.mark.parametrize("late", [False, True])
def test_on_sockets_an_idle_connection_to_a_draining_worker_is_closed_in_time(late: bool) -> None:
    """At the notice, and where its answer comes only after that, with the last outcome there."""

    async def run() -> None:
        loop, closed, answer = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()
        asked = asyncio.Event()

        async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readline():
                if head == b"\r\n":
                    asked.set()
                    await answer.wait()
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            closed.set()
            writer.close()

        listening = await asyncio.start_server(worker, "127.0.0.1", 0)
        here = listening.sockets[0].getsockname()
        known = discovery.DiscoveryUpdate(1, True, [listed("w0")], {"w0": here})
        told = start.Start("n0", here, here, 7, 100, 80 << 20, {}, 250_000, 30_000_000, bound(100_000))
        node = Dispatcher(told, known, Log("n0"))
        node.submit(submission("a"))
        await asyncio.wait_for(asked.wait(), 2.0)
        if not late:
            answer.set()
            await asyncio.sleep(0.05)
        node.endpoint_list.apply(
            discovery.DiscoveryUpdate(2, False, [listed("w0", EndpointState.DRAINING)], {"w0": here})
        )
        begun = loop.time()
        if late:
            await asyncio.sleep(0.05)
            assert not closed.is_set(), "it is at work"
            answer.set()
            await asyncio.sleep(0.05)
            node.handle_callback(clients.Callback("a", "w0", "done", 0.0, AttemptOutcome.DONE, b""))
        await asyncio.wait_for(closed.wait(), 1.0)
        assert loop.time() - begun < 0.2
        listening.close()

    asyncio.run(run())


def test_a_bound_grade_waits_on_sockets_and_is_read_from_json_and_toml_alike() -> None:
    grade = {
        "Name": "view",
        "Semantics": "free",
        "SoftLimit": 250.0,
        "TimeLimit": 9000.0,
        "ConfinedTo": ["a"],
        "KindsAllowed": ["big", "small"],
    }
    told = settings.scheduler_config(JsonObject({"ServiceGrades": [grade], "Rules": {"HangUpWithin": 250.0}}))
    assert told.service_classes[0].placement == (frozenset(["big", "small"]), frozenset(["a"]))
    assert told.endpoint_list.close_idle_within == 250_000
    text = '[workers]\nhang_up = 0.25\n[[grade]]\nname = "view"\nmodels = ["big", "small"]\nzones = ["a"]\n'
    read = start.start_from_document(
        JsonObject(
            {
                "name": "n0",
                "listen": "127.0.0.1:7",
                "discovery": "127.0.0.1:9",
                "seed": "1",
                "limits": {"sockets": 64, "memory_mb": 80},
                "known": {"rev": 0, "all": True, "targets": []},
                "settings": settings_document(parse_installation(text)),
            }
        ),
        {},
    )
    assert (
        read.scheduler_config.service_classes[0].placement == told.service_classes[0].placement
        and read.scheduler_config.endpoint_list.close_idle_within == 250_000
    )
    plain = settings.scheduler_config(JsonObject({"ServiceGrades": [{**grade, "ConfinedTo": ["a"]}]}))
    del grade["ConfinedTo"], grade["KindsAllowed"]
    assert (
        settings.scheduler_config(JsonObject({"ServiceGrades": [grade]})).service_classes[0].placement is None
    )
    assert plain.service_classes[0].placement


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"KindsAllowed": "big"}, "KindsAllowed"),
        ({"ConfinedTo": [3]}, "ConfinedTo[0]"),
        ({"ConfinedTo": []}, "ConfinedTo"),
    ],
)
def test_a_faulty_bound_is_named(change: Any, key: str) -> None:
    grade = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 9000.0}
    with pytest.raises(ConfigError) as found:
        settings.scheduler_config(JsonObject(json.loads(json.dumps({"ServiceGrades": [grade | change]}))))
    assert key in str(found.value)
