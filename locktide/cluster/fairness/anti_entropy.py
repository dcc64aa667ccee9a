"""How ledgers become equal: reconciliation as in Scuttlebutt (van Renesse, Dumitriu, Gough, Thomas, 2008).

Some times a second each member tells its digest to two others; who has another one answers with how far it
has read each writer, a page of them at a time, and is told what it lacks, in the order of versions. Changed:
a group says after which version it follows, so that a lost or late datagram leaves no hole; and what is
closed goes along.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.fairness.replicated_ledger import ReplicatedLedger
from locktide.cluster.messages import (
    MAX_DATAGRAM,
    Delta,
    Digest,
    LedgerRow,
    MemberId,
    Message,
    WriterDelta,
    encoded_size,
)

PAGE = 24  # writers whose heads go in one datagram, with their closings; names of sixteen bytes fit
ROOM = MAX_DATAGRAM - 150  # bytes for rows, beside the rest of a datagram
MOST = 4  # datagrams of rows in one answer: the next exchange goes on from there
LAST = "\U0010ffff"  # after all names


@dataclass(slots=True)
class AntiEntropy:
    """`book` is this member's ledger, `sum_` tells that both sides number tenants and resources alike."""

    replica: ReplicatedLedger
    schema_checksum: int
    next_name: str = ""

    def opening_digest(self) -> Message:
        """The digest alone: mostly that is all there is to say."""
        return Digest(self.schema_checksum, self.replica.digest, [], [], "", "", True)

    def handle_digest(self, word: Digest) -> list[Message]:
        if word.schema_checksum != self.schema_checksum or word.digest == self.replica.digest:
            return []
        for name, start, version in word.closed:
            self.replica.close(name, (start, version))
        if not word.up_to_name:  # only a digest, another than ours
            return [self.next_page(True)]
        heads = {(name, start): version for name, start, version in word.versions}
        ours = self.writers_between(word.after_name, word.up_to_name)
        answers: list[Message] = list(self.deltas_after(ours, heads))
        behind = any(version > self.replica.read_version(who) for who, version in heads.items())
        if word.reply_expected and (
            behind or self.closed_between(word.after_name, word.up_to_name) != sorted(word.closed)
        ):
            answers.append(self.digest_between(word.after_name, word.up_to_name, False))
        return answers

    def writers_between(self, after: str, upto: str) -> list[MemberId]:
        return sorted(who for who in self.replica.writers if after < who[0] <= upto)

    def closed_between(self, after: str, upto: str) -> list[tuple[str, int, int]]:
        closed = self.replica.closed
        return sorted((name, *closed[name]) for name in closed if after < name <= upto)

    def next_page(self, answer: bool) -> Message:
        """The next page of heads, and where it begins and ends by name; round and round."""
        names = sorted({who[0] for who in self.replica.writers} | self.replica.closed.keys())
        rest = [name for name in names if name > self.next_name]
        after, taken, count = self.next_name, "", 0
        for name in rest:
            count += 1 + sum(who[0] == name for who in self.replica.writers)
            if taken and count > PAGE:
                break
            taken = name
        upto = LAST if not rest or taken == rest[-1] else taken
        self.next_name = "" if upto == LAST else upto
        return self.digest_between(after, upto, answer)

    def digest_between(self, after: str, upto: str, answer: bool) -> Message:
        heads = [(*who, self.replica.read_version(who)) for who in self.writers_between(after, upto)]
        return Digest(
            self.schema_checksum,
            self.replica.digest,
            heads[:PAGE],
            self.closed_between(after, upto)[:PAGE],
            after,
            upto,
            answer,
        )

    def deltas_after(self, writers: list[MemberId], heads: dict[MemberId, int]) -> list[Delta]:
        """What the other has not read yet, as far as some datagrams reach."""
        found: list[Delta] = []
        groups: list[WriterDelta] = []
        used = 0
        for who in writers:
            after = heads.get(who, 0)
            group = WriterDelta(*who, after, [])
            for row in self.replica.rows_after(who, after):
                bytes_ = encoded_size(row) + (0 if group.rows else encoded_size(group))
                if used + bytes_ > ROOM:
                    found.append(Delta(self.schema_checksum, groups + ([group] if group.rows else [])))
                    if len(found) == MOST:
                        return found
                    last = group.rows[-1].version if group.rows else after
                    groups, group, used = [], WriterDelta(*who, last, []), 0
                    bytes_ = encoded_size(row) + encoded_size(group)
                group.rows.append(row)
                used += bytes_
            if group.rows:
                groups.append(group)
        if groups:
            found.append(Delta(self.schema_checksum, groups))
        return found

    def deltas_of(self, who: MemberId, entries: list[LedgerRow], after: int) -> list[Delta]:
        """What this member has just written, to be told at once."""
        return self.deltas_after([who], {who: after}) if entries else []

    def handle_delta(self, word: Delta) -> bool:
        if word.schema_checksum != self.schema_checksum:
            return False
        return any([self.replica.merge(group) for group in word.writer_deltas])
