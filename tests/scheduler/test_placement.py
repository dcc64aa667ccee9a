"""Placement constraints of service classes, and closing of idle connections to draining workers."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from helpers import SERVICE_CLASSES, CheckedScheduler, endpoint_entry, scheduler_config, submit_request

from locktide.bench_adapter.encoding import encode_commands
from locktide.config import settings, start
from locktide.config.address import Address
from locktide.config.errors import ConfigError
from locktide.config.installation.loading import parse_installation
from locktide.config.installation.start import settings_document
from locktide.config.json_reader import JsonObject
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.protocol import messages as clients
from locktide.scheduler.commands import CloseIdleConnections
from locktide.scheduler.config import SchedulerConfig, ServiceClass
from locktide.scheduler.events import ConfigReloaded
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.transport.log import Log

VIEW = SERVICE_CLASSES[0]


def confined_config(view: ServiceClass = VIEW, close_idle_within: int = 0) -> SchedulerConfig:
    """Return a configuration with this service class in place of "view"."""
    config = scheduler_config(3, 1, False, 0.4)
    return replace(
        config,
        service_classes=[view, *config.service_classes[1:]],
        endpoint_list=replace(config.endpoint_list, close_idle_within=close_idle_within),
    )


def start_with(config: SchedulerConfig, worker: Address) -> start.Start:
    """Return the start parameters of a dispatcher with one worker."""
    return start.Start(
        name="n0",
        listen=worker,
        discovery=worker,
        seed=7,
        descriptors=100,
        memory=80 << 20,
        cached_endpoints={},
        connect_within=250_000,
        idle_close=30_000_000,
        scheduler_config=config,
    )


@pytest.mark.parametrize(
    "view",
    [
        replace(VIEW, allowed_zones=frozenset(["zone-1"])),
        replace(VIEW, allowed_worker_types=frozenset(["other"])),
        replace(VIEW, allowed_zones=frozenset(["zone-1"]), allowed_worker_types=frozenset(["other"])),
    ],
    ids=["zone", "worker type", "both"],
)
def test_a_confined_request_waits_while_no_worker_that_it_may_have_is_ready(view: ServiceClass) -> None:
    """A request of a confined class was sent to a zone that the class excludes, 0.03 s after the start.

    The settings that confine a class were not read, and the draw was made among all ready workers. While no
    worker that satisfies the constraint is ready, the request must wait, although other requests are sent.
    Once such a worker is ready, the request must be sent there.
    """
    checked = CheckedScheduler()
    checked.step(ConfigReloaded(confined_config(view)))
    excluded = endpoint_entry("w0", cell=0)
    allowed = endpoint_entry("w1", state=EndpointState.GONE, cell=1, worker_type="other")
    checked.update_endpoints(excluded, allowed)
    checked.arrive(1, "view")
    checked.arrive(2, "record")
    assert [request for request, attempts in checked.attempts.items() if attempts] == [2]
    checked.update_endpoints(excluded, replace(allowed, state=EndpointState.READY))
    checked.pass_time(40_000)
    attempts = checked.scheduler.requests.open[1].attempts
    assert attempts[0].endpoint.id == "w1" and len(attempts) == 1


def test_idle_connections_are_closed_when_a_drain_is_notified_and_after_each_end_there() -> None:
    """A worker was draining, and our idle connections to it stayed open longer than the settings allow.

    Connections that are idle when the drain is notified must be closed, and so must connections that become
    idle when an attempt there ends.
    """
    checked = CheckedScheduler()
    checked.step(ConfigReloaded(confined_config(close_idle_within=100_000)))
    checked.update_endpoints(endpoint_entry("w0"))
    checked.arrive(1, "view")
    commands = checked.update_endpoints(
        endpoint_entry("w0", state=EndpointState.DRAINING), kind=ListUpdateKind.DELTA
    )
    assert CloseIdleConnections("w0") in commands
    assert CloseIdleConnections("w0") in checked.end_attempt(1, 0, AttemptOutcome.DONE)
    assert encode_commands([CloseIdleConnections("w0")]) == ["CLOSE Worker=w0"]


def test_no_connection_is_closed_where_the_settings_state_no_time() -> None:
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"))
    checked.arrive(1, "view")
    commands = checked.update_endpoints(
        endpoint_entry("w0", state=EndpointState.DRAINING), kind=ListUpdateKind.DELTA
    )
    assert CloseIdleConnections("w0") not in commands
    assert CloseIdleConnections("w0") not in checked.end_attempt(1, 0, AttemptOutcome.DONE)


@pytest.mark.parametrize("ends_late", [False, True])
def test_a_connection_to_a_draining_worker_is_closed_in_time(ends_late: bool) -> None:
    """A worker is listed as draining while a connection to it is idle or has an attempt in progress.

    A draining worker waits until its connections are closed before it stops. An idle connection must be
    closed when the drain is notified, a connection with an attempt right after the outcome of the attempt,
    and not before.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        closed, received, may_respond = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readline():
                if head == b"\r\n":
                    received.set()
                    await may_respond.wait()
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            closed.set()
            writer.close()

        listening = await asyncio.start_server(worker, "127.0.0.1", 0)
        address = listening.sockets[0].getsockname()
        known = discovery.DiscoveryUpdate(1, True, [endpoint_entry("w0")], {"w0": address})
        started = start_with(confined_config(close_idle_within=100_000), address)
        dispatcher = Dispatcher(started, known, Log("n0"))
        dispatcher.submit(submit_request("a"))
        await asyncio.wait_for(received.wait(), 2.0)
        if not ends_late:
            may_respond.set()
            await asyncio.sleep(0.05)
        dispatcher.endpoint_list.apply(
            discovery.DiscoveryUpdate(
                2, False, [endpoint_entry("w0", EndpointState.DRAINING)], {"w0": address}
            )
        )
        notified_at = loop.time()
        if ends_late:
            await asyncio.sleep(0.05)
            assert not closed.is_set(), "the connection has an attempt in progress"
            may_respond.set()
            await asyncio.sleep(0.05)
            dispatcher.handle_callback(clients.Callback("a", "w0", "done", 0.0, AttemptOutcome.DONE, b""))
        await asyncio.wait_for(closed.wait(), 1.0)
        assert loop.time() - notified_at < 0.2
        listening.close()

    asyncio.run(run())


def test_a_constraint_is_read_from_json_and_toml_alike() -> None:
    service_class = {
        "Name": "view",
        "Semantics": "free",
        "SoftLimit": 250.0,
        "TimeLimit": 9000.0,
        "ConfinedTo": ["a"],
        "KindsAllowed": ["big", "small"],
    }
    document = {"ServiceGrades": [service_class], "Rules": {"HangUpWithin": 250.0}}
    from_json = settings.scheduler_config(JsonObject(document))
    assert from_json.service_classes[0].placement == (frozenset(["big", "small"]), frozenset(["a"]))
    assert from_json.endpoint_list.close_idle_within == 250_000
    text = '[workers]\nhang_up = 0.25\n[[grade]]\nname = "view"\nmodels = ["big", "small"]\nzones = ["a"]\n'
    from_toml = start.start_from_document(
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
    assert from_toml.scheduler_config.service_classes[0].placement == from_json.service_classes[0].placement
    assert from_toml.scheduler_config.endpoint_list.close_idle_within == 250_000
    plain = settings.scheduler_config(JsonObject({"ServiceGrades": [{**service_class, "ConfinedTo": ["a"]}]}))
    del service_class["ConfinedTo"], service_class["KindsAllowed"]
    assert (
        settings.scheduler_config(JsonObject({"ServiceGrades": [service_class]})).service_classes[0].placement
        is None
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
def test_a_faulty_constraint_is_named_with_its_key(change: dict[str, Any], key: str) -> None:
    service_class = {"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 9000.0}
    with pytest.raises(ConfigError) as found:
        settings.scheduler_config(
            JsonObject(json.loads(json.dumps({"ServiceGrades": [service_class | change]})))
        )
    assert key in str(found.value)
