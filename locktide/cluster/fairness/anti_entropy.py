"""Anti-entropy between ledgers: reconciliation as in Scuttlebutt.

Several times a second each member sends its digest to two others. A member whose digest differs answers with
the version up to which it has read each writer, a page of writers at a time, and is sent the rows that it
lacks in the order of versions. Two points differ from the source: a delta states which version it follows, so
that a lost or late datagram leaves no gap; and closed writers are exchanged along with the versions.

Source: van Renesse, Dumitriu, Gough and Thomas, "Efficient reconciliation and flow control for anti-entropy
protocols", LADIS 2008.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.fairness.delta_packer import DeltaPacker
from locktide.cluster.fairness.replicated_ledger import ReplicatedLedger
from locktide.cluster.messages import Delta, Digest, LedgerRow, MemberId, Message

#: Writers in one digest, and closed writers in addition: with names of sixteen bytes they fit one datagram.
WRITERS_PER_DIGEST = 24
#: A string that sorts after every name.
AFTER_ALL_NAMES = "\U0010ffff"

#: The version up to which each writer has been read.
Versions = dict[MemberId, int]


@dataclass(slots=True)
class AntiEntropy:
    """Builds and handles the messages that reconcile this member's replica with another member's.

    Attributes:
        replica: this member's replica.
        schema_checksum: checksum of the names of tenants and resources; members with equal checksums have
            equal indices for them.
        cursor: the last writer's name on the previous page.
    """

    replica: ReplicatedLedger
    schema_checksum: int
    cursor: str = ""

    def opening_digest(self) -> Message:
        """Return a message with the digest alone; usually the receiver has the same and sends no answer."""
        return Digest(
            schema_checksum=self.schema_checksum,
            digest=self.replica.digest,
            versions=[],
            closed=[],
            after_name="",
            up_to_name="",
            reply_expected=True,
        )

    def handle_digest(self, digest: Digest) -> list[Message]:
        """Return the answers: a page of versions, or the rows that the other lacks and our own versions."""
        if digest.schema_checksum != self.schema_checksum or digest.digest == self.replica.digest:
            return []
        for name, generation, version in digest.closed:
            self.replica.close(name, (generation, version))
        is_opening = not digest.up_to_name
        if is_opening:
            return [self.next_page(reply_expected=True)]
        after = digest.after_name
        up_to = digest.up_to_name
        versions = {(name, generation): version for name, generation, version in digest.versions}
        answers: list[Message] = list(self.deltas_after(self.writers_between(after, up_to), versions))
        is_behind = any(version > self.replica.read_version(writer) for writer, version in versions.items())
        closed_differ = self.closed_between(after, up_to) != sorted(digest.closed)
        if digest.reply_expected and (is_behind or closed_differ):
            answers.append(self.digest_between(after, up_to, reply_expected=False))
        return answers

    def writers_between(self, after: str, up_to: str) -> list[MemberId]:
        """Return the sorted writers whose names are after `after` and up to `up_to`."""
        return sorted(writer for writer in self.replica.writers if after < writer[0] <= up_to)

    def closed_between(self, after: str, up_to: str) -> list[tuple[str, int, int]]:
        """Return the sorted closed writers whose names are after `after` and up to `up_to`."""
        closed = self.replica.closed
        return sorted((name, *closed[name]) for name in closed if after < name <= up_to)

    def next_page(self, reply_expected: bool) -> Message:
        """Return the versions of the next page of writers by name; the first page follows the last one."""
        writers = self.replica.writers
        names = sorted({writer[0] for writer in writers} | self.replica.closed.keys())
        remaining = [name for name in names if name > self.cursor]
        after = self.cursor
        last = ""
        count = 0
        for name in remaining:
            count += 1 + sum(writer[0] == name for writer in writers)
            if last and count > WRITERS_PER_DIGEST:
                break
            last = name
        up_to = AFTER_ALL_NAMES if not remaining or last == remaining[-1] else last
        self.cursor = "" if up_to == AFTER_ALL_NAMES else up_to
        return self.digest_between(after, up_to, reply_expected)

    def digest_between(self, after: str, up_to: str, reply_expected: bool) -> Message:
        """Return a digest with the versions of writers whose names are after `after` and up to `up_to`."""
        versions = [
            (*writer, self.replica.read_version(writer)) for writer in self.writers_between(after, up_to)
        ]
        return Digest(
            schema_checksum=self.schema_checksum,
            digest=self.replica.digest,
            versions=versions[:WRITERS_PER_DIGEST],
            closed=self.closed_between(after, up_to)[:WRITERS_PER_DIGEST],
            after_name=after,
            up_to_name=up_to,
            reply_expected=reply_expected,
        )

    def deltas_after(self, writers: list[MemberId], versions: Versions) -> list[Delta]:
        """Return the rows of the writers after `versions`, as many as fit the datagrams of one answer."""
        packer = DeltaPacker(self.schema_checksum)
        for writer in writers:
            after_version = versions.get(writer, 0)
            if not packer.add(writer, after_version, self.replica.rows_after(writer, after_version)):
                return packer.deltas
        return packer.finish()

    def deltas_of(self, writer: MemberId, written: list[LedgerRow], after_version: int) -> list[Delta]:
        """Return the rows that this member has just written, so that they are sent at once."""
        return self.deltas_after([writer], {writer: after_version}) if written else []

    def handle_delta(self, delta: Delta) -> bool:
        """Merge the rows of all writers in the delta; return whether anything has changed."""
        if delta.schema_checksum != self.schema_checksum:
            return False
        return any([self.replica.merge(writer_delta) for writer_delta in delta.writer_deltas])
