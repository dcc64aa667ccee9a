"""Election of the leader: at most one member leads at a time."""

from __future__ import annotations

from typing import Any

import pytest
from cluster_helpers import SECOND, settled_cluster

from locktide.cluster.election.acceptor import Acceptor
from locktide.simulation.cluster.virtual_cluster import VirtualCluster


def leader_count(cluster: VirtualCluster) -> int:
    return sum(
        process.member.election is not None and process.member.election.proposer.is_leader(process.clock())
        for process in cluster.processes
        if process.alive
    )


@pytest.mark.parametrize("skips_silence", [False, True])
def test_two_members_lead_at_once_only_if_a_restarted_acceptor_is_not_silent(
    skips_silence: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of three acceptors leads with the vote of another, which restarts and votes for the third.

    A restarted acceptor has lost its promises: without its silence both would hold the leader lease.
    """
    original_init = Acceptor.__init__

    def init_without_silence(self: Any, now: int, *lease: int) -> None:
        original_init(self, now, *lease)
        self.silent_until = 0

    if skips_silence:
        monkeypatch.setattr(Acceptor, "__init__", init_without_silence)
    moments_with_two_leaders = 0
    for seed in range(6):
        cluster = settled_cluster(seed, 3)
        leader = next(process for process in cluster.processes if process.member.allocator is not None)
        first, second = (process for process in cluster.processes if process is not leader)
        leader_links = {(leader.name, second.name), (second.name, leader.name)}
        cluster.network.cut = set(leader_links)
        cluster.run(cluster.now + SECOND)
        first.kill()
        cluster.start(first.name)
        cluster.network.cut = leader_links | {(leader.name, first.name), (first.name, leader.name)}
        for _ in range(300):
            cluster.run(cluster.now + 10_000)
            moments_with_two_leaders += leader_count(cluster) > 1
        assert not cluster.checker.overruns(), "a new leader also waits until all earlier grants have expired"
    assert bool(moments_with_two_leaders) == skips_silence
