"""`python -m locktide.simulation.cluster`: runs with random faults, model checking, and their reports."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean

import click

from locktide.simulation.cluster import borrowing_runs as borrowing
from locktide.simulation.cluster import cost, processes
from locktide.simulation.cluster import fairness_runs as fairness
from locktide.simulation.cluster import model_checking as model_checker
from locktide.simulation.cluster import random_runs as random_faults
from locktide.simulation.cluster import skewed_demand as skew


@click.group()
def main() -> None:
    """Check the guarantees of the cluster in long runs; exit with 1 if one was violated."""


@main.command("days")
@click.option("--seeds", default="1-1000", help="FIRST-LAST")
@click.option("--jobs", default=1, help="processes that run in parallel")
def run_days(seeds: str, jobs: int) -> None:
    """Run 3, 5 and 9 members in turn in virtual time, with faults drawn by the seed."""
    first, _, last = seeds.partition("-")
    started_at, fault_counts, broken = time.monotonic(), Counter[str](), list[random_faults.RunOutcome]()
    run_count, disagreeing, without_leader, spent, borrowed, returns, unequal = 0, 0, 0, 0, 0, 0, 0
    with ProcessPoolExecutor(jobs) as pool:
        for outcome in pool.map(random_faults.run, range(int(first), int(last or first) + 1), chunksize=8):
            run_count += 1
            fault_counts.update(outcome.faults)
            broken += [outcome] if outcome.overruns else []
            disagreeing += not outcome.agree
            without_leader += not outcome.has_leader
            spent += outcome.spent
            borrowed += outcome.borrowed
            returns += outcome.returns
            unequal += outcome.ledgers > 1
    click.echo(
        json.dumps(
            {
                "emulated": True,
                "days": run_count,
                "seconds": round(time.monotonic() - started_at, 1),
                "faults": dict(sorted(fault_counts.items())),
                "spent": spent,
                "of it borrowed": borrowed,
                "returns of owners that had lent": returns,
                "days whose ledgers differ two seconds after the last change": unequal,
                "overruns": sum(one.overruns for one in broken),
                "broken": [(one.seed, one.first) for one in broken[:10]],
                "days whose members disagree at the end": disagreeing,
                "days that nobody leads at the end": without_leader,
            },
            indent=1,
        )
    )
    sys.exit(bool(broken))


@main.command("processes")
@click.option("--seeds", default="1-6", help="FIRST-LAST")
@click.option("--counts", default="3,5,9", help="numbers of dispatcher processes, in turn")
@click.option("--jobs", default=2, help="runs in parallel")
def run_processes(seeds: str, counts: str, jobs: int) -> None:
    """Run real processes on loopback, with faults of the network and of processes."""
    first, _, last = seeds.partition("-")
    sizes = [int(count) for count in counts.split(",")]
    seed_numbers = range(int(first), int(last or first) + 1)
    faults, broken, agreeing = Counter[str](), list[tuple[int, str]](), 0
    submitted, loans, equal, reclaims = 0, 0, 0, list[float]()
    with tempfile.TemporaryDirectory(prefix="locktide-accord-") as folder, ProcessPoolExecutor(jobs) as pool:
        runs = [
            pool.submit(processes.run, seed, sizes[seed % len(sizes)], Path(folder) / str(seed))
            for seed in seed_numbers
        ]
        for run in runs:
            outcome = run.result()
            faults.update(outcome.faults)
            broken += [(outcome.seed, overrun) for overrun in outcome.overruns]
            agreeing += outcome.agree
            submitted, loans = submitted + outcome.asked, loans + outcome.loans
            reclaims += outcome.reclaims
            equal += outcome.ledgers <= 1
    reclaims.sort()
    click.echo(
        json.dumps(
            {
                "emulated": True,
                "runs": len(runs),
                "faults": dict(sorted(faults.items())),
                "overruns": broken,
                "runs whose members agree at the end": agreeing,
                "submissions": submitted,
                "loans": loans,
                "returns of owners that had lent": len(reclaims),
                "their loans over after": percentiles(reclaims),
                "runs whose ledgers are equal after two seconds of quiet": equal,
            },
            indent=1,
        )
    )
    sys.exit(bool(broken))


@main.command("skew")
@click.option("--seeds", default=10, help="runs for each fault")
def run_skew(seeds: int) -> None:
    """Measure how much a tenant is served that has 80% of its demand at one of five members."""
    for fault in skew.FAULTS:
        results = [skew.run(fault, seed) for seed in range(1, seeds + 1)]
        static, divided = ([getattr(result, side) for result in results] for side in ("static", "divided"))
        click.echo(
            f"{fault}: static {sum(static) / seeds:.3f}, divided {sum(divided) / seeds:.3f} "
            f"(least {min(divided):.3f}), overruns {sum(result.overruns for result in results)}"
        )


@main.command("lend")
@click.option("--seeds", default=10, help="runs for each fault")
def run_lend(seeds: int) -> None:
    """Measure what lending serves while most quotas are idle, and how soon a returning owner has its own."""
    broken = 0
    without_lending = [borrowing.measure_service(seed, 0.0) for seed in range(1, seeds + 1)]
    lending = [borrowing.measure_service(seed, 0.8) for seed in range(1, seeds + 1)]
    click.echo(
        f"six of ten idle: no lending {mean(one.served for one in without_lending):.3f}, lending "
        f"{mean(one.served for one in lending):.3f} (least {min(one.served for one in lending):.3f}), "
        f"an oracle {mean(one.oracle for one in lending):.3f}"
    )
    for fault in borrowing.FAULTS:
        results = [borrowing.measure_reclaims(seed, fault) for seed in range(1, seeds + 1)]
        reclaim_times = sorted(one.loans_over_after / 1e6 for result in results for one in result.reclaims)
        restore_times = sorted(
            one.share_restored_after / 1e6 if one.share_restored_after >= 0 else 99.0
            for result in results
            for one in result.reclaims
        )
        broken += sum(result.overruns for result in results) + sum(span > 1.0 for span in reclaim_times)
        click.echo(
            f"{fault}: {len(reclaim_times)} returns, loans over after {percentiles(reclaim_times)}, "
            f"nine tenths of its own after {percentiles(restore_times)}; served from a second on "
            f"{mean(result.served_after_return for result in results):.3f}, "
            f"overruns {sum(result.overruns for result in results)}"
        )
    sys.exit(bool(broken))


def percentiles(spans: list[float]) -> str:
    """Return the median, the 99th percentile and the maximum of sorted spans in seconds, as text."""
    if not spans:
        return "-"
    return f"{spans[len(spans) // 2]:.2f}, {spans[len(spans) * 99 // 100]:.2f}, {spans[-1]:.2f} s"


@main.command("fair")
@click.option("--seeds", default=10, help="runs for each rate of loss")
@click.option("--members", default=5)
def run_fair(seeds: int, members: int) -> None:
    """Measure the error of shares against a central solver, and how long ledgers take to be equal."""
    for lose in (0.0, 0.01, 0.1):
        errors_running, errors_quiet, times_to_equal = [], [], []
        for seed in range(1, seeds + 1):
            run = fairness.FairnessRun(seed, members, lose)
            run.run(6.0)
            for _ in range(20):
                run.run(0.2)
                errors_running.append(run.measure_share_error())
            times_to_equal.append(run.run_until_equal())
            errors_quiet.append(run.measure_share_error())
        click.echo(
            f"{100 * lose:g}% lost: distance while all moves {mean(errors_running):.4f} (worst "
            f"{max(errors_running):.4f}), once quiet {max(errors_quiet):.6f}; equal after "
            f"{mean(times_to_equal):.2f} s (worst {max(times_to_equal):.2f})"
        )


@main.command("cost")
@click.option("--members", default="5,50,200", help="sizes of the cluster, in turn")
@click.option("--tenants", default=20)
def run_cost(members: str, tenants: int) -> None:
    """Measure datagrams, bytes, processor time and memory of a member, and how soon a death is known."""
    for size in members.split(","):
        result = cost.measure(int(size), tenants)
        click.echo(
            f"{result.members} members, {result.tenants} tenants: {result.datagrams:.1f} datagrams/s, "
            f"{result.kilobytes:.2f} kB/s (who divides {result.leader_kilobytes:.1f}), "
            f"largest {result.largest} bytes, {100 * result.core:.2f}% of a core, {result.megabytes:.2f} MB; "
            f"a death known first after "
            f"{result.first_known_after:.1f} s, by all after {result.known_after:.1f} s"
        )


@main.command("search")
@click.option("--states", default=200_000, help="number of states after which the search ends")
@click.option("--restarts", default=1, help="most restarts on a path")
def run_search(states: int, restarts: int) -> None:
    """Check every order of delivery, loss, doubling, pause and restart among three members, breadth first."""
    started_at = time.monotonic()
    result = model_checker.search(states, restarts)
    click.echo(f"{result.states} states, all to depth {result.depth}, {time.monotonic() - started_at:.0f} s")
    for step in result.breach:
        click.echo(f"  {step}")
    sys.exit(bool(result.breach))


if __name__ == "__main__":
    main()
