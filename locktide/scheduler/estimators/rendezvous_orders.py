"""Rendezvous orders of many keys, cached while the candidates stay the same."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from locktide.scheduler.estimators.rendezvous import SaltedT, rendezvous_order

GroupT = TypeVar("GroupT", bound=Hashable)
#: Maximum number of cached orders. Limits the memory if each request has a different key.
MAX_ORDERS = 1024


class RendezvousOrders(Generic[GroupT, SaltedT]):
    """Computes and caches the order of each group of candidates for each key."""

    def __init__(self) -> None:
        self._groups: Mapping[GroupT, list[SaltedT]] = {}
        self._orders: dict[tuple[int, GroupT], list[SaltedT]] = {}

    def order(self, groups: Mapping[GroupT, list[SaltedT]], group: GroupT, key: int) -> list[SaltedT]:
        """Return the candidates of a group in the key's order; changed candidates need a new `groups`."""
        if groups is not self._groups:
            self._groups = groups
            self._orders = {}
        order = self._orders.get((key, group))
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                self._orders.clear()
            order = rendezvous_order(groups[group], key)
            self._orders[key, group] = order
        return order
