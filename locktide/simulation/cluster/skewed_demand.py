"""Measures how much is served of a demand that is mostly at one member, with even and with divided shares.

A run has five members in virtual time. The demand of the tenant is its whole rate, 80% of it at the first
member. Beside the shares that the cluster divides, each member has a token bucket of an even share; what is
served from these is counted on its own, for the same requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

RATE, SECOND = 100.0, 1_000_000  # tokens a second, and microseconds
#: Fractions of the demand that are submitted at the first member, and at each of the other four.
FIRST_FRACTION, OTHER_FRACTION = 0.8, 0.05
#: Seconds until the shares have settled, and seconds after that in which requests are counted.
WARM_UP_S, MEASURED_S = 8, 24
FAULTS = ("none", "kill of another", "kill of who divides", "partition", "pause of another")


@dataclass(frozen=True)
class SkewResult:
    """The result of one run.

    Attributes:
        fault: the fault that was injected.
        static: fraction of the requests that is served with even shares.
        divided: fraction of the requests that is served with the shares that the cluster divides.
        overruns: how often the quota was exceeded.
    """

    fault: str
    static: float
    divided: float
    overruns: int


def run(fault: str, seed: int) -> SkewResult:
    """Run once, with that fault four seconds after the counting of requests has begun."""
    names, quotas = [f"d{number}" for number in range(5)], (QuotaSpec("dairy", RATE, 5 * RATE),)
    cluster = VirtualCluster(seed, names, 5, 7, reserved_fraction=0.1, quotas=quotas)
    for name in cluster.names:
        cluster.start(name)
    cluster.run(WARM_UP_S * SECOND // 2)
    submitted = served = served_by_even = 0.0
    due_requests = [0.0] * 5
    even_levels = [RATE] * 5  # tokens in the buckets of even shares, with the bursts that the scheduler has
    for step in range((WARM_UP_S + MEASURED_S) * 50):
        cluster.run(cluster.now + SECOND // 50)
        if step == (WARM_UP_S + 4) * 50:
            inject(cluster, fault)
        for index, name in enumerate(cluster.names):
            due_requests[index] += RATE * (FIRST_FRACTION if index == 0 else OTHER_FRACTION) / 50
            even_levels[index] = min(RATE, even_levels[index] + RATE / 5 / 50)
            process = cluster.live_process(name)
            while due_requests[index] >= 1.0:
                due_requests[index] -= 1.0
                if process is None or process.paused:
                    continue  # its clients use another member or wait, which is not counted
                is_served = process.spend("dairy")
                has_even_token = even_levels[index] >= 1.0
                even_levels[index] -= has_even_token
                if step >= WARM_UP_S * 50:
                    submitted, served, served_by_even = (
                        submitted + 1,
                        served + is_served,
                        served_by_even + has_even_token,
                    )
    return SkewResult(fault, served_by_even / submitted, served / submitted, len(cluster.checker.overruns()))


def inject(cluster: VirtualCluster, fault: str) -> None:
    """Inject the fault at a member other than the first, which has most of the demand."""
    other = next(
        process for process in cluster.processes if process.name != "d0" and process.member.allocator is None
    )
    if fault == "kill of another":
        other.kill()
    elif fault == "kill of who divides":
        leader = next(
            (process for process in cluster.processes if process.member.allocator is not None), other
        )
        (other if leader.name == "d0" else leader).kill()
    elif fault == "partition":
        cluster.network.cut = {
            link for name in cluster.names for link in ((name, other.name), (other.name, name))
        }
    elif fault == "pause of another":
        other.pause()
        cluster.call_at(cluster.now + 5 * SECOND, other.resume)
