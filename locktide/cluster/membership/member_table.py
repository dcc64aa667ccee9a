"""What is known of each member, merged so that the order of news does not matter.

A row is (start, turn, state); the greatest counts. So merging is commutative, associative and idempotent: a
later start of a name goes before all that was said of an earlier one, a refutation (a higher turn) before the
suspicion, and of two words on one turn the worse. As in SWIM (Das, Gupta, Motivala, 2002), but that a member
that was declared dead while it was cut off may refute that, too.
"""

from __future__ import annotations

from locktide.cluster.messages import MemberRecord

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
# Rows of those that are gone are kept against old news that would bring them back, and no longer: four times
# what any datagram or full exchange is known to lag.
FORGET = 60_000_000


def order(row: MemberRecord) -> tuple[int, int, int, tuple[str, int]]:
    return row.generation, row.incarnation, row.state, row.address


class MemberTable:
    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.changed_at: dict[str, int] = {}
        self.alive_cache: list[str] | None = None  # reckoned anew after a change

    def merge(self, row: MemberRecord, now: int) -> MemberRecord | None:
        """Takes a row in; what was known before, or None where this is no news.

        A member of which nothing was known is told as one of start 0.
        """
        before = self.records.get(row.name)
        if before is not None and order(row) <= order(before):
            return None
        self.records[row.name], self.changed_at[row.name] = row, now
        self.alive_cache = None
        return before or MemberRecord(row.name, 0, 0, LEFT, row.address)

    def alive(self) -> list[str]:
        """Those that may be alive, in the order of their names: the same wherever the rows are the same."""
        if self.alive_cache is None:
            self.alive_cache = sorted([name for name, row in self.records.items() if row.state <= SUSPECT])
        return self.alive_cache

    def forget(self, now: int) -> None:
        for name in [name for name, row in self.records.items() if row.state >= DEAD]:
            if now - self.changed_at[name] > FORGET:
                del self.records[name], self.changed_at[name]
