"""Network links between machines: their delays, and which of them are cut."""

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
    """All links, with delays in whole microseconds; nothing passes a cut link; neither end is notified."""

    def __init__(self, terms: NetworkSpec, seed: int) -> None:
        self.config, self.seed, self.draw_count = terms, seed, 0
        self.cut_machines: dict[Machine, int] = {}  # number of faults that cut the machine now
        self.cut_zones: dict[int, int] = {}
        self.cut_since: dict[Machine | int, int] = {}  # time of the last cut, by machine or zone

    def base_delay(self, source: Machine, target: Machine) -> int:
        """Return the delay without jitter."""
        if CLIENT in (source.kind, target.kind):
            return int(self.config.client * 1e6)
        return int((self.config.same if source.zone == target.zone else self.config.cross) * 1e6)

    def max_delay(self, source: Machine, target: Machine) -> int:
        return int(self.base_delay(source, target) * (1.0 + self.config.jitter))

    def delay(self, source: Machine, target: Machine) -> int:
        """Draw the delay of the next bytes from source to target."""
        self.draw_count += 1
        return int(
            self.base_delay(source, target)
            * (1.0 + self.config.jitter * chance.unit(self.seed, "delay", self.draw_count))
        )

    def split(self, size: int) -> int:
        """Draw the byte at which the next write is split in two; 0 for a write that stays whole."""
        self.draw_count += 1
        probability = self.config.shred
        if size < 2 or not probability or chance.unit(self.seed, "shred", self.draw_count) >= probability:
            return 0
        return 1 + int(chance.unit(self.seed, "place", self.draw_count) * (size - 1))

    def cut(self, source: Machine, target: Machine) -> bool:
        if source in self.cut_machines or target in self.cut_machines:
            return True
        return source.zone != target.zone and (source.zone in self.cut_zones or target.zone in self.cut_zones)

    @staticmethod
    def _add(counts: dict[Any, int], key: Any, change: int) -> None:
        counts[key] = counts.get(key, 0) + change
        if not counts[key]:
            del counts[key]

    def last_cut_at(self, source: Machine, target: Machine) -> int | None:
        """Return when the link was last cut, None if never; it may have been restored since."""
        cut_times = [self.cut_since[end] for end in (source, target) if end in self.cut_since]
        if source.zone != target.zone:
            cut_times += [self.cut_since[end.zone] for end in (source, target) if end.zone in self.cut_since]
        return max(cut_times, default=None)

    def cut_machine(self, machine: Machine, now: int) -> None:
        self.cut_since[machine] = now
        self._add(self.cut_machines, machine, 1)

    def heal_machine(self, machine: Machine) -> None:
        self._add(self.cut_machines, machine, -1)

    def cut_zone(self, zone: int, now: int) -> None:
        self.cut_since[zone] = now
        self._add(self.cut_zones, zone, 1)

    def heal_zone(self, zone: int) -> None:
        self._add(self.cut_zones, zone, -1)
