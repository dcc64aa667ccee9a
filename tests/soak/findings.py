"""What a run of the soak has found: faults, and whether the machine let it count."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Fault:
    """Something that must not happen.

    Attributes:
        text: what was seen.
        is_timed: whether a machine under load could bring it about by holding up a process.
    """

    text: str
    is_timed: bool


@dataclass
class Findings:
    """The verdict on one run.

    Attributes:
        seed: the seed of its script.
        faults: what must not happen.
        signals: how many series of signals were played.
        holds: how often a dispatcher was held up on purpose.
        requests: how many requests clients made.
        answered: how many of them were done in time.
        shut_unread: new connections of a crowded dispatcher that it shut unread, which the page allows.
        held_up: what was late, or told too much, by a dispatcher that was held up for longer than the page
            allows, by a hold of the script or by its own log.
        ended_in_start: processes that SIGTERM ended while the interpreter itself started, which have accepted
            nothing.
        counts: False where the machine held up the stand-ins, so that the run says nothing.
    """

    seed: int
    faults: list[Fault] = field(default_factory=list)
    signals: int = 0
    holds: int = 0
    requests: int = 0
    answered: int = 0
    shut_unread: int = 0
    held_up: int = 0
    ended_in_start: int = 0
    counts: bool = True

    def add(self, text: str, *, is_timed: bool = False) -> None:
        """Add a fault."""
        self.faults.append(Fault(text, is_timed))

    @property
    def verdict(self) -> str:
        """One word for a table."""
        if not self.counts:
            return "does not count"
        return "broken" if self.faults else "kept"

    def row(self) -> str:
        """Return the run as a row of the table."""
        holds = f", {self.holds} holds" if self.holds else ""
        extra = f", {self.shut_unread} shut unread" if self.shut_unread else ""
        extra += f", {self.held_up} late by a hold" if self.held_up else ""
        extra += f", {self.ended_in_start} ended in the interpreter's start" if self.ended_in_start else ""
        return (
            f"{self.seed:>5}  {self.verdict:<14}  {self.signals} series{holds}, "
            f"{self.answered} of {self.requests} in time{extra}"
        )
