"""Measures the cost of the cluster to one member, by the size of the cluster, and how soon a death is known.

The runs are in virtual time. The processor time is measured on this machine; it includes the encoding and
decoding of messages.
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
#: Seconds until the cluster has settled, and seconds after that in which the cost is measured.
WARM_UP_S, MEASURED_S = 8, 10


@dataclass(frozen=True)
class Cost:
    """The cost of a cluster of one size.

    Attributes:
        members: how many members there are.
        tenants: how many tenants have a quota.
        datagrams: datagrams that a member sends a second, on average.
        kilobytes: thousands of bytes that a member sends a second, on average.
        largest: the size of the largest datagram, in bytes.
        leader_kilobytes: thousands of bytes that the leader sends a second.
        core: fraction of a core that a member uses, on average.
        megabytes: the memory of one member, in millions of bytes.
        known_after: seconds from a death until the last member knew of it; 0 if that took over a minute.
        first_known_after: seconds from a death until the first member knew of it; 0 if over a minute.
    """

    members: int
    tenants: int
    datagrams: float
    kilobytes: float
    largest: int
    leader_kilobytes: float
    core: float
    megabytes: float
    known_after: float
    first_known_after: float


def measure(members: int, tenants: int, seed: int = 1) -> Cost:
    """Measure the cost of a cluster with that many members and tenants."""
    names = [f"d{number}" for number in range(members)]
    quotas = tuple(QuotaSpec(f"t{number}", 100.0, 500.0, True) for number in range(tenants))
    fairness = FairnessConfig(
        ["slots", "memory"],
        {quota.name: 1 for quota in quotas},
        {"plain": [1000, 200]},
        [3000, 8000],
        20 * SECOND,
    )
    acceptor_count = min(5, members - 1 + members % 2)
    cluster = VirtualCluster(
        seed, names, acceptor_count, members + 2, 0.5, quotas, lendable_fraction=0.5, fairness=fairness
    )
    totals_by_sender: dict[str, list[int]] = {name: [0, 0, 0] for name in names}
    send, is_counting, cpu_time = cluster.send, False, 0.0

    def send_and_count(sender: object, address: tuple[str, int], datagram: bytes) -> None:
        if is_counting:
            totals = totals_by_sender[sender.name]  # type: ignore[attr-defined]
            totals[:] = totals[0] + 1, totals[1] + len(datagram), max(totals[2], len(datagram))
        send(sender, address, datagram)  # type: ignore[arg-type]

    cluster.send = send_and_count  # type: ignore[method-assign]
    for index, name in enumerate(names):
        cluster.call_at(index * SECOND // members, cluster.start, name)
    cluster.run(WARM_UP_S * SECOND)
    is_counting, cpu_time_before = True, time.process_time()
    # Each member gets two requests a second, of the tenants in turn.
    for step in range(2 * MEASURED_S):
        for index, process in enumerate(cluster.processes):
            tenant = quotas[(step + index) % tenants].name
            process.spend(tenant)
            assert process.member.ledger is not None
            usage, job = process.member.ledger.usage, f"j{step}"
            usage.observe(RequestArrived(job, "plain", 1 << 60, tenant=tenant))
            usage.observe(StartAttempt(job, "w0"))
            usage.observe(AttemptEnded(f"j{step - 2}", 0, AttemptOutcome.DONE, True))
        cluster.run(cluster.now + SECOND // 2)
    is_counting, cpu_time = False, time.process_time() - cpu_time_before
    leader = next(
        (candidate.name for candidate in cluster.processes if candidate.member.allocator is not None), ""
    )
    victim = next(candidate for candidate in reversed(cluster.processes) if candidate.name != leader)
    victim.kill()
    died_at, first_known_at, all_known_at = cluster.now, 0, 0
    while cluster.now < died_at + 60 * SECOND and not all_known_at:
        cluster.run(cluster.now + SECOND // 10)
        knows_death = [
            victim.name not in candidate.member.swim.alive()
            for candidate in cluster.processes
            if candidate.alive
        ]
        first_known_at = first_known_at or (cluster.now if any(knows_death) else 0)
        all_known_at = cluster.now if all(knows_death) else 0
    all_totals = list(totals_by_sender.values())
    return Cost(
        members,
        tenants,
        sum(totals[0] for totals in all_totals) / members / MEASURED_S,
        sum(totals[1] for totals in all_totals) / members / MEASURED_S / 1000,
        max(totals[2] for totals in all_totals),
        totals_by_sender[leader][1] / MEASURED_S / 1000 if leader else 0.0,
        cpu_time / members / MEASURED_S,
        measure_memory(cluster),
        (all_known_at - died_at) / SECOND if all_known_at else 0.0,
        (first_known_at - died_at) / SECOND if first_known_at else 0.0,
    )


def measure_memory(cluster: VirtualCluster) -> float:
    """Return the memory of one more member that knows all the others, in millions of bytes."""
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    member: ClusterMember = cluster.make_member(cluster.processes[0])
    for record in cluster.processes[0].member.swim.view.table.records.values():
        member.swim.view.merge(record, cluster.processes[0].clock(), "")
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    return sum(stat.size_diff for stat in after.compare_to(before, "filename")) / 1e6
