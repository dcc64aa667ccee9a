"""One member's view of the cluster: records, gossip, suspicions, and the changes to report."""

from __future__ import annotations

import msgspec

from locktide.cluster.membership.dissemination import DisseminationQueue
from locktide.cluster.membership.events import EVENT_OF_STATE, MembershipEvent, MembershipEventKind
from locktide.cluster.membership.member_table import MemberTable
from locktide.cluster.membership.partition_healing import PartitionHealing
from locktide.cluster.membership.probing import Suspicion
from locktide.cluster.membership.suspicion import LocalHealth, suspicion_timeout
from locktide.cluster.messages import MemberId, MemberRecord, MemberState
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

#: Host and UDP port.
Address = tuple[str, int]


class MembershipView:
    """One member's knowledge of all members, including itself. Times are microseconds of its own clock.

    Attributes:
        member_id: name and generation of this member.
        own_record: its record of itself.
        table: the records of all members.
        gossip: the changes that are to be sent.
        health: the local health of this member.
        suspicions: the suspicions of members, by name.
        events: the changes that are not reported yet.
        superseded: whether a later process of this member's name was found.
        partition_healing: selects the records to send to members considered dead or superseded.
    """

    def __init__(
        self,
        member_id: MemberId,
        address: Address,
        seeds: list[Address],
        generator: LinearCongruentialGenerator,
        now: int,
    ) -> None:
        self.member_id = member_id
        name, generation = member_id
        self.own_record = MemberRecord(
            name=name, generation=generation, incarnation=0, state=MemberState.ALIVE, address=address
        )
        self.table = MemberTable()
        self.gossip = DisseminationQueue()
        self.health = LocalHealth()
        self.suspicions: dict[str, Suspicion] = {}
        self.events: list[MembershipEvent] = []
        self.superseded = False
        self.partition_healing = PartitionHealing(self.table, seeds, generator)
        self.table.merge(self.own_record, now)
        self.gossip.add(self.own_record)

    def alive(self) -> list[str]:
        """Return the sorted names of members that are alive or suspected, including this member's."""
        return self.table.alive()

    def other_members(self) -> list[str]:
        """Return the sorted names of the other members that are alive or suspected."""
        return [name for name in self.table.alive() if name != self.member_id[0]]

    def address_of(self, name: str) -> Address | None:
        """Return the address of a member, or None if it is not known."""
        record = self.table.records.get(name)
        return record.address if record is not None else None

    def take_gossip(self) -> list[MemberRecord]:
        """Return the records to piggyback on the next message."""
        return self.gossip.take(len(self.table.alive()))

    def merge(self, record: MemberRecord, now: int, accuser: str) -> None:
        """Merge a record from `accuser`: its sender, or this member if it concluded the state itself."""
        if record.name == self.member_id[0]:
            self.merge_own(record, now)
            return
        previous = self.table.merge(record, now)
        self.confirm_suspicion(record, accuser)
        if previous is None:
            self.partition_healing.note_superseded(record, self.table.records[record.name])
            return
        self.partition_healing.note_superseded(previous, record)
        self.gossip.add(record)
        if record.state == MemberState.SUSPECT:
            suspicion = Suspicion(now, {accuser})
            suspicion.deadline = now + self.suspicion_timeout(suspicion)
            self.suspicions[record.name] = suspicion
        else:
            self.suspicions.pop(record.name, None)
        if (previous.generation, previous.state) != (record.generation, record.state):
            self.events.append(MembershipEvent(EVENT_OF_STATE[record.state], record))

    def confirm_suspicion(self, record: MemberRecord, accuser: str) -> None:
        """Shorten the timeout of a suspicion that a further member confirms."""
        suspicion = self.suspicions.get(record.name)
        if suspicion is None or record.state != MemberState.SUSPECT or accuser == self.member_id[0]:
            return
        known = self.table.records[record.name]
        if (known.generation, known.incarnation) != (record.generation, record.incarnation):
            return
        if accuser not in suspicion.accusers:
            suspicion.accusers.add(accuser)
            suspicion.deadline = suspicion.started_at + self.suspicion_timeout(suspicion)
            self.gossip.add(record)

    def merge_own(self, record: MemberRecord, now: int) -> None:
        """Merge another member's record of this member.

        A suspicion is refuted by a higher incarnation. A record of an earlier generation of this member's
        name is superseded by this member's own record; a record of a later generation shows that this member
        is superseded.
        """
        own = self.own_record
        if record.generation > own.generation:
            if not self.superseded:
                self.superseded = True
                self.events.append(MembershipEvent(MembershipEventKind.SUPERSEDED, record))
            return
        is_accusation = record.generation == own.generation and record.state > MemberState.ALIVE
        if is_accusation and record.incarnation >= own.incarnation:
            self.health.adjust(+1)  # this member answered another one too slowly
            self.own_record = msgspec.structs.replace(own, incarnation=record.incarnation + 1)
        if record != self.own_record:
            self.table.merge(self.own_record, now)
            self.gossip.add(self.own_record)

    def suspicion_timeout(self, suspicion: Suspicion) -> int:
        """Return how long a suspicion lasts from its start, in microseconds."""
        confirmations = len(suspicion.accusers) - 1
        return suspicion_timeout(len(self.table.alive()), confirmations, self.health.score)

    def expire_suspicions(self, now: int) -> None:
        """Declare dead the members whose suspicion was not refuted in time."""
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.deadline:
                self.conclude(self.table.records[name], MemberState.DEAD, now)

    def conclude(self, record: MemberRecord, state: MemberState, now: int) -> None:
        """Merge a state of a member that this member has concluded itself."""
        concluded = msgspec.structs.replace(record, state=state)
        self.merge(concluded, now, self.member_id[0])

    def has_left(self) -> bool:
        """Return whether this member has left the cluster."""
        return self.own_record.state == MemberState.LEFT

    def leave(self) -> None:
        """Mark this member as one that has left."""
        self.own_record = msgspec.structs.replace(self.own_record, state=MemberState.LEFT)

    def prune(self, now: int) -> None:
        """Forget members whose records are past the retention time."""
        self.table.forget(now)
        self.partition_healing.prune()

    def take_events(self) -> list[MembershipEvent]:
        """Return the events since the last call."""
        events = self.events
        self.events = []
        return events
