"""A short soak: fixed seeds in virtual time and on loopback; `python -m soak` plays more of them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from soak import loopback, virtual
from soak.findings import Findings

#: Seeds on loopback: with a crowd, with two that end at nearly once, and with each series of signals.
LOOPBACK_SEEDS = (2, 3, 5, 6, 9, 11)
#: Runs at once; they wait most of the time.
JOBS = 3


@pytest.mark.parametrize("seed", range(1, 21))
def test_soak_in_virtual_time_breaks_no_rule(seed: int) -> None:
    assert virtual.play(seed).faults == []


def test_soak_on_loopback_breaks_no_rule(tmp_path: Path) -> None:
    """Signals in series, faults and rough clients, with real processes.

    A run that the machine disturbed says nothing, neither way.
    """

    def play(seed: int) -> Findings:
        return loopback.play(seed, tmp_path / f"seed-{seed}")

    with ThreadPoolExecutor(JOBS) as pool:
        runs = list(pool.map(play, LOOPBACK_SEEDS))
    broken = {run.seed: run.faults for run in runs if run.counts and run.faults}
    assert broken == {}
