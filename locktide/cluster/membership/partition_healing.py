"""Lets members that consider each other dead meet again, and notifies superseded processes of the later one.

Nobody probes a member that counts as dead, and gossip about it is sent only a bounded number of times:
without this module such an error would stay for good, and with it two ledgers.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.membership.member_table import MemberTable
from locktide.cluster.messages import Envelope, MemberRecord, MemberState
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@dataclass(frozen=True, slots=True)
class SupersededNotice:
    """What an earlier process of a name has to learn.

    Attributes:
        address: where the earlier process is reached.
        record: the record of the later one.
    """

    address: tuple[str, int]
    record: MemberRecord


class PartitionHealing:
    """Finds what a member has to learn that others consider dead or that a later process has superseded.

    Attributes:
        table: the records of all members.
        seeds: addresses at which members are first contacted.
        generator: the source of random choices.
        superseded: the records of earlier processes, by name, where a later one has another address.
    """

    def __init__(
        self, table: MemberTable, seeds: list[tuple[str, int]], generator: LinearCongruentialGenerator
    ) -> None:
        self.table = table
        self.seeds = seeds
        self.generator = generator
        self.superseded: dict[str, MemberRecord] = {}

    def note_superseded(self, record: MemberRecord, current: MemberRecord) -> None:
        """Remember a record that was known, or was received, where another one of its name counts."""
        if 0 < record.generation < current.generation and record.address != current.address:
            self.superseded[record.name] = record

    def records_to_refute(self, envelope: Envelope) -> list[MemberRecord]:
        """Return our record of a sender for it to refute: suspected, dead or of another generation."""
        record = self.table.records.get(envelope.sender)
        if record is None:
            return []
        is_doubted = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        return [record] if is_doubted or record.generation != envelope.generation else []

    def superseded_notice(self, envelope: Envelope) -> SupersededNotice | None:
        """Return what an earlier process of a name that has just sent a message must learn.

        Messages to a name go to the later process's address, also when that one is dead: without a notice to
        its own address the earlier process would never learn of the later.
        """
        earlier = self.superseded.get(envelope.sender)
        current = self.table.records.get(envelope.sender)
        if earlier is None or current is None or envelope.generation != earlier.generation:
            return None
        return SupersededNotice(earlier.address, current)

    def prune(self) -> None:
        """Forget names that the member table has forgotten."""
        self.superseded = {
            name: record for name, record in self.superseded.items() if name in self.table.records
        }

    def draw_lost_address(self) -> tuple[str, int] | None:
        """Return the address of a random member that counts as dead, or of a seed at which nobody is alive.

        It may have been partitioned with others, who consider us dead, also for so long that both sides have
        forgotten each other.
        """
        alive = {self.table.records[name].address for name in self.table.alive()}
        lost = [record.address for record in self.table.records.values() if record.state == MemberState.DEAD]
        lost += [seed for seed in self.seeds if seed not in alive and seed not in lost]
        return lost[self.generator.below(len(lost))] if lost else None
