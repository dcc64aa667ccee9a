"""Decoding of each message of the wire that is an event of the scheduler."""

from __future__ import annotations

import pytest

from locktide.bench_adapter import spellings
from locktide.bench_adapter.decoding import EVENT_DECODERS
from locktide.bench_adapter.line import parse_line
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    Event,
    ProbeCompleted,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind

EVENTS: dict[str, Event | None] = {
    "QUERY Corr=7 Cls=view GiveUpAt=8652.25": RequestArrived(7, "view", 8_652_250),
    "QUERY Corr=7 Cls=view GiveUpAt=1 ClientGroup=0 Repeat=0": RequestArrived(7, "view", 1_000),
    "QUERY Corr=7 Cls=view GiveUpAt=1 Width=2 Work=12.5 ClientGroup=dairy Repeat=1 NameKey=9": RequestArrived(
        request_id=7,
        service_class="view",
        deadline=1_000,
        width=2.0,
        work_hint=12_500,
        tenant="dairy",
        is_retry=True,
        affinity_key=9,
    ),
    "HEADERS Corr=7 Shot=1": ResponseStarted(7, 1),
    "NOTE Corr=7 Shot=1 What=1": AttemptStarted(7, 1),
    "NOTE Corr=7 Shot=1 What=2 Value=0.25": AttemptProgressed(7, 1, 0.25),
    "NOTE Corr=7 Shot=1 What=3": None,
    "ENDED Corr=7 Shot=1 Verdict=OK Last=1 Load=x0:1.5,x1:2": AttemptEnded(
        request_id=7, attempt=1, outcome=AttemptOutcome.DONE, is_final=True, load={"x0": 1.5, "x1": 2.0}
    ),
    "ENDED Corr=7 Shot=1 Verdict=ABORTED Last=0 Load=-": AttemptEnded(7, 1, AttemptOutcome.RESET, False),
    "TIMED_OUT_CLIENT Corr=7": ClientDisconnected(7),
    "DUE Cookie=77": TimerFired(77),
    "PROBE_RESULT Worker=w Verdict=UNAVAILABLE Load=x0:1": ProbeCompleted(
        "w", AttemptOutcome.NO_CONNECTION, {"x0": 1.0}
    ),
    "NEIGHBOUR_SAYS Worker=w": None,
}


@pytest.mark.parametrize("line", EVENTS)
def test_line_is_decoded_to_its_event(line: str) -> None:
    message, fields = parse_line(line)
    assert EVENT_DECODERS[message](fields) == EVENTS[line]


def test_each_decoder_has_a_line() -> None:
    assert {line.partition(" ")[0] for line in EVENTS} == set(EVENT_DECODERS)


def test_names_of_the_wire_have_their_documented_meaning() -> None:
    """Two values in a table are swapped: the table is still complete, and all types are still right.

    A worker that is full would count as one that failed, and only a worse score would show it.
    """
    assert spellings.OUTCOMES == {
        "OK": AttemptOutcome.DONE,
        "INTERNAL": AttemptOutcome.ERROR,
        "RESOURCE_EXHAUSTED": AttemptOutcome.FULL,
        "DEADLINE_EXCEEDED": AttemptOutcome.TIMED_OUT,
        "UNAVAILABLE": AttemptOutcome.NO_CONNECTION,
        "ABORTED": AttemptOutcome.RESET,
        "CANCELLED": AttemptOutcome.CANCELLED,
        "TOO_LATE": AttemptOutcome.NEVER_SENT,
    }
    assert spellings.ENDPOINT_STATES == {
        "in_service": EndpointState.READY,
        "terminating": EndpointState.DRAINING,
        "terminated": EndpointState.GONE,
    }
    assert spellings.LIST_UPDATE_KINDS == {
        "INCREMENTAL": ListUpdateKind.DELTA,
        "FULL": ListUpdateKind.SNAPSHOT,
        "SAVED": ListUpdateKind.CACHED,
        "FAILED": ListUpdateKind.FETCH_FAILED,
    }
