"""Cluster members in virtual time, on an emulated network that loses, delays, doubles and damages datagrams.

Messages are encoded and decoded, so that truncated and garbled datagrams are handled as on a real network.
Each process has its own clock: its rate is off by nearly `MAX_CLOCK_DRIFT`, its value by a random amount. The
same seed gives the same run. Times are whole microseconds of the clock that all processes share, unless they
are said to be of the clock of a process.
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
#: Unix time at which each run begins, in microseconds; generations of processes are counted from it.
EPOCH = 1_800_000_000_000_000
#: How many datagrams the kernel's receive buffer holds for a paused process; later ones are dropped.
MAX_HELD_DATAGRAMS = 200


@dataclass
class ClusterNetwork:
    """Faults of the network.

    Attributes:
        lose: probability that a datagram is lost.
        double: probability that a datagram is delivered twice.
        garble: probability that one bit of a datagram is flipped.
        truncate: probability that the end of a datagram is cut off.
        min_delay: the shortest delay, in microseconds.
        max_delay: the longest delay of a datagram that is not late, in microseconds.
        late: probability of a delay of up to two seconds.
        cut: pairs of sender and receiver, by name, between which nothing is delivered in that direction.
    """

    lose: float = 0.0
    double: float = 0.0
    garble: float = 0.0
    truncate: float = 0.0
    min_delay: int = 300
    max_delay: int = 3_000
    late: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)


class VirtualMember:
    """One process of a member in virtual time.

    Attributes:
        cluster: the cluster that it belongs to.
        name: the name of the member.
        address: host and port at which the process receives datagrams.
        clock_rate: the rate of its clock, as a multiple of that of the shared clock.
        clock_offset: what its clock showed at its start, in microseconds.
        started_at: when the process started, on the shared clock.
        alive: whether the process has not been killed.
        paused: whether the process is stopped, as by SIGSTOP.
        held_datagrams: datagrams that arrived while it was paused.
        generation: the generation of the process.
        member: the cluster member under test.
        process_key: identifies the process at the checker.
        spent_tokens: tokens that it has spent.
        borrowed_tokens: those of them that were taken from a loan.
        latest_wakeup: the number of the tick that was scheduled last.
    """

    def __init__(self, cluster: VirtualCluster, name: str, port: int, clock_drift: float) -> None:
        self.cluster, self.name, self.address = cluster, name, ("10.0.0.1", port)
        self.clock_rate = 1.0 + clock_drift
        self.clock_offset = cluster.random.randrange(10**12)
        self.started_at = cluster.now
        self.alive, self.paused = True, False
        self.held_datagrams: list[bytes] = []
        self.generation = EPOCH + cluster.now + cluster.random.randrange(1000)
        self.member = cluster.make_member(self)
        self.process_key = (name, self.generation, port)
        self.spent_tokens = self.borrowed_tokens = self.latest_wakeup = 0
        self.record_quota()
        self.schedule_tick()

    def clock(self) -> int:
        """Return the time by the clock of the process."""
        return self.clock_offset + int((self.cluster.now - self.started_at) * self.clock_rate)

    def to_shared_clock(self, local_time: int) -> int:
        """Convert a time of the clock of the process to the shared clock, rounded up."""
        return self.started_at + -int(-(local_time - self.clock_offset) // self.clock_rate)

    def record_quota(self) -> None:
        """Report to the checker what is in force at this process from now on."""
        quota = self.member.local_quota
        shares_until = self.to_shared_clock(quota.shares_until) if quota.shares_until else 0
        loans_until = self.to_shared_clock(quota.loans_until) if quota.loans_until else 0
        self.cluster.checker.record_quotas(
            self.process_key,
            self.cluster.now,
            quota.shares,
            shares_until,
            quota.guaranteed_minimum,
            quota.loans,
            loans_until,
        )

    def schedule_tick(self) -> None:
        """Schedule a tick at the next wakeup of the member."""
        self.latest_wakeup += 1  # `tick` ignores those that were scheduled before
        self.cluster.call_at(
            max(self.cluster.now + 1, self.to_shared_clock(self.member.next_wakeup)),
            self.tick,
            self.latest_wakeup,
        )

    def tick(self, wakeup_number: int = 0) -> None:
        """Let the member perform the work that is due, unless a later tick has been scheduled."""
        if not self.alive or self.paused or wakeup_number != self.latest_wakeup:
            return
        if self.clock() >= self.member.next_wakeup:
            self.handle_output(self.member.tick(self.clock()))
        self.schedule_tick()

    def receive(self, datagram: bytes) -> None:
        """Handle a datagram; hold it back while the process is paused."""
        if not self.alive:
            return
        if self.paused:
            self.held_datagrams = [*self.held_datagrams, datagram][:MAX_HELD_DATAGRAMS]
            return
        envelope = decode(datagram)
        if envelope is not None:
            self.handle_output(self.member.handle(envelope, self.clock()))
            self.schedule_tick()

    def handle_output(self, outgoing: list[Any]) -> None:
        """Send the messages that the member returned, and record the changes of its last call."""
        for address, message in outgoing:
            self.cluster.send(self, address, encode((self.name, self.generation), message))
        if self.member.update.quotas_changed or self.member.update.leases_renewed:
            self.record_quota()
        self.cluster.events += [
            (self.cluster.now, self.name, event.kind, event.record) for event in self.member.update.events
        ]

    def spend(self, quota: str) -> bool:
        """Submit a request of that quota; return whether there was a token for it."""
        if not self.alive or self.paused:
            return False
        if self.member.local_quota.expire(self.clock()):
            self.record_quota()
        self.cluster.checker.record_submission(quota, self.cluster.now)
        previous_wakeup, source = self.member.next_wakeup, self.member.spend(quota, self.clock())
        if self.member.next_wakeup < previous_wakeup:
            self.schedule_tick()
        if source is None:
            return False
        self.spent_tokens += 1
        self.borrowed_tokens += source != quota
        self.cluster.checker.record_spending(source, self.cluster.now)
        return True

    # --- faults

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        """End a pause: handle the datagrams that were held back, and tick again."""
        self.paused = False
        held_datagrams, self.held_datagrams = self.held_datagrams, []
        for datagram in held_datagrams:
            self.receive(datagram)
        self.schedule_tick()

    def kill(self) -> None:
        self.alive = False
        self.cluster.checker.record_end(self.process_key, self.cluster.now)

    def leave(self) -> None:
        """Stop the process cleanly: it notifies the other members."""
        if self.alive and not self.paused:
            self.handle_output(self.member.leave(self.clock()))
            self.kill()


class VirtualCluster:
    """A cluster in virtual time, with its network and the checker of its quotas.

    Attributes:
        random: the source of all random draws.
        now: the time on the shared clock.
        scheduled_count: how many calls have been scheduled; orders those of the same time.
        event_queue: heap of the scheduled calls: time, number, callback and its arguments.
        names: the names of the members, in the order of their ports from 9000 on.
        quotas: the quotas that the members divide.
        reserved_fraction: fraction of each quota that is spread evenly as guaranteed minimums.
        member_factory: makes a member from its configuration and the time.
        max_members: how many processes may run at once.
        acceptors: the addresses of the acceptors by name.
        network: the faults of the network at present.
        has_clock_drift: whether the clocks of processes differ in rate.
        lendable_fraction: fraction of the idle part of a quota that may be lent.
        fairness: configuration of the fairness ledger; None for no ledger.
        checker: checks the quotas that are in force and spent.
        events: membership events: time, member that reported it, kind and record.
        processes_by_address: the latest process at each address.
        processes: all processes that were started, in that order.
        sent_datagrams: how many datagrams were sent.
        sent_bytes: their total size.
    """

    def __init__(
        self,
        seed: int,
        names: list[str],
        acceptor_count: int = 3,
        max_members: int = 0,
        reserved_fraction: float = 0.15,
        quotas: tuple[QuotaSpec, ...] = (QuotaSpec("dairy", 60.0, 60.0), QuotaSpec("cold")),
        has_clock_drift: bool = True,
        member_factory: Callable[[ClusterConfig, int], ClusterMember] = ClusterMember,
        lendable_fraction: float = 0.0,
        fairness: FairnessConfig | None = None,
    ) -> None:
        self.random, self.now, self.scheduled_count = Random(seed), 0, 0
        self.event_queue: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.names, self.quotas, self.reserved_fraction, self.member_factory = (
            names,
            list(quotas),
            reserved_fraction,
            member_factory,
        )
        self.max_members = max_members or len(names) + 2
        self.acceptors = {
            name: ("10.0.0.1", 9000 + index) for index, name in enumerate(names[:acceptor_count])
        }
        self.network, self.has_clock_drift, self.lendable_fraction, self.fairness = (
            ClusterNetwork(),
            has_clock_drift,
            lendable_fraction,
            fairness,
        )
        self.checker = QuotaChecker({spec.name: (spec.rate, spec.burst) for spec in quotas})
        self.events: list[tuple[int, str, str, Any]] = []
        self.processes_by_address: dict[Address, VirtualMember] = {}
        self.processes: list[VirtualMember] = []
        self.sent_datagrams = self.sent_bytes = 0

    def make_member(self, process: VirtualMember) -> ClusterMember:
        """Make the cluster member of a process."""
        seeds = list(self.acceptors.values())
        config = ClusterConfig(
            (process.name, process.generation),
            process.address,
            self.acceptors,
            seeds,
            self.quotas,
            self.reserved_fraction,
            self.max_members,
            self.random.randrange(1 << 60),
            self.lendable_fraction,
            self.fairness,
        )
        return self.member_factory(config, process.clock())

    def start(self, name: str, port: int = 0) -> VirtualMember:
        """Start a process of that name; `port` is for a second process while the first may still run."""
        clock_drift = (
            self.random.choice((-1, 1)) * MAX_CLOCK_DRIFT / 1e6 * 0.99 if self.has_clock_drift else 0.0
        )
        process = VirtualMember(self, name, port or 9000 + self.names.index(name), clock_drift)
        self.processes_by_address[process.address] = process
        self.processes.append(process)
        return process

    def live_process(self, name: str) -> VirtualMember | None:
        """Return the process at the usual address of that name; None if it is not alive."""
        process = self.processes_by_address.get(("10.0.0.1", 9000 + self.names.index(name)))
        return process if process is not None and process.alive else None

    def call_at(self, time: int, callback: Callable[..., Any], *args: Any) -> None:
        """Schedule a call; those of the same time are made in the order in which they were scheduled."""
        self.scheduled_count += 1
        heapq.heappush(self.event_queue, (time, self.scheduled_count, callback, args))

    def run(self, until: int) -> None:
        """Make all calls that are due until then, and advance the time to it."""
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.event_queue)
            callback(*args)
        self.now = until

    def send(self, sender: VirtualMember, address: Address, datagram: bytes) -> None:
        """Send a datagram through the network with its faults."""
        network, draw = self.network, self.random.random
        self.sent_datagrams, self.sent_bytes = self.sent_datagrams + 1, self.sent_bytes + len(datagram)
        target = self.processes_by_address.get(address)
        if target is None or (sender.name, target.name) in network.cut or draw() < network.lose:
            return
        if draw() < network.garble:
            position = self.random.randrange(len(datagram))
            changed = datagram[position] ^ 1 << self.random.randrange(8)
            datagram = datagram[:position] + bytes([changed]) + datagram[position + 1 :]
        if draw() < network.truncate:
            datagram = datagram[: self.random.randrange(len(datagram))]
        for _ in range(2 if draw() < network.double else 1):
            delay = self.random.randint(network.min_delay, network.max_delay)
            if draw() < network.late:
                delay = self.random.randint(0, 2_000_000)
            self.call_at(self.now + delay, self.deliver, address, datagram)

    def deliver(self, address: Address, datagram: bytes) -> None:
        """Hand a datagram to the process that has the address by now, if there is one."""
        if (target := self.processes_by_address.get(address)) is not None:
            target.receive(datagram)
