"""Election of the leader: at most one member at a time."""

from __future__ import annotations

from typing import Any

import pytest
from cluster_helpers import SECOND, settled_cluster

from locktide.cluster.election.acceptor import Acceptor
from locktide.simulation.cluster.virtual_cluster import VirtualCluster


def leaders(cluster: VirtualCluster) -> int:
    return sum(
        process.member.election is not None and process.member.election.proposer.is_leader(process.clock())
        for process in cluster.processes
        if process.alive
    )


@pytest.mark.parametrize("eager", [False, True])
def test_two_members_lead_at_once_only_if_a_restarted_acceptor_is_not_silent(
    eager: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of three acceptors one leads by the vote of another, which restarts and votes for the third."""
    original = Acceptor.__init__

    def without_silence(self: Any, now: int, *lease: int) -> None:
        original(self, now, *lease)
        self.silent_until = 0

    if eager:
        monkeypatch.setattr(Acceptor, "__init__", without_silence)
    moments_with_two_leaders = 0
    for seed in range(6):
        cluster = settled_cluster(seed, 3)
        leader = next(process for process in cluster.processes if process.member.allocator is not None)
        first, second = (process for process in cluster.processes if process is not leader)
        pair = {(leader.name, second.name), (second.name, leader.name)}
        cluster.network.cut = set(pair)
        cluster.run(cluster.now + SECOND)
        first.kill()
        cluster.start(first.name)
        cluster.network.cut = pair | {(leader.name, first.name), (first.name, leader.name)}
        for _ in range(300):
            cluster.run(cluster.now + 10_000)
            moments_with_two_leaders += leaders(cluster) > 1
        assert not cluster.checker.overruns(), "a new leader waits out what the other one granted, besides"
    assert bool(moments_with_two_leaders) == eager
