"""A member's records of all members, merged so that the order of their arrival does not matter.

Records of one member are ordered by (generation, incarnation, state), and the greatest one counts. So merging
is commutative, associative and idempotent: a later generation of a name overrides every record of an earlier
one, a refutation (a higher incarnation) overrides the suspicion, and of two records of one incarnation the
one with the worse state counts. This is as in SWIM (Das, Gupta, Motivala, 2002), except that a member that
was declared dead while it was partitioned may refute that as well.
"""

from __future__ import annotations

from locktide.cluster.messages import MemberRecord, MemberState

#: How long the record of a dead member is kept, in microseconds: without the record, old gossip would bring
#: the member back. This is four times the longest known delay of a datagram or full sync.
DEAD_RETENTION = 60_000_000


def precedence(record: MemberRecord) -> tuple[int, int, int, tuple[str, int]]:
    """Return the sort key of a record among those of one member; the greatest one counts."""
    return record.generation, record.incarnation, record.state, record.address


class MemberTable:
    """The current record of each member.

    Attributes:
        records: the record of each member by its name.
        changed_at: when the record of each member last changed, in microseconds.
        alive_cache: the cached result of `alive`; None after a change.
    """

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.changed_at: dict[str, int] = {}
        self.alive_cache: list[str] | None = None

    def merge(self, record: MemberRecord, now: int) -> MemberRecord | None:
        """Merge a record; return the previous record, or None if nothing changes.

        For a member that was unknown the result is a record of generation 0.
        """
        previous = self.records.get(record.name)
        if previous is not None and precedence(record) <= precedence(previous):
            return None
        self.records[record.name] = record
        self.changed_at[record.name] = now
        self.alive_cache = None
        return previous or MemberRecord(
            name=record.name, generation=0, incarnation=0, state=MemberState.LEFT, address=record.address
        )

    def alive(self) -> list[str]:
        """Return the sorted names of members alive or suspected; equal records give the same list."""
        if self.alive_cache is None:
            self.alive_cache = sorted(
                [name for name, record in self.records.items() if record.state <= MemberState.SUSPECT]
            )
        return self.alive_cache

    def forget(self, now: int) -> None:
        """Drop members that have been dead or have left for longer than the retention time."""
        gone = [name for name, record in self.records.items() if record.state >= MemberState.DEAD]
        for name in gone:
            if now - self.changed_at[name] > DEAD_RETENTION:
                del self.records[name]
                del self.changed_at[name]
