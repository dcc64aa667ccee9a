"""Days of faults among members of the accord, drawn by their seed, and what came of them."""

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

SECOND = 1_000_000
LENGTH = 42 * SECOND
# Tenants of which some are idle for a while and others ask for more than they have; and what is never lent.
BUDGETS = (
    QuotaSpec("dairy", 60.0, 60.0, True),
    QuotaSpec("goats", 40.0, 80.0, True),
    QuotaSpec("sheep", 90.0, 90.0, True),
    QuotaSpec("cold"),
)
QUIET = 20 * SECOND  # at the end: what was done is undone, and all that live should agree again
SETTLES = 2 * SECOND  # at the very end no job comes, goes out or ends
LEDGER = FairnessConfig(
    ["slots"], {"dairy": 1, "goats": 2, "sheep": 1}, {"plain": [1000]}, [3000], 5 * SECOND
)
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
    seed: int
    members: int
    faults: dict[str, int] = field(default_factory=dict)
    overruns: int = 0
    first: str = ""
    spent: int = 0
    borrowed: int = 0  # of it, out of what others lent
    returns: int = 0  # of owners that had lent
    in_force: float = 0.0  # at the end, of what may be in force: 1 where all is handed out
    ledgers: int = 0  # different ones at the end, after SETTLES without a change; 1 where all are equal
    agree: bool = False  # whether all that live count the same as alive at the end
    led_again: bool = True  # whether somebody divides at the end, where a majority of electors lives

    @property
    def told(self) -> dict[str, Any]:
        return asdict(self)


class RandomRun:
    """One world with its traffic; each fault is a method that undoes itself after a drawn time."""

    def __init__(self, seed: int, members: int, of: Callable[..., ClusterMember] = ClusterMember) -> None:
        self.seed, self.random = seed, Random(seed * 7919 + members)
        names = [f"d{number}" for number in range(members)]
        self.electors = 3 if members < 5 else 5
        self.world = VirtualCluster(
            seed, names, self.electors, members + 3, of=of, budgets=BUDGETS, lend=0.8, ledger=LEDGER
        )
        self.jobs = 0
        self.names, self.counts = names, Counter[str]()
        self.doubles = 0
        self.gone: set[str] = set()
        for name in names:
            self.world.at(self.random.randrange(SECOND), self.world.begin, name)
        self.busy = self.random.sample(names, max(1, members // 3))
        self.asked = dict.fromkeys(("dairy", "goats", "sheep"), 1.0)  # how much each tenant is asked for

    def traffic(self) -> None:
        for process in self.world.all:
            for tenant, by in self.asked.items():
                most = (12.0 if process.name in self.busy else 2.0) * by
                for _ in range(int(self.random.random() * most)):
                    process.spend(tenant)
        if self.world.now < LENGTH - SETTLES:
            for process in self.world.all:
                if process.alive and not process.paused:
                    self.work(process)
        for tenant in self.asked:
            if self.random.random() < 0.02:
                self.asked[tenant] = self.random.choice((0.0, 0.0, 0.3, 1.0, 3.0))
        if self.random.random() < 0.02:
            self.busy = self.random.sample(self.names, len(self.busy))
        self.world.at(self.world.now + self.random.randrange(20_000, 120_000), self.traffic)

    def work(self, process: VirtualMember) -> None:
        """Jobs of that process come, go out and end."""
        assert process.agent.ledger is not None
        holdings = process.agent.ledger.usage
        if not holdings.ready_workers:
            entries = [EndpointEntry(f"w{n}", "z", "k", 0, EndpointState.READY, 1.0, 0) for n in range(8)]
            holdings.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))
        self.jobs += 1
        tenant = self.random.choice(("dairy", "goats", "sheep"))
        holdings.observe(RequestArrived(f"j{self.jobs}", "plain", 1 << 60, tenant=tenant))
        for job, one in list(holdings.open_requests.items()):
            draw = self.random.random()
            if not one.running and draw < 0.3:
                holdings.observe(StartAttempt(job, "w0"))
            elif one.running and draw < 0.1:
                holdings.observe(AttemptEnded(job, 0, AttemptOutcome.DONE, True))

    def some(self) -> VirtualMember | None:
        live = [process for process in self.world.all if process.alive and not process.paused]
        return self.random.choice(live) if live else None

    def later(self, span: int, what: Callable[..., Any], *args: Any) -> None:
        # Undone by the time of quiet, whatever was drawn.
        self.world.at(min(self.world.now + span, LENGTH - QUIET), what, *args)

    def fault(self, what: str) -> None:
        self.counts[what] += 1
        world, span = self.world, self.random.randrange(SECOND // 5, 6 * SECOND)
        process = self.some()
        if what in ("cut", "cut one way"):
            part = set(self.random.sample(self.names, self.random.randrange(1, len(self.names))))
            pairs = {(one, other) for one in part for other in self.names if other not in part}
            if what == "cut":
                pairs |= {(other, one) for one, other in pairs}
            world.net.cut |= pairs
            self.later(span, world.net.cut.difference_update, pairs)
        elif what in ("lossy", "doubling", "late", "garbling", "truncating"):
            key = {"lossy": "lose", "doubling": "double", "garbling": "garble", "truncating": "truncate"}.get(
                what, what
            )
            setattr(world.net, key, self.random.uniform(0.05, 0.6))
            self.later(span, setattr, world.net, key, 0.0)
        elif what == "two thirds":
            live = [one for one in world.all if one.alive]
            for one in self.random.sample(live, 2 * len(live) // 3):
                self.end(one, span)
        elif what == "majority gone":
            for name in self.names[: self.electors // 2 + 1]:
                if (live_one := world.live(name)) is not None:
                    self.gone.add(name)
                    self.end(live_one, 0)
        elif process is not None:
            if what == "pause":
                process.pause()
                self.later(span, process.go_on)
            elif what in ("kill", "restart"):
                self.end(process, span if what == "kill" else 1_000)
            elif what == "leave":
                process.leave()
                self.later(span, self.again, process.name)
            elif what == "twice" and self.doubles < 2:
                # The third process beside all names is the spare of `most`.
                self.doubles += 1
                double = world.begin(process.name, 9500 + self.doubles)
                self.later(span, double.kill)

    def end(self, process: VirtualMember, away: int) -> None:
        process.kill()
        if away and process.address[1] < 9500:
            self.later(away, self.again, process.name)

    def again(self, name: str) -> None:
        if self.world.live(name) is None and name not in self.gone:
            self.world.begin(name)

    def play(self) -> RunOutcome:
        world = self.world
        world.at(0, self.traffic)
        # Faults overlap: some at any moment, a few of which are rare.
        for _ in range(self.random.randrange(4, 16)):
            world.at(
                self.random.randrange(3 * SECOND, LENGTH - QUIET - SECOND),
                self.fault,
                self.random.choice(FAULTS[:-4] * 3 + FAULTS[-4:]),
            )
        world.at(LENGTH - QUIET, setattr, world, "net", ClusterNetwork())
        world.run(LENGTH)
        return self.outcome(world.meter.overruns())

    def outcome(self, overruns: list[Any]) -> RunOutcome:
        world = self.world
        # A double makes the first of its name step down for good; an operator is told, and starts it anew.
        live = [one for one in world.all if one.alive and not one.agent.stepped_down]
        views = {tuple(one.agent.swim.alive()) for one in live}
        leads = [one for one in live if one.agent.election is not None and one.agent.allocator is not None]
        able = sum(one.agent.election is not None for one in live) > self.electors // 2
        total = sum(one.agent.local_quota.shares["dairy"] for one in live)
        purse = live[0].agent.local_quota if live else None
        most = purse.divisible + purse.guaranteed_minimum * len(live) if purse is not None else 0
        return RunOutcome(
            self.seed,
            len(self.names),
            dict(self.counts),
            len(overruns),
            f"{overruns[0].at / 1e6:.3f} s: {overruns[0].budget}, {overruns[0].what}" if overruns else "",
            sum(one.spent for one in world.all),
            sum(one.borrowed for one in world.all),
            len(world.meter.reclaims(3 * SECOND)),
            total / most if most else 0.0,
            len({one.agent.ledger.standing.digest for one in live if one.agent.ledger is not None}),
            len(views) <= 1,
            bool(leads) or not able,
        )


def play(seed: int, members: int = 0, of: Callable[..., ClusterMember] = ClusterMember) -> RunOutcome:
    """The same day for the same seed; 3, 5 or 9 members in turn where it is not said how many."""
    return RandomRun(seed, members or (3, 5, 9)[seed % 3], of).play()
