"""Dominant shares and who should have what: weighted progressive filling, over demands that have an end
(Ghodsi and others, Dominant Resource Fairness, 2011).

All in whole numbers, so that whoever reckons from the same rows gets the same to the last digit. Changed from
the paper: demands end, weights, and tenants go on that need nothing of a resource that is used up.
"""

from __future__ import annotations

ONE = 1 << 40  # a whole capacity, in which shares are told

Vector = list[int]


def dominant(amounts: Vector, capacity: Vector) -> int:
    """The largest part that it has of any capacity, rounded up; of one that there is none of, all."""
    return max([share(amount, whole) for amount, whole in zip(amounts, capacity, strict=False)], default=0)


def share(amount: int, whole: int) -> int:
    if not amount:
        return 0
    return -(-amount * ONE // whole) if whole else ONE


def fill(capacity: Vector, demands: dict[int, Vector], weights: dict[int, int]) -> dict[int, int]:
    """The dominant share that each should have, by its name; what it asks for at most."""
    parts = {
        name: [share(amount, whole) for amount, whole in zip(demand, capacity, strict=False)]
        for name, demand in sorted(demands.items())
    }
    wanted = {name: max(part, default=0) for name, part in parts.items()}
    level = dict.fromkeys(parts, 0)
    left = [ONE if whole else 0 for whole in capacity]
    rising = {name for name, most in wanted.items() if most}
    while rising:
        full = {place for place, room in enumerate(left) if room <= 0}
        # Who needs what is used up has what it has.
        rising = {name for name in rising if not any(parts[name][place] for place in full)}
        if not rising:
            break
        # How much of each resource all that rise take for a unit of level, in ONEs.
        takes = [
            sum(weights[name] * parts[name][place] * ONE // wanted[name] for name in rising)
            for place in range(len(capacity))
        ]
        # So far can the level rise until a resource is used up or somebody has all it asks for.
        steps = [room * ONE // take for room, take in zip(left, takes, strict=True) if take]
        enough = {name: -(-(wanted[name] - level[name]) // weights[name]) for name in rising}
        step = min([*steps, *enough.values()])
        if step <= 0:  # under a unit is left of something
            for place, take in enumerate(takes):
                if take and left[place] * ONE < take:
                    left[place] = 0
        for name in sorted(rising):
            more = min(step * weights[name], wanted[name] - level[name])
            level[name] += more
            for place, part in enumerate(parts[name]):
                left[place] += -more * part // wanted[name]  # rounded up: what is left always shrinks
        rising = {name for name in rising if level[name] < wanted[name]}
    return level
