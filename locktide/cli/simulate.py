"""`locktide simulate`: runs scenarios against real dispatchers and reports the results."""

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

from locktide.cli.faulty import exit_with_errors
from locktide.config.errors import ConfigError, ConfigFileError
from locktide.simulation import compare, plots
from locktide.simulation import tables as result_tables
from locktide.simulation.model import random_scenario as random_scenarios
from locktide.simulation.model import scenario as scenarios
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
MAX_SEEDS = 100_000
PARENT_CHECK_INTERVAL = 0.5  # seconds between two checks whether the parent process is alive
EXIT_BROKEN, EXIT_LATE, EXIT_INTERRUPTED = 1, 3, 130  # exit codes
RUNS_PER_PROGRESS_LINE = 10


@dataclass(frozen=True)
class Variant:
    """What is run: a scenario, by the dispatchers of a checkout; two variants can be compared."""

    name: str
    scenario: Scenario | None  # None: a random scenario for each seed
    program: Path
    durable: bool = False  # random scenarios with durable jobs

    def scenario_for(self, seed: int) -> Scenario:
        return (
            random_scenarios.draw(seed, self.durable)
            if self.scenario is None
            else with_seed(self.scenario, seed)
        )


def parse_seeds(text: str) -> list[int]:
    """Parse seeds such as `3`, `1-10` or `1,5,8-12`; raise click.BadParameter for any other text."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or dash and not last.isdigit():
            raise click.BadParameter(f"expected seeds as 3, 1-10 or 1,5,8-12, found {text!r}")
        seeds += range(int(first), int(last or first) + 1)
    if not seeds or len(seeds) > MAX_SEEDS:
        raise click.BadParameter(f"expected 1 to {MAX_SEEDS} seeds, found {len(seeds)}")
    return list(dict.fromkeys(seeds))


def run_scenario(
    variant: Variant, seed: int, host: str, on_progress: ProgressCallback | None = None
) -> RunResult:
    scenario = variant.scenario_for(seed)
    if host == "virtual":
        return in_virtual_time(scenario, on_progress)
    with tempfile.TemporaryDirectory(prefix="locktide-") as folder:
        return asyncio.run(on_loopback(scenario, variant.program, Path(folder), on_progress))


interrupted_seeds: list[int] = []  # of the runs in this process


def run_without_progress(job: tuple[Variant, int, str]) -> tuple[int, dict[str, Any]]:
    """Run one seed, usually in a process of the pool; return the seed and its outcome.

    After an interrupt the process starts no further run, as more may be queued for it.
    """
    if interrupted_seeds:
        raise RunFailedError("interrupted")
    variant, seed, host = job
    outcome = run_scenario(variant, seed, host).outcome
    if not outcome["complete"]:
        interrupted_seeds.append(seed)
    return seed, outcome


def run_all(variant: Variant, seeds: list[int], host: str, jobs: int) -> Iterator[tuple[int, dict[str, Any]]]:
    if jobs == 1 or len(seeds) == 1:
        for seed in seeds:
            yield run_without_progress((variant, seed, host))
        return
    # Spawned processes, so that a run does not depend on the runs before it.
    context = multiprocessing.get_context("spawn")
    parent = os.getpid()
    with ProcessPoolExecutor(
        min(jobs, len(seeds)), mp_context=context, initializer=watch_parent, initargs=(parent,)
    ) as pool:
        try:
            yield from pool.map(run_without_progress, [(variant, seed, host) for seed in seeds])
        except BaseException:
            for child in multiprocessing.active_children():
                if child.pid is not None:
                    os.kill(child.pid, signal.SIGINT)
            pool.shutdown(cancel_futures=True)
            raise


def watch_parent(parent: int) -> None:
    """Interrupt this process of the pool, as by Ctrl-C, once its parent has ended.

    Otherwise runs and their dispatchers would continue unnoticed after the parent was killed.
    """

    def poll_parent() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_INTERVAL)
        os.kill(os.getpid(), signal.SIGINT)

    threading.Thread(target=poll_parent, daemon=True).start()


def raise_keyboard_interrupt(signal_number: int, frame: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.argument("file", type=click.Path(path_type=Path), required=False)
@click.option(
    "--host",
    type=click.Choice(["loopback", "virtual"]),
    default="loopback",
    show_default=True,
    help="loopback: real processes in real time; virtual: the same code in virtual time.",
)
@click.option("--seeds", default="", help="Seeds as 3, 1-10 or 1,5,8-12; by default that of the scenario.")
@click.option(
    "--times",
    type=click.IntRange(1, 1000),
    default=1,
    show_default=True,
    help="Runs of each seed; in virtual time all must have the same outcome.",
)
@click.option(
    "--random", "drawn", is_flag=True, help="Run a random scenario for each seed instead of a file."
)
@click.option(
    "--durable", is_flag=True, help="With --random: durable jobs, and dispatchers that crash often."
)
@click.option(
    "--against",
    type=click.Path(path_type=Path, exists=True),
    help="Compare with another scenario file, or another checkout (a folder), on the same seeds.",
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
    help="Number of runs at once, each in a process of its own.",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("rehearsed"),
    show_default=True,
    help="The folder for reports.",
)
@click.option("--json", "as_json", is_flag=True, help="Print outcomes as JSON lines; write no report.")
@click.option("--logs", is_flag=True, help="With one seed: print the logs of the dispatchers.")
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
    """Run the scenario in FILE (without one: a quarter of the workers crash and start cold in a slowdown).

    With one seed: prints a table and writes a report with plots below --out. With several: prints the spread
    and writes the JSON of each outcome below --out. Exit code 1 if a rule was broken, 3 if the machine was
    too busy for the run to count.
    """
    console = Console(stderr=as_json)
    signal.signal(signal.SIGTERM, raise_keyboard_interrupt)
    try:
        scenario = None if drawn else scenarios.load(file) if file else scenarios.default_scenario()
        first = Variant(file.stem if file else "rough" if drawn else "overlap", scenario, program, durable)
        second = second_variant(first, against)
    except ConfigFileError as errors:
        exit_with_errors(errors, str(file or ""))
    if drawn and file:
        raise click.UsageError("--random takes no FILE")
    if durable and not drawn:
        raise click.UsageError("--durable requires --random; a scenario file has a table for it")
    if second is not None and second.program != first.program and host == "virtual":
        raise click.UsageError("two checkouts can be compared with --host loopback only")
    seed_numbers = parse_seeds(seeds) if seeds else [scenario.seed if scenario else 1]
    try:
        if len(seed_numbers) == times == 1 and second is None:
            sys.exit(run_single(first, seed_numbers[0], host, out, as_json, logs, console))
        sys.exit(run_series(first, second, seed_numbers * times, host, jobs, out, as_json, console))
    except (NotReadyError, RunFailedError) as error:
        print(f"locktide: {error}", file=sys.stderr)
        sys.exit(EXIT_BROKEN)
    except KeyboardInterrupt:
        print("locktide: interrupted", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)


def second_variant(first: Variant, against: Path | None) -> Variant | None:
    """Return the variant to compare with; raise ConfigFileError for a faulty scenario."""
    if against is None:
        return None
    if against.is_dir():
        if not (against / "locktide" / "__main__.py").exists():
            expected, found = "a scenario file or a checkout of locktide", repr(str(against))
            raise ConfigFileError([ConfigError.mismatch("--against", expected=expected, found=found)])
        return Variant(against.resolve().name, first.scenario, against.resolve())
    return Variant(against.stem, scenarios.load(against), first.program)


def outcome_exit_code(outcome: dict[str, Any]) -> int:
    """Return the exit code for an outcome."""
    if not outcome["complete"]:
        return EXIT_INTERRUPTED
    if sum(outcome["rules"].values()) or outcome["crashed"]:
        return EXIT_BROKEN
    return 0 if outcome.get("counts", True) else EXIT_LATE


def run_single(
    variant: Variant, seed: int, host: str, out: Path, as_json: bool, logs: bool, console: Console
) -> int:
    """Run one seed and report its outcome; return the exit code."""
    scenario = variant.scenario_for(seed)
    progress, on_progress = result_tables.progress_display(console, scenario.length, scenario.name)
    if console.is_terminal:
        progress.start()
    try:
        result = run_scenario(variant, seed, host, on_progress)
    finally:
        progress.stop()
    if as_json:
        click.echo(json.dumps(result.outcome))
    else:
        result_tables.show(result.outcome, console)
        path = plots.write(result.outcome, out / f"{scenario.name}-{seed}-{host}")
        console.print(f"report: {path}", soft_wrap=True, highlight=False)
    if logs:
        for line in result.log_lines:
            click.echo(line, err=as_json)
    return outcome_exit_code(result.outcome)


def show_progress(variant: Variant, run_count: int, total: int, as_json: bool, console: Console) -> None:
    """Print a line every `RUNS_PER_PROGRESS_LINE` runs; without it a long series seems to hang, as in CI."""
    if run_count % RUNS_PER_PROGRESS_LINE == 0 and not as_json:
        console.print(f"{variant.name}: {run_count} of {total} runs", markup=False, highlight=False)


def run_series(
    first: Variant,
    second: Variant | None,
    seeds: list[int],
    host: str,
    jobs: int,
    out: Path,
    as_json: bool,
    console: Console,
) -> int:
    """Run all seeds of one or two variants and report their spread; return the worst exit code."""
    exit_code, service_by_variant = 0, []
    for variant in [first] + ([second] if second else []):
        service_by_seed: dict[int, list[float]] = {}
        encoded_by_seed: dict[int, set[str]] = {}
        last_by_seed: dict[int, dict[str, Any]] = {}
        for run_count, (seed, outcome) in enumerate(run_all(variant, seeds, host, jobs), start=1):
            show_progress(variant, run_count, len(seeds), as_json, console)
            exit_code = max(exit_code, outcome_exit_code(outcome))
            if as_json:
                click.echo(json.dumps({"side": variant.name, **outcome}))
            else:
                folder = out / f"{variant.name}-{host}"
                folder.mkdir(parents=True, exist_ok=True)
                repetition = len(service_by_seed.get(seed, ()))
                path = folder / (f"{seed}.{repetition}.json" if repetition else f"{seed}.json")
                path.write_text(json.dumps(outcome, indent=1) + "\n", encoding="utf-8")
            broken = {rule: count for rule, count in outcome["rules"].items() if count}
            if broken or not outcome.get("counts", True):
                message = f"{variant.name}, seed {seed}: {broken or 'late'}"
                console.print(message, style="red", markup=False, highlight=False)
                for violation in outcome["broken"][:3]:
                    console.print(
                        f"  {violation['at_s']} s {violation['rule']}: {violation['what']}", markup=False
                    )
            # A late run does not count.
            if outcome["service"] is not None and outcome.get("counts", True):
                service_by_seed.setdefault(seed, []).append(outcome["service"])
            last_by_seed[seed] = outcome
            encoded_by_seed.setdefault(seed, set()).add(json.dumps(outcome))
        service_by_variant.append((variant, service_by_seed))
        durable_counts = [last["durable"] for last in last_by_seed.values() if last["durable"]]
        if durable_counts:
            totals = {name: sum(counts[name] for counts in durable_counts) for name in durable_counts[0]}
            console.print("durable jobs: " + ", ".join(f"{count} {name}" for name, count in totals.items()))
        differing = [seed for seed, encoded in encoded_by_seed.items() if len(encoded) > 1]
        if host == "virtual" and differing:
            console.print(
                f"{variant.name}: seeds {differing} had different outcomes in two runs", style="bold red"
            )
            exit_code = max(exit_code, EXIT_BROKEN)
    table = Table(title=f"service, {host} (an emulated fleet)", title_justify="left")
    for name in ("", "runs", "mean", "least", "most", "deviation"):
        table.add_column(name, justify="right" if name else "left")
    for variant, service_by_seed in service_by_variant:
        if service_by_seed:
            summary = compare.spread([value for runs in service_by_seed.values() for value in runs])
            figures = (summary.mean, summary.least, summary.most, summary.deviation)
            table.add_row(variant.name, str(summary.count), *(f"{value:.4f}" for value in figures))
    console.print(table)
    if second is not None:
        try:
            means = [
                {seed: sum(services) / len(services) for seed, services in service_by_seed.items()}
                for _, service_by_seed in service_by_variant
            ]
            difference = compare.paired(*means)
        except ValueError as error:
            console.print(str(error))
            return exit_code
        low, high = difference.low, difference.high
        verdict = "significant" if difference.is_significant else "not significant"
        console.print(
            f"{second.name} less {first.name}: {difference.mean:+.4f}, "
            f"95% interval {low:+.4f} to {high:+.4f} ({difference.count} pairs): {verdict}"
        )
    return exit_code
