"""Rendezvous orders of many keys, remembered while the candidates stay the same."""

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from locktide.scheduler.estimators.rendezvous import SaltedT, rendezvous_order

GroupT = TypeVar("GroupT", bound=Hashable)
MAX_ORDERS = 1024  # guards the memory where each request has a key of its own


class RendezvousOrders(Generic[GroupT, SaltedT]):
    """Orders groups of candidates for keys, each once."""

    def __init__(self) -> None:
        self._groups: Mapping[GroupT, list[SaltedT]] = {}
        self._orders: dict[tuple[int, GroupT], list[SaltedT]] = {}

    def order(self, groups: Mapping[GroupT, list[SaltedT]], group: GroupT, key: int) -> list[SaltedT]:
        """The candidates of one group in the key's order; `groups` is another object after each change."""
        if groups is not self._groups:
            self._groups, self._orders = groups, {}
        order = self._orders.get((key, group))
        if order is None:
            if len(self._orders) >= MAX_ORDERS:
                self._orders.clear()
            order = self._orders[key, group] = rendezvous_order(groups[group], key)
        return order
