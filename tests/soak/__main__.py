"""`python -m soak`: runs seeds, prints a table of verdicts, and exits with 1 if a rule was broken."""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import click

from soak import loopback, virtual
from soak.findings import Findings

MAX_VIOLATIONS_SHOWN = 8


@dataclass(frozen=True)
class Options:
    """Options that are the same for each seed: see the command's help."""

    backend: str
    folder: Path
    program: Path
    hold_up: bool


def run_seed(options: Options, seed: int) -> Findings:
    """Run the script of one seed on the chosen backend."""
    if options.backend == "virtual":
        return virtual.run_seed(seed, options.hold_up)
    folder = options.folder / f"seed-{seed}"
    return loopback.run_seed(seed, folder, options.program, options.hold_up)


@click.command()
@click.option("--seeds", default="1-3", help="FIRST-LAST")
@click.option("--backend", type=click.Choice(["loopback", "virtual"]), default="loopback")
@click.option("--jobs", default=1, help="runs in parallel; on loopback, parallel runs disturb each other")
@click.option("--folder", default="", help="folder for logs; a temporary one by default")
@click.option("--program", default=str(loopback.REPOSITORY), help="the checkout whose dispatchers are run")
@click.option("--hold-up", is_flag=True, help="hold dispatchers up in every run, not only in one of five")
def main(seeds: str, backend: str, jobs: int, folder: str, program: str, hold_up: bool) -> None:
    """Run the soak's scripts of these seeds."""
    first, _, last = seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    verdicts: Counter[str] = Counter()
    with tempfile.TemporaryDirectory() as temporary, ProcessPoolExecutor(jobs) as pool:
        options = Options(backend, Path(folder or temporary), Path(program), hold_up)
        for findings in pool.map(partial(run_seed, options), numbers):
            verdicts[findings.verdict] += 1
            click.echo(findings.row())
            for violation in findings.violations[:MAX_VIOLATIONS_SHOWN]:
                click.echo(f"       {violation.text}")
    click.echo(", ".join(f"{count} {verdict}" for verdict, count in sorted(verdicts.items())))
    sys.exit(bool(verdicts["broken"]))


if __name__ == "__main__":
    main()
