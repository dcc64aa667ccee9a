"""State of a member's failure probes: the one in progress, the order of targets, suspicions."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@dataclass(slots=True)
class ProbeInProgress:
    """The probe in progress; times in microseconds.

    `silent_relays` are the members asked for an indirect probe that have not yet sent a Nack.
    """

    target: str
    sequence: int
    indirect_at: int
    deadline: int
    is_indirect: bool = False
    is_acked: bool = False
    silent_relays: set[str] = field(default_factory=set)

    @property
    def next_wakeup(self) -> int:
        """When the probe has to be looked at next."""
        return self.deadline if self.is_indirect or self.is_acked else self.indirect_at


@dataclass(slots=True)
class Suspicion:
    """A suspected member: since when, by whom, and when it counts as dead; times in microseconds."""

    started_at: int
    accusers: set[str]
    deadline: int = 0


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """An indirect probe made for another member, with that member's sequence number."""

    requester: str
    sequence: int


class ProbeOrder:
    """Round-robin over the members in an order that is shuffled for each round, as in SWIM.

    So each member is probed within a bounded time, and never in the same order by all.
    """

    def __init__(self, generator: LinearCongruentialGenerator) -> None:
        self.generator = generator
        self.remaining: list[str] = []

    def next_target(self, candidates: list[str]) -> str:
        """Return the next of the candidates, of which there must be one at least."""
        present = set(candidates)
        while True:
            while self.remaining:
                if (name := self.remaining.pop()) in present:
                    return name
            self.remaining = sorted(present)
            self.shuffle()

    def shuffle(self) -> None:
        """Shuffle by the algorithm of Fisher and Yates."""
        names = self.remaining
        for last in range(len(names) - 1, 0, -1):
            drawn = self.generator.below(last + 1)
            names[last], names[drawn] = names[drawn], names[last]
