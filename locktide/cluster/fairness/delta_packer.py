"""Packs ledger rows into as few datagrams as possible, up to a limit of datagrams."""

from __future__ import annotations

from locktide.cluster.messages import MAX_DATAGRAM, Delta, LedgerRow, MemberId, WriterDelta, encoded_size

#: Bytes of a datagram in addition to its rows: checksum, sender, and the fields of a Delta.
ENVELOPE_BYTES = 150
#: Bytes for rows in one datagram.
MAX_ROW_BYTES = MAX_DATAGRAM - ENVELOPE_BYTES
#: Datagrams of rows in one answer; the next exchange sends the rows after them.
MAX_DELTAS = 4


class DeltaPacker:
    """Packs rows by writer, in the order of versions; a writer's rows may be split over datagrams.

    Attributes:
        schema_checksum: checksum of the names of tenants and resources.
        deltas: the full datagrams.
        writer_deltas: the rows of the datagram that is being filled.
        used: the size of those rows in bytes.
    """

    def __init__(self, schema_checksum: int) -> None:
        self.schema_checksum = schema_checksum
        self.deltas: list[Delta] = []
        self.writer_deltas: list[WriterDelta] = []
        self.used = 0

    def add(self, writer: MemberId, after_version: int, rows: list[LedgerRow]) -> bool:
        """Add the rows that the writer wrote after a version; return whether all of them fitted."""
        group = WriterDelta(*writer, after_version, [])
        for row in rows:
            size = encoded_size(row) + (0 if group.rows else encoded_size(group))
            if self.used + size > MAX_ROW_BYTES:
                self._close_datagram(group)
                if len(self.deltas) == MAX_DELTAS:
                    return False
                last_version = group.rows[-1].version if group.rows else after_version
                group = WriterDelta(*writer, last_version, [])
                size = encoded_size(row) + encoded_size(group)
            group.rows.append(row)
            self.used += size
        if group.rows:
            self.writer_deltas.append(group)
        return True

    def finish(self) -> list[Delta]:
        """Return all datagrams."""
        if self.writer_deltas:
            self.deltas.append(Delta(self.schema_checksum, self.writer_deltas))
        return self.deltas

    def _close_datagram(self, group: WriterDelta) -> None:
        groups = self.writer_deltas + ([group] if group.rows else [])
        self.deltas.append(Delta(self.schema_checksum, groups))
        self.writer_deltas = []
        self.used = 0
