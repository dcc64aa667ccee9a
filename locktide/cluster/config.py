"""Configuration of a cluster member, and what a member reports to its host after each call."""

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
        address: where the other members reach it.
        acceptors: addresses by name of the members that elect the leader; an odd number.
        seeds: addresses at which other members are first contacted.
        quotas: what is divided among the members.
        reserved_fraction: part of each quota that is spread evenly as guaranteed minimums.
        max_members: how many processes may run at once.
        random_seed: of the member's random choices.
        lendable_fraction: part of what a quota's owner leaves idle that may be lent.
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
    """What the last call has changed.

    Attributes:
        quotas_changed: whether the quotas in force have, or which tenants are over their fair shares.
        leases_renewed: whether the leases in force end at other times.
        events: changes of the membership.
    """

    quotas_changed: bool = False
    leases_renewed: bool = False
    events: list[MembershipEvent] = field(default_factory=list)
