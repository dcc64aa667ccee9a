"""Rendezvous orders of many keys, cached while the candidates stay the same."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.scheduler.estimators.rendezvous import rendezvous_order
from locktide.scheduler.estimators.rendezvous_orders import MAX_ORDERS, RendezvousOrders


@dataclass(frozen=True)
class Candidate:
    salt: int


ALL = [Candidate(salt) for salt in range(20)]
GROUPS = {"all": ALL, "few": ALL[:5]}


def test_the_order_is_that_of_the_group_and_the_key() -> None:
    orders = RendezvousOrders[str, Candidate]()
    for key in (3, 4, 3):
        assert orders.order(GROUPS, "all", key) == rendezvous_order(ALL, key)
        assert orders.order(GROUPS, "few", key) == rendezvous_order(ALL[:5], key)


def test_an_order_is_computed_once_until_the_candidates_change() -> None:
    """Each draw for a request with a key computed the order of the whole fleet again.

    This cost CPU time: a cached order costs a fifth of a new one. An order must be computed once for each
    key, and again only after the endpoint list has changed.
    """
    orders = RendezvousOrders[str, Candidate]()
    first = orders.order(GROUPS, "all", 3)
    assert orders.order(GROUPS, "all", 3) is first
    assert orders.order({"all": ALL[1:]}, "all", 3) == rendezvous_order(ALL[1:], 3)


def test_orders_are_forgotten_once_there_are_too_many() -> None:
    """A client sends each request with a different key.

    The cached orders of all these keys, each as long as the fleet, would use up the memory of the process.
    The number of cached orders is limited: beyond it the cache is cleared.
    """
    orders = RendezvousOrders[str, Candidate]()
    first = orders.order(GROUPS, "few", 0)
    for key in range(1, MAX_ORDERS + 1):
        orders.order(GROUPS, "few", key)
    again = orders.order(GROUPS, "few", 0)
    assert again == first and again is not first
