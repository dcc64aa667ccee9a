"""`locktide simulate`: plays scripts against real dispatchers and tells what came of it."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from locktide.cli.faulty import refuse
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.simulation import compare, plots
from locktide.simulation import tables as table
from locktide.simulation.model import random_scenario as rough
from locktide.simulation.model import scenario as script
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.run import (
    ProgressCallback,
    RunFailedError,
    RunResult,
    in_virtual_time,
    on_loopback,
    with_seed,
)
from locktide.simulation.scenario_runner import NotReadyError

ROOT = Path(__file__).resolve().parents[2]
MOST_SEEDS = 100_000
LOOK_EVERY = 0.5  # seconds between two looks whether the parent still lives
BROKEN, LATE, INTERRUPTED = 1, 3, 130  # exit codes
RUNS_A_LINE = 10  # of a series: one line says how far it has come


@dataclass(frozen=True)
class Side:
    """What is played: a script, by the dispatchers of a checkout."""

    name: str
    script: Scenario | None  # none: a rough day of its own for each seed
    program: Path
    durable: bool = False  # rough days with durable jobs

    def of(self, seed: int) -> Scenario:
        return rough.draw(seed, self.durable) if self.script is None else with_seed(self.script, seed)


def seeds_of(text: str) -> list[int]:
    """`3`, `1-10` or `1,5,8-12`; raises click.BadParameter."""
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or dash and not last.isdigit():
            raise click.BadParameter(f"expected seeds as 3, 1-10 or 1,5,8-12, found {text!r}")
        found += range(int(first), int(last or first) + 1)
    if not found or len(found) > MOST_SEEDS:
        raise click.BadParameter(f"expected 1 to {MOST_SEEDS} seeds, found {len(found)}")
    return list(dict.fromkeys(found))


def play(side: Side, seed: int, host: str, glance: ProgressCallback | None = None) -> RunResult:
    chosen = side.of(seed)
    if host == "virtual":
        return in_virtual_time(chosen, glance)
    with tempfile.TemporaryDirectory(prefix="locktide-") as folder:
        return asyncio.run(on_loopback(chosen, side.program, Path(folder), glance))


interrupted: list[int] = []  # seeds, in this process


def play_quietly(job: tuple[Side, int, str]) -> tuple[int, dict[str, Any]]:
    """In a process of its own. Interrupted once, it plays nothing more: others may be queued for it."""
    if interrupted:
        raise RunFailedError("interrupted")
    side, seed, host = job
    told = play(side, seed, host).told
    if not told["complete"]:
        interrupted.append(seed)
    return seed, told


def play_all(side: Side, seeds: list[int], host: str, jobs: int) -> Iterator[tuple[int, dict[str, Any]]]:
    if jobs == 1 or len(seeds) == 1:
        for seed in seeds:
            yield play_quietly((side, seed, host))
        return
    # Spawned, so that a run is the same whatever was played before it.
    context = multiprocessing.get_context("spawn")
    parent = os.getpid()
    with ProcessPoolExecutor(
        min(jobs, len(seeds)), mp_context=context, initializer=follow_parent, initargs=(parent,)
    ) as pool:
        try:
            yield from pool.map(play_quietly, [(side, seed, host) for seed in seeds])
        except BaseException:
            for child in multiprocessing.active_children():
                if child.pid is not None:
                    os.kill(child.pid, signal.SIGINT)
            pool.shutdown(cancel_futures=True)
            raise


def follow_parent(parent: int) -> None:
    """In a process of the pool: ends as by Ctrl-C once the parent is gone, also where that was killed.

    Guards against rehearsals that go on unseen, with their dispatchers.
    """

    def look() -> None:
        while os.getppid() == parent:
            time.sleep(LOOK_EVERY)
        os.kill(os.getpid(), signal.SIGINT)

    threading.Thread(target=look, daemon=True).start()


def interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.argument("file", type=click.Path(path_type=Path), required=False)
@click.option(
    "--host",
    type=click.Choice(["loopback", "virtual"]),
    default="loopback",
    show_default=True,
    help="Real processes in real time, or the same code in virtual time.",
)
@click.option("--seeds", default="", help="As 3, 1-10 or 1,5,8-12; by default the script's own.")
@click.option(
    "--times",
    type=click.IntRange(1, 1000),
    default=1,
    show_default=True,
    help="Play each seed so often; in virtual time all must come out alike.",
)
@click.option("--random", "drawn", is_flag=True, help="A rough day drawn for each seed; no script.")
@click.option("--durable", is_flag=True, help="With --random: durable jobs, and dispatchers that die often.")
@click.option(
    "--against",
    type=click.Path(path_type=Path, exists=True),
    help="Play this too on the same seeds: another script, or another checkout (a folder).",
)
@click.option(
    "--program",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    default=ROOT,
    help="The checkout whose dispatchers are run on loopback; by default this one.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 256),
    default=1,
    show_default=True,
    help="So many seeds at once, each in a process of its own.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("rehearsed"),
    show_default=True,
    help="The folder for reports.",
)
@click.option("--json", "as_json", is_flag=True, help="Print outcomes as JSON lines, write no report.")
@click.option("--logs", is_flag=True, help="With one seed: print what the dispatchers logged.")
def simulate(
    file: Path | None,
    host: str,
    seeds: str,
    times: int,
    drawn: bool,
    durable: bool,
    against: Path | None,
    program: Path,
    jobs: int,
    out: Path,
    as_json: bool,
    logs: bool,
) -> None:
    """Play the rehearsal in FILE (without one: a quarter of the workers dead and back cold in a slowdown).

    With one seed: a table, and a report with plots below --out. With several: the spread, and each outcome's
    JSON below --out. Exit code 1 where a rule was broken, 3 where the machine was too busy for it to count.
    """
    console = Console(stderr=as_json)
    signal.signal(signal.SIGTERM, interrupt)
    try:
        chosen = None if drawn else script.load(file) if file else script.embedded()
        first = Side(file.stem if file else "rough" if drawn else "overlap", chosen, program, durable)
        second = other_side(first, against)
    except ConfigFileError as faults:
        refuse(faults, str(file or ""))
    if drawn and file:
        raise click.UsageError("--random takes no FILE")
    if durable and not drawn:
        raise click.UsageError("--durable goes with --random; a script has a table for it")
    if second is not None and second.program != first.program and host == "virtual":
        raise click.UsageError("two checkouts can be compared with --host loopback only")
    numbers = seeds_of(seeds) if seeds else [chosen.seed if chosen else 1]
    try:
        if len(numbers) == times == 1 and second is None:
            sys.exit(one(first, numbers[0], host, out, as_json, logs, console))
        sys.exit(several(first, second, numbers * times, host, jobs, out, as_json, console))
    except (NotReadyError, RunFailedError) as trouble:
        print(f"locktide: {trouble}", file=sys.stderr)
        sys.exit(BROKEN)
    except KeyboardInterrupt:
        print("locktide: interrupted", file=sys.stderr)
        sys.exit(INTERRUPTED)


def other_side(first: Side, against: Path | None) -> Side | None:
    """Raises Faults for a script that is faulty."""
    if against is None:
        return None
    if against.is_dir():
        if not (against / "locktide" / "__main__.py").exists():
            expected, found = "a script or a checkout of locktide", repr(str(against))
            raise ConfigFileError([ConfigError.mismatch("--against", expected=expected, found=found)])
        return Side(against.resolve().name, first.script, against.resolve())
    return Side(against.stem, script.load(against), first.program)


def code(told: dict[str, Any]) -> int:
    if not told["complete"]:
        return INTERRUPTED
    if sum(told["rules"].values()) or told["crashed"]:
        return BROKEN
    return 0 if told.get("counts", True) else LATE


def one(side: Side, seed: int, host: str, out: Path, as_json: bool, logs: bool, console: Console) -> int:
    chosen = side.of(seed)
    progress, glance = table.watched(console, chosen.length, chosen.name)
    if console.is_terminal:
        progress.start()
    try:
        played = play(side, seed, host, glance)
    finally:
        progress.stop()
    if as_json:
        click.echo(json.dumps(played.told))
    else:
        table.show(played.told, console)
        path = plots.write(played.told, out / f"{chosen.name}-{seed}-{host}")
        console.print(f"report: {path}", soft_wrap=True, highlight=False)
    if logs:
        for line in played.said:
            click.echo(line, err=as_json)
    return code(played.told)


def show_progress(side: Side, played: int, count: int, as_json: bool, console: Console) -> None:
    """Print a line each `RUNS_A_LINE` runs, so that a long series is not silent where nothing is drawn."""
    if played % RUNS_A_LINE == 0 and not as_json:
        console.print(f"{side.name}: {played} of {count} runs", markup=False, highlight=False)


def several(
    first: Side,
    second: Side | None,
    seeds: list[int],
    host: str,
    jobs: int,
    out: Path,
    as_json: bool,
    console: Console,
) -> int:
    worst, service = 0, []
    for side in [first] + ([second] if second else []):
        values: dict[int, list[float]] = {}
        bytes_of: dict[int, set[str]] = {}
        last_of: dict[int, dict[str, Any]] = {}
        for played_count, (seed, told) in enumerate(play_all(side, seeds, host, jobs), start=1):
            show_progress(side, played_count, len(seeds), as_json, console)
            worst = max(worst, code(told))
            if as_json:
                click.echo(json.dumps({"side": side.name, **told}))
            else:
                folder = out / f"{side.name}-{host}"
                folder.mkdir(parents=True, exist_ok=True)
                again = len(values.get(seed, ()))
                path = folder / (f"{seed}.{again}.json" if again else f"{seed}.json")
                path.write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")
            broken = {rule: count for rule, count in told["rules"].items() if count}
            if broken or not told.get("counts", True):
                words = f"{side.name}, seed {seed}: {broken or 'late'}"
                console.print(words, style="red", markup=False, highlight=False)
                for breach in told["broken"][:3]:
                    console.print(f"  {breach['at_s']} s {breach['rule']}: {breach['what']}", markup=False)
            # A run that came late does not count.
            if told["service"] is not None and told.get("counts", True):
                values.setdefault(seed, []).append(told["service"])
            last_of[seed] = told
            bytes_of.setdefault(seed, set()).add(json.dumps(told))
        service.append((side, values))
        kept = [told_of["durable"] for told_of in last_of.values() if told_of["durable"]]
        if kept:
            sums = {name: sum(one[name] for one in kept) for name in kept[0]}
            console.print("durable jobs: " + ", ".join(f"{count} {name}" for name, count in sums.items()))
        unlike = [seed for seed, made in bytes_of.items() if len(made) > 1]
        if host == "virtual" and unlike:
            console.print(f"{side.name}: seeds {unlike} came out unlike in two runs", style="bold red")
            worst = max(worst, BROKEN)
    shown = Table(title=f"service, {host} (an emulated fleet)", title_justify="left")
    for name in ("", "runs", "mean", "least", "most", "deviation"):
        shown.add_column(name, justify="right" if name else "left")
    for side, values in service:
        if values:
            found = compare.spread([value for runs in values.values() for value in runs])
            figures = (found.mean, found.least, found.most, found.deviation)
            shown.add_row(side.name, str(found.count), *(f"{value:.4f}" for value in figures))
    console.print(shown)
    if second is not None:
        try:
            means = [{seed: sum(r) / len(r) for seed, r in values.items()} for _, values in service]
            found_difference = compare.paired(*means)
        except ValueError as trouble:
            console.print(str(trouble))
            return worst
        low, high = found_difference.low, found_difference.high
        apart = "told apart" if found_difference.told_apart else "not told apart"
        console.print(
            f"{second.name} less {first.name}: {found_difference.mean:+.4f}, "
            f"95% interval {low:+.4f} to {high:+.4f} ({found_difference.count} pairs): {apart}"
        )
    return worst
