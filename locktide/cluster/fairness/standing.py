"""The standing computed from the ledger's rows: each tenant's share, its fair share, and who exceeds it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import prod

from locktide.cluster.fairness.dominant_share import dominant_share, progressive_filling
from locktide.cluster.fairness.replicated_ledger import ReplicatedLedger, agreed_capacity, tenant_totals


@dataclass(frozen=True)
class FairnessStanding:
    """The standing of all tenants, the same at every member with the same rows.

    Shares are in parts of `dominant_share.FULL_SHARE`.

    Attributes:
        digest: the digest of the rows from which it was computed.
        order: the tenants by share relative to their weight, the smallest first.
        dominant_shares: the dominant share of each tenant.
        fair_shares: the fair dominant share of each tenant.
        contended: whether any tenant's fair share is less than it demands.
        over_share: the tenants with more than their fair share, while the fleet is contended.
    """

    digest: int = 0
    order: list[str] = field(default_factory=list)
    dominant_shares: dict[str, int] = field(default_factory=dict)
    fair_shares: dict[str, int] = field(default_factory=dict)
    contended: bool = False
    over_share: frozenset[str] = frozenset()


def compute_standing(
    replica: ReplicatedLedger, tenants: list[str], weights: dict[int, int], resource_count: int
) -> FairnessStanding:
    """Compute the standing of all tenants; `weights` by the tenant's index in `tenants`."""
    capacity = agreed_capacity(replica, resource_count)
    in_use, demand = tenant_totals(replica, resource_count)
    in_use = {tenant: amounts for tenant, amounts in in_use.items() if tenant in weights}
    fair = progressive_filling(capacity, {tenant: demand[tenant] for tenant in in_use}, weights)
    shares = {tenant: dominant_share(amounts, capacity) for tenant, amounts in in_use.items()}
    wanted = {tenant: dominant_share(demand[tenant], capacity) for tenant in in_use}
    contended = any(fair[tenant] < wanted[tenant] for tenant in in_use)
    over_share = {tenant for tenant in in_use if contended and shares[tenant] > fair[tenant]}
    return FairnessStanding(
        digest=replica.digest,
        order=[tenants[tenant] for tenant in _by_weighted_share(shares, weights)],
        dominant_shares={tenants[tenant]: share for tenant, share in sorted(shares.items())},
        fair_shares={tenants[tenant]: share for tenant, share in sorted(fair.items())},
        contended=contended,
        over_share=frozenset(tenants[tenant] for tenant in over_share),
    )


def _by_weighted_share(shares: dict[int, int], weights: dict[int, int]) -> list[int]:
    """Return tenants by their share relative to their weight, and by index where these are equal.

    Shares are multiplied by a common multiple of the weights, so that dividing by a weight leaves no
    fraction.
    """
    common_multiple = prod(set(weights.values()))

    def sort_key(tenant: int) -> tuple[int, int]:
        weighted_share = shares.get(tenant, 0) * (common_multiple // weights[tenant])
        return weighted_share, tenant

    return sorted(weights, key=sort_key)
