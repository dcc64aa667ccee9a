"""Random scenarios: each seed gives one, with a random fleet, random traffic and random faults."""

from __future__ import annotations

from typing import Any, get_args

from numpy.random import Generator

from locktide.simulation.model import random_streams as chance
from locktide.simulation.model.scenario import (
    WORKER_CRASH_POINTS,
    ClientSpec,
    CrashPoint,
    DiscoverySpec,
    DispatcherSpec,
    DurableSpec,
    FaultKind,
    FaultSpec,
    FleetSpec,
    NetworkSpec,
    Scenario,
    ServiceClassSpec,
    WorkerSpec,
    WorkerTypeSpec,
    check,
)

MAX_FAULTS = 5
FATAL_FAULTS = 5  # of dispatchers with durable jobs; few enough to leave time for recovery in between
LENGTH = 16.0  # seconds: long enough for a worker to warm up again, short enough for a thousand runs


def pick(rng: Generator, choices: Any) -> Any:
    return choices[int(rng.integers(len(choices)))]


def draw_fault(rng: Generator, fleet: FleetSpec, length: float, durable: bool) -> FaultSpec:
    # Dispatchers of a random scenario form no cluster.
    kinds = [what for what in get_args(FaultKind) if not what.startswith("talk-")]
    kinds = [what for what in kinds if durable or what != "trap-dispatcher"]
    what = pick(rng, kinds)
    points = [
        point
        for point in get_args(CrashPoint)
        if (point in WORKER_CRASH_POINTS) != (what == "trap-dispatcher")
    ]
    if "dispatcher" in what:
        whom = f"d{int(rng.integers(fleet.dispatchers))}"
    elif what == "partition":
        whom = f"zone{int(rng.integers(fleet.zones))}"
    else:
        whom = pick(rng, ["25%", "40%", f"w{int(rng.integers(fleet.workers))}"])
    span = float(rng.uniform(0.3, 6.0))
    if what in ("pause", "hang"):
        span = float(rng.uniform(0.1, 4.0))
    return FaultSpec(
        at=float(rng.uniform(0.5, length - 1)),
        length=span,
        what=what,
        whom=whom,
        factor=float(rng.uniform(1.3, 6.0)),
        share=float(rng.uniform(0.01, 0.3)),
        gap=pick(rng, [0.0, 0.0, 0.7]),
        spread=float(rng.uniform(0, 1)),
        point=pick(rng, points),
    )


def draw_fatal_fault(rng: Generator, fleet: FleetSpec, length: float) -> FaultSpec:
    """Draw a fault that kills a dispatcher, at a random time or at a crash point."""
    points = [point for point in get_args(CrashPoint) if point not in WORKER_CRASH_POINTS]
    return FaultSpec(
        at=float(rng.uniform(0.3, length - 1)),
        length=float(rng.uniform(0.2, 2.0)),
        what=pick(rng, ["kill-dispatcher", "trap-dispatcher", "trap-dispatcher"]),
        whom=f"d{int(rng.integers(fleet.dispatchers))}",
        point=pick(rng, points),
    )


def draw(seed: int, durable: bool = False) -> Scenario:
    """Draw the scenario of a seed; it is the same on every machine.

    With durable jobs, dispatchers crash more often than anything else, at any time and at each crash point.
    """
    rng = chance.stream(seed, "rough", "durable" if durable else "plain")
    fleet = FleetSpec(
        dispatchers=int(rng.integers(1, 5)),
        workers=int(rng.integers(4, 13)),
        zones=int(rng.integers(1, 4)),
        pod=int(rng.integers(1, 5)),
        kinds=[
            WorkerTypeSpec(name="box", cores=int(rng.integers(2, 5))),
            WorkerTypeSpec(name="old", cores=2, speed=0.6),
        ],
    )
    work = float(rng.uniform(0.5, 1.5))  # short, so that a thousand runs take little time
    service_classes = [
        ServiceClassSpec(name="view", work=0.3, limit=4.0, effect="reissuable"),
        ServiceClassSpec(
            name="record",
            work=work,
            soft=1.0,
            limit=9.0,
            effect="numbered",
            memory=float(rng.uniform(1, 20)),
            width=int(rng.integers(1, 3)),
        ),
        ServiceClassSpec(name="cash", work=work / 2, soft=1.0, limit=7.0, effect="at-most-once"),
    ]
    count = 1 + int(rng.integers(MAX_FAULTS))
    return check(
        Scenario(
            name="rough",
            says="drawn at random",
            seed=seed,
            length=LENGTH,
            fleet=fleet,
            grade=service_classes,
            worker=WorkerSpec(
                cold_for=float(rng.uniform(1, 8)),
                cold_from=float(rng.uniform(0.15, 0.6)),
                early=0.2,
                twice=0.2,
                error_rate=float(rng.uniform(0, 0.05)),
                idle_close=float(rng.uniform(1, 20)),
                queue=int(rng.integers(1, 9)),
                cancels=pick(rng, ["none", "queued", "running"]),
                hands_back=bool(rng.integers(2)),
                progress=pick(rng, [0.0, 0.5, 1.0]),
            ),
            roster=DiscoverySpec(
                notice=float(rng.uniform(0.1, 3)), add=float(rng.uniform(0.1, 2)), whole=0.2
            ),
            clients=ClientSpec(
                load=float(rng.uniform(0.3, 1.3)), retries=float(rng.uniform(0, 2)), impatient=0.05
            ),
            network=NetworkSpec(
                cross=float(rng.uniform(0.001, 0.03)),
                jitter=float(rng.uniform(0, 1)),
                shred=float(rng.uniform(0, 0.3)),
            ),
            dispatcher=DispatcherSpec(dispatches=int(rng.integers(1, 6))),
            durable=DurableSpec(
                on=durable,
                limit=40.0,
                start_within=float(rng.uniform(2, 15)),
                beat_within=float(rng.uniform(1.2, 5)),
                sync=float(rng.uniform(0.0005, 0.02)),
                segment_kb=float(rng.uniform(4, 60)),
                zeros=0.4,
            ),
            incident=[draw_fault(rng, fleet, LENGTH, durable) for _ in range(count)]
            + [draw_fatal_fault(rng, fleet, LENGTH) for _ in range(FATAL_FAULTS if durable else 0)],
        )
    )
