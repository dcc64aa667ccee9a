"""How the divisible part of a quota is divided: by demand, damped, in whole millionths."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TypeVar

WHOLE = 1_000_000
# What every member gets of the divisible part as if it had demand: a twentieth is spread evenly, so that a
# member whose demand begins has something beside its guaranteed minimum until the next division. With a tenth
# a tenant with 80% at one of five members had 0.944 of its rate for 0.970 (emulated, three seeds).
EVEN_FRACTION = 0.05
# A share makes seven tenths of its way at each division, three times a second: it has arrived after a second,
# and a burst of a tenth of one at one member does not take everything from the others.
DAMPING = 0.7
# A share stays where it would change by less than a fiftieth of an even one: each change costs the burst that
# moves with it.
DEAD_BAND = 0.02


HolderKey = TypeVar("HolderKey", bound=Hashable)


def target_shares(
    demand: dict[HolderKey, int], divisible: int, guaranteed_minimum: int = 0
) -> dict[HolderKey, int]:
    """Return each holder's target share of `divisible`, which it has beside its `guaranteed_minimum`.

    Minimum and share together follow demand. A holder whose minimum covers its demand gets none of what
    follows demand. The targets sum to `divisible` at most, whatever the order of `demand`.
    """
    if not demand:
        return {}
    even = int(divisible * (EVEN_FRACTION if any(demand.values()) else 1.0)) // len(demand)
    rest = divisible - even * len(demand)
    demanding = {holder: amount for holder, amount in demand.items() if amount}
    by_demand: dict[HolderKey, int] = {}
    while demanding:
        total_demand = sum(demanding.values())
        total_share = rest + guaranteed_minimum * len(demanding)
        by_demand = {
            holder: total_share * amount // total_demand - guaranteed_minimum
            for holder, amount in demanding.items()
        }
        if all(share >= 0 for share in by_demand.values()):
            break
        demanding = {holder: demanding[holder] for holder, share in by_demand.items() if share >= 0}
    return {holder: even + (by_demand[holder] if holder in demanding else 0) for holder in demand}


def damped_share(current: int, target: int, even_share: int) -> int:
    """Return the next share on the way from `current` to `target`."""
    if abs(target - current) <= DEAD_BAND * even_share:
        return current
    step = int((target - current) * DAMPING)
    return current + step if step else target
