"""The simulator's wire: valid lines, malformed lines, and the exit codes of the adapter."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from locktide.bench_adapter import adapter as bench
from locktide.bench_adapter import line as wire_line
from locktide.bench_adapter.encoding import encode_commands
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    Command,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from locktide.scheduler.events import EndpointEntry, EndpointListUpdate
from locktide.scheduler.log_events import WorkerSuspected
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import EndpointState, ListUpdateKind, SuspicionReason

SETTINGS = json.dumps(
    {
        "FleetSize": 2,
        "Step": 4.0,
        "New": [1],
        "ServiceGrades": [{"Name": "view", "Semantics": "free", "SoftLimit": 250.0, "TimeLimit": 6000.0}],
    }
)
START = f"SYNC AtTime=10.5\nTO DispatcherId=3\nSPAWN RngSeed=9 Config={SETTINGS}\n"
LIST = "DIRECTORY Sheet=0 Items=1\nITEM Worker={} Readiness=in_service\nUPDATE Sheet=0 Stamp=1 Mode=SAVED\n"


def replies(text: str) -> str:
    adapter, out = bench.BenchAdapter(), b""
    lines = adapter.read_lines(io.BytesIO(text.encode()))
    for opening in lines:
        out += adapter.process_batch(lines, opening)
    return out.decode()


def test_request_is_sent_and_ids_come_back_unchanged() -> None:
    text = START + LIST.format("worker-a") + "QUERY Corr=7 Cls=view GiveUpAt=6010.25 Unknown=1\nEOB\n"
    assert replies(text).startswith("AS DispatcherId=3\nFORWARD Corr=7 Worker=worker-a\n")


def test_endpoint_list_is_the_one_in_force_when_it_was_named() -> None:
    """The simulator sends a list under an id, names the id in updates, and later sends another list under it.

    Two instances got updates in one batch, before and after the second list. If the id were looked up at the
    end of the batch, the first instance would send requests to workers of a later list. Each update must have
    the list that was in force at its line.
    """
    text = START + LIST.format("worker-a") + "TO DispatcherId=4\n" + START.splitlines()[2] + "\n"
    text += LIST.format("worker-b") + "QUERY Corr=7 Cls=view GiveUpAt=6010\nTO DispatcherId=3\n"
    text += "QUERY Corr=7 Cls=view GiveUpAt=6010\nEOB\n"
    reply = replies(text)
    assert "AS DispatcherId=3\nFORWARD Corr=7 Worker=worker-a" in reply
    assert "AS DispatcherId=4\nFORWARD Corr=7 Worker=worker-b" in reply


def test_instance_started_after_its_stop_in_one_batch_has_no_earlier_events() -> None:
    """An instance got a request, was stopped and was started again, all in one batch.

    With the events from before the stop the new scheduler would send a request that no longer exists. The
    events of a batch before a stop must not reach the scheduler after it.
    """
    text = START + LIST.format("worker-a") + "EOB\nSYNC AtTime=20\nTO DispatcherId=3\n"
    text += "QUERY Corr=7 Cls=view GiveUpAt=6010\nRETIRE\n" + START.splitlines()[2] + "\nEOB\n"
    assert "FORWARD" not in replies(text)


def test_instance_that_was_stopped_gets_no_events_of_its_batch() -> None:
    text = START + LIST.format("worker-a") + "QUERY Corr=7 Cls=view GiveUpAt=6010\nRETIRE\nEOB\n"
    assert replies(text) == "END\n"


def test_instance_started_anew_without_a_stop_has_no_earlier_events() -> None:
    text = START + LIST.format("worker-a") + "QUERY Corr=7 Cls=view GiveUpAt=6010\n"
    assert "FORWARD" in replies(text + "EOB\n")
    assert "FORWARD" not in replies(text + START.splitlines()[2] + "\nEOB\n")


def test_failed_list_update_has_no_entries_and_names_no_list(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: list[object] = []

    def record(self: object, now: int, events: list[object]) -> list[object]:
        seen.extend(events)
        return []

    monkeypatch.setattr(Scheduler, "step", record)
    entry = EndpointEntry("worker-a", "", "", 0, EndpointState.READY, 1.0, 0)
    replies(START + LIST.format("worker-a") + "UPDATE Sheet=0 Mode=INCREMENTAL\nUPDATE Mode=FAILED\nEOB\n")
    assert seen == [
        EndpointListUpdate(ListUpdateKind.CACHED, [entry]),
        EndpointListUpdate(ListUpdateKind.DELTA, [entry]),
        EndpointListUpdate(ListUpdateKind.FETCH_FAILED, []),
    ]


def test_empty_batch_has_an_empty_reply() -> None:
    assert replies("SYNC AtTime=1\nEOB\n") == "END\n"


def test_times_are_whole_microseconds() -> None:
    assert wire_line.microseconds("8412.2504") == 8412250
    assert encode_commands([SetTimer(4001, 7)]) == ["WAKE_ME Delay=4.001 Cookie=7"]


@pytest.mark.parametrize(
    "text, message",
    [
        ("HELLO A=1\n", "line 1: expected SYNC"),
        ("SYNC AtTime=soon\nEOB\n", "line 1: expected a time"),
        (START + "SHOUT A=1\nEOB\n", "line 4: expected a message"),
        (START + "QUERY Corr=x Cls=view GiveUpAt=1\nEOB\n", "line 4: expected a whole number in Corr"),
        (START + "QUERY junk\nEOB\n", "line 4: expected name=value"),
        (START + "ENDED Corr=1 Shot=0 Verdict=FINE\nEOB\n", "line 4: expected one of"),
        (START + "UPDATE Sheet=5 Mode=FULL\nEOB\n", "line 4: expected a Sheet"),
        (START + "TO DispatcherId=8\nDUE Cookie=1\nEOB\n", "line 5: expected news of a started instance"),
        ("SYNC AtTime=1\n", "line 1: expected EOB"),
    ],
)
def test_malformed_input_is_one_line_and_exit_two(text: str, message: str) -> None:
    command = [sys.executable, "-m", "locktide.bench_adapter"]
    run = subprocess.run(command, input=text, capture_output=True, text=True, check=False)
    assert run.returncode == 2 and run.stdout == ""
    assert run.stderr.startswith(message) and run.stderr.count("\n") == 1


def test_exception_in_the_scheduler_fails_the_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    """An exception in one scheduler ended the whole process, and with it all instances that it ran.

    The simulator then got no reply and no reason. The instance at fault must reply with the error, and the
    batch must be completed.
    """

    def broken(self: object, now: int, events: list[object]) -> list[object]:
        raise ValueError("out of sorts")

    monkeypatch.setattr(Scheduler, "step", broken)
    assert replies(START + "EOB\n") == "AS DispatcherId=3\nGIVE_IN Line=ValueError: out of sorts\nEND\n"


@pytest.mark.parametrize(
    "command, line",
    [
        (StartAttempt(5, "w", 9), "FORWARD Corr=5 Worker=w"),
        (CancelAttempt(5, 2), "WITHDRAW Corr=5 Shot=2"),
        (RejectRequest(5, 1500), "REJECT Corr=5 ComeBack=1.500"),
        (FailRequest(5), "FINISH_ERROR Corr=5"),
        (CloseIdleConnections("w"), "CLOSE Worker=w"),
        (WatchEndpoints(True), "STREAM_CHANGES Want=1"),
        (FetchEndpoints(), "FETCH"),
        (
            WriteLog(WorkerSuspected("two \n words", SuspicionReason.RESET)),
            "WRITE_LOG Line=worker_suspected worker=two words reason=reset",
        ),
    ],
)
def test_command_has_its_line(command: Command, line: str) -> None:
    assert encode_commands([command]) == [line]


def test_internal_error_has_no_line_and_is_raised() -> None:
    with pytest.raises(RuntimeError, match="out of sorts"):
        encode_commands([ReportInternalError(5, "out of sorts")])
