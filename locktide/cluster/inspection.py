"""Renders a member's view of the cluster as plain values, for `locktide cluster show`.

The keys are part of the JSON that the command prints, so they must not change.
"""

from __future__ import annotations

from locktide.cluster.member import ClusterMember
from locktide.cluster.messages import MemberRecord


def inspect(member: ClusterMember, now: int) -> dict[str, object]:
    """Return this member's view of the cluster, its quotas and its fairness ledger."""
    is_leader = member.election is not None and member.election.term_as_leader(now) is not None
    lease_holder, local_quota = member.lease_holder, member.local_quota
    held = lease_holder.current_shares(now)
    records = sorted(member.swim.view.table.records.values(), key=lambda record: record.name)
    return {
        "name": member.member_id[0],
        "start": member.member_id[1],
        "leads": is_leader,
        "led_by": lease_holder.term[1] if lease_holder.term else None,
        "term": list(lease_holder.term) if lease_holder.term else None,
        "health": member.swim.view.health.score,
        "stepped_down": member.stepped_down,
        "parts": dict(sorted(local_quota.shares.items())),
        "loans": [[*pair, part] for pair, part in sorted(local_quota.loans.items())],
        "ledger": inspect_ledger(member),
        "for_us": max(0, lease_holder.shares_until - now) if held else 0,
        "members": [inspect_record(record) for record in records],
    }


def inspect_record(record: MemberRecord) -> dict[str, object]:
    """Return a member's record as plain values."""
    return {
        "name": record.name,
        "start": record.generation,
        "turn": record.incarnation,
        "state": record.state.name.lower(),
        "address": f"{record.address[0]}:{record.address[1]}",
    }


def inspect_ledger(member: ClusterMember) -> dict[str, object]:
    """Return the standing of the fairness ledger; empty if the member has no ledger."""
    if member.ledger is None:
        return {}
    standing = member.ledger.standing
    return {
        "digest": f"{standing.digest:016x}",
        "contended": standing.contended,
        "order": standing.order,
        "held": standing.dominant_shares,
        "fair": standing.fair_shares,
        "over": sorted(standing.over_share),
    }
