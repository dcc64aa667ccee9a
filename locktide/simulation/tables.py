"""An outcome as tables in the terminal, and the progress while it plays."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from locktide.simulation.model.checker import RULE_MEANINGS
from locktide.simulation.scenario_runner import ScenarioRunner


def figure(value: Any) -> str:
    return "-" if value is None else f"{value:.3f}" if isinstance(value, float) else str(value)


def show(told: dict[str, Any], console: Console) -> None:
    head = f"{told['name']}, seed {told['seed']}, {told['host']} (an emulated fleet)"
    table = Table(title=head, title_justify="left", show_header=True)
    table.add_column("service grade")
    for name in ("service", "done", "p50 s", "p90 s", "p99 s", "longest s"):
        table.add_column(name, justify="right")
    for grade, value in told["by_grade"].items():
        waits = told["waits_s"][grade]
        spans = [f"{waits[part]:.2f}" if waits["done"] else "-" for part in ("p50", "p90", "p99", "p100")]
        table.add_row(grade, figure(value), str(waits["done"]), *spans)
    table.add_section()
    table.add_row("all", figure(told["service"]), str(sum(w["done"] for w in told["waits_s"].values())))
    table.add_row("worst 10 s", figure(told["worst_10s"]))
    console.print(table)
    answers = ", ".join(f"{count} {how}" for how, count in told["answers"].items())
    console.print(f"{told['submissions']} submissions of {told['jobs']} jobs: {answers}")
    rules = Table(show_header=False, box=None, padding=(0, 2, 0, 0))
    for rule, count in told["rules"].items():
        rules.add_row(rule, str(count), RULE_MEANINGS[rule], style="bold red" if count else "")
    console.print(rules)
    for one in told["broken"][:10]:
        console.print(f"  {one['at_s']:.3f} s {one['rule']}: {one['what']}", style="red", markup=False)
    if accord := told.get("accord"):
        style = "bold red" if accord["overruns"] or accord["late_reclaims"] else ""
        reclaim = accord["reclaim_s"]
        console.print(
            f"accord: {accord['overruns']} overruns, {accord['reclaims']} reclaims (worst "
            f"{figure(reclaim['worst'])} s, {accord['late_reclaims']} late), {accord['loans']} loans, "
            f"{accord['ledgers_at_the_end']} ledgers at the end",
            style=style,
        )
        tenants = ", ".join(
            f"{name} {figure(row['done'])} of {row['asked']}" for name, row in accord["tenants"].items()
        )
        console.print(f"tenants, done of what was asked: {tenants}")
        for line in accord["first"]:
            console.print(f"  {line}", style="red", markup=False)
    if told["fell_over"] or told["crashed"]:
        console.print(f"{told['fell_over']} workers fell over, {told['crashed']} dispatchers crashed")
    if "dispatcher_memory_mb" in told:
        late = told["late"]
        console.print(
            f"dispatchers: {told['dispatcher_memory_mb']} MB at most, {told['dispatcher_cpu_s']} s of CPU "
            f"together, {told['dispatcher_descriptors']} descriptors at most; "
            f"woken {late['most_ms']} ms late at most"
        )
    if not told.get("counts", True):
        console.print(
            "This machine was too busy: the run was late by more than it may be and does not count.",
            style="bold red",
        )
    if not told["complete"]:
        console.print("Interrupted: the figures are of the part that was played.", style="bold yellow")


def watched(
    console: Console, length: float, title: str
) -> tuple[Progress, Callable[[ScenarioRunner, int], None]]:
    """A bar for a rehearsal of that many seconds, and what moves it."""
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

    def glance(stage: ScenarioRunner, now: int) -> None:
        out = sum(len(one.open) for one in stage.dispatchers)
        up = sum(site.worker.up for site in stage.workers)
        broken = sum(stage.checker.counts.values())
        stand = f"{out} open, {up}/{len(stage.workers)} workers up, {broken} rules broken"
        progress.update(bar, completed=min(length, max(0.0, now / 1e6)), stand=stand)

    return progress, glance
