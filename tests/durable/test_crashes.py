"""Dispatchers that are killed lose and duplicate no job, in virtual time and as real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, get_args

import pytest
from durable_helpers import ROOT

from locktide.simulation.model import random_scenario
from locktide.simulation.model import scenario as script
from locktide.simulation.run import RunFailedError, in_virtual_time, on_loopback

SCENARIO = """
length = 8.0
[fleet]
dispatchers = 2
workers = 6
zones = 1
[clients]
load = 0.5
[durable]
on = true
start_within = 4.0
beat_within = 2.0
limit = 30.0
segment_kb = 8.0
[[grade]]
name = "record"
work = 0.6
limit = 9.0
effect = "numbered"
[[grade]]
name = "cash"
work = 0.4
limit = 9.0
effect = "at-most-once"
"""
CRASH_POINTS = sorted(set(get_args(script.CrashPoint)) - set(script.WORKER_CRASH_POINTS))


def run_report(text: str) -> dict[str, Any]:
    return in_virtual_time(script.parse(text)).outcome


def check_report(report: dict[str, Any]) -> dict[str, int]:
    assert not any(report["rules"].values()), report["broken"][:3]
    durable: dict[str, int] = report["durable"]
    assert durable["lost"] == 0 and report["doubled_records"] == 0
    assert durable["accepted"] == durable["done"] + durable["denied"] + durable["terminated"] > 50
    return durable


@pytest.mark.parametrize("point", CRASH_POINTS)
def test_dispatcher_killed_at_a_crash_point_loses_and_duplicates_no_job(point: str) -> None:
    """Guard against a lost or repeated job when a dispatcher is killed between two steps of a write.

    The dispatcher is killed and restarted three times in a run. Each accepted job must get exactly one final
    response, and no effect that must not happen twice may be recorded twice.
    """
    text = SCENARIO
    for at in (1.0, 3.0, 5.0):
        text += f'[[incident]]\nat = {at}\nfor = 0.6\nwhat = "trap-dispatcher"\nwhom = "d0"\n'
        text += f'point = "{point}"\n'
    durable = check_report(run_report(text))
    assert durable["points"] >= 1


def test_dispatcher_killed_again_during_recovery_loses_and_duplicates_no_job() -> None:
    """Guard against a recovery that leaves the log in a worse state when it is interrupted.

    All dispatchers are killed four times at short intervals, so that most recoveries are interrupted. Each
    recovery must start from the same jobs as the interrupted one.
    """
    text = SCENARIO
    for at in (2.0, 2.75, 3.5, 4.25):
        text += f'[[incident]]\nat = {at}\nfor = 0.4\nspread = 0.0\nwhat = "kill-dispatcher"\nwhom = "all"\n'
    assert check_report(run_report(text))["kills"] == 8


def test_hung_worker_loses_its_lease_and_its_late_report_has_no_effect() -> None:
    """Guard against late reports that finish or repeat a job after its lease has expired.

    Two workers hang with jobs for nine seconds and report the ends of the jobs afterwards, when other workers
    may have done them. The late reports must have no effect, no job that must not run twice may be done
    twice, and most jobs must still be done.
    """
    text = SCENARIO + '[[incident]]\nat = 2.0\nfor = 9.0\nwhat = "hang"\nwhom = "w0,w3"\n'
    report = run_report(text)
    assert check_report(report)["done"] > 0.8 * report["durable"]["accepted"]


@pytest.mark.parametrize("seed", range(1, 5))
def test_random_scenarios_with_kills_lose_and_duplicate_no_job(seed: int) -> None:
    """Guard against combinations of faults that lose or duplicate a job.

    Dispatchers are killed at random moments, together with random faults of workers, links and discovery.
    """
    check_report(in_virtual_time(random_scenario.draw(seed, durable=True)).outcome)


def test_killed_processes_on_a_real_disk_lose_and_duplicate_no_job(tmp_path: Path) -> None:
    """Guard against faults that the simulated disk hides, with real processes, SIGKILL and files.

    No accepted job may be lost or duplicated, and the restarted processes must log that they recovered jobs.
    """
    text = SCENARIO.replace("length = 8.0", "length = 5.0").replace("limit = 30.0", "limit = 15.0")
    text += '[[incident]]\nat = 1.5\nfor = 0.5\ngap = 1.5\nspread = 0.0\nwhom = "all"\n'
    text += 'what = "kill-dispatcher"\n'
    run_result = asyncio.run(on_loopback(script.parse(text), ROOT, tmp_path))
    durable: dict[str, int] = run_result.outcome["durable"]
    assert durable["lost"] == 0 and run_result.outcome["doubled_records"] == 0 and durable["kills"] == 2
    assert not any(run_result.outcome["rules"].values()), run_result.outcome["broken"][:3]
    assert durable["accepted"] == durable["done"] + durable["denied"] + durable["terminated"] > 15
    assert any("jobs_recovered" in line and "records=0" not in line for line in run_result.log_lines)


@pytest.mark.parametrize("unsupported", ["[dispatcher.settings]\nStep = 8.0\n", "[roster]\ncall = 0.1\n"])
def test_settings_that_a_real_process_does_not_take_are_refused(unsupported: str, tmp_path: Path) -> None:
    with pytest.raises(RunFailedError, match="virtual"):
        asyncio.run(on_loopback(script.parse(SCENARIO + unsupported), ROOT, tmp_path))
