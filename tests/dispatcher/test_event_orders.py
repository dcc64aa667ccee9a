"""Any order of the events that may end something, played in virtual time (docs/design/endings.md)."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from rig import play

from locktide.dispatcher.cancellation_delivery import CancellationDelivery
from locktide.dispatcher.endpoint_list import EndpointListHandler
from locktide.dispatcher.registry import RequestRegistry
from locktide.scheduler.types import AttemptOutcome
from locktide.transport.client_session import ClientSession
from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.upstream_pool import UpstreamPool

KINDS = [
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
    st.tuples(st.sampled_from(KINDS), st.integers(0, 5), st.sampled_from([0.0, 0.001, 0.002, 0.02, 0.3])),
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

    The oracle goes by what the peers sent and got. Each request must have one response or a stated loss, no
    job two copies, no draining worker a new one, and nothing may be left open at the end.
    """
    rig = play([(first, 0, 0.0), (first, 0, 0.0), *events])
    assert rig.faults == []


def story(*words: str) -> list[tuple[str, int, float]]:
    """Each word an event, 20 ms after the one before; `word:2` for the third worker, job or client. "speak"
    changes nothing but the time.
    """
    pairs = [word.partition(":") for word in words for word in word.split()]
    return [(kind, int(number or 0), 0.02) for kind, _, number in pairs]


def ignore(*_: Any, **__: Any) -> None:
    pass


async def told_at_once(*_: Any) -> bool:
    return True


def none_to_the_first(self: Any, submission: str, answer: Any) -> None:
    if submission != "r0":
        ANSWER(self, submission, answer)


async def never_ran(self: Any, *given: Any, **named: Any) -> Any:
    found = await ASK(self, *given, **named)
    return (
        AttemptOutcome.NO_CONNECTION
        if found in (AttemptOutcome.RESET, AttemptOutcome.CONNECTION_CLOSED)
        else found
    )


def first_list_only(self: Any, update: Any) -> None:
    if update.is_snapshot:
        TAKE_LIST(self, update)


ANSWER, ASK, TAKE_LIST = RequestRegistry.respond, UpstreamPool.send, EndpointListHandler.apply
WHILE = "speak " * 20
SEEDED = [
    ("gone", ClientSession, "abandon", ignore, story("view close", WHILE, "break")),
    (
        "drain",
        EndpointListHandler,
        "apply",
        first_list_only,
        story("leaving:0 leaving:1", WHILE, "view " * 4),
    ),
    ("copies", CancellationDelivery, "deliver", told_at_once, story("view take", WHILE)),
    ("twice", UpstreamPool, "send", never_ran, story("cash break")),
    ("lost", RequestRegistry, "respond", none_to_the_first, story("view take done")),
    ("descriptors", DescriptorBudget, "release", ignore, story("view take done")),
]


@pytest.mark.parametrize("kind, where, name, faulty, events", SEEDED, ids=[seeded[0] for seeded in SEEDED])
def test_oracle_finds_a_seeded_fault(
    kind: str, where: Any, name: str, faulty: Any, events: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """This proves the oracle: without the fault it finds nothing, with each one what that must lead to."""
    assert play(events).faults == []
    monkeypatch.setattr(where, name, faulty)
    found = play(events).faults
    assert any(fault.split()[1].startswith(kind) for fault in found), found
