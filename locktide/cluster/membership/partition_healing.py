"""How members find each other again that hold each other dead, and an earlier process hears of the later one.

Nobody asks anything of who counts as dead, and news of it is told only so often: without this such an error
stayed for good, and with it two ledgers (6 and 7 of 300 drawn days).
"""

from __future__ import annotations

from locktide.cluster.membership.member_table import DEAD, SUSPECT, MemberTable
from locktide.cluster.messages import Envelope, MemberRecord
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


class PartitionHealing:
    def __init__(
        self, table: MemberTable, seeds: list[tuple[str, int]], chance: LinearCongruentialGenerator
    ) -> None:
        self.table, self.seeds, self.generator = table, seeds, chance
        # Earlier processes of a name, as they were known, where a later one has another address.
        self.superseded: dict[str, MemberRecord] = {}

    def note_superseded(self, row: MemberRecord, now_known: MemberRecord) -> None:
        """Of a row that was known, or is told, where another one of its name counts."""
        if 0 < row.generation < now_known.generation and row.address != now_known.address:
            self.superseded[row.name] = row

    def records_to_refute(self, said: Envelope) -> list[MemberRecord]:
        """What we hold against who speaks to us, or know of another start of that name, to be refuted."""
        row = self.table.records.get(said.sender)
        if row is None or row.generation == said.generation and row.state not in (SUSPECT, DEAD):
            return []
        return [row]

    def superseding_record(self, said: Envelope) -> tuple[tuple[str, int], MemberRecord] | None:
        """For an earlier process of a name: its address, and the row of the later one. What goes to the name
        goes to the later one's address, also when that is dead: the earlier would never hear it.
        """
        earlier, row = self.superseded.get(said.sender), self.table.records.get(said.sender)
        if earlier is None or row is None or said.generation != earlier.generation:
            return None
        return earlier.address, row

    def prune(self) -> None:
        """Of names that the table has forgotten, nothing is kept here either."""
        self.superseded = {name: row for name, row in self.superseded.items() if name in self.table.records}

    def draw_lost_address(self) -> tuple[str, int] | None:
        """One that counts as dead, or a seed where nobody is known to live, drawn. It may have been cut off
        with others, who hold the same of us, also for so long that both have forgotten each other.
        """
        living = {self.table.records[name].address for name in self.table.alive()}
        dead = [row.address for row in self.table.records.values() if row.state == DEAD]
        dead += [seed for seed in self.seeds if seed not in living and seed not in dead]
        return dead[self.generator.below(len(dead))] if dead else None
