"""What lending brings while most quotas are idle, and how soon an owner that returns has its own again.

Virtual time, five members, ten tenants of which six are idle; the other four are asked for two and a half
times their rates, each mostly at two members. Beside it no lending, and an oracle: one bucket for all that is
idle or not, spent by whoever asks. Then owners come back, each at one member, under a trouble.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster.quota_checker import LoanReclaim
from locktide.simulation.cluster.virtual_cluster import VirtualCluster, VirtualMember

SECOND, STEP = 1_000_000, 20_000
TENANTS, IDLE, RATE, BY = 10, 6, 60.0, 2.5
WARM, LENGTH = 14, 20  # seconds: until loans have settled, and in which service is counted
TROUBLES = (
    "none",
    "a tenth lost",
    "a borrower paused",
    "a borrower killed",
    "who divides killed",
    "a borrower cut off",
)


@dataclass
class BorrowingResult:
    served: float  # of what was asked for, of tenants that are not idle
    oracle: float
    overruns: int
    reclaims: list[LoanReclaim] = field(default_factory=list)
    after: float = 0.0  # served of what returned owners ask for from a second after on


class BorrowingRun:
    def __init__(self, seed: int, lend: float) -> None:
        self.random = Random(seed)
        names = [f"d{number}" for number in range(5)]
        budgets = tuple(QuotaSpec(f"t{number}", RATE, 2 * RATE, True) for number in range(TENANTS))
        self.world = VirtualCluster(seed, names, 5, 6, reserve=0.1, budgets=budgets, lend=lend)
        for name in names:
            self.world.begin(name)
        # By tenant and member: submissions a second.
        self.asked: dict[tuple[str, str], float] = {}
        for number in range(IDLE, TENANTS):
            chosen = self.random.sample(names, 2)
            for name in names:
                self.asked[f"t{number}", name] = RATE * BY * (0.4 if name in chosen else 0.2 / 3)
        self.due = dict.fromkeys(self.asked, 0.0)

    def run(self, seconds: float) -> tuple[int, int, dict[str, list[int]]]:
        """How much was asked for and served, in all and by tenant."""
        world, asked, served = self.world, 0, 0
        by: dict[str, list[int]] = {}
        until = world.now + int(seconds * SECOND)
        while world.now < until:
            world.run(world.now + STEP)
            for pair, rate in self.asked.items():
                self.due[pair] = self.due.get(pair, 0.0) + rate * STEP / SECOND
                while self.due[pair] >= 1.0:
                    self.due[pair] -= 1.0
                    process = world.live(pair[1])
                    if process is None or process.paused:
                        continue  # clients go elsewhere, or wait: neither is counted
                    got = process.spend(pair[0])
                    row = by.setdefault(pair[0], [0, 0])
                    row[0], row[1], asked, served = row[0] + 1, row[1] + got, asked + 1, served + got
        return asked, served, by

    def borrower(self) -> VirtualMember:
        """One that holds loans and does not divide."""
        able = [one for one in self.world.all if one.alive and one.agent.allocator is None]
        return max(able, key=lambda one: sum(one.agent.local_quota.loans.values()))


def worth(seed: int, lend: float) -> BorrowingResult:
    fleet = BorrowingRun(seed, lend)
    fleet.run(WARM)
    asked, served, _ = fleet.run(LENGTH)
    oracle = min(1.0, TENANTS / ((TENANTS - IDLE) * BY))
    return BorrowingResult(served / asked, oracle, len(fleet.world.meter.overruns()))


def returns(seed: int, trouble: str) -> BorrowingResult:
    """Three idle owners come back, one after another, the first just as the trouble begins."""
    fleet = BorrowingRun(seed, 0.8)
    world = fleet.world
    # So that each return is one after a quiet: what nobody ever asked for has not been away.
    fleet.asked |= {(f"t{number}", "d0"): 2.0 for number in range(3)}
    fleet.run(2)
    for number in range(3):
        del fleet.asked[f"t{number}", "d0"]
    fleet.run(WARM)
    victim = fleet.borrower()
    leader = next((one for one in world.all if one.agent.allocator is not None), victim)
    if trouble == "a tenth lost":
        world.net.lose = 0.1
    elif trouble == "a borrower paused":
        victim.pause()
        world.at(world.now + 6 * SECOND, victim.go_on)
    elif trouble == "a borrower killed":
        victim.kill()
    elif trouble == "who divides killed":
        leader.kill()
    elif trouble == "a borrower cut off":
        pairs = {(victim.name, name) for name in world.names} | {(name, victim.name) for name in world.names}
        world.net.cut |= pairs
    able = [one.name for one in world.all if one.alive and one is not victim]
    asked = served = 0
    for number in range(3):
        where = fleet.random.choice(able)
        fleet.asked[f"t{number}", where] = RATE
        fleet.due[f"t{number}", where] = 1.0
        fleet.run(1.0)
        _, _, by = fleet.run(2.0)
        row = by.get(f"t{number}", [0, 0])
        asked, served = asked + row[0], served + row[1]
        del fleet.asked[f"t{number}", where]
    meter = world.meter
    return BorrowingResult(
        0.0, 0.0, len(meter.overruns()), meter.reclaims(3 * SECOND), served / max(1, asked)
    )
