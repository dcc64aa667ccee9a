"""Rendezvous hashing: an order of candidates for a key that all dispatchers compute alike."""

from __future__ import annotations

from typing import Protocol, TypeVar

from locktide.scheduler.estimators.random import INCREMENT, MASK_64_BITS, MULTIPLIER

#: Bits by which a product is shifted onto itself, so that its high bits reach the low ones.
MIX_SHIFT = 29


class Salted(Protocol):
    """What can be ordered."""

    @property
    def salt(self) -> int:
        """A number of its own, the same at all dispatchers."""


SaltedT = TypeVar("SaltedT", bound=Salted)


def rendezvous_order(candidates: list[SaltedT], key: int) -> list[SaltedT]:
    """Return the candidates in an order as good as random for each key, but the same at all dispatchers.

    A candidate that leaves or joins does not change the order of the others.
    """
    ranks = []
    for candidate in candidates:
        product = (candidate.salt ^ key) * MULTIPLIER + INCREMENT & MASK_64_BITS
        ranks.append((product ^ product >> MIX_SHIFT) * MULTIPLIER & MASK_64_BITS)
    return [candidates[place] for place in sorted(range(len(candidates)), key=ranks.__getitem__)]
