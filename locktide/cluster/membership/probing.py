"""State of a member's failure probes: the probe in progress, the order of targets, and suspicions."""

from __future__ import annotations

from dataclasses import dataclass, field

from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@dataclass(slots=True)
class ProbeInProgress:
    """The probe in progress; times are in microseconds.

    Attributes:
        target: the name of the probed member.
        sequence: the sequence number of the Ping.
        indirect_at: when relays are requested to probe the target, if no answer has arrived.
        deadline: when the probe fails, if no answer has arrived.
        is_indirect: whether relays were requested to probe the target.
        is_acked: whether an answer has arrived.
        silent_relays: the relays that have not sent a Nack.
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
    """The suspicion of one member; times are in microseconds.

    Attributes:
        started_at: when the suspicion began.
        accusers: the names of the members that suspect the member.
        deadline: when the member is declared dead.
    """

    started_at: int
    accusers: set[str]
    deadline: int = 0


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """An indirect probe on behalf of another member.

    Attributes:
        requester: the name of that member.
        sequence: the sequence number of that member's probe.
    """

    requester: str
    sequence: int


class ProbeOrder:
    """Round-robin order over the members, shuffled for each round, as in SWIM.

    So each member is probed within a bounded time, and the members do not all probe in the same order.

    Attributes:
        generator: the source of random choices.
        remaining: the members that are still to be probed in this round, the next one last.
    """

    def __init__(self, generator: LinearCongruentialGenerator) -> None:
        self.generator = generator
        self.remaining: list[str] = []

    def next_target(self, candidates: list[str]) -> str:
        """Return the next candidate to probe; there must be at least one candidate."""
        present = set(candidates)
        while True:
            while self.remaining:
                if (name := self.remaining.pop()) in present:
                    return name
            self.remaining = sorted(present)
            self.shuffle()

    def shuffle(self) -> None:
        """Shuffle the remaining members with the Fisher-Yates algorithm."""
        names = self.remaining
        for last in range(len(names) - 1, 0, -1):
            drawn = self.generator.below(last + 1)
            names[last], names[drawn] = names[drawn], names[last]
