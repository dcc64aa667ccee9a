"""Compares the ledgers of members in virtual time with a count of the jobs and with a central solver.

The solver shares no code with the cluster: it computes in floats and finds the water level by bisection.
"""

from __future__ import annotations

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

SECOND = 1_000_000  # microseconds
#: Two resources, and the needs of a job of each service class, in thousandths; their bottlenecks differ.
RESOURCES = ["slots", "memory"]
NEEDS = {"wide": [1_000, 200], "deep": [200, 1_500], "plain": [500, 500]}
#: The service class and the weight of each tenant.
TENANTS = {"dairy": ("wide", 1), "goats": ("deep", 1), "sheep": ("plain", 2), "hens": ("wide", 1)}
#: The capacity of each worker, in thousandths, and how many workers there are.
WORKER_CAPACITY, WORKER_COUNT = [4_000, 6_000], 12
#: How long a job of a dispatcher that died counts as running, in microseconds.
MAX_JOB_TIME = 6 * SECOND


def solve_dominant_shares(
    capacity: list[int], demands: dict[int, list[int]], weights: dict[int, int]
) -> dict[int, float]:
    """Compute the dominant shares of weighted progressive filling, with bisection for the level."""
    max_shares = {
        name: max(
            (amount / whole if whole else 1.0) if amount else 0.0
            for amount, whole in zip(demand, capacity, strict=True)
        )
        for name, demand in demands.items()
    }
    fixed_shares = {name: 0.0 for name, max_share in max_shares.items() if max_share == 0.0}
    open_tenants = set(max_shares) - set(fixed_shares)

    def shares_at(level: float) -> dict[int, float]:
        return fixed_shares | {name: min(max_shares[name], level * weights[name]) for name in open_tenants}

    def resource_use(shares: dict[int, float], index: int) -> float:
        return sum(
            share / max_shares[name] * demands[name][index]
            for name, share in shares.items()
            if max_shares[name]
        )

    def is_feasible(level: float) -> bool:
        shares = shares_at(level)
        return all(resource_use(shares, index) <= whole * (1 + 1e-12) for index, whole in enumerate(capacity))

    while open_tenants:
        low, high = 0.0, 2.0
        for _ in range(60):
            middle = (low + high) / 2
            low, high = (middle, high) if is_feasible(middle) else (low, middle)
        shares = shares_at(low)
        exhausted = [
            index for index, whole in enumerate(capacity) if resource_use(shares, index) >= whole * (1 - 1e-9)
        ]
        settled = {
            name
            for name in open_tenants
            if shares[name] >= max_shares[name] - 1e-12 or any(demands[name][index] for index in exhausted)
        } or set(open_tenants)
        fixed_shares |= {name: shares[name] for name in settled}
        open_tenants -= settled
    return fixed_shares


class FairnessRun:
    """A cluster to which tenants submit jobs at random times.

    Attributes:
        config: configuration of the ledgers.
        cluster: the cluster.
        random: the source of random draws, which is that of the cluster.
        job_count: how many jobs were submitted.
        jobs: the jobs that wait or run, by id: member, tenant, and whether the job runs.
    """

    def __init__(self, seed: int, members: int, lose: float = 0.0) -> None:
        names = [f"d{number}" for number in range(members)]
        self.config = FairnessConfig(
            RESOURCES,
            {name: weight for name, (_, weight) in TENANTS.items()},
            NEEDS,
            WORKER_CAPACITY,
            MAX_JOB_TIME,
        )
        self.cluster = VirtualCluster(
            seed, names, min(5, members - 1 + members % 2), members + 2, fairness=self.config
        )
        self.random, self.job_count = self.cluster.random, 0
        self.cluster.network.lose = lose
        self.jobs: dict[str, tuple[str, str, bool]] = {}
        entries = [
            EndpointEntry(f"w{n}", "z", "k", 0, EndpointState.READY, 1.0, 0) for n in range(WORKER_COUNT)
        ]
        for name in names:
            process = self.cluster.start(name)
            assert process.member.ledger is not None
            process.member.ledger.usage.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))

    def notify_member(self, member: str, change: object) -> None:
        """Pass a change to the usage of a member's ledger, if the member is alive."""
        process = self.cluster.live_process(member)
        if process is not None and process.member.ledger is not None:
            process.member.ledger.usage.observe(change)

    def step(self) -> None:
        """Submit, start and end a few jobs; most of the jobs of dairy are submitted at the first member."""
        for tenant, (service_class, _) in TENANTS.items():
            if self.random.random() < 0.5:
                self.job_count += 1
                job = f"j{self.job_count}"
                is_at_first_member = tenant == "dairy" and self.random.random() < 0.8
                member = (
                    self.cluster.names[0] if is_at_first_member else self.random.choice(self.cluster.names)
                )
                self.jobs[job] = (member, tenant, False)
                self.notify_member(member, RequestArrived(job, service_class, 1 << 60, tenant=tenant))
        for job, (member, tenant, is_running) in list(self.jobs.items()):
            draw = self.random.random()
            if not is_running and draw < 0.1:
                self.jobs[job] = (member, tenant, True)
                self.notify_member(member, StartAttempt(job, "w0"))
            elif is_running and draw < 0.01:
                del self.jobs[job]
                self.notify_member(member, AttemptEnded(job, 0, AttemptOutcome.DONE, True))

    def run(self, seconds: float) -> None:
        """Run for a time, with a step each 40 milliseconds."""
        until = self.cluster.now + int(seconds * SECOND)
        while self.cluster.now < until:
            self.step()
            self.cluster.run(self.cluster.now + 40_000)

    def drop_jobs_of_dead_members(self) -> None:
        """Remove the jobs of members that have died from the count."""
        self.jobs = {
            job: state
            for job, state in self.jobs.items()
            if (process := self.cluster.live_process(state[0])) is not None and process.alive
        }

    def live_indices(self) -> list[int]:
        """Return the indices of the processes that are alive."""
        return [index for index, process in enumerate(self.cluster.processes) if process.alive]

    def run_until_equal(self, max_seconds: float = 10.0) -> float:
        """Run without new jobs until the ledgers of all live members are equal.

        Returns:
            The seconds until then; `max_seconds` if they were not equal within that time.
        """
        started_at = self.cluster.now
        while self.cluster.now < started_at + max_seconds * SECOND:
            ledgers = [one.member.ledger for one in self.cluster.processes if one.alive]
            digests = {(one.replica.digest, one.standing.digest) for one in ledgers if one is not None}
            if len(digests) == 1 and len(set(next(iter(digests)))) == 1 and self.has_written_all():
                return (self.cluster.now - started_at) / SECOND
            self.cluster.run(self.cluster.now + 50_000)
        return max_seconds

    def has_written_all(self) -> bool:
        """Return whether each live member has written all of its usage into its rows."""
        for process in self.cluster.processes:
            ledger = process.member.ledger
            if not process.alive or ledger is None:
                continue
            writer = ledger.replica.writers.get(ledger.member_id)
            for index, held in ledger.usage.in_use.items():
                row = writer.rows.get(index) if writer is not None else None
                current = held, ledger.usage.waiting[index]
                if any(held) and (row is None or (row.in_use, row.waiting) != current):
                    return False
        return True

    def measure_share_error(self) -> float:
        """Return the largest error of a dominant or fair share at any live member.

        The dominant shares are compared with those of the jobs that run, and the fair shares with the result
        of the solver for the jobs that run or wait.
        """
        names = sorted(TENANTS)
        held = {index: [0, 0] for index in range(len(names))}
        demands = {index: [0, 0] for index in range(len(names))}
        for _, tenant, is_running in self.jobs.values():
            index = names.index(tenant)
            for resource, amount in enumerate(NEEDS[TENANTS[tenant][0]]):
                demands[index][resource] += amount
                held[index][resource] += amount * is_running
        capacity = [amount * WORKER_COUNT for amount in WORKER_CAPACITY]
        fair_shares = solve_dominant_shares(
            capacity, demands, {index: TENANTS[name][1] for index, name in enumerate(names)}
        )
        max_error = 0.0
        for process in self.cluster.processes:
            if not process.alive or process.member.ledger is None:
                continue
            standing = process.member.ledger.standing
            for index, name in enumerate(names):
                dominant_share = max(a / c for a, c in zip(held[index], capacity, strict=True))
                max_error = max(
                    max_error, abs(standing.dominant_shares.get(name, 0) / (1 << 40) - dominant_share)
                )
                max_error = max(
                    max_error, abs(standing.fair_shares.get(name, 0) / (1 << 40) - fair_shares[index])
                )
        return max_error
