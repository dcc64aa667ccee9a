"""Dominant shares, and fair ones by weighted progressive filling over demands that have an end.

All in whole numbers, so that all that compute from the same rows get the same to the last digit. Changed from
the paper: demands end, tenants have weights, and those that need nothing of an exhausted resource still rise.

Source: Ghodsi, Zaharia, Hindman, Konwinski, Shenker and Stoica, "Dominant resource fairness: fair allocation
of multiple resource types", NSDI 2011.
"""

from __future__ import annotations

#: A whole capacity: shares are in parts of it.
ONE = 1 << 40

#: An amount of each resource.
Vector = list[int]


def dominant_share(amounts: Vector, capacity: Vector) -> int:
    """Return the largest share of any resource, rounded up; of one without capacity it is the whole."""
    return max([share_of(amount, whole) for amount, whole in zip(amounts, capacity, strict=False)], default=0)


def share_of(amount: int, whole: int) -> int:
    """Return the share that an amount is of a whole, rounded up."""
    if not amount:
        return 0
    return -(-amount * ONE // whole) if whole else ONE


def progressive_filling(
    capacity: Vector, demands: dict[int, Vector], weights: dict[int, int]
) -> dict[int, int]:
    """Return the dominant share that each tenant should have, by its index; at most what it demands."""
    filling = _Filling(capacity, demands, weights)
    while filling.drop_blocked():
        filling.raise_levels()
    return filling.levels


class _Filling:
    """Raises the dominant shares of all tenants together, by weight, until each is met or blocked.

    Shares are in parts of `ONE`.

    Attributes:
        weights: the weight of each tenant.
        shares: the share of each resource that a tenant demands.
        wanted: the dominant share that a tenant demands.
        levels: the dominant share that it has so far.
        left: what is left of each resource.
        rising: the tenants that are neither met nor blocked.
    """

    def __init__(self, capacity: Vector, demands: dict[int, Vector], weights: dict[int, int]) -> None:
        self.weights = weights
        self.shares = {
            tenant: [share_of(amount, whole) for amount, whole in zip(demand, capacity, strict=False)]
            for tenant, demand in sorted(demands.items())
        }
        self.wanted = {tenant: max(shares, default=0) for tenant, shares in self.shares.items()}
        self.levels = dict.fromkeys(self.shares, 0)
        self.left = [ONE if whole else 0 for whole in capacity]
        self.rising = {tenant for tenant, wanted in self.wanted.items() if wanted}

    def drop_blocked(self) -> bool:
        """Stop those that need an exhausted resource; return whether any other is rising."""
        exhausted = {resource for resource, left in enumerate(self.left) if left <= 0}
        self.rising = {
            tenant
            for tenant in self.rising
            if not any(self.shares[tenant][resource] for resource in exhausted)
        }
        return bool(self.rising)

    def raise_levels(self) -> None:
        """Raise all until a resource is exhausted or a tenant has all that it demands."""
        rates = self._rates()
        step = self._step(rates)
        if step <= 0:
            self._exhaust_remainders(rates)
        for tenant in sorted(self.rising):
            more = min(step * self.weights[tenant], self.wanted[tenant] - self.levels[tenant])
            self.levels[tenant] += more
            for resource, share in enumerate(self.shares[tenant]):
                # Rounded up: what is left always shrinks.
                self.left[resource] += -more * share // self.wanted[tenant]
        self.rising = {tenant for tenant in self.rising if self.levels[tenant] < self.wanted[tenant]}

    def _rates(self) -> list[int]:
        """Return how much of each resource all that rise take for a unit of level, in ONEs."""
        return [
            sum(
                self.weights[tenant] * self.shares[tenant][resource] * ONE // self.wanted[tenant]
                for tenant in self.rising
            )
            for resource in range(len(self.left))
        ]

    def _step(self, rates: list[int]) -> int:
        """Return by how much the level can rise."""
        until_exhausted = [left * ONE // rate for left, rate in zip(self.left, rates, strict=True) if rate]
        until_met = [
            -(-(self.wanted[tenant] - self.levels[tenant]) // self.weights[tenant]) for tenant in self.rising
        ]
        return min([*until_exhausted, *until_met])

    def _exhaust_remainders(self, rates: list[int]) -> None:
        """Drop what is left of a resource where it is less than a unit of level takes."""
        for resource, rate in enumerate(rates):
            if rate and self.left[resource] * ONE < rate:
                self.left[resource] = 0
