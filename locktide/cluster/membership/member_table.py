"""What a member knows of each other one, merged so that the order of arrival does not matter.

Records of one member are ordered by (generation, incarnation, state), and the greatest counts. So merging is
commutative, associative and idempotent: a later generation of a name overrides every record of an earlier
one, a refutation (a higher incarnation) the suspicion, and of two records of one incarnation the worse state
counts. As in SWIM (Das, Gupta, Motivala, 2002), except that a member that was declared dead while it
was partitioned may refute that as well.
"""

from __future__ import annotations

from locktide.cluster.messages import MemberRecord, MemberState

#: How long the record of a dead member is kept, in microseconds: old gossip would else bring the member back.
#: Four times what any datagram or full sync is known to lag.
DEAD_RETENTION = 60_000_000


def precedence(record: MemberRecord) -> tuple[int, int, int, tuple[str, int]]:
    """Return the key by which records of one member are ordered."""
    return record.generation, record.incarnation, record.state, record.address


class MemberTable:
    """The record that counts of each member.

    Attributes:
        records: the record of each member by its name.
        changed_at: when it last changed, in microseconds.
        alive_cache: the result of `alive`; None after a change.
    """

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.changed_at: dict[str, int] = {}
        self.alive_cache: list[str] | None = None

    def merge(self, record: MemberRecord, now: int) -> MemberRecord | None:
        """Take in a record; return the one that counted before, or None where nothing changes.

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
        """Return the sorted names of members alive or suspected: the same wherever the records are."""
        if self.alive_cache is None:
            self.alive_cache = sorted(
                [name for name, record in self.records.items() if record.state <= MemberState.SUSPECT]
            )
        return self.alive_cache

    def forget(self, now: int) -> None:
        """Drop members that have been dead or gone for longer than the retention time."""
        gone = [name for name, record in self.records.items() if record.state >= MemberState.DEAD]
        for name in gone:
            if now - self.changed_at[name] > DEAD_RETENTION:
                del self.records[name]
                del self.changed_at[name]
