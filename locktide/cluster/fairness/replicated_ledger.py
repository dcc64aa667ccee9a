"""The ledger as one member has it: rows by writer and tenant, each with a version, and what is closed.

A writer is one start of a dispatcher; it writes rows of its own only. Of two versions of a row the later
counts, and what is closed is closed up to a start and a version: both are maxima, so merging is commutative,
associative and idempotent. Equal digests mean the same rows, but for a chance of one in 2^64.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from locktide.cluster.fairness.dominant_share import Vector
from locktide.cluster.messages import LedgerRow, MemberId, WriterDelta

PACK = msgspec.msgpack.Encoder()
SUM = 1 << 64
# The place of a row that tells capacities as its writer sees them, beside those of tenants.
CAPACITY = 65_535
# Guards the memory against a peer that tells of writers without end: four times the largest fleet in mind.
MOST_WRITERS = 4096


def checksum(told: object) -> int:
    return int.from_bytes(blake2b(PACK.encode(told), digest_size=8).digest(), "big")


@dataclass(slots=True)
class WriterRows:
    """One writer's rows. All that it wrote up to version `head` is in them, or outdone by a later one."""

    version: int = 0
    rows: dict[int, LedgerRow] = field(default_factory=dict)


class ReplicatedLedger:
    def __init__(self) -> None:
        self.writers: dict[MemberId, WriterRows] = {}
        self.closed: dict[str, tuple[int, int]] = {}  # by name: up to which start and version
        self.digest = 0
        # Over all writers, brought up to date with each row: reckoning anew from thousands of rows some times
        # a second would cost more than all else.
        self.in_use: dict[int, Vector] = {}
        self.waiting: dict[int, Vector] = {}
        self.seen_capacities: dict[MemberId, Vector] = {}  # capacities

    # --- what may count

    def is_closed(self, who: MemberId, version: int) -> bool:
        return (who[1], version) <= self.closed.get(who[0], (0, 0))

    def read_version(self, who: MemberId) -> int:
        start, version = self.closed.get(who[0], (0, 0))
        if who[1] < start:
            return 1 << 62  # nothing of it will count any more
        pages = self.writers.get(who)
        return max(pages.version if pages else 0, version if who[1] == start else 0)

    def rows(self) -> list[tuple[MemberId, LedgerRow]]:
        return [(who, row) for who, pages in self.writers.items() for row in pages.rows.values()]

    # --- merging

    def merge(self, group: WriterDelta) -> bool:
        """Takes in what a writer wrote after a version; nothing where rows between are missing."""
        who = (group.name, group.start)
        if group.after_version > self.read_version(who):
            return False
        changed = False
        for row in group.rows:
            changed |= self.put(who, row)
        return changed

    def put(self, who: MemberId, row: LedgerRow) -> bool:
        if self.is_closed(who, row.version) or row.index > 255 and row.index != CAPACITY:
            return False
        if who not in self.writers and len(self.writers) >= MOST_WRITERS:
            return False
        pages = self.writers.setdefault(who, WriterRows(self.read_version(who)))
        before = pages.rows.get(row.index)
        pages.version = max(pages.version, row.version)
        if before is not None and before.version >= row.version:
            return False
        if before is not None:
            self.apply_row(who, before, -1)
        pages.rows[row.index] = row
        self.apply_row(who, row, +1)
        return True

    def close(self, name: str, upto: tuple[int, int]) -> bool:
        before = self.closed.get(name, (0, 0))
        if upto <= before or name not in self.closed and len(self.closed) >= MOST_WRITERS:
            return False
        if before != (0, 0):
            self.add_to_digest(-checksum((name, before)))
        self.closed[name] = upto
        self.add_to_digest(checksum((name, upto)))
        for who in [who for who in self.writers if who[0] == name]:
            pages = self.writers[who]
            for place, row in list(pages.rows.items()):
                if self.is_closed(who, row.version):
                    del pages.rows[place]
                    self.apply_row(who, row, -1)
            if not pages.rows and who[1] <= upto[0]:
                del self.writers[who]
        return True

    def add_to_digest(self, by: int) -> None:
        self.digest = (self.digest + by) % SUM

    def apply_row(self, who: MemberId, row: LedgerRow, by: int) -> None:
        self.add_to_digest(by * checksum((who, row)))
        if row.index == CAPACITY:
            if by > 0:
                self.seen_capacities[who] = row.in_use
            else:
                self.seen_capacities.pop(who, None)
            return
        for sums, amounts in ((self.in_use, row.in_use), (self.waiting, row.waiting)):
            vector = sums.setdefault(row.index, [])
            vector += [0] * (len(amounts) - len(vector))
            for place, amount in enumerate(amounts):
                vector[place] += by * amount

    # --- telling

    def rows_after(self, who: MemberId, after: int) -> list[LedgerRow]:
        """What it wrote after that version, in the order of versions."""
        pages = self.writers.get(who)
        found = [row for row in pages.rows.values() if row.version > after] if pages else []
        return sorted(found, key=lambda row: row.version)


def capacity_of(book: ReplicatedLedger, resources: int) -> Vector:
    """The capacities that count: the lower median of what open writers see, for each resource."""
    seen = [held for held in book.seen_capacities.values() if len(held) == resources]
    if not seen:
        return [0] * resources
    return [sorted(values)[(len(values) - 1) // 2] for values in zip(*seen, strict=True)]


def totals(book: ReplicatedLedger, resources: int) -> tuple[dict[int, Vector], dict[int, Vector]]:
    """What each tenant holds, and what it asks for (that and what waits), over all writers."""
    held = {place: padded(amounts, resources) for place, amounts in book.in_use.items()}
    waits = {place: padded(book.waiting.get(place, []), resources) for place in held}
    asked = {
        place: [has + more for has, more in zip(held[place], waits[place], strict=True)] for place in held
    }
    return held, asked


def padded(amounts: Vector, resources: int) -> Vector:
    return [*amounts[:resources], *[0] * (resources - len(amounts))]
