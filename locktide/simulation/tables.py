"""Tables of an outcome for the terminal, and a progress bar during a run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from locktide.simulation.model.checker import RULE_MEANINGS
from locktide.simulation.scenario_runner import ScenarioRunner


def format_value(value: Any) -> str:
    return "-" if value is None else f"{value:.3f}" if isinstance(value, float) else str(value)


def show(outcome: dict[str, Any], console: Console) -> None:
    head = f"{outcome['name']}, seed {outcome['seed']}, {outcome['host']} (an emulated fleet)"
    table = Table(title=head, title_justify="left", show_header=True)
    table.add_column("service grade")
    for name in ("service", "done", "p50 s", "p90 s", "p99 s", "longest s"):
        table.add_column(name, justify="right")
    for grade, value in outcome["by_grade"].items():
        response_times = outcome["waits_s"][grade]
        spans = [
            f"{response_times[part]:.2f}" if response_times["done"] else "-"
            for part in ("p50", "p90", "p99", "p100")
        ]
        table.add_row(grade, format_value(value), str(response_times["done"]), *spans)
    table.add_section()
    table.add_row(
        "all", format_value(outcome["service"]), str(sum(w["done"] for w in outcome["waits_s"].values()))
    )
    table.add_row("worst 10 s", format_value(outcome["worst_10s"]))
    console.print(table)
    answers = ", ".join(f"{count} {how}" for how, count in outcome["answers"].items())
    console.print(f"{outcome['submissions']} submissions of {outcome['jobs']} jobs: {answers}")
    rules = Table(show_header=False, box=None, padding=(0, 2, 0, 0))
    for rule, count in outcome["rules"].items():
        rules.add_row(rule, str(count), RULE_MEANINGS[rule], style="bold red" if count else "")
    console.print(rules)
    for entry in outcome["broken"][:10]:
        console.print(f"  {entry['at_s']:.3f} s {entry['rule']}: {entry['what']}", style="red", markup=False)
    if accord := outcome.get("accord"):
        style = "bold red" if accord["overruns"] or accord["late_reclaims"] else ""
        reclaim = accord["reclaim_s"]
        console.print(
            f"accord: {accord['overruns']} overruns, {accord['reclaims']} reclaims (worst "
            f"{format_value(reclaim['worst'])} s, {accord['late_reclaims']} late), {accord['loans']} loans, "
            f"{accord['ledgers_at_the_end']} ledgers at the end",
            style=style,
        )
        tenants = ", ".join(
            f"{name} {format_value(row['done'])} of {row['asked']}" for name, row in accord["tenants"].items()
        )
        console.print(f"tenants, done of what was asked: {tenants}")
        for line in accord["first"]:
            console.print(f"  {line}", style="red", markup=False)
    if outcome["fell_over"] or outcome["crashed"]:
        console.print(f"{outcome['fell_over']} workers fell over, {outcome['crashed']} dispatchers crashed")
    if "dispatcher_memory_mb" in outcome:
        late = outcome["late"]
        console.print(
            f"dispatchers: {outcome['dispatcher_memory_mb']} MB at most, {outcome['dispatcher_cpu_s']} s "
            f"of CPU together, {outcome['dispatcher_descriptors']} descriptors at most; "
            f"woken {late['most_ms']} ms late at most"
        )
    if not outcome.get("counts", True):
        console.print(
            "This machine was too busy: the run was late by more than is allowed and does not count.",
            style="bold red",
        )
    if not outcome["complete"]:
        console.print("Interrupted: the figures cover only the part that was run.", style="bold yellow")


def progress_display(
    console: Console, length: float, title: str
) -> tuple[Progress, Callable[[ScenarioRunner, int], None]]:
    """Return a progress bar for a run of that many seconds, and the callback that updates it."""
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.completed:.0f}/{task.total:.0f} s"),
        TextColumn("{task.fields[stand]}"),
        TimeElapsedColumn(),
        console=console,
        transient=True,
    )
    bar = progress.add_task(title, total=length, stand="")

    def on_progress(runner: ScenarioRunner, now: int) -> None:
        open_count = sum(len(entry.open) for entry in runner.dispatchers)
        up = sum(site.worker.up for site in runner.workers)
        broken = sum(runner.checker.counts.values())
        stand = f"{open_count} open, {up}/{len(runner.workers)} workers up, {broken} rules broken"
        progress.update(bar, completed=min(length, max(0.0, now / 1e6)), stand=stand)

    return progress, on_progress
