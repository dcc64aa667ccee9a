"""What a member sees, as plain values: for `locktide cluster show`."""

from __future__ import annotations

from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.member_table import STATES


def inspect(agent: ClusterMember, now: int) -> dict[str, object]:
    """What this member sees, as plain values."""
    leads = agent.candidate is not None and agent.candidate.leads(now)
    held = agent.holder.current_shares(now)
    return {
        "name": agent.who[0],
        "start": agent.who[1],
        "leads": leads,
        "led_by": agent.holder.term[1] if agent.holder.term else None,
        "term": list(agent.holder.term) if agent.holder.term else None,
        "health": agent.swim.health.score,
        "stepped_down": agent.stepped_down,
        "parts": dict(sorted(agent.purse.shares.items())),
        "loans": [[*pair, part] for pair, part in sorted(agent.purse.loans.items())],
        "ledger": inspect_ledger(agent),
        "for_us": max(0, agent.holder.shares_until - now) if held else 0,
        "members": [
            {
                "name": row.name,
                "start": row.start,
                "turn": row.turn,
                "state": STATES[row.state],
                "address": f"{row.address[0]}:{row.address[1]}",
            }
            for row in sorted(agent.swim.table.rows.values(), key=lambda row: row.name)
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
