"""Divides the divisible part of a quota: in proportion to demand, damped, in whole millionths."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TypeVar

#: Millionths in a whole quota.
WHOLE = 1_000_000
#: Fraction of the divisible part that is spread evenly over all members, so that a member whose demand begins
#: has more than its guaranteed minimum until the next division. A larger fraction would take away more from
#: the members that have demand.
EVEN_FRACTION = 0.05
#: Fraction of the distance to its target that a share moves at each division; divisions are at least half a
#: request interval apart. So a share reaches its target after a second, and a burst of a tenth of a second
#: at one member does not take everything from the others.
DAMPING = 0.7
#: Smallest change of a share, as a fraction of an even share: each change can lose unspent tokens, as a
#: share that shrinks drops them and a share that grows gets none.
DEAD_BAND = 0.02


HolderKey = TypeVar("HolderKey", bound=Hashable)


def target_shares(
    demand: dict[HolderKey, int], divisible: int, guaranteed_minimum: int = 0
) -> dict[HolderKey, int]:
    """Return each holder's target share of `divisible`, which is in addition to its `guaranteed_minimum`.

    Minimum and share together are in proportion to demand. A holder whose minimum covers its demand gets only
    the even part. The sum of the targets is at most `divisible`; they do not depend on the order of `demand`.
    """
    if not demand:
        return {}
    even_fraction = EVEN_FRACTION if any(demand.values()) else 1.0
    even = int(divisible * even_fraction) // len(demand)
    rest = divisible - even * len(demand)
    by_demand = _shares_by_demand(demand, rest, guaranteed_minimum)
    return {holder: even + by_demand.get(holder, 0) for holder in demand}


def _shares_by_demand(
    demand: dict[HolderKey, int], rest: int, guaranteed_minimum: int
) -> dict[HolderKey, int]:
    """Divide `rest` so that minimum and share together are in proportion to demand.

    Holders that get nothing are left out.
    """
    demanding = {holder: amount for holder, amount in demand.items() if amount}
    while demanding:
        total_demand = sum(demanding.values())
        total_share = rest + guaranteed_minimum * len(demanding)
        by_demand = {
            holder: total_share * amount // total_demand - guaranteed_minimum
            for holder, amount in demanding.items()
        }
        if all(share >= 0 for share in by_demand.values()):
            return by_demand
        demanding = {holder: demanding[holder] for holder, share in by_demand.items() if share >= 0}
    return {}


def damped_share(current: int, target: int, even_share: int) -> int:
    """Return the next share on the way from `current` to `target`."""
    if abs(target - current) <= DEAD_BAND * even_share:
        return current
    step = int((target - current) * DAMPING)
    return current + step if step else target
