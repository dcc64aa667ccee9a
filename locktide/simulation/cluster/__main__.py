"""`python -m locktide.simulation.cluster`: random runs with faults, the state search, and their reports."""

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

from locktide.simulation.cluster import borrowing_runs as idle
from locktide.simulation.cluster import cost, processes
from locktide.simulation.cluster import fairness_runs as fair
from locktide.simulation.cluster import model_checking as search
from locktide.simulation.cluster import random_runs as days
from locktide.simulation.cluster import skewed_demand as skew


@click.group()
def main() -> None:
    """Prove the accord's promises by long runs; exits 1 where one was broken."""


@main.command("days")
@click.option("--seeds", default="1-1000", help="FIRST-LAST")
@click.option("--jobs", default=1, help="processes")
def run_days(seeds: str, jobs: int) -> None:
    """Days of faults drawn by their seeds, in virtual time, of 3, 5 and 9 members in turn."""
    first, _, last = seeds.partition("-")
    begun, counts, broken = time.monotonic(), Counter[str](), list[days.RunOutcome]()
    played, disagree, unled, spent, borrowed, returns, unequal = 0, 0, 0, 0, 0, 0, 0
    with ProcessPoolExecutor(jobs) as pool:
        for told in pool.map(days.play, range(int(first), int(last or first) + 1), chunksize=8):
            played += 1
            counts.update(told.faults)
            broken += [told] if told.overruns else []
            disagree += not told.agree
            unled += not told.led_again
            spent += told.spent
            borrowed += told.borrowed
            returns += told.returns
            unequal += told.ledgers > 1
    click.echo(
        json.dumps(
            {
                "emulated": True,
                "days": played,
                "seconds": round(time.monotonic() - begun, 1),
                "faults": dict(sorted(counts.items())),
                "spent": spent,
                "of it borrowed": borrowed,
                "returns of owners that had lent": returns,
                "days whose ledgers differ two seconds after the last change": unequal,
                "overruns": sum(one.overruns for one in broken),
                "broken": [(one.seed, one.first) for one in broken[:10]],
                "days whose members disagree at the end": disagree,
                "days that nobody leads at the end": unled,
            },
            indent=1,
        )
    )
    sys.exit(bool(broken))


@main.command("processes")
@click.option("--seeds", default="1-6", help="FIRST-LAST")
@click.option("--counts", default="3,5,9", help="processes of the program, in turn")
@click.option("--jobs", default=2, help="runs at once")
def run_processes(seeds: str, counts: str, jobs: int) -> None:
    """Real processes on loopback, with faults between them and to them."""
    first, _, last = seeds.partition("-")
    sizes = [int(count) for count in counts.split(",")]
    numbers = range(int(first), int(last or first) + 1)
    faults, broken, agree = Counter[str](), list[tuple[int, str]](), 0
    asked, loans, equal, reclaims = 0, 0, 0, list[float]()
    with tempfile.TemporaryDirectory(prefix="locktide-accord-") as folder, ProcessPoolExecutor(jobs) as pool:
        runs = [
            pool.submit(processes.play, seed, sizes[seed % len(sizes)], Path(folder) / str(seed))
            for seed in numbers
        ]
        for run in runs:
            told = run.result()
            faults.update(told.faults)
            broken += [(told.seed, what) for what in told.overruns]
            agree += told.agree
            asked, loans = asked + told.asked, loans + told.loans
            reclaims += told.reclaims
            equal += told.ledgers <= 1
    reclaims.sort()
    click.echo(
        json.dumps(
            {
                "emulated": True,
                "runs": len(runs),
                "faults": dict(sorted(faults.items())),
                "overruns": broken,
                "runs whose members agree at the end": agree,
                "submissions": asked,
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
@click.option("--seeds", default=10, help="for each trouble")
def run_skew(seeds: int) -> None:
    """What a tenant gets of its rate with 80% of its traffic at one of five members."""
    for trouble in skew.TROUBLES:
        told = [skew.play(trouble, seed) for seed in range(1, seeds + 1)]
        static, divided = ([getattr(one, side) for one in told] for side in ("static", "divided"))
        click.echo(
            f"{trouble}: static {sum(static) / seeds:.3f}, divided {sum(divided) / seeds:.3f} "
            f"(least {min(divided):.3f}), overruns {sum(one.overruns for one in told)}"
        )


@main.command("lend")
@click.option("--seeds", default=10, help="for each trouble")
def run_lend(seeds: int) -> None:
    """What lending serves while most quotas are idle, and how soon a returning owner has its own again."""
    broken = 0
    alone = [idle.worth(seed, 0.0) for seed in range(1, seeds + 1)]
    lent = [idle.worth(seed, 0.8) for seed in range(1, seeds + 1)]
    click.echo(
        f"six of ten idle: no lending {mean(one.served for one in alone):.3f}, lending "
        f"{mean(one.served for one in lent):.3f} (least {min(one.served for one in lent):.3f}), an oracle "
        f"{mean(one.oracle for one in lent):.3f}"
    )
    for trouble in idle.TROUBLES:
        told = [idle.returns(seed, trouble) for seed in range(1, seeds + 1)]
        loans = sorted(one.loans_over / 1e6 for day in told for one in day.reclaims)
        whole = sorted(one.whole / 1e6 if one.whole >= 0 else 99.0 for day in told for one in day.reclaims)
        broken += sum(day.overruns for day in told) + sum(span > 1.0 for span in loans)
        click.echo(
            f"{trouble}: {len(loans)} returns, loans over after {percentiles(loans)}, nine tenths of its own "
            f"after {percentiles(whole)}; served from a second on {mean(day.after for day in told):.3f}, "
            f"overruns {sum(day.overruns for day in told)}"
        )
    sys.exit(bool(broken))


def percentiles(spans: list[float]) -> str:
    """The median, the 99th percentile and the worst, of what is sorted."""
    if not spans:
        return "-"
    return f"{spans[len(spans) // 2]:.2f}, {spans[len(spans) * 99 // 100]:.2f}, {spans[-1]:.2f} s"


@main.command("fair")
@click.option("--seeds", default=10, help="for each loss")
@click.option("--members", default=5)
def run_fair(seeds: int, members: int) -> None:
    """How far dominant shares lie from a central solver's, and how long ledgers take to be equal."""
    for lose in (0.0, 0.01, 0.1):
        under_way, after, equal = [], [], []
        for seed in range(1, seeds + 1):
            here = fair.FairnessRun(seed, members, lose)
            here.run(6.0)
            for _ in range(20):
                here.run(0.2)
                under_way.append(here.distance())
            equal.append(here.until_equal())
            after.append(here.distance())
        click.echo(
            f"{100 * lose:g}% lost: distance while all moves {mean(under_way):.4f} (worst "
            f"{max(under_way):.4f}), once quiet {max(after):.6f}; equal after "
            f"{mean(equal):.2f} s (worst {max(equal):.2f})"
        )


@main.command("cost")
@click.option("--members", default="5,50,200", help="sizes, in turn")
@click.option("--tenants", default=20)
def run_cost(members: str, tenants: int) -> None:
    """Datagrams, bytes, processor and memory of a member, and how long a death takes to be known."""
    for size in members.split(","):
        told = cost.measure(int(size), tenants)
        click.echo(
            f"{told.members} members, {told.tenants} tenants: {told.datagrams:.1f} datagrams/s, "
            f"{told.kilobytes:.2f} kB/s (who divides {told.leader_kilobytes:.1f}), largest {told.largest} "
            f"bytes, {100 * told.core:.2f}% of a core, {told.megabytes:.2f} MB; a death known first after "
            f"{told.first_after:.1f} s, by all after {told.known_after:.1f} s"
        )


@main.command("search")
@click.option("--states", default=200_000, help="after which it ends")
@click.option("--restarts", default=1, help="of each path, at most")
def run_search(states: int, restarts: int) -> None:
    """Every order of delivery, loss, doubling, pause and restart among three members, breadth first."""
    begun = time.monotonic()
    found = search.search(states, restarts)
    click.echo(f"{found.states} states, all to depth {found.depth}, {time.monotonic() - begun:.0f} s")
    for what in found.breach:
        click.echo(f"  {what}")
    sys.exit(bool(found.breach))


if __name__ == "__main__":
    main()
