"""How much of its rate a tenant gets whose traffic falls mostly on one member: even parts beside divided.

Virtual time, five members, 80% at the first, which asks for as much as the whole rate together with the rest.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

RATE, SECOND = 100.0, 1_000_000
FIRST, REST = 0.8, 0.05
WARM, LENGTH = 8, 24  # seconds: until it has settled, and in which is counted
TROUBLES = ("none", "kill of another", "kill of who divides", "partition", "pause of another")


@dataclass(frozen=True)
class SkewResult:
    trouble: str
    static: float  # served of what was asked for, with even parts
    divided: float
    overruns: int


def play(trouble: str, seed: int) -> SkewResult:
    names, budgets = [f"d{number}" for number in range(5)], (QuotaSpec("dairy", RATE, 5 * RATE),)
    world = VirtualCluster(seed, names, 5, 7, reserve=0.1, budgets=budgets)
    for name in world.names:
        world.begin(name)
    world.run(WARM * SECOND // 2)
    asked = served = even = 0.0
    due = [0.0] * 5
    levels = [RATE] * 5  # the even parts' own buckets, with their bursts as they are in the decisions
    for step in range((WARM + LENGTH) * 50):
        world.run(world.now + SECOND // 50)
        if step == (WARM + 4) * 50:
            begin(world, trouble)
        for place, name in enumerate(world.names):
            due[place] += RATE * (FIRST if place == 0 else REST) / 50
            levels[place] = min(RATE, levels[place] + RATE / 5 / 50)
            process = world.live(name)
            while due[place] >= 1.0:
                due[place] -= 1.0
                if process is None or process.paused:
                    continue  # clients go elsewhere, or wait: neither is counted
                got = process.spend("dairy")
                level = levels[place] >= 1.0
                levels[place] -= level
                if step >= WARM * 50:
                    asked, served, even = asked + 1, served + got, even + level
    return SkewResult(trouble, even / asked, served / asked, len(world.meter.overruns()))


def begin(world: VirtualCluster, trouble: str) -> None:
    other = next(one for one in world.all if one.name != "d0" and one.agent.allocator is None)
    if trouble == "kill of another":
        other.kill()
    elif trouble == "kill of who divides":
        leader = next((one for one in world.all if one.agent.allocator is not None), other)
        (other if leader.name == "d0" else leader).kill()
    elif trouble == "partition":
        world.net.cut = {pair for name in world.names for pair in ((name, other.name), (other.name, name))}
    elif trouble == "pause of another":
        other.pause()
        world.at(world.now + 5 * SECOND, other.go_on)
