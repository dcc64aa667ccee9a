"""How long a member is suspected before it counts as dead.

Lifeguard (Dadgar, Phillips, Currey, 2018): the timeout begins long and falls with each further member that
suspects as well, so that a member that is slow itself does not declare others dead; and a member whose own
probes fail, or that is suspected itself, counts that against its own health and probes more slowly.
"""

from __future__ import annotations

from math import log, log10

#: Time between two probes of a member, in microseconds, as in memberlist's LAN profile.
PROBE_INTERVAL = 1_000_000
#: Time for the answer to a direct probe, in microseconds: all members are on one site.
ACK_TIMEOUT = 300_000
#: Members that are requested to probe on our behalf.
INDIRECT_PROBES = 3
#: Shortest timeout of a suspicion in probe intervals, times log10(n) of n members.
MIN_SUSPICION_INTERVALS = 4.0
#: How many times as long the timeout is at first.
MAX_SUSPICION_FACTOR = 6.0
#: Further accusers that bring the timeout down to the shortest.
MAX_CONFIRMATIONS = 3
#: The worst health score: a member probes at most nine times as slowly.
MAX_HEALTH_SCORE = 8


def suspicion_timeout(members: int, confirmations: int, health: int) -> int:
    """Return the timeout in whole microseconds.

    Args:
        members: how many members are alive.
        confirmations: how many members suspect the same one besides the first.
        health: this member's own health score.
    """
    shortest = MIN_SUSPICION_INTERVALS * max(1.0, log10(max(1, members))) * PROBE_INTERVAL
    longest = MAX_SUSPICION_FACTOR * shortest
    # Of three members there is nobody left to confirm but one.
    needed = min(MAX_CONFIRMATIONS, max(0, members - 2))
    if needed == 0:
        return int(shortest) * (health + 1)
    progress = log(confirmations + 1.0) / log(needed + 1.0)
    return int(max(shortest, longest - (longest - shortest) * progress))


class LocalHealth:
    """Lifeguard's local health multiplier, which only makes this member's probes slower.

    Attributes:
        score: from 0, healthy, to `MAX_HEALTH_SCORE`.
    """

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add to the score, within its bounds."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))

    def scale(self, interval: int) -> int:
        """Return an interval lengthened by the score."""
        return interval * (self.score + 1)
