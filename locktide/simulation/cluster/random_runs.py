"""Runs of a cluster in virtual time with randomly drawn faults; the seed determines the run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from random import Random
from typing import Any

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.member import ClusterMember
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.simulation.cluster.virtual_cluster import ClusterNetwork, VirtualCluster, VirtualMember

SECOND = 1_000_000  # microseconds
#: How long a run takes, in microseconds.
RUN_TIME = 42 * SECOND
#: Quotas of tenants whose demand changes between none and more than their rate, and one that is never lent.
QUOTAS = (
    QuotaSpec("dairy", 60.0, 60.0, True),
    QuotaSpec("goats", 40.0, 80.0, True),
    QuotaSpec("sheep", 90.0, 90.0, True),
    QuotaSpec("cold"),
)
#: Time without faults at the end of a run, in microseconds; all live members should agree after it.
QUIET_TIME = 20 * SECOND
#: Time at the very end in which no job is submitted, started or ended, in microseconds.
IDLE_TIME = 2 * SECOND
#: Configuration of the fairness ledgers.
FAIRNESS = FairnessConfig(
    ["slots"], {"dairy": 1, "goats": 2, "sheep": 1}, {"plain": [1000]}, [3000], 5 * SECOND
)
#: The last four are drawn less often than the others.
FAULTS = (
    "cut",
    "cut one way",
    "lossy",
    "doubling",
    "late",
    "garbling",
    "truncating",
    "pause",
    "kill",
    "restart",
    "twice",
    "two thirds",
    "majority gone",
    "leave",
)


@dataclass
class RunOutcome:
    """The outcome of one run.

    Attributes:
        seed: the seed of the run.
        members: how many names of members there are.
        faults: how often each fault was injected.
        overruns: how often a quota was exceeded.
        first: the time, quota and description of the first overrun; empty if there is none.
        spent: how many tokens were spent.
        borrowed: how many of them were taken from loans.
        returns: how many owners returned while some of their quota was lent.
        in_force: at the end, the shares of one quota in force as a fraction of those that may be; 1 if all
            are granted.
        ledgers: how many different ledgers there are at the end, after `IDLE_TIME` without a change; 1 if all
            are equal.
        agree: whether all live members regard the same members as alive at the end.
        has_leader: whether there is a leader at the end; also True if a majority of the acceptors is dead, as
            none can be elected then.
    """

    seed: int
    members: int
    faults: dict[str, int] = field(default_factory=dict)
    overruns: int = 0
    first: str = ""
    spent: int = 0
    borrowed: int = 0
    returns: int = 0
    in_force: float = 0.0
    ledgers: int = 0
    agree: bool = False
    has_leader: bool = True

    @property
    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name."""
        return asdict(self)


class RandomRun:
    """One cluster with random demand and faults; each fault is undone after a random time.

    Attributes:
        seed: the seed of the run.
        random: the source of random draws, besides that of the cluster.
        acceptor_count: how many of the names are acceptors.
        cluster: the cluster.
        job_count: how many jobs were submitted to the ledgers.
        names: the names of the members.
        fault_counts: how often each fault was injected.
        double_count: how many second processes of a name were started.
        removed_names: names whose processes were killed for good.
        busy_members: names of the members at which most requests are submitted at present.
        demand_factors: the present demand of each tenant, as a multiple of the usual one.
    """

    def __init__(
        self, seed: int, members: int, member_factory: Callable[..., ClusterMember] = ClusterMember
    ) -> None:
        self.seed, self.random = seed, Random(seed * 7919 + members)
        names = [f"d{number}" for number in range(members)]
        self.acceptor_count = 3 if members < 5 else 5
        self.cluster = VirtualCluster(
            seed,
            names,
            self.acceptor_count,
            members + 3,
            member_factory=member_factory,
            quotas=QUOTAS,
            lendable_fraction=0.8,
            fairness=FAIRNESS,
        )
        self.job_count = 0
        self.names, self.fault_counts = names, Counter[str]()
        self.double_count = 0
        self.removed_names: set[str] = set()
        for name in names:
            self.cluster.call_at(self.random.randrange(SECOND), self.cluster.start, name)
        self.busy_members = self.random.sample(names, max(1, members // 3))
        self.demand_factors = dict.fromkeys(("dairy", "goats", "sheep"), 1.0)

    def submit_requests(self) -> None:
        """Submit requests and change jobs at all members, and schedule the next call of this method."""
        for process in self.cluster.processes:
            for tenant, factor in self.demand_factors.items():
                max_requests = (12.0 if process.name in self.busy_members else 2.0) * factor
                for _ in range(int(self.random.random() * max_requests)):
                    process.spend(tenant)
        if self.cluster.now < RUN_TIME - IDLE_TIME:
            for process in self.cluster.processes:
                if process.alive and not process.paused:
                    self.change_jobs(process)
        for tenant in self.demand_factors:
            if self.random.random() < 0.02:
                self.demand_factors[tenant] = self.random.choice((0.0, 0.0, 0.3, 1.0, 3.0))
        if self.random.random() < 0.02:
            self.busy_members = self.random.sample(self.names, len(self.busy_members))
        self.cluster.call_at(self.cluster.now + self.random.randrange(20_000, 120_000), self.submit_requests)

    def change_jobs(self, process: VirtualMember) -> None:
        """Submit, start and end jobs in the ledger of that process."""
        assert process.member.ledger is not None
        usage = process.member.ledger.usage
        if not usage.ready_workers:
            entries = [EndpointEntry(f"w{n}", "z", "k", 0, EndpointState.READY, 1.0, 0) for n in range(8)]
            usage.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))
        self.job_count += 1
        tenant = self.random.choice(("dairy", "goats", "sheep"))
        usage.observe(RequestArrived(f"j{self.job_count}", "plain", 1 << 60, tenant=tenant))
        for job, request in list(usage.open_requests.items()):
            draw = self.random.random()
            if not request.running and draw < 0.3:
                usage.observe(StartAttempt(job, "w0"))
            elif request.running and draw < 0.1:
                usage.observe(AttemptEnded(job, 0, AttemptOutcome.DONE, True))

    def choose_process(self) -> VirtualMember | None:
        """Return a random process that is neither dead nor paused; None if there is none."""
        live = [process for process in self.cluster.processes if process.alive and not process.paused]
        return self.random.choice(live) if live else None

    def undo_later(self, delay: int, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule the call that undoes a fault; at the latest at the start of the quiet time."""
        self.cluster.call_at(min(self.cluster.now + delay, RUN_TIME - QUIET_TIME), callback, *args)

    def inject(self, fault: str) -> None:
        """Inject a fault, and schedule its end."""
        self.fault_counts[fault] += 1
        cluster, duration = self.cluster, self.random.randrange(SECOND // 5, 6 * SECOND)
        process = self.choose_process()
        if fault in ("cut", "cut one way"):
            separated = set(self.random.sample(self.names, self.random.randrange(1, len(self.names))))
            links = {(one, other) for one in separated for other in self.names if other not in separated}
            if fault == "cut":
                links |= {(other, one) for one, other in links}
            cluster.network.cut |= links
            self.undo_later(duration, cluster.network.cut.difference_update, links)
        elif fault in ("lossy", "doubling", "late", "garbling", "truncating"):
            key = {"lossy": "lose", "doubling": "double", "garbling": "garble", "truncating": "truncate"}.get(
                fault, fault
            )
            setattr(cluster.network, key, self.random.uniform(0.05, 0.6))
            self.undo_later(duration, setattr, cluster.network, key, 0.0)
        elif fault == "two thirds":
            live = [one for one in cluster.processes if one.alive]
            for one in self.random.sample(live, 2 * len(live) // 3):
                self.kill_process(one, duration)
        elif fault == "majority gone":
            for name in self.names[: self.acceptor_count // 2 + 1]:
                if (process_of_name := cluster.live_process(name)) is not None:
                    self.removed_names.add(name)
                    self.kill_process(process_of_name, 0)
        elif process is not None:
            if fault == "pause":
                process.pause()
                self.undo_later(duration, process.resume)
            elif fault in ("kill", "restart"):
                self.kill_process(process, duration if fault == "kill" else 1_000)
            elif fault == "leave":
                process.leave()
                self.undo_later(duration, self.restart, process.name)
            elif fault == "twice" and self.double_count < 2:
                # `max_members` allows three processes more than names; the third of them is a reserve.
                self.double_count += 1
                double = cluster.start(process.name, 9500 + self.double_count)
                self.undo_later(duration, double.kill)

    def kill_process(self, process: VirtualMember, restart_after: int) -> None:
        """Kill a process; start it again after a time, unless that is 0 or the process is a second one."""
        process.kill()
        if restart_after and process.address[1] < 9500:
            self.undo_later(restart_after, self.restart, process.name)

    def restart(self, name: str) -> None:
        """Start a process of that name, unless one is alive or the name is removed."""
        if self.cluster.live_process(name) is None and name not in self.removed_names:
            self.cluster.start(name)

    def run(self) -> RunOutcome:
        """Run to the end, and return the outcome."""
        cluster = self.cluster
        cluster.call_at(0, self.submit_requests)
        # Faults overlap. Each of the others is drawn three times as often as each of the last four.
        for _ in range(self.random.randrange(4, 16)):
            cluster.call_at(
                self.random.randrange(3 * SECOND, RUN_TIME - QUIET_TIME - SECOND),
                self.inject,
                self.random.choice(FAULTS[:-4] * 3 + FAULTS[-4:]),
            )
        cluster.call_at(RUN_TIME - QUIET_TIME, setattr, cluster, "network", ClusterNetwork())
        cluster.run(RUN_TIME)
        return self.summarize(cluster.checker.overruns())

    def summarize(self, overruns: list[Any]) -> RunOutcome:
        """Return the outcome, with the state of the cluster at present."""
        cluster = self.cluster
        # A second process of a name makes the first step down for good, until an operator restarts it.
        live = [process for process in cluster.processes if process.alive and not process.member.stepped_down]
        views = {tuple(process.member.swim.alive()) for process in live}
        leaders = [
            process
            for process in live
            if process.member.election is not None and process.member.allocator is not None
        ]
        can_elect = sum(process.member.election is not None for process in live) > self.acceptor_count // 2
        total_share = sum(process.member.local_quota.shares["dairy"] for process in live)
        quota = live[0].member.local_quota if live else None
        max_total_share = quota.divisible + quota.guaranteed_minimum * len(live) if quota is not None else 0
        return RunOutcome(
            self.seed,
            len(self.names),
            dict(self.fault_counts),
            len(overruns),
            f"{overruns[0].at / 1e6:.3f} s: {overruns[0].quota}, {overruns[0].description}"
            if overruns
            else "",
            sum(process.spent_tokens for process in cluster.processes),
            sum(process.borrowed_tokens for process in cluster.processes),
            len(cluster.checker.reclaims(3 * SECOND)),
            total_share / max_total_share if max_total_share else 0.0,
            len(
                {
                    process.member.ledger.standing.digest
                    for process in live
                    if process.member.ledger is not None
                }
            ),
            len(views) <= 1,
            bool(leaders) or not can_elect,
        )


def run(
    seed: int, members: int = 0, member_factory: Callable[..., ClusterMember] = ClusterMember
) -> RunOutcome:
    """Run with that seed; if `members` is 0, with 3, 5 or 9 members, by the seed."""
    return RandomRun(seed, members or (3, 5, 9)[seed % 3], member_factory).run()
