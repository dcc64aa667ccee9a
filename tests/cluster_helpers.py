"""Helpers of the cluster's tests."""

from __future__ import annotations

from hypothesis import strategies as st

from locktide.cluster.fairness.ledger import FairnessLedger
from locktide.cluster.messages import MemberRecord, MemberState
from locktide.simulation.cluster.virtual_cluster import VirtualCluster, VirtualMember

SECOND = 1_000_000  # microseconds
MEMBER_RECORDS = st.builds(
    MemberRecord,
    st.text(max_size=20),
    st.integers(0, 2**53),
    st.integers(0, 99),
    st.sampled_from(MemberState),
    st.tuples(st.text(max_size=20), st.integers(0, 65535)),
)


def settled_cluster(seed: int = 3, members: int = 5, seconds: int = 8) -> VirtualCluster:
    """Return a cluster in virtual time that has elected a leader and divided its quotas."""
    cluster = VirtualCluster(seed, [f"d{number}" for number in range(members)], 3 if members < 5 else 5)
    for name in cluster.names:
        cluster.start(name)
    cluster.run(seconds * SECOND)
    return cluster


def live_member(cluster: VirtualCluster, name: str) -> VirtualMember:
    """Return the live process of that name."""
    process = cluster.live_process(name)
    assert process is not None
    return process


def ledger_of(process: VirtualMember) -> FairnessLedger:
    """Return the fairness ledger of a member that is configured with one."""
    ledger = process.member.ledger
    assert ledger is not None
    return ledger
