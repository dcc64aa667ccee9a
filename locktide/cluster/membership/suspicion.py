"""How long a member is suspected before it is declared dead.

The rules are those of Lifeguard (Dadgar, Phillips, Currey, 2018). The timeout starts long and falls with each
further member that confirms the suspicion, so that a member that is slow itself does not declare others dead.
A member whose own probes fail, or that is suspected itself, lowers its own health and probes more slowly.
"""

from __future__ import annotations

from math import log, log10

#: Time between two probes by a member, in microseconds, as in memberlist's LAN profile.
PROBE_INTERVAL = 1_000_000
#: Timeout of a direct probe, in microseconds; it is short as all members are on one site.
ACK_TIMEOUT = 300_000
#: Members that are requested to probe on behalf of another one.
INDIRECT_PROBES = 3
#: Shortest timeout of a suspicion in probe intervals, divided by log10(n) for n members.
MIN_SUSPICION_INTERVALS = 4.0
#: Ratio of the timeout at the start of a suspicion to the shortest timeout.
MAX_SUSPICION_FACTOR = 6.0
#: Confirmations by further members after which the timeout is the shortest.
MAX_CONFIRMATIONS = 3
#: The worst health score; with it a member probes nine times as slowly.
MAX_HEALTH_SCORE = 8


def suspicion_timeout(members: int, confirmations: int, health: int) -> int:
    """Return the timeout in whole microseconds.

    Args:
        members: how many members are alive.
        confirmations: how many members confirm the suspicion, besides the first accuser.
        health: this member's own health score.
    """
    shortest = MIN_SUSPICION_INTERVALS * max(1.0, log10(max(1, members))) * PROBE_INTERVAL
    longest = MAX_SUSPICION_FACTOR * shortest
    # The suspected member and the first accuser cannot confirm: of three members only one is left.
    needed = min(MAX_CONFIRMATIONS, max(0, members - 2))
    if needed == 0:
        return int(shortest) * (health + 1)
    progress = log(confirmations + 1.0) / log(needed + 1.0)
    return int(max(shortest, longest - (longest - shortest) * progress))


class LocalHealth:
    """Lifeguard's local health multiplier, which slows down this member's own probes.

    Attributes:
        score: from 0 (healthy) to `MAX_HEALTH_SCORE`.
    """

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add a change to the score, and keep it within its bounds."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))

    def scale(self, interval: int) -> int:
        """Return the interval multiplied according to the score."""
        return interval * (self.score + 1)
