"""The result of a run of the soak: violations, counts, and whether the run is conclusive."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Violation:
    """An event or a state that must not occur.

    Attributes:
        text: what was observed.
        is_timing_dependent: whether a machine under load could cause it by holding up a process.
    """

    text: str
    is_timing_dependent: bool


@dataclass
class Findings:
    """The result of one run.

    Attributes:
        seed: the seed of its script.
        violations: what occurred although it must not.
        signal_series: how many series of signals were sent.
        holds: how often the script held up a dispatcher.
        requests: how many requests clients made.
        answered: how many of them had their response in time.
        closed_unread: new connections that a dispatcher whose descriptors idle clients had filled closed
            unread, which is documented as allowed.
        late_by_hold: late or missing responses and excessive timeouts of a dispatcher that was held up for
            longer than the documented limit, according to the holds of the script or to its own log.
        ended_in_interpreter_start: processes that SIGTERM ended while the interpreter itself was starting;
            such a process has accepted nothing.
        is_conclusive: False if the machine held up the emulated workers and clients, as the run then proves
            nothing.
    """

    seed: int
    violations: list[Violation] = field(default_factory=list)
    signal_series: int = 0
    holds: int = 0
    requests: int = 0
    answered: int = 0
    closed_unread: int = 0
    late_by_hold: int = 0
    ended_in_interpreter_start: int = 0
    is_conclusive: bool = True

    def add(self, text: str, *, is_timing_dependent: bool = False) -> None:
        """Add a violation."""
        self.violations.append(Violation(text, is_timing_dependent))

    @property
    def verdict(self) -> str:
        """The verdict as the table shows it."""
        if not self.is_conclusive:
            return "does not count"
        return "broken" if self.violations else "kept"

    def row(self) -> str:
        """Return the row of the table for this run."""
        holds = f", {self.holds} holds" if self.holds else ""
        extra = f", {self.closed_unread} shut unread" if self.closed_unread else ""
        extra += f", {self.late_by_hold} late by a hold" if self.late_by_hold else ""
        extra += (
            f", {self.ended_in_interpreter_start} ended in the interpreter's start"
            if self.ended_in_interpreter_start
            else ""
        )
        return (
            f"{self.seed:>5}  {self.verdict:<14}  {self.signal_series} series{holds}, "
            f"{self.answered} of {self.requests} in time{extra}"
        )
