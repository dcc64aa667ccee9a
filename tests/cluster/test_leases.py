"""Lease holder and allocator, tested with single messages: requests, grants and late grants."""

from __future__ import annotations

from cluster_helpers import SECOND, live_member, settled_cluster

from locktide.cluster.config import ClusterConfig
from locktide.cluster.election.participant import ElectionParticipant
from locktide.cluster.leadership import Leadership
from locktide.cluster.messages import (
    VERSION,
    Accepted,
    Ballot,
    Envelope,
    LeaderHeartbeat,
    LeaseGrant,
    LeaseRequest,
    Promise,
)
from locktide.cluster.quota.allocator import Allocator, AllocatorConfig
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import SHARE_LEASE
from locktide.cluster.quota.local_quota import LocalQuota, QuotaSpec
from locktide.cluster.quota_names import QuotaNames
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

MEMBER = ("d0", 1)
TERM: Ballot = (1, "d0", 1)


def requesting_holder(now: int) -> LeaseHolder:
    """Return a holder that has sent its first request."""
    holder = LeaseHolder(MEMBER, now)
    holder.observe_leader(TERM, now)
    assert holder.next_request({0: 5}, now) is not None
    return holder


def grant_of(share: int, number: int = 1) -> LeaseGrant:
    return LeaseGrant(term=TERM, number=number, seq=number, shares={0: share}, loans=[], more_expected=False)


def request_of(number: int, held: int, names_checksum: int = 0) -> LeaseRequest:
    return LeaseRequest(
        term=TERM,
        number=number,
        held_term=TERM,
        seq=number - 1,
        held_shares={0: held},
        demand={0: 5},
        loans=[],
        leaving=False,
        names_checksum=names_checksum,
    )


def test_grant_that_arrives_after_its_lease_has_expired_is_not_accepted() -> None:
    """A grant is delayed in the network until its lease, which counts from the request, has expired.

    The leader counts the lease as expired soon after. If the holder accepted the grant, its share would be in
    force while others hold it.
    """
    assert requesting_holder(0).accept_grant(grant_of(500_000), SHARE_LEASE - 1)
    assert not requesting_holder(0).accept_grant(grant_of(500_000), SHARE_LEASE)


def test_holder_that_was_granted_less_reports_that_soon() -> None:
    """A member is granted a smaller share, as the rest is meant for another member whose demand has begun.

    The leader may grant the rest only after the member has reported its smaller share. If the report waited
    for the regular request, the other member would wait a whole interval longer.
    """
    holder = requesting_holder(0)
    holder.accept_grant(grant_of(500_000), 1_000)
    regular = holder.due
    assert regular == holder.request_interval
    assert holder.next_request({0: 5}, regular) is not None
    holder.accept_grant(grant_of(200_000, number=2), regular + 1_000)
    assert holder.due == regular + 1_000 + holder.urgent_interval < regular + holder.request_interval


def test_requests_in_quick_succession_make_one_damped_step() -> None:
    """Members send a request soon after they give back a part, so requests may follow in quick succession.

    If each of them made a damped step, the share would reach its target at once, and a short burst of demand
    at one member would take everything from the others.
    """
    allocator = Allocator(TERM, AllocatorConfig({0: 1_000_000}), now=0)
    now = 3 * SECOND
    shares = [0]
    for number in (1, 2, 3):
        grant = allocator.handle_request(MEMBER, request_of(number, held=shares[-1]), now + number)
        assert grant is not None
        shares.append(grant.shares[0])
    assert 0 < shares[1] < 900_000 and shares[1] == shares[2] == shares[3]
    grant = allocator.handle_request(MEMBER, request_of(4, held=shares[3]), now + SECOND)
    assert grant is not None and grant.shares[0] > shares[3]


def test_request_of_a_member_with_other_quotas_is_not_answered() -> None:
    """Two dispatchers have different lists of tenants while a new installation file is rolled out.

    The index of a quota is its position among the sorted names, so one index means different tenants to them,
    and a grant would apply to another tenant's quota. The leader must not answer a member whose names differ.
    """
    specs = [QuotaSpec("dairy", rate=10.0, burst=10.0)]
    names = QuotaNames(["dairy"])
    config = ClusterConfig(MEMBER, ("10.0.0.1", 1), {"d0": ("10.0.0.1", 1)}, [], specs, 0.1, max_members=3)
    election = ElectionParticipant(MEMBER, ["d0"], LinearCongruentialGenerator(1), 0)
    leadership = Leadership(config, election, names, LocalQuota(specs, 0.1, 3, 0), 0)
    now = 3 * SECOND
    election.proposer.tick(now)
    ballot = election.proposer.ballot
    election.proposer.handle_promise("d0", Promise(ballot, ballot, None, refused=False), now)
    election.proposer.handle_accepted("d0", Accepted(ballot, ballot, False), now)
    leadership.follow_election(now)
    own, other = (request_of(1, 0, checksum) for checksum in (names.checksum, names.checksum + 1))
    own.term = other.term = ballot
    assert leadership.answer(("d1", 1), other, now) == []
    assert len(leadership.answer(("d1", 1), own, now)) == 1


def test_heartbeats_that_fall_due_with_a_lease_request_are_sent() -> None:
    """A lease request arrived at the very moment at which the leader's heartbeats were due.

    The heartbeats counted as sent but were dropped, so the members received the next ones a whole interval
    later. With requests at the pace of the heartbeats this could repeat until the members' leases expired.
    """
    cluster = settled_cluster()
    leader = next(
        process for name in cluster.names if (process := live_member(cluster, name)).member.allocator
    )
    member = leader.member
    requester = next(name for name in cluster.names if name != leader.name)
    assert member.allocator is not None
    request = request_of(number=10_000, held=0, names_checksum=member.quota_names.checksum)
    request.term = member.allocator.term
    sender = live_member(cluster, requester).member.member_id
    envelope = Envelope(VERSION, *sender, request)
    outgoing = member.handle(envelope, member.leadership.next_heartbeat_at)
    heartbeats = [message for _, message in outgoing if isinstance(message, LeaderHeartbeat)]
    assert len(heartbeats) == len(cluster.names) - 1
    assert any(isinstance(message, LeaseGrant) for _, message in outgoing)
