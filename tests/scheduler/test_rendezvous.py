"""Rendezvous hashing: an order for each key, the same at all dispatchers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from zlib import crc32

from locktide.scheduler.estimators.rendezvous import rendezvous_order


@dataclass
class Candidate:
    name: str
    salt: int


CANDIDATES = [Candidate(name, crc32(name.encode())) for name in ("w0", "w1", "w2", "w3", "w4")]


def order(candidates: list[Candidate], key: int) -> list[str]:
    return [candidate.name for candidate in rendezvous_order(candidates, key)]


def test_the_order_of_a_key_does_not_depend_on_the_order_of_the_candidates() -> None:
    for key in range(50):
        assert order(CANDIDATES, key) == order(CANDIDATES[::-1], key)


def test_the_order_of_a_key_never_changes() -> None:
    assert order(CANDIDATES, 5) == ["w0", "w1", "w3", "w2", "w4"]


def test_each_candidate_is_first_for_about_as_many_keys() -> None:
    first = Counter(order(CANDIDATES, key)[0] for key in range(2000))
    assert len(first) == 5 and min(first.values()) > 300


def test_without_a_candidate_the_others_keep_their_order() -> None:
    """A worker leaves the fleet.

    If this changed the order of every key, all keys would move to workers that do not have their data, and
    the whole fleet would fetch data at once. Only the keys of the worker that left may move.
    """
    for key in range(50):
        remaining = [name for name in order(CANDIDATES, key) if name != "w2"]
        assert order([candidate for candidate in CANDIDATES if candidate.name != "w2"], key) == remaining
