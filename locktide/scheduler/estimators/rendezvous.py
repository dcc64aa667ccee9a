"""Rendezvous hashing: an order of candidates for each key that is the same at all dispatchers."""

from __future__ import annotations

from typing import Protocol, TypeVar

from locktide.scheduler.estimators.random import INCREMENT, MASK_64_BITS, MULTIPLIER

#: Number of bits by which a product is shifted and XORed with itself, so that its high bits affect the low
#: ones.
MIX_SHIFT = 29


class Salted(Protocol):
    """A candidate that can be ordered."""

    @property
    def salt(self) -> int:
        """A number that identifies the candidate, the same at all dispatchers."""


SaltedT = TypeVar("SaltedT", bound=Salted)


def rendezvous_order(candidates: list[SaltedT], key: int) -> list[SaltedT]:
    """Return the candidates in a pseudorandom order for the key that is the same at all dispatchers.

    Adding or removing a candidate does not change the order of the others.
    """
    ranks = []
    for candidate in candidates:
        product = (candidate.salt ^ key) * MULTIPLIER + INCREMENT & MASK_64_BITS
        ranks.append((product ^ product >> MIX_SHIFT) * MULTIPLIER & MASK_64_BITS)
    return [candidates[index] for index in sorted(range(len(candidates)), key=ranks.__getitem__)]
