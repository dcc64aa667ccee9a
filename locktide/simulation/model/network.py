"""The links between machines: how long bytes take, and which links are cut."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from locktide.simulation.model import random_streams as chance
from locktide.simulation.model.scenario import NetworkSpec

WORKER, DISPATCHER, CLIENT = "worker", "dispatcher", "client"


@dataclass(frozen=True, slots=True)
class Machine:
    kind: str
    number: int
    zone: int


class NetworkLinks:
    """Delays in whole microseconds. A cut machine or zone lets nothing through, and says nothing."""

    def __init__(self, terms: NetworkSpec, seed: int) -> None:
        self.terms, self.seed, self.drawn = terms, seed, 0
        self.cut_machines: dict[Machine, int] = {}  # how many incidents hold it cut
        self.cut_zones: dict[int, int] = {}
        self.cut_since: dict[Machine | int, int] = {}  # when each was last cut, by machine or zone

    def base(self, one: Machine, other: Machine) -> int:
        """Without jitter."""
        if CLIENT in (one.kind, other.kind):
            return int(self.terms.client * 1e6)
        return int((self.terms.same if one.zone == other.zone else self.terms.cross) * 1e6)

    def most(self, one: Machine, other: Machine) -> int:
        return int(self.base(one, other) * (1.0 + self.terms.jitter))

    def delay(self, one: Machine, other: Machine) -> int:
        """For the next bytes that way."""
        self.drawn += 1
        return int(
            self.base(one, other) * (1.0 + self.terms.jitter * chance.unit(self.seed, "delay", self.drawn))
        )

    def split(self, size: int) -> int:
        """At which byte the next write is cut in two; 0 where it is not."""
        self.drawn += 1
        odds = self.terms.shred
        if size < 2 or not odds or chance.unit(self.seed, "shred", self.drawn) >= odds:
            return 0
        return 1 + int(chance.unit(self.seed, "place", self.drawn) * (size - 1))

    def cut(self, one: Machine, other: Machine) -> bool:
        if one in self.cut_machines or other in self.cut_machines:
            return True
        return one.zone != other.zone and (one.zone in self.cut_zones or other.zone in self.cut_zones)

    @staticmethod
    def _count(book: dict[Any, int], what: Any, by: int) -> None:
        book[what] = book.get(what, 0) + by
        if not book[what]:
            del book[what]

    def held_since(self, one: Machine, other: Machine) -> int | None:
        """When the link between them was last cut, if it ever was; it may be whole again."""
        found = [self.cut_since[end] for end in (one, other) if end in self.cut_since]
        if one.zone != other.zone:
            found += [self.cut_since[end.zone] for end in (one, other) if end.zone in self.cut_since]
        return max(found, default=None)

    def cut_machine(self, machine: Machine, now: int) -> None:
        self.cut_since[machine] = now
        self._count(self.cut_machines, machine, 1)

    def heal_machine(self, machine: Machine) -> None:
        self._count(self.cut_machines, machine, -1)

    def cut_zone(self, zone: int, now: int) -> None:
        self.cut_since[zone] = now
        self._count(self.cut_zones, zone, 1)

    def heal_zone(self, zone: int) -> None:
        self._count(self.cut_zones, zone, -1)
