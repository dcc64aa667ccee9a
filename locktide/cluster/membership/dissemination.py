"""Queue of membership changes that are piggybacked on messages until probably all members have seen them."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log10

from locktide.cluster.messages import MemberRecord

#: How often each change is sent, divided by log10(n + 1) for n members. Memberlist's value of four reaches
#: all of a thousand members with a tenth of the datagrams lost.
RETRANSMIT_FACTOR = 4
#: Records in one datagram: ten records with the longest names and addresses stay below 1,200 bytes.
MAX_RECORDS = 10


@dataclass(frozen=True, slots=True)
class QueuedRecord:
    """A record, and how often it was sent.

    Attributes:
        record: the record.
        sent: how many messages have included it.
    """

    record: MemberRecord
    sent: int = 0


class DisseminationQueue:
    """The changes that are still to be sent.

    Attributes:
        queued: the last change of each member by its name.
    """

    def __init__(self) -> None:
        self.queued: dict[str, QueuedRecord] = {}

    def add(self, record: MemberRecord) -> None:
        """Queue a record in place of an earlier one of the same member."""
        self.queued[record.name] = QueuedRecord(record)

    def take(self, members: int) -> list[MemberRecord]:
        """Return the records sent least often; drop those sent often enough for that number of members."""
        transmit_limit = RETRANSMIT_FACTOR * ceil(log10(members + 1.0))
        least_sent_first = sorted(self.queued, key=lambda name: (self.queued[name].sent, name))
        records = []
        for name in least_sent_first[:MAX_RECORDS]:
            entry = self.queued[name]
            records.append(entry.record)
            if entry.sent + 1 >= transmit_limit:
                del self.queued[name]
            else:
                self.queued[name] = QueuedRecord(entry.record, entry.sent + 1)
        return records
