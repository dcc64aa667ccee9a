"""The log: its rate limit."""

from __future__ import annotations

import pytest

from locktide.transport.log import BURST, Log


def test_lines_past_the_rate_limit_are_dropped_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
    """A client that sends faulty requests as fast as it can could fill the disk with log lines.

    Lines beyond the rate must be dropped, and the next line must say how many.
    """
    log = Log("n0")
    for number in range(3 * BURST):
        log.emit(f"line {number}")
    log.emit("of another kind", "clients")
    log.limits[""].tokens = 1.0
    log.emit("last")
    lines = capsys.readouterr().err.splitlines()
    assert BURST < len(lines) < 2 * BURST and "lines before this one left out" in lines[-1]
    assert lines[-2].endswith("of another kind")
