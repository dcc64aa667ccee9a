"""How members find each other again that hold each other dead, and an earlier process hears of the later one.

Nobody asks anything of who counts as dead, and news of it is told only so often: without this such an error
stayed for good, and with it two ledgers (6 and 7 of 300 drawn days).
"""

from __future__ import annotations

from locktide.accord.members.table import DEAD, SUSPECT, Table
from locktide.accord.words import Row, Said
from locktide.dispatch.sums import Chance


class Reunion:
    def __init__(self, table: Table, chance: Chance) -> None:
        self.table, self.chance = table, chance
        # Earlier processes of a name, as they were known, where a later one has another address.
        self.outdone: dict[str, Row] = {}

    def note(self, before: Row, row: Row) -> None:
        if 0 < before.start < row.start and before.address != row.address:
            self.outdone[row.name] = before

    def doubts(self, said: Said) -> list[Row]:
        """What we hold against who speaks to us, or know of another start of that name, to be refuted."""
        row = self.table.rows.get(said.sender)
        if row is None or row.start == said.start and row.state not in (SUSPECT, DEAD):
            return []
        return [row]

    def outdo(self, said: Said) -> tuple[tuple[str, int], Row] | None:
        """For an earlier process of a name: its address, and the row of the later one. What goes to the name
        goes to the later one's address, also when that is dead: the earlier would never hear it.
        """
        earlier, row = self.outdone.get(said.sender), self.table.rows.get(said.sender)
        if earlier is None or row is None or said.start != earlier.start:
            return None
        return earlier.address, row

    def lost(self) -> tuple[str, int] | None:
        """One that counts as dead, drawn: it may have been cut off with others, who hold the same of us."""
        dead = [row for row in self.table.rows.values() if row.state == DEAD]
        return dead[self.chance.below(len(dead))].address if dead else None
