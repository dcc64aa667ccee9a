"""One member's replica of the ledger: rows by writer and index, each with a version, and closed writers.

A writer is one process of a dispatcher; it writes only its own rows. Of two versions of a row the later one
counts, and a writer's name is closed up to a generation and a version. Merging takes the maximum of both, so
it is commutative, associative and idempotent. Equal digests mean equal rows, except with a probability of one
in 2^64.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from locktide.cluster.fairness.dominant_share import Vector
from locktide.cluster.messages import LedgerRow, MemberId, WriterDelta

ENCODER = msgspec.msgpack.Encoder()
CHECKSUM_BYTES = 8
CHECKSUM_MODULUS = 1 << (8 * CHECKSUM_BYTES)
#: The index of the row with the capacities that its writer sees; the rows of tenants have indices up to
#: `MAX_TENANT_INDEX`.
CAPACITY_INDEX = 65_535
MAX_TENANT_INDEX = 255
#: Most writers that are kept: four times the largest expected fleet. Without a limit, a faulty peer that
#: names ever new writers would fill the memory.
MAX_WRITERS = 4096
#: Later than every version that is written.
AFTER_ALL_VERSIONS = 1 << 62

#: A generation, and the version of it up to which rows are closed; earlier generations are closed entirely.
ClosedUpTo = tuple[int, int]
NOT_CLOSED: ClosedUpTo = (0, 0)


def checksum(value: object) -> int:
    """Return a 64-bit checksum of a value's MessagePack encoding."""
    return int.from_bytes(blake2b(ENCODER.encode(value), digest_size=CHECKSUM_BYTES).digest(), "big")


@dataclass(slots=True)
class WriterRows:
    """The rows of one writer.

    Attributes:
        version: all rows written up to this version are in `rows` or superseded by a later row there.
        rows: the latest row of each index.
    """

    version: int = 0
    rows: dict[int, LedgerRow] = field(default_factory=dict)


class ReplicatedLedger:
    """Rows of all writers, with their digest and the sums over them.

    The sums are updated with each row: recomputing them from thousands of rows several times a second would
    cost more than all other work.

    Attributes:
        writers: the rows of each writer.
        closed: the generation and version up to which the rows of each name are closed.
        digest: a checksum of all rows and closed names, independent of their order of arrival.
        in_use: the amounts that each tenant uses, by its index, in thousandths.
        waiting: the needs of the waiting requests of each tenant, in the same form.
        seen_capacities: the capacity that each writer sees.
    """

    def __init__(self) -> None:
        self.writers: dict[MemberId, WriterRows] = {}
        self.closed: dict[str, ClosedUpTo] = {}
        self.digest = 0
        self.in_use: dict[int, Vector] = {}
        self.waiting: dict[int, Vector] = {}
        self.seen_capacities: dict[MemberId, Vector] = {}

    # --- queries

    def is_closed(self, writer: MemberId, version: int) -> bool:
        """Return whether the writer's rows of that version are closed and no longer count."""
        return (writer[1], version) <= self.closed.get(writer[0], NOT_CLOSED)

    def read_version(self, writer: MemberId) -> int:
        """Return the version up to which all rows that the writer wrote are known or closed here."""
        generation, version = self.closed.get(writer[0], NOT_CLOSED)
        if writer[1] < generation:
            return AFTER_ALL_VERSIONS
        writer_rows = self.writers.get(writer)
        known_version = writer_rows.version if writer_rows else 0
        closed_version = version if writer[1] == generation else 0
        return max(known_version, closed_version)

    def rows(self) -> list[tuple[MemberId, LedgerRow]]:
        """Return all rows with their writers."""
        return [
            (writer, row) for writer, writer_rows in self.writers.items() for row in writer_rows.rows.values()
        ]

    def rows_after(self, writer: MemberId, after_version: int) -> list[LedgerRow]:
        """Return the current rows that the writer wrote after that version, in the order of versions."""
        writer_rows = self.writers.get(writer)
        if writer_rows is None:
            return []
        later = [row for row in writer_rows.rows.values() if row.version > after_version]
        return sorted(later, key=lambda row: row.version)

    # --- merging

    def merge(self, delta: WriterDelta) -> bool:
        """Merge rows that a writer wrote after a version, unless earlier rows are missing here.

        Returns whether anything has changed.
        """
        writer = (delta.name, delta.generation)
        if delta.after_version > self.read_version(writer):
            return False
        changed = False
        for row in delta.rows:
            changed |= self.put(writer, row)
        return changed

    def put(self, writer: MemberId, row: LedgerRow) -> bool:
        """Store a row unless it is closed, superseded or beyond a limit; return whether it was stored."""
        if self.is_closed(writer, row.version):
            return False
        if row.index > MAX_TENANT_INDEX and row.index != CAPACITY_INDEX:
            return False
        if writer not in self.writers and len(self.writers) >= MAX_WRITERS:
            return False
        writer_rows = self.writers.setdefault(writer, WriterRows(self.read_version(writer)))
        previous = writer_rows.rows.get(row.index)
        writer_rows.version = max(writer_rows.version, row.version)
        if previous is not None and previous.version >= row.version:
            return False
        if previous is not None:
            self._remove(writer, previous)
        writer_rows.rows[row.index] = row
        self._add(writer, row)
        return True

    def close(self, name: str, up_to: ClosedUpTo) -> bool:
        """Drop the name's rows up to a generation and version for good; return whether that was new."""
        previous = self.closed.get(name, NOT_CLOSED)
        is_full = name not in self.closed and len(self.closed) >= MAX_WRITERS
        if up_to <= previous or is_full:
            return False
        if previous != NOT_CLOSED:
            self._add_to_digest(-checksum((name, previous)))
        self.closed[name] = up_to
        self._add_to_digest(checksum((name, up_to)))
        for writer in [writer for writer in self.writers if writer[0] == name]:
            self._drop_closed_rows(writer)
        return True

    def _drop_closed_rows(self, writer: MemberId) -> None:
        writer_rows = self.writers[writer]
        for index, row in list(writer_rows.rows.items()):
            if self.is_closed(writer, row.version):
                del writer_rows.rows[index]
                self._remove(writer, row)
        if not writer_rows.rows and writer[1] <= self.closed[writer[0]][0]:
            del self.writers[writer]

    # --- digest and sums

    def _add_to_digest(self, amount: int) -> None:
        self.digest = (self.digest + amount) % CHECKSUM_MODULUS

    def _add(self, writer: MemberId, row: LedgerRow) -> None:
        self._add_to_digest(checksum((writer, row)))
        if row.index == CAPACITY_INDEX:
            self.seen_capacities[writer] = row.in_use
        else:
            self._add_amounts(row, 1)

    def _remove(self, writer: MemberId, row: LedgerRow) -> None:
        self._add_to_digest(-checksum((writer, row)))
        if row.index == CAPACITY_INDEX:
            self.seen_capacities.pop(writer, None)
        else:
            self._add_amounts(row, -1)

    def _add_amounts(self, row: LedgerRow, sign: int) -> None:
        for sums, amounts in ((self.in_use, row.in_use), (self.waiting, row.waiting)):
            total = sums.setdefault(row.index, [])
            total += [0] * (len(amounts) - len(total))
            for resource, amount in enumerate(amounts):
                total[resource] += sign * amount


def agreed_capacity(replica: ReplicatedLedger, resource_count: int) -> Vector:
    """Return the agreed capacity of each resource: the lower median of the capacities that writers see."""
    seen = [amounts for amounts in replica.seen_capacities.values() if len(amounts) == resource_count]
    if not seen:
        return [0] * resource_count
    return [sorted(values)[(len(values) - 1) // 2] for values in zip(*seen, strict=True)]


def tenant_totals(
    replica: ReplicatedLedger, resource_count: int
) -> tuple[dict[int, Vector], dict[int, Vector]]:
    """Return each tenant's use, and its demand (use plus waiting needs), summed over all writers."""
    in_use = {tenant: _padded(amounts, resource_count) for tenant, amounts in replica.in_use.items()}
    waiting = {tenant: _padded(replica.waiting.get(tenant, []), resource_count) for tenant in in_use}
    demand = {
        tenant: [used + more for used, more in zip(in_use[tenant], waiting[tenant], strict=True)]
        for tenant in in_use
    }
    return in_use, demand


def _padded(amounts: Vector, length: int) -> Vector:
    return [*amounts[:length], *[0] * (length - len(amounts))]
