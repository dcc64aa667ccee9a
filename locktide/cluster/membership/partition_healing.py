"""Reconnects members that consider each other dead, and notifies superseded processes of the later process.

Nobody probes a member that counts as dead, and gossip about it is sent only a bounded number of times.
Without this module, members that wrongly consider each other dead would stay apart for good and keep two
separate fairness ledgers.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.membership.member_table import MemberTable
from locktide.cluster.messages import Envelope, MemberRecord, MemberState
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


@dataclass(frozen=True, slots=True)
class SupersededNotice:
    """Notifies an earlier process that a later process of its name runs.

    Attributes:
        address: the address of the earlier process.
        record: the record of the later process.
    """

    address: tuple[str, int]
    record: MemberRecord


class PartitionHealing:
    """Selects the records to send to members considered dead and to processes superseded by a later one.

    Attributes:
        table: the records of all members.
        seeds: addresses at which other members are first contacted.
        generator: the source of random choices.
        superseded: the record of the earlier process of each name whose later process has another address.
    """

    def __init__(
        self, table: MemberTable, seeds: list[tuple[str, int]], generator: LinearCongruentialGenerator
    ) -> None:
        self.table = table
        self.seeds = seeds
        self.generator = generator
        self.superseded: dict[str, MemberRecord] = {}

    def note_superseded(self, record: MemberRecord, current: MemberRecord) -> None:
        """Store the record of an earlier process if the current one of its name has another address."""
        if 0 < record.generation < current.generation and record.address != current.address:
            self.superseded[record.name] = record

    def records_to_refute(self, envelope: Envelope) -> list[MemberRecord]:
        """Return our record of a sender if the sender should refute it.

        Such a record states that the sender is suspected or dead, or that it has another generation.
        """
        record = self.table.records.get(envelope.sender)
        if record is None:
            return []
        is_doubted = record.state in (MemberState.SUSPECT, MemberState.DEAD)
        return [record] if is_doubted or record.generation != envelope.generation else []

    def superseded_notice(self, envelope: Envelope) -> SupersededNotice | None:
        """Return the notice to the sender of a message if it is an earlier process of its name.

        Messages to a name are sent to the later process's address, even if that process is dead. Without a
        notice to its own address the earlier process would never learn of the later one.
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
        """Return a random address among those of dead members and of seeds at which no member is alive.

        A member there may be in another partition whose members consider us dead. A partition may have lasted
        so long that both sides have forgotten each other, hence the seeds.
        """
        alive = {self.table.records[name].address for name in self.table.alive()}
        lost = [record.address for record in self.table.records.values() if record.state == MemberState.DEAD]
        lost += [seed for seed in self.seeds if seed not in alive and seed not in lost]
        return lost[self.generator.below(len(lost))] if lost else None
