"""A short soak: fixed seeds in virtual time and on loopback; `python -m soak` plays more of them."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from soak import loopback, virtual

#: Seeds on loopback: with a crowd, with two that end at nearly once, and with each series of signals.
LOOPBACK_SEEDS = (2, 3, 5, 6, 9, 11)
#: Runs at once; they wait most of the time.
JOBS = 3


@pytest.mark.parametrize("seed", range(1, 21))
def test_soak_in_virtual_time_breaks_no_rule(seed: int) -> None:
    assert virtual.play(seed).faults == []


def test_soak_on_loopback_breaks_no_rule(tmp_path: Path) -> None:
    """Signals in series, faults and rough clients, with real processes.

    What a machine under load could bring about by holding up a process is left to virtual time, which plays
    the same scripts, and to the long soak by hand.
    """
    folders = [tmp_path / f"seed-{seed}" for seed in LOOPBACK_SEEDS]
    with ProcessPoolExecutor(JOBS) as pool:
        runs = list(pool.map(loopback.play, LOOPBACK_SEEDS, folders))
    broken = {run.seed: [fault for fault in run.faults if not fault.is_timed] for run in runs}
    assert broken == {seed: [] for seed in LOOPBACK_SEEDS}
