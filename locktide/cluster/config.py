"""What an agent is given at its start, and what it tells its host after each call."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.membership.swim import Address
from locktide.cluster.messages import MemberId, MemberRecord
from locktide.cluster.quota.local_quota import QuotaSpec


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """`electors` by name, with where they are; an odd number. `seeds` are where others are met."""

    member_id: MemberId
    address: Address
    acceptors: dict[str, Address]
    seeds: list[Address]
    quotas: list[QuotaSpec]
    reserved_fraction: float
    max_members: int
    random_seed: int = 1
    lendable_fraction: float = 0.0  # part of what an owner does not use that may be lent
    fairness: FairnessConfig | None = None


@dataclass(slots=True)
class MemberUpdate:
    quotas_changed: bool = False
    events: list[tuple[str, MemberRecord]] = field(default_factory=list)
