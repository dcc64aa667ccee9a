"""The probe under way, and who is suspected since when."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ProbeInProgress:
    """The probe under way. `nacks` are the indirect probers that have not said that they heard."""

    name: str
    number: int
    ask_others_at: int
    until: int
    asked: bool = False
    acked: bool = False
    nacks: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Suspicion:
    since: int
    by: set[str]
    over_at: int = 0
