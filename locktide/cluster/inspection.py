"""What a member sees, as plain values: for `locktide cluster show`."""

from __future__ import annotations

from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.member_table import STATES


def inspect(agent: ClusterMember, now: int) -> dict[str, object]:
    """What this member sees, as plain values."""
    leads = agent.proposer is not None and agent.proposer.is_leader(now)
    held = agent.lease_holder.current_shares(now)
    return {
        "name": agent.member_id[0],
        "start": agent.member_id[1],
        "leads": leads,
        "led_by": agent.lease_holder.term[1] if agent.lease_holder.term else None,
        "term": list(agent.lease_holder.term) if agent.lease_holder.term else None,
        "health": agent.swim.health.score,
        "stepped_down": agent.stepped_down,
        "parts": dict(sorted(agent.local_quota.shares.items())),
        "loans": [[*pair, part] for pair, part in sorted(agent.local_quota.loans.items())],
        "ledger": inspect_ledger(agent),
        "for_us": max(0, agent.lease_holder.shares_until - now) if held else 0,
        "members": [
            {
                "name": row.name,
                "start": row.generation,
                "turn": row.incarnation,
                "state": STATES[row.state],
                "address": f"{row.address[0]}:{row.address[1]}",
            }
            for row in sorted(agent.swim.table.records.values(), key=lambda row: row.name)
        ],
    }


def inspect_ledger(agent: ClusterMember) -> dict[str, object]:
    if agent.ledger is None:
        return {}
    standing = agent.ledger.standing
    return {
        "digest": f"{standing.digest:016x}",
        "contended": standing.contended,
        "order": standing.order,
        "held": standing.dominant_shares,
        "fair": standing.fair_shares,
        "over": sorted(standing.over_share),
    }
