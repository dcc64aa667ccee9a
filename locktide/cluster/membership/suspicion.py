"""How long a member is suspected before it counts as dead.

Lifeguard (Dadgar, Phillips, Currey, 2018): it begins long and falls with each further member that suspects
too, so that one that is slow itself does not declare others dead; and a member whose own probes fail, or that
is suspected itself, holds that against itself and probes more slowly.
"""

from __future__ import annotations

from math import log, log10

# Probe periods: 1 s as memberlist's LAN profile has it, a third of one for the answer; a fleet on one site.
PERIOD, ANSWER = 1_000_000, 300_000
INDIRECT = 3  # members asked to probe in our place
LEAST, MOST = 4.0, 6.0  # suspicion in periods times log10(n), and how much longer it is at first
CONFIRMERS = 3  # further suspectors that bring it down to the least
WORST = 8  # of the local health


def suspicion_timeout(members: int, confirmers: int, health: int) -> int:
    """Whole microseconds. `members` are those alive, `confirmers` the others that suspect, too."""
    least = LEAST * max(1.0, log10(max(1, members))) * PERIOD
    most = MOST * least
    # Of three there is nobody left to confirm it but one.
    wanted = min(CONFIRMERS, max(0, members - 2))
    if wanted == 0:
        return int(least) * (health + 1)
    part = log(confirmers + 1.0) / log(wanted + 1.0)
    return int(max(least, most - (most - least) * part))


class LocalHealth:
    """The local health multiplier: 0 is good. It only ever slows us down."""

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, by: int) -> None:
        self.score = min(WORST, max(0, self.score + by))

    def scale(self, span: int) -> int:
        return span * (self.score + 1)
