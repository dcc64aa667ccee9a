"""Ledgers of many members in virtual time, held against a recount from the other side and a central solver.

The solver shares no code with the accord: floats, and a level that is sought by halving.
"""

from __future__ import annotations

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.events import AttemptEnded, EndpointEntry, EndpointListUpdate, RequestArrived
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

SECOND = 1_000_000
# Two resources; what one job of each tenant's grade holds of them, in thousandths: different bottlenecks.
RESOURCES = ["slots", "memory"]
NEEDS = {"wide": [1_000, 200], "deep": [200, 1_500], "plain": [500, 500]}
TENANTS = {"dairy": ("wide", 1), "goats": ("deep", 1), "sheep": ("plain", 2), "hens": ("wide", 1)}
EACH, WORKERS = [4_000, 6_000], 12
LONGEST = 6 * SECOND


def solved(capacity: list[int], demands: dict[int, list[int]], weights: dict[int, int]) -> dict[int, float]:
    """The dominant shares of weighted progressive filling, by halving."""
    wanted = {
        name: max(
            (amount / whole if whole else 1.0) if amount else 0.0
            for amount, whole in zip(demand, capacity, strict=True)
        )
        for name, demand in demands.items()
    }
    fixed = {name: 0.0 for name, most in wanted.items() if most == 0.0}
    open_ = set(wanted) - set(fixed)

    def given(level: float) -> dict[int, float]:
        return fixed | {name: min(wanted[name], level * weights[name]) for name in open_}

    def used(shares: dict[int, float], place: int) -> float:
        return sum(
            share / wanted[name] * demands[name][place] for name, share in shares.items() if wanted[name]
        )

    def fits(level: float) -> bool:
        shares = given(level)
        return all(used(shares, place) <= whole * (1 + 1e-12) for place, whole in enumerate(capacity))

    while open_:
        low, high = 0.0, 2.0
        for _ in range(60):
            middle = (low + high) / 2
            low, high = (middle, high) if fits(middle) else (low, middle)
        shares = given(low)
        full = [place for place, whole in enumerate(capacity) if used(shares, place) >= whole * (1 - 1e-9)]
        done = {
            name
            for name in open_
            if shares[name] >= wanted[name] - 1e-12 or any(demands[name][place] for place in full)
        } or set(open_)
        fixed |= {name: shares[name] for name in done}
        open_ -= done
    return fixed


class FairnessRun:
    """Members at which tenants' jobs come and go, drawn; `jobs` is what truly is out and waits."""

    def __init__(self, seed: int, members: int, lose: float = 0.0) -> None:
        names = [f"d{number}" for number in range(members)]
        self.terms = FairnessConfig(
            RESOURCES, {name: weight for name, (_, weight) in TENANTS.items()}, NEEDS, EACH, LONGEST
        )
        self.world = VirtualCluster(
            seed, names, min(5, members - 1 + members % 2), members + 2, ledger=self.terms
        )
        self.random, self.made = self.world.random, 0
        self.world.net.lose = lose
        self.jobs: dict[str, tuple[str, str, bool]] = {}  # by id: member, tenant, whether it is out
        entries = [EndpointEntry(f"w{n}", "z", "k", 0, EndpointState.READY, 1.0, 0) for n in range(WORKERS)]
        for name in names:
            process = self.world.begin(name)
            assert process.agent.ledger is not None
            process.agent.ledger.usage.observe(EndpointListUpdate(ListUpdateKind.SNAPSHOT, entries))

    def tell(self, member: str, piece: object) -> None:
        process = self.world.live(member)
        if process is not None and process.agent.ledger is not None:
            process.agent.ledger.usage.observe(piece)

    def step(self) -> None:
        """A few jobs come, go out, and end; dairy's mostly at one member."""
        for tenant, (grade, _) in TENANTS.items():
            if self.random.random() < 0.5:
                self.made += 1
                job = f"j{self.made}"
                skewed = tenant == "dairy" and self.random.random() < 0.8
                member = self.world.names[0] if skewed else self.random.choice(self.world.names)
                self.jobs[job] = (member, tenant, False)
                self.tell(member, RequestArrived(job, grade, 1 << 60, tenant=tenant))
        for job, (member, tenant, out) in list(self.jobs.items()):
            draw = self.random.random()
            if not out and draw < 0.1:
                self.jobs[job] = (member, tenant, True)
                self.tell(member, StartAttempt(job, "w0"))
            elif out and draw < 0.01:
                del self.jobs[job]
                self.tell(member, AttemptEnded(job, 0, AttemptOutcome.DONE, True))

    def run(self, seconds: float) -> None:
        until = self.world.now + int(seconds * SECOND)
        while self.world.now < until:
            self.step()
            self.world.run(self.world.now + 40_000)

    def quiet(self) -> None:
        """What was at those that died is gone."""
        self.jobs = {
            job: told
            for job, told in self.jobs.items()
            if (process := self.world.live(told[0])) is not None and process.alive
        }

    def live(self) -> list[int]:
        return [place for place, one in enumerate(self.world.all) if one.alive]

    def until_equal(self, most: float = 10.0) -> float:
        """Seconds until all that live have the same digest; the longest there is, where they do not."""
        begun = self.world.now
        while self.world.now < begun + most * SECOND:
            ledgers = [one.agent.ledger for one in self.world.all if one.alive]
            digests = {(one.replica.digest, one.standing.digest) for one in ledgers if one is not None}
            if len(digests) == 1 and len(set(next(iter(digests)))) == 1 and self.written():
                return (self.world.now - begun) / SECOND
            self.world.run(self.world.now + 50_000)
        return most

    def written(self) -> bool:
        """Whether all that is held here stands in the rows."""
        for one in self.world.all:
            ledger = one.agent.ledger
            if not one.alive or ledger is None:
                continue
            pages = ledger.replica.writers.get(ledger.member_id)
            for place, held in ledger.usage.in_use.items():
                row = pages.rows.get(place) if pages is not None else None
                now = held, ledger.usage.waiting[place]
                if any(held) and (row is None or (row.in_use, row.waiting) != now):
                    return False
        return True

    def distance(self) -> float:
        """The largest difference of any member's shares, held and fair, from what truly is out and a central
        solver on that.
        """
        names = sorted(TENANTS)
        held = {place: [0, 0] for place in range(len(names))}
        asked = {place: [0, 0] for place in range(len(names))}
        for _, tenant, out in self.jobs.values():
            place = names.index(tenant)
            for resource, amount in enumerate(NEEDS[TENANTS[tenant][0]]):
                asked[place][resource] += amount
                held[place][resource] += amount * out
        capacity = [amount * WORKERS for amount in EACH]
        fair = solved(capacity, asked, {place: TENANTS[name][1] for place, name in enumerate(names)})
        worst = 0.0
        for one in self.world.all:
            if not one.alive or one.agent.ledger is None:
                continue
            standing = one.agent.ledger.standing
            for place, name in enumerate(names):
                true = max(a / c for a, c in zip(held[place], capacity, strict=True))
                worst = max(worst, abs(standing.dominant_shares.get(name, 0) / (1 << 40) - true))
                worst = max(worst, abs(standing.fair_shares.get(name, 0) / (1 << 40) - fair[place]))
        return worst
