"""The simulator's wire: good lines, malformed lines, and the host's exits."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from locktide.bench_adapter import adapter as host
from locktide.bench_adapter import wire
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from locktide.scheduler.log_events import WorkerSuspected
from locktide.scheduler.types import SuspicionReason

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
    machine, out = host.BenchAdapter(), b""
    lines = machine.lines(io.BytesIO(text.encode()))
    for opening in lines:
        out += machine.batch(lines, opening)
    return out.decode()


def test_a_submission_goes_out_and_ids_come_back_unchanged() -> None:
    text = START + LIST.format("worker-a") + "QUERY Corr=7 Cls=view GiveUpAt=6010.25 Unknown=1\nEOB\n"
    assert replies(text).startswith("AS DispatcherId=3\nFORWARD Corr=7 Worker=worker-a\n")


def test_a_sheet_is_read_as_it_stood_when_named() -> None:
    text = START + LIST.format("worker-a") + "TO DispatcherId=4\n" + START.splitlines()[2] + "\n"
    text += LIST.format("worker-b") + "QUERY Corr=7 Cls=view GiveUpAt=6010\nTO DispatcherId=3\n"
    text += "QUERY Corr=7 Cls=view GiveUpAt=6010\nEOB\n"
    reply = replies(text)
    assert "AS DispatcherId=3\nFORWARD Corr=7 Worker=worker-a" in reply
    assert "AS DispatcherId=4\nFORWARD Corr=7 Worker=worker-b" in reply


def test_a_retired_instance_starts_afresh_in_one_batch() -> None:
    text = START + LIST.format("worker-a") + "EOB\nSYNC AtTime=20\nTO DispatcherId=3\n"
    text += "QUERY Corr=7 Cls=view GiveUpAt=6010\nRETIRE\n" + START.splitlines()[2] + "\nEOB\n"
    assert "FORWARD" not in replies(text)


def test_empty_batch() -> None:
    assert replies("SYNC AtTime=1\nEOB\n") == "END\n"


def test_times_are_whole_microseconds() -> None:
    assert wire.micros("8412.2504") == 8412250
    assert wire.line(SetTimer(4001, 7)) == "WAKE_ME Delay=4.001 Cookie=7"


@pytest.mark.parametrize(
    "text, said",
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
def test_malformed_input_is_one_line_and_exit_two(text: str, said: str) -> None:
    command = [sys.executable, "-m", "locktide.bench_adapter"]
    run = subprocess.run(command, input=text, capture_output=True, text=True)
    assert run.returncode == 2 and run.stdout == ""
    assert run.stderr.startswith(said) and run.stderr.count("\n") == 1


def test_an_exception_in_the_decisions_is_handed_in(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: object, now: int, news: list[object]) -> list[object]:
        raise ValueError("out of sorts")

    monkeypatch.setattr(host.Scheduler, "step", broken)
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
def test_each_command_has_its_line(command: object, line: str) -> None:
    assert wire.line(command) == line


def test_an_internal_error_has_no_line() -> None:
    with pytest.raises(RuntimeError, match="out of sorts"):
        wire.line(ReportInternalError(5, "out of sorts"))
