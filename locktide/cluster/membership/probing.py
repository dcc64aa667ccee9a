"""State of a member's failure probes: the one in progress, the order of targets, suspicions."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@dataclass(slots=True)
class ProbeInProgress:
    """The probe in progress; times are in microseconds.

    Attributes:
        target: the name of the probed member.
        sequence: the sequence number of the Ping.
        indirect_at: when relays are requested to probe, if no answer has come.
        deadline: when the probe has failed.
        is_indirect: whether relays were requested to probe.
        is_acked: whether an answer has come.
        silent_relays: the relays that have not yet sent a Nack.
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
        """When the probe has to be checked next."""
        return self.deadline if self.is_indirect or self.is_acked else self.indirect_at


@dataclass(slots=True)
class Suspicion:
    """A suspected member; times are in microseconds.

    Attributes:
        started_at: since when it is suspected.
        accusers: the names of the members that suspect it.
        deadline: when it counts as dead.
    """

    started_at: int
    accusers: set[str]
    deadline: int = 0


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """An indirect probe made for another member.

    Attributes:
        requester: the name of that member.
        sequence: the sequence number of its probe.
    """

    requester: str
    sequence: int


class ProbeOrder:
    """Round-robin over the members in an order that is shuffled for each round, as in SWIM.

    So each member is probed within a bounded time, and never in the same order by all.

    Attributes:
        generator: the source of random choices.
        remaining: the members that are still to be probed in this round, the next one last.
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
