"""News of members that rides on other datagrams, each so often as reaches everybody with good odds."""

from __future__ import annotations

from math import ceil, log10

from locktide.cluster.messages import MemberRecord

# Each is told so many times log10(n + 1): memberlist's four reaches all of a thousand with a tenth lost.
RETELL = 4
# Rows on one datagram: ten of the longest names and addresses stay below 1,200 bytes.
MOST = 10


class DisseminationQueue:
    def __init__(self) -> None:
        self.queued: dict[str, tuple[MemberRecord, int]] = {}

    def add(self, row: MemberRecord) -> None:
        """In place of an earlier one on the same member."""
        self.queued[row.name] = (row, 0)

    def take(self, members: int) -> list[MemberRecord]:
        """The least told first; forgets what has been told often enough."""
        most = RETELL * ceil(log10(members + 1.0))
        chosen = sorted(self.queued, key=lambda name: (self.queued[name][1], name))[:MOST]
        rows = []
        for name in chosen:
            row, count = self.queued[name]
            rows.append(row)
            if count + 1 >= most:
                del self.queued[name]
            else:
                self.queued[name] = (row, count + 1)
        return rows
