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

    book: ReplicatedLedger
    sum_: int
    cursor: str = ""

    def open(self) -> Message:
        """The digest alone: mostly that is all there is to say."""
        return Digest(self.sum_, self.book.digest, [], [], "", "", True)

    def heard(self, word: Digest) -> list[Message]:
        if word.sum != self.sum_ or word.digest == self.book.digest:
            return []
        for name, start, version in word.closed:
            self.book.close(name, (start, version))
        if not word.upto:  # only a digest, another than ours
            return [self.page(True)]
        heads = {(name, start): version for name, start, version in word.heads}
        ours = self.within(word.after, word.upto)
        answers: list[Message] = list(self.lacking(ours, heads))
        behind = any(version > self.book.head(who) for who, version in heads.items())
        if word.answer and (behind or self.closings(word.after, word.upto) != sorted(word.closed)):
            answers.append(self.range(word.after, word.upto, False))
        return answers

    def within(self, after: str, upto: str) -> list[MemberId]:
        return sorted(who for who in self.book.writers if after < who[0] <= upto)

    def closings(self, after: str, upto: str) -> list[tuple[str, int, int]]:
        closed = self.book.closed
        return sorted((name, *closed[name]) for name in closed if after < name <= upto)

    def page(self, answer: bool) -> Message:
        """The next page of heads, and where it begins and ends by name; round and round."""
        names = sorted({who[0] for who in self.book.writers} | self.book.closed.keys())
        rest = [name for name in names if name > self.cursor]
        after, taken, count = self.cursor, "", 0
        for name in rest:
            count += 1 + sum(who[0] == name for who in self.book.writers)
            if taken and count > PAGE:
                break
            taken = name
        upto = LAST if not rest or taken == rest[-1] else taken
        self.cursor = "" if upto == LAST else upto
        return self.range(after, upto, answer)

    def range(self, after: str, upto: str, answer: bool) -> Message:
        heads = [(*who, self.book.head(who)) for who in self.within(after, upto)]
        return Digest(
            self.sum_, self.book.digest, heads[:PAGE], self.closings(after, upto)[:PAGE], after, upto, answer
        )

    def lacking(self, writers: list[MemberId], heads: dict[MemberId, int]) -> list[Delta]:
        """What the other has not read yet, as far as some datagrams reach."""
        found: list[Delta] = []
        groups: list[WriterDelta] = []
        used = 0
        for who in writers:
            after = heads.get(who, 0)
            group = WriterDelta(*who, after, [])
            for row in self.book.since(who, after):
                bytes_ = encoded_size(row) + (0 if group.entries else encoded_size(group))
                if used + bytes_ > ROOM:
                    found.append(Delta(self.sum_, groups + ([group] if group.entries else [])))
                    if len(found) == MOST:
                        return found
                    last = group.entries[-1].version if group.entries else after
                    groups, group, used = [], WriterDelta(*who, last, []), 0
                    bytes_ = encoded_size(row) + encoded_size(group)
                group.entries.append(row)
                used += bytes_
            if group.entries:
                groups.append(group)
        if groups:
            found.append(Delta(self.sum_, groups))
        return found

    def fresh(self, who: MemberId, entries: list[LedgerRow], after: int) -> list[Delta]:
        """What this member has just written, to be told at once."""
        return self.lacking([who], {who: after}) if entries else []

    def rows(self, word: Delta) -> bool:
        if word.sum != self.sum_:
            return False
        return any([self.book.merge(group) for group in word.groups])
