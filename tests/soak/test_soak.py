"""A short soak: fixed seeds in virtual time and on loopback; `python -m soak` plays more of them."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest

from soak import loopback, virtual
from soak.held_up import HeldUp

#: Seeds on loopback: with a crowd, with two that end at nearly once, and with each series of signals.
LOOPBACK_SEEDS = (2, 3, 5, 6, 9, 11)
#: Runs at once; they wait most of the time.
JOBS = 3


@pytest.mark.parametrize("seed", range(1, 21))
def test_soak_in_virtual_time_breaks_no_rule(seed: int) -> None:
    assert virtual.play(seed).faults == []


def test_only_a_hold_over_the_allowance_excuses_what_was_due_in_it() -> None:
    """A check that lets pass what a held-up process does late must let nothing else pass.

    A hold within the page's allowance excuses nothing, a longer one only what fell due in it and was done
    right after it, and a log line only the request that it names.
    """
    held_up = HeldUp()
    held_up.begin(0, 1_000_000, 0.15)
    held_up.begin(0, 3_000_000, 0.4)
    assert not held_up.covers(0, 1_050_000, 1_150_000)
    assert held_up.covers(0, 3_050_000, 3_400_000)
    assert not held_up.covers(0, 2_950_000, 3_400_000), "due before it"
    assert not held_up.covers(0, 3_050_000, 3_500_000), "done long after it"
    assert not held_up.covers(1, 3_050_000, 3_400_000), "another dispatcher"
    held_up.read_log(
        [
            "1.0 d0 request a: held up for 0.149 s before its attempt was written",
            "1.0 d0 request b: held up for 0.200 s before its attempt was written",
            "1.0 d0 request c: held up for 0.200 s before its deadline was noticed",
            "1.0 d0 request d: held up for 0.200 s before it was read",
            "Z request_held_up          dispatcher=d0 request=e seconds=0.2 step=writing",
        ]
    )
    assert (held_up.written_late, held_up.timed_out_late) == ({"b", "e"}, {"c"})


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
