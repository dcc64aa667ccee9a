"""Rendezvous hashing: an order of workers for a key that all dispatchers compute alike."""

from __future__ import annotations

from typing import Protocol, TypeVar

from locktide.scheduler.estimators.random import INCREMENT, MASK_64_BITS, MULTIPLIER


class Salted(Protocol):
    """What can be ordered: its salt is a number of its own, the same at all dispatchers."""

    salt: int


SaltedT = TypeVar("SaltedT", bound=Salted)


def rendezvous_order(candidates: list[SaltedT], key: int) -> list[SaltedT]:
    """The candidates in an order that is as good as random for each key, but the same at all dispatchers.

    A candidate that leaves or joins does not change the order of the others.
    """
    ranks = []
    for candidate in candidates:
        state = (candidate.salt ^ key) * MULTIPLIER + INCREMENT & MASK_64_BITS
        ranks.append((state ^ state >> 29) * MULTIPLIER & MASK_64_BITS)
    return [candidates[place] for place in sorted(range(len(candidates)), key=ranks.__getitem__)]
