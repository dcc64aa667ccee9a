"""Random orders of the events that may end a request or a connection (docs/design/endings.md)."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rig import run_events

from locktide.dispatcher.cancellation_delivery import CancellationDelivery
from locktide.dispatcher.endpoint_list import EndpointListHandler
from locktide.dispatcher.registry import RequestRegistry
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_session import ClientSession
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.upstream_pool import UpstreamPool

EVENT_KINDS = [
    "view",
    "cash",
    "record",
    "close",
    "reset",
    "shut",
    "take",
    "refuse",
    "break",
    "half",
    "started",
    "done",
    "failed",
    "returned",
    "lost",
    "leaving",
    "active",
    "left",
    "mute",
    "speak",
    "hup",
    "term",
]
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(EVENT_KINDS), st.integers(0, 5), st.sampled_from([0.0, 0.001, 0.002, 0.02, 0.3])
    ),
    max_size=30,
)


@settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.sampled_from(["view", "cash", "record"]), EVENTS)
def test_any_order_of_events_leaves_nothing_owed(first: str, events: list[tuple[str, int, float]]) -> None:
    """Clients, workers, discovery and signals may act in any order, also at the same moment.

    The oracle compares what the peers sent and received, in virtual time. Each request must have one response
    or a stated loss, no job may have a second copy, no draining worker may get a new job, and no
    connection, request or task may be left open at the end.
    """
    rig = run_events([(first, 0, 0.0), (first, 0, 0.0), *events])
    assert rig.violations == []


def events_of(*words: str) -> list[tuple[str, int, float]]:
    """Return one event for each word, 20 ms after the one before; `word:2` is for the third worker, job or
    client. "speak" only lets time pass.
    """
    pairs = [word.partition(":") for word in words for word in word.split()]
    return [(kind, int(number or 0), 0.02) for kind, _, number in pairs]


def ignore(*_: Any, **__: Any) -> None:
    pass


async def report_delivered(*_: Any) -> bool:
    return True


def respond_except_to_first(self: Any, request_id: str, response: Any) -> None:
    if request_id != "r0":
        ORIGINAL_RESPOND(self, request_id, response)


async def report_no_connection(self: Any, *arguments: Any, **keywords: Any) -> Any:
    result = await ORIGINAL_SEND(self, *arguments, **keywords)
    return (
        AttemptOutcome.NO_CONNECTION
        if result in (AttemptOutcome.RESET, AttemptOutcome.CONNECTION_CLOSED)
        else result
    )


def first_list_only(self: Any, update: Any) -> None:
    if update.is_snapshot:
        ORIGINAL_APPLY(self, update)


ORIGINAL_RESPOND, ORIGINAL_SEND, ORIGINAL_APPLY = (
    RequestRegistry.respond,
    UpstreamPool.send,
    EndpointListHandler.apply,
)
TIME_PASSES = "speak " * 20
SEEDED_FAULTS = [
    ("gone", ClientSession, "abandon", ignore, events_of("view close", TIME_PASSES, "break")),
    (
        "drain",
        EndpointListHandler,
        "apply",
        first_list_only,
        events_of("leaving:0 leaving:1", TIME_PASSES, "view " * 4),
    ),
    ("copies", CancellationDelivery, "deliver", report_delivered, events_of("view take", TIME_PASSES)),
    ("twice", UpstreamPool, "send", report_no_connection, events_of("cash break")),
    ("lost", RequestRegistry, "respond", respond_except_to_first, events_of("view take done")),
    ("descriptors", DescriptorBudget, "release", ignore, events_of("view take done")),
]


@pytest.mark.parametrize(
    "kind, where, name, faulty, events", SEEDED_FAULTS, ids=[seeded[0] for seeded in SEEDED_FAULTS]
)
def test_oracle_finds_a_seeded_fault(
    kind: str, where: Any, name: str, faulty: Any, events: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check that the oracle can fail: it finds nothing without a fault, and with each fault its violation."""
    assert run_events(events).violations == []
    monkeypatch.setattr(where, name, faulty)
    found = run_events(events).violations
    assert any(fault.split()[1].startswith(kind) for fault in found), found
