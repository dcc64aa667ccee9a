"""The probe under way, and who is suspected since when."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ProbeInProgress:
    """The probe under way. `nacks` are the indirect probers that have not said that they heard."""

    target: str
    sequence: int
    indirect_at: int
    deadline: int
    is_indirect: bool = False
    is_acked: bool = False
    silent_relays: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Suspicion:
    started_at: int
    accusers: set[str]
    deadline: int = 0
