"""Measures what lending serves while most quotas are idle, and how soon returning owners regain theirs.

A run has five members in virtual time, and ten tenants of which six are idle. The demand of each of the other
four is two and a half times its rate, most of it at two members. The result is compared with that of no
lending and with an oracle: one bucket for all quotas, idle or not, from which all requests are served. Then
idle owners return, each at one member, while a fault is injected.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster.quota_checker import LoanReclaim
from locktide.simulation.cluster.virtual_cluster import VirtualCluster, VirtualMember

SECOND, STEP = 1_000_000, 20_000  # microseconds
#: How many tenants there are and how many of them are idle, the rate of each in tokens a second, and the
#: demand of a busy tenant as a multiple of its rate.
TENANT_COUNT, IDLE_COUNT, RATE, DEMAND_FACTOR = 10, 6, 60.0, 2.5
#: Seconds until the loans have settled, and seconds after that in which requests are counted.
WARM_UP_S, MEASURED_S = 14, 20
FAULTS = (
    "none",
    "a tenth lost",
    "a borrower paused",
    "a borrower killed",
    "who divides killed",
    "a borrower cut off",
)


@dataclass
class BorrowingResult:
    """The result of one run.

    Attributes:
        served: fraction of the requests of busy tenants that is served.
        oracle: the fraction that the oracle serves.
        overruns: how often a quota was exceeded.
        reclaims: the reclaims of the owners that returned.
        served_after_return: fraction that is served of the requests of returned owners, from one second after
            their return.
    """

    served: float
    oracle: float
    overruns: int
    reclaims: list[LoanReclaim] = field(default_factory=list)
    served_after_return: float = 0.0


class BorrowingRun:
    """One cluster with the demand of its tenants.

    Attributes:
        random: the source of random draws of its own.
        cluster: the cluster.
        request_rates: requests a second, by tenant and member.
        due_requests: how many requests are due and not yet submitted, by tenant and member.
    """

    def __init__(self, seed: int, lendable_fraction: float) -> None:
        self.random = Random(seed)
        names = [f"d{number}" for number in range(5)]
        quotas = tuple(QuotaSpec(f"t{number}", RATE, 2 * RATE, True) for number in range(TENANT_COUNT))
        self.cluster = VirtualCluster(
            seed, names, 5, 6, reserved_fraction=0.1, quotas=quotas, lendable_fraction=lendable_fraction
        )
        for name in names:
            self.cluster.start(name)
        self.request_rates: dict[tuple[str, str], float] = {}
        for number in range(IDLE_COUNT, TENANT_COUNT):
            chosen = self.random.sample(names, 2)
            for name in names:
                self.request_rates[f"t{number}", name] = (
                    RATE * DEMAND_FACTOR * (0.4 if name in chosen else 0.2 / 3)
                )
        self.due_requests = dict.fromkeys(self.request_rates, 0.0)

    def run(self, seconds: float) -> tuple[int, int, dict[str, list[int]]]:
        """Run for a time; return how many requests were submitted and served, in total and by tenant."""
        cluster, submitted, served = self.cluster, 0, 0
        counts_by_tenant: dict[str, list[int]] = {}
        until = cluster.now + int(seconds * SECOND)
        while cluster.now < until:
            cluster.run(cluster.now + STEP)
            for key, rate in self.request_rates.items():
                self.due_requests[key] = self.due_requests.get(key, 0.0) + rate * STEP / SECOND
                while self.due_requests[key] >= 1.0:
                    self.due_requests[key] -= 1.0
                    process = cluster.live_process(key[1])
                    if process is None or process.paused:
                        continue  # its clients use another member or wait, which is not counted
                    is_served = process.spend(key[0])
                    counts = counts_by_tenant.setdefault(key[0], [0, 0])
                    counts[0], counts[1], submitted, served = (
                        counts[0] + 1,
                        counts[1] + is_served,
                        submitted + 1,
                        served + is_served,
                    )
        return submitted, served, counts_by_tenant

    def find_borrower(self) -> VirtualMember:
        """Return the member with the largest loans that is not the leader."""
        candidates = [
            process
            for process in self.cluster.processes
            if process.alive and process.member.allocator is None
        ]
        return max(candidates, key=lambda process: sum(process.member.local_quota.loans.values()))


def measure_service(seed: int, lendable_fraction: float) -> BorrowingResult:
    """Run without faults, and measure how many requests of the busy tenants are served."""
    run = BorrowingRun(seed, lendable_fraction)
    run.run(WARM_UP_S)
    submitted, served, _ = run.run(MEASURED_S)
    oracle = min(1.0, TENANT_COUNT / ((TENANT_COUNT - IDLE_COUNT) * DEMAND_FACTOR))
    return BorrowingResult(served / submitted, oracle, len(run.cluster.checker.overruns()))


def measure_reclaims(seed: int, fault: str) -> BorrowingResult:
    """Measure the reclaims of three idle owners that return in turn, the first as the fault is injected."""
    run = BorrowingRun(seed, 0.8)
    cluster = run.cluster
    # Each owner has some requests first: the checker counts a return only after an earlier submission.
    run.request_rates |= {(f"t{number}", "d0"): 2.0 for number in range(3)}
    run.run(2)
    for number in range(3):
        del run.request_rates[f"t{number}", "d0"]
    run.run(WARM_UP_S)
    victim = run.find_borrower()
    leader = next((process for process in cluster.processes if process.member.allocator is not None), victim)
    if fault == "a tenth lost":
        cluster.network.lose = 0.1
    elif fault == "a borrower paused":
        victim.pause()
        cluster.call_at(cluster.now + 6 * SECOND, victim.resume)
    elif fault == "a borrower killed":
        victim.kill()
    elif fault == "who divides killed":
        leader.kill()
    elif fault == "a borrower cut off":
        links = {(victim.name, name) for name in cluster.names} | {
            (name, victim.name) for name in cluster.names
        }
        cluster.network.cut |= links
    candidates = [process.name for process in cluster.processes if process.alive and process is not victim]
    submitted = served = 0
    for number in range(3):
        member = run.random.choice(candidates)
        run.request_rates[f"t{number}", member] = RATE
        run.due_requests[f"t{number}", member] = 1.0
        run.run(1.0)
        _, _, counts_by_tenant = run.run(2.0)
        counts = counts_by_tenant.get(f"t{number}", [0, 0])
        submitted, served = submitted + counts[0], served + counts[1]
        del run.request_rates[f"t{number}", member]
    checker = cluster.checker
    return BorrowingResult(
        0.0, 0.0, len(checker.overruns()), checker.reclaims(3 * SECOND), served / max(1, submitted)
    )
