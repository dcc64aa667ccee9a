"""Many members of the accord in virtual time, with a network that does all that networks do.

Bytes go through `pack` and `unpack`, so that what is cut short or garbled is met as it would be. Each process
has a clock of its own, off in rate by the stated bound and in value by anything. The same seed gives the same
day.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from locktide.cluster.config import ClusterConfig
from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.member import ClusterMember
from locktide.cluster.messages import decode, encode
from locktide.cluster.quota.lease_timing import MAX_CLOCK_DRIFT
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster.quota_checker import QuotaChecker

Address = tuple[str, int]
EPOCH = 1_800_000_000_000_000
HELD_BACK = 200  # datagrams that a kernel keeps for a process that stands still


@dataclass
class ClusterNetwork:
    """Odds for each datagram, and delays in microseconds."""

    lose: float = 0.0
    double: float = 0.0
    garble: float = 0.0
    truncate: float = 0.0
    least: int = 300
    most: int = 3_000
    late: float = 0.0  # the odds of a delay of up to two seconds
    cut: set[tuple[str, str]] = field(default_factory=set)  # one way each, by name


class VirtualMember:
    def __init__(self, world: VirtualCluster, name: str, port: int, skew: float) -> None:
        self.world, self.name, self.address = world, name, ("10.0.0.1", port)
        self.rate = 1.0 + skew
        self.offset = world.random.randrange(10**12)
        self.begun = world.now
        self.alive, self.paused = True, False
        self.waiting: list[bytes] = []
        self.start = EPOCH + world.now + world.random.randrange(1000)
        self.agent = world.make(self)
        self.key = (name, self.start, port)
        self.spent = self.borrowed = self.woken = 0
        self.log()
        self.wake()

    def clock(self) -> int:
        return self.offset + int((self.world.now - self.begun) * self.rate)

    def shared(self, local: int) -> int:
        """That moment of its clock on the clock that all share, rounded up."""
        return self.begun + -int(-(local - self.offset) // self.rate)

    def log(self) -> None:
        purse = self.agent.local_quota
        until = self.shared(purse.shares_until) if purse.shares_until else 0
        lent = self.shared(purse.loans_until) if purse.loans_until else 0
        self.world.meter.in_force(
            self.key, self.world.now, purse.shares, until, purse.guaranteed_minimum, purse.loans, lent
        )

    def wake(self) -> None:
        self.woken += 1  # of all that were set only the last counts
        self.world.at(max(self.world.now + 1, self.shared(self.agent.next_wakeup)), self.tick, self.woken)

    def tick(self, woken: int = 0) -> None:
        if not self.alive or self.paused or woken != self.woken:
            return
        if self.clock() >= self.agent.next_wakeup:
            self.done(self.agent.tick(self.clock()))
        self.wake()

    def hear(self, datagram: bytes) -> None:
        if not self.alive:
            return
        if self.paused:
            self.waiting = [*self.waiting, datagram][:HELD_BACK]
            return
        said = decode(datagram)
        if said is not None:
            self.done(self.agent.handle(said, self.clock()))
            self.wake()

    def done(self, sends: list[Any]) -> None:
        for address, word in sends:
            self.world.send(self, address, encode((self.name, self.start), word))
        if self.agent.update.quotas_changed or self.agent.update.leases_renewed:
            self.log()
        self.world.events += [
            (self.world.now, self.name, event.kind, event.record) for event in self.agent.update.events
        ]

    def spend(self, budget: str) -> bool:
        if not self.alive or self.paused:
            return False
        if self.agent.local_quota.expire(self.clock()):
            self.log()
        self.world.meter.ask(budget, self.world.now)
        due, of = self.agent.next_wakeup, self.agent.spend(budget, self.clock())
        if self.agent.next_wakeup < due:
            self.wake()
        if of is None:
            return False
        self.spent += 1
        self.borrowed += of != budget
        self.world.meter.spend(of, self.world.now)
        return True

    # --- what is done to it

    def pause(self) -> None:
        self.paused = True

    def go_on(self) -> None:
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for datagram in waiting:
            self.hear(datagram)
        self.wake()

    def kill(self) -> None:
        self.alive = False
        self.world.meter.end(self.key, self.world.now)

    def leave(self) -> None:
        if self.alive and not self.paused:
            self.done(self.agent.leave(self.clock()))
            self.kill()


class VirtualCluster:
    def __init__(
        self,
        seed: int,
        names: list[str],
        electors: int = 3,
        most: int = 0,
        reserve: float = 0.15,
        budgets: tuple[QuotaSpec, ...] = (QuotaSpec("dairy", 60.0, 60.0), QuotaSpec("cold")),
        skewed: bool = True,
        of: Callable[[ClusterConfig, int], ClusterMember] = ClusterMember,
        lend: float = 0.0,
        ledger: FairnessConfig | None = None,
    ) -> None:
        self.random, self.now, self.made = Random(seed), 0, 0
        self.queue: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.names, self.budgets, self.reserve, self.of = names, list(budgets), reserve, of
        self.most = most or len(names) + 2
        self.electors = {name: ("10.0.0.1", 9000 + place) for place, name in enumerate(names[:electors])}
        self.net, self.skewed, self.lend, self.ledger = ClusterNetwork(), skewed, lend, ledger
        self.meter = QuotaChecker({budget.name: (budget.rate, budget.burst) for budget in budgets})
        self.events: list[tuple[int, str, str, Any]] = []
        self.bound: dict[Address, VirtualMember] = {}
        self.all: list[VirtualMember] = []
        self.sent = self.bytes = 0

    def make(self, process: VirtualMember) -> ClusterMember:
        seeds = list(self.electors.values())
        terms = ClusterConfig(
            (process.name, process.start),
            process.address,
            self.electors,
            seeds,
            self.budgets,
            self.reserve,
            self.most,
            self.random.randrange(1 << 60),
            self.lend,
            self.ledger,
        )
        return self.of(terms, process.clock())

    def begin(self, name: str, port: int = 0) -> VirtualMember:
        """Starts a process of that name; at a port of its own where one of that name may still run."""
        skew = self.random.choice((-1, 1)) * MAX_CLOCK_DRIFT / 1e6 * 0.99 if self.skewed else 0.0
        process = VirtualMember(self, name, port or 9000 + self.names.index(name), skew)
        self.bound[process.address] = process
        self.all.append(process)
        return process

    def live(self, name: str) -> VirtualMember | None:
        process = self.bound.get(("10.0.0.1", 9000 + self.names.index(name)))
        return process if process is not None and process.alive else None

    def at(self, when: int, what: Callable[..., Any], *args: Any) -> None:
        self.made += 1
        heapq.heappush(self.queue, (when, self.made, what, args))

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        self.now = until

    def send(self, sender: VirtualMember, address: Address, datagram: bytes) -> None:
        net, draw = self.net, self.random.random
        self.sent, self.bytes = self.sent + 1, self.bytes + len(datagram)
        target = self.bound.get(address)
        if target is None or (sender.name, target.name) in net.cut or draw() < net.lose:
            return
        if draw() < net.garble:
            place = self.random.randrange(len(datagram))
            changed = datagram[place] ^ 1 << self.random.randrange(8)
            datagram = datagram[:place] + bytes([changed]) + datagram[place + 1 :]
        if draw() < net.truncate:
            datagram = datagram[: self.random.randrange(len(datagram))]
        for _ in range(2 if draw() < net.double else 1):
            delay = self.random.randint(net.least, net.most)
            if draw() < net.late:
                delay = self.random.randint(0, 2_000_000)
            self.at(self.now + delay, self.arrive, address, datagram)

    def arrive(self, address: Address, datagram: bytes) -> None:
        if (target := self.bound.get(address)) is not None:
            target.hear(datagram)
