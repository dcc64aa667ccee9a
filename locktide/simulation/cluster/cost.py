"""What the accord costs one member in fleets of a size, and how long a death takes to be known by all.

Virtual time; the processor's time is that of the agents' own calls with packing, on this machine.
"""

from __future__ import annotations

import time
import tracemalloc
from dataclasses import dataclass

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.member import ClusterMember
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.events import AttemptEnded, RequestArrived
from locktide.scheduler.types import AttemptOutcome
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

SECOND = 1_000_000
WARM, LENGTH = 8, 10  # seconds


@dataclass(frozen=True)
class Cost:
    members: int
    tenants: int
    datagrams: float  # a second and member, sent
    kilobytes: float  # the same, in thousands of bytes
    largest: int  # bytes of the largest datagram
    leader_kilobytes: float  # of who divides
    core: float  # part of a core, on average over the members
    megabytes: float  # of one agent
    known_after: float  # seconds from a death until the last has dropped it; 0 where that took too long
    first_after: float  # until the first has


def measure(members: int, tenants: int, seed: int = 1) -> Cost:
    names = [f"d{number}" for number in range(members)]
    budgets = tuple(QuotaSpec(f"t{number}", 100.0, 500.0, True) for number in range(tenants))
    terms = FairnessConfig(
        ["slots", "memory"],
        {budget.name: 1 for budget in budgets},
        {"plain": [1000, 200]},
        [3000, 8000],
        20 * SECOND,
    )
    electors = min(5, members - 1 + members % 2)
    world = VirtualCluster(seed, names, electors, members + 2, 0.5, budgets, lend=0.5, ledger=terms)
    sent: dict[str, list[int]] = {name: [0, 0, 0] for name in names}
    send, counting, spent = world.send, False, 0.0

    def counted(sender: object, address: tuple[str, int], datagram: bytes) -> None:
        if counting:
            row = sent[sender.name]  # type: ignore[attr-defined]
            row[:] = row[0] + 1, row[1] + len(datagram), max(row[2], len(datagram))
        send(sender, address, datagram)  # type: ignore[arg-type]

    world.send = counted  # type: ignore[method-assign]
    for place, name in enumerate(names):
        world.at(place * SECOND // members, world.begin, name)
    world.run(WARM * SECOND)
    counting, begun = True, time.process_time()
    # Each member is asked for two submissions a second, of tenants in turn.
    for step in range(2 * LENGTH):
        for place, process in enumerate(world.all):
            tenant = budgets[(step + place) % tenants].name
            process.spend(tenant)
            assert process.agent.ledger is not None
            holdings, job = process.agent.ledger.usage, f"j{step}"
            holdings.observe(RequestArrived(job, "plain", 1 << 60, tenant=tenant))
            holdings.observe(StartAttempt(job, "w0"))
            holdings.observe(AttemptEnded(f"j{step - 2}", 0, AttemptOutcome.DONE, True))
        world.run(world.now + SECOND // 2)
    counting, spent = False, time.process_time() - begun
    leader = next((one.name for one in world.all if one.agent.allocator is not None), "")
    victim = next(one for one in reversed(world.all) if one.name != leader)
    victim.kill()
    died, first, last = world.now, 0, 0
    while world.now < died + 60 * SECOND and not last:
        world.run(world.now + SECOND // 10)
        know = [victim.name not in one.agent.swim.alive() for one in world.all if one.alive]
        first = first or (world.now if any(know) else 0)
        last = world.now if all(know) else 0
    totals = list(sent.values())
    return Cost(
        members,
        tenants,
        sum(row[0] for row in totals) / members / LENGTH,
        sum(row[1] for row in totals) / members / LENGTH / 1000,
        max(row[2] for row in totals),
        sent[leader][1] / LENGTH / 1000 if leader else 0.0,
        spent / members / LENGTH,
        memory(world),
        (last - died) / SECOND if last else 0.0,
        (first - died) / SECOND if first else 0.0,
    )


def memory(world: VirtualCluster) -> float:
    """Megabytes of one more agent that has heard of all the others."""
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    agent: ClusterMember = world.make(world.all[0])
    for row in world.all[0].agent.swim.view.table.records.values():
        agent.swim.view.merge(row, world.all[0].clock(), "")
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    return sum(stat.size_diff for stat in after.compare_to(before, "filename")) / 1e6
