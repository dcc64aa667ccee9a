"""What the soak keeps of the signals that it has sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Reload:
    """A SIGHUP: to which process of a dispatcher, and when."""

    dispatcher: int
    life: int
    at: int


@dataclass
class Ending:
    """A dispatcher that was sent SIGTERM: when, and whether it is over."""

    began_at: int
    is_over: bool = False
