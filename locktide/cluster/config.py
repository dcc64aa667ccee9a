"""Configuration of a cluster member, and the changes that a member reports to its host after each call."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.membership.events import MembershipEvent
from locktide.cluster.membership.view import Address
from locktide.cluster.messages import MemberId
from locktide.cluster.quota.local_quota import QuotaSpec


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Configuration of one member.

    Attributes:
        member_id: name and generation of this process.
        address: address at which the other members reach it.
        acceptors: addresses by name of the members that elect the leader; an odd number.
        seeds: addresses at which it first contacts other members.
        quotas: the quotas that are divided among the members.
        reserved_fraction: fraction of each quota that is spread evenly as guaranteed minimums.
        max_members: how many processes may run at once.
        random_seed: seed of the member's random choices.
        lendable_fraction: fraction of the idle part of a quota that may be lent.
        fairness: configuration of the fairness ledger; None for no ledger.
    """

    member_id: MemberId
    address: Address
    acceptors: dict[str, Address]
    seeds: list[Address]
    quotas: list[QuotaSpec]
    reserved_fraction: float
    max_members: int
    random_seed: int = 1
    lendable_fraction: float = 0.0
    fairness: FairnessConfig | None = None


@dataclass(slots=True)
class MemberUpdate:
    """Changes made by the last call of a member's method.

    Attributes:
        quotas_changed: whether the quotas in force, or the set of tenants over their fair shares, changed.
        leases_renewed: whether the expiry times of the leases in force have changed.
        events: changes of the membership.
    """

    quotas_changed: bool = False
    leases_renewed: bool = False
    events: list[MembershipEvent] = field(default_factory=list)
