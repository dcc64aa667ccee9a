"""Rendezvous orders of many keys, cached while the candidates stay the same."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from locktide.scheduler.estimators.rendezvous import SaltedT, rendezvous_order

GroupT = TypeVar("GroupT", bound=Hashable)
#: Orders that are cached at once. Bounds the memory where each request has a key of its own.
MAX_ORDERS = 1024


class RendezvousOrders(Generic[GroupT, SaltedT]):
    """Computes the order of each group of candidates for each key once."""

    def __init__(self) -> None:
        self._groups: Mapping[GroupT, list[SaltedT]] = {}
        self._orders: dict[tuple[int, GroupT], list[SaltedT]] = {}

    def order(self, groups: Mapping[GroupT, list[SaltedT]], group: GroupT, key: int) -> list[SaltedT]:
        """Return the candidates of a group in the key's order; `groups` is another object after a change."""
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
