"""Endpoint lists as discovery sends them, well-formed and malformed."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from endpoint_lists import list_body, list_entry
from helpers import DispatcherHarness

from locktide.config.errors import ConfigError
from locktide.protocol import discovery
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import EndpointState

ENTRY = {
    "uid": "s-1",
    "endpoint": "127.0.0.1:7070",
    "az": "a",
    "model": "m",
    "pod_group": 3,
    "state": "active",
    "capacity_hint": 1.5,
    "boot_ms": 1796122933760,
}


def test_list_is_read_with_start_times_in_microseconds_of_unix_time() -> None:
    update = discovery.parse(json.dumps({"rev": 4, "all": False, "targets": [ENTRY]}).encode())
    assert update.entries == [EndpointEntry("s-1", "a", "m", 3, EndpointState.READY, 1.5, 1796122933760000)]
    assert (update.version, update.is_snapshot, update.addresses) == (4, False, {"s-1": ("127.0.0.1", 7070)})
    assert discovery.list_request(4, 1000).target == "/registry/instances?after=4&wait_ms=1000"


@pytest.mark.parametrize(
    ("faulty", "message"),
    [
        ([list_entry("w0", state="warming")], "list.targets[0].state: expected one of"),
        ([list_entry("w0", endpoint="nowhere")], "list.targets[0].endpoint: expected HOST:PORT"),
        ([list_entry("w0", boot_ms=10**400)], "list.targets[0].boot_ms: expected a number"),
        ([list_entry("w0"), list_entry("w0", state="leaving")], "list.targets[1].uid: 'w0' is listed twice"),
        ([list_entry("w0"), list_entry("w0"), list_entry("w0")], "list.targets[1].uid: 'w0' is listed twice"),
        (["w0", list_entry("w0", state="leaving")], "list.targets[0]: expected an object"),
    ],
)
def test_unreadable_entry_costs_its_worker_alone(faulty: list[Any], message: str) -> None:
    """A later version of discovery lists one worker with a state that this dispatcher does not know.

    If the whole list were rejected for it, the dispatcher would continue with its old list and send jobs to
    workers that are draining, until somebody noticed. All other entries must be used; the worker with the
    unreadable entry gets no jobs until its entry is readable.
    """

    async def run() -> None:
        harness = DispatcherHarness()
        others = [list_entry("w1"), list_entry("w3"), list_entry("w4"), list_entry("w2", state="leaving")]
        update = discovery.parse(list_body(*faulty, *others))
        assert update.faults[0].startswith(message)
        listed = [entry.worker for entry in update.entries]
        assert listed[-4:] == ["w1", "w3", "w4", "w2"] and listed == list(update.addresses)
        assert not set(listed) & set(update.unreadable)
        harness.dispatcher.endpoint_list.apply(update)
        accepting = [
            number for number in range(5) if harness.dispatcher.endpoints.accepts_requests(f"w{number}")
        ]
        assert accepting == [1, 3, 4]
        harness.dispatcher.endpoint_list.apply(discovery.parse(list_body(list_entry("w0"), version=4)))
        assert harness.dispatcher.endpoints.accepts_requests("w0")  # once its entry is readable

    asyncio.run(run())


def test_strict_list_with_a_malformed_entry_is_refused_with_the_key_named() -> None:
    """An operator's start file has a cached endpoint list with a typing error in one entry.

    At the start an operator can correct it: the file must be rejected, and the error must name the key.
    """
    with pytest.raises(ConfigError, match=r"known\.targets\[0\]\.state: expected one of"):
        discovery.read({"rev": 1, "all": True, "targets": [{**ENTRY, "state": "odd"}]}, "known")


def test_mostly_unreadable_list_is_refused_and_an_unknown_worker_is_not_added() -> None:
    """Discovery sends a list of which most entries cannot be read, because the format has changed.

    Leaving out most workers would stop the traffic, so such a list is rejected as a whole and the one in use
    stays. Where few entries are unreadable, the entry of a worker that was never listed must not add it.
    """
    with pytest.raises(ConfigError, match="expected one of"):
        discovery.parse(
            list_body(list_entry("w0", state="odd"), list_entry("w1", state="odd"), list_entry("w2"))
        )
    update = discovery.parse(list_body(list_entry("new", state="odd"), list_entry("w1")))
    assert [entry.worker for entry in update.entries] == ["w1"] and update.unreadable == ["new"]

    async def run() -> None:
        harness = DispatcherHarness()
        harness.dispatcher.endpoint_list.apply(update)
        assert "new" not in harness.dispatcher.endpoints.entries

    asyncio.run(run())
