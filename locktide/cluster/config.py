"""What an agent is given at its start, and what it tells its host after each call."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.cluster.fairness.ledger import Terms as LedgerTerms
from locktide.cluster.membership.swim import Address
from locktide.cluster.messages import Row, Who
from locktide.cluster.quota.local_quota import Budget


@dataclass(frozen=True, slots=True)
class Terms:
    """`electors` by name, with where they are; an odd number. `seeds` are where others are met."""

    who: Who
    address: Address
    electors: dict[str, Address]
    seeds: list[Address]
    budgets: list[Budget]
    reserve: float
    most: int
    seed: int = 1
    lend: float = 0.0  # part of what an owner does not use that may be lent
    ledger: LedgerTerms | None = None


@dataclass(slots=True)
class News:
    moved: bool = False
    events: list[tuple[str, Row]] = field(default_factory=list)
