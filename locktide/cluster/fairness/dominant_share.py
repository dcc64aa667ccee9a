"""Dominant shares, and fair shares by weighted progressive filling over finite demands.

All arithmetic is on integers, so that members with the same rows compute exactly the same result. Three
points differ from the paper: demands are finite, tenants have weights, and the shares of tenants that need
nothing of an exhausted resource continue to rise.

Source: Ghodsi, Zaharia, Hindman, Konwinski, Shenker and Stoica, "Dominant resource fairness: fair allocation
of multiple resource types", NSDI 2011.
"""

from __future__ import annotations

#: The share that is a whole capacity; all shares are in this unit.
FULL_SHARE = 1 << 40

#: An amount of each resource.
Vector = list[int]


def dominant_share(amounts: Vector, capacity: Vector) -> int:
    """Return the largest share of any resource, rounded up.

    Use of a resource without capacity counts as a full share.
    """
    return max([share_of(amount, whole) for amount, whole in zip(amounts, capacity, strict=False)], default=0)


def share_of(amount: int, whole: int) -> int:
    """Return the share that an amount is of a whole, rounded up."""
    if not amount:
        return 0
    return -(-amount * FULL_SHARE // whole) if whole else FULL_SHARE


def progressive_filling(
    capacity: Vector, demands: dict[int, Vector], weights: dict[int, int]
) -> dict[int, int]:
    """Return the fair dominant share of each tenant by its index, which is at most the share it demands."""
    filling = _Filling(capacity, demands, weights)
    while filling.drop_blocked():
        filling.raise_levels()
    return filling.levels


class _Filling:
    """Raises the dominant shares of all tenants together, in proportion to their weights.

    A tenant's share stops rising once its demand is met or it needs an exhausted resource. Shares are in
    parts of `FULL_SHARE`.

    Attributes:
        weights: the weight of each tenant.
        shares: the share of each resource that a tenant demands.
        wanted: the dominant share that a tenant demands.
        levels: the dominant share that a tenant has so far.
        left: the share of each resource that is left.
        rising: the tenants whose shares still rise.
    """

    def __init__(self, capacity: Vector, demands: dict[int, Vector], weights: dict[int, int]) -> None:
        self.weights = weights
        self.shares = {
            tenant: [share_of(amount, whole) for amount, whole in zip(demand, capacity, strict=False)]
            for tenant, demand in sorted(demands.items())
        }
        self.wanted = {tenant: max(shares, default=0) for tenant, shares in self.shares.items()}
        self.levels = dict.fromkeys(self.shares, 0)
        self.left = [FULL_SHARE if whole else 0 for whole in capacity]
        self.rising = {tenant for tenant, wanted in self.wanted.items() if wanted}

    def drop_blocked(self) -> bool:
        """Stop the tenants that need an exhausted resource; return whether any other still rises."""
        exhausted = {resource for resource, left in enumerate(self.left) if left <= 0}
        self.rising = {
            tenant
            for tenant in self.rising
            if not any(self.shares[tenant][resource] for resource in exhausted)
        }
        return bool(self.rising)

    def raise_levels(self) -> None:
        """Raise all rising tenants until a resource is exhausted or the demand of a tenant is met."""
        rates = self._rates()
        step = self._step(rates)
        if step <= 0:
            self._exhaust_remainders(rates)
        for tenant in sorted(self.rising):
            more = min(step * self.weights[tenant], self.wanted[tenant] - self.levels[tenant])
            self.levels[tenant] += more
            for resource, share in enumerate(self.shares[tenant]):
                # The use is rounded up, so that the share left always shrinks.
                self.left[resource] += -more * share // self.wanted[tenant]
        self.rising = {tenant for tenant in self.rising if self.levels[tenant] < self.wanted[tenant]}

    def _rates(self) -> list[int]:
        """Return how much of each resource rising tenants use per unit of level, times `FULL_SHARE`."""
        return [
            sum(
                self.weights[tenant] * self.shares[tenant][resource] * FULL_SHARE // self.wanted[tenant]
                for tenant in self.rising
            )
            for resource in range(len(self.left))
        ]

    def _step(self, rates: list[int]) -> int:
        """Return by how much the level can rise until a resource is exhausted or a demand is met."""
        until_exhausted = [
            left * FULL_SHARE // rate for left, rate in zip(self.left, rates, strict=True) if rate
        ]
        until_met = [
            -(-(self.wanted[tenant] - self.levels[tenant]) // self.weights[tenant]) for tenant in self.rising
        ]
        return min([*until_exhausted, *until_met])

    def _exhaust_remainders(self, rates: list[int]) -> None:
        """Count a resource as exhausted if less of it is left than a unit of level uses."""
        for resource, rate in enumerate(rates):
            if rate and self.left[resource] * FULL_SHARE < rate:
                self.left[resource] = 0
