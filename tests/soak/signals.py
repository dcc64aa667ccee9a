"""Records of the signals that the soak has sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Reload:
    """A SIGHUP that was sent.

    Attributes:
        dispatcher: the number of the dispatcher.
        life: which of its processes, counted from its first start.
        sent_at: when it was sent, in microseconds.
    """

    dispatcher: int
    life: int
    sent_at: int


@dataclass
class Shutdown:
    """The shutdown of a dispatcher.

    Attributes:
        began_at: when SIGTERM was sent, in microseconds.
        is_over: whether the process has ended, or the moment of its kill has come.
    """

    began_at: int
    is_over: bool = False
