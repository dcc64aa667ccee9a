"""How a budget's movable part is divided: after demand, with damping, in whole millionths."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TypeVar

WHOLE = 1_000_000
# What every member gets of the movable part as if it had demand: a twentieth is spread evenly, so that who
# begins to be asked has something beside its floor until the next division. With a tenth a tenant with 80% at
# one of five members had 0.944 of its rate for 0.970 (emulated, three seeds).
EVEN = 0.05
# A part makes seven tenths of its way at each division, three times a second: it has moved after a second,
# and a burst of a tenth of one at one member does not take everything from the others.
DAMPING = 0.7
# What moves less than a fiftieth of an even part stays: each move costs the burst that it carries.
STILL = 0.02


K = TypeVar("K", bound=Hashable)


def targets(wants: dict[K, int], whole: int, floor: int = 0) -> dict[K, int]:
    """Each one's part of `whole` beside its `floor`: with it, by demand. They sum to `whole` at most, in
    whatever order. Whose floor is all it asks for gets none of what follows demand.
    """
    if not wants:
        return {}
    even = int(whole * (EVEN if any(wants.values()) else 1.0)) // len(wants)
    rest = whole - even * len(wants)
    asking = {name: want for name, want in wants.items() if want}
    while asking:
        asked, total = sum(asking.values()), rest + floor * len(asking)
        level = {name: total * want // asked - floor for name, want in asking.items()}
        if all(part >= 0 for part in level.values()):
            break
        asking = {name: asking[name] for name, part in level.items() if part >= 0}
    return {name: even + (level[name] if name in asking else 0) for name in wants}


def moved(now: int, target: int, even: int) -> int:
    """A damped step from the part that is held to the target."""
    if abs(target - now) <= STILL * even:
        return now
    step = int((target - now) * DAMPING)
    return now + step if step else target
