"""Failure detection by SWIM with Lifeguard's refinements, without I/O: which members are alive.

A host calls `handle` with each message and `tick` at `next_wakeup`; both return the messages to send, with
their addresses. The view's `events` are the changes to report. Membership only determines to whom messages
are sent; no safety property depends on it. Times are whole microseconds of this member's own clock.
"""

from __future__ import annotations

from locktide.cluster.membership.dissemination import MAX_RECORDS
from locktide.cluster.membership.probing import ProbeInProgress, ProbeOrder, RelayedProbe
from locktide.cluster.membership.suspicion import ACK_TIMEOUT, INDIRECT_PROBES, PROBE_INTERVAL
from locktide.cluster.membership.view import Address, MembershipView
from locktide.cluster.messages import (
    Ack,
    Envelope,
    FullSync,
    IndirectProbe,
    MemberId,
    MemberState,
    Message,
    Nack,
    Ping,
)
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

#: Messages to send, each with the address of its receiver.
Outgoing = list[tuple[Address, Message]]
#: Mean time between full syncs with one random member, in microseconds. A full sync repairs what gossip
#: missed, also after a partition.
FULL_SYNC_INTERVAL = 10_000_000
#: Relayed probes that are kept. Without a limit, members that request probes without end would fill the
#: memory. A probe that is still unanswered after that many later ones will not be answered any more.
MAX_RELAYED_PROBES = 256
#: Members that are notified when this one leaves; gossip notifies the others.
LEAVE_NOTICES = 2 * INDIRECT_PROBES


class Swim:
    """Keeps one member's view of the cluster, and helps to keep the views of the others up to date.

    Attributes:
        member_id: name and generation of this member.
        seeds: addresses at which other members are first contacted.
        generator: the source of random choices.
        view: this member's view of all members.
        probe_order: the order in which members are probed.
        next_probe_at: when the next probe begins.
        next_full_sync_at: when the next full sync is sent.
        probe: the probe in progress, if any.
        relayed_probes: probes on behalf of others, by the sequence number of this member's own Ping.
        last_sequence: the last sequence number that was used.
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
        self.seeds = seeds
        self.generator = generator
        self.view = MembershipView(member_id, address, seeds, generator, now)
        self.probe_order = ProbeOrder(generator)
        self.next_probe_at = now
        self.next_full_sync_at = now
        self.probe: ProbeInProgress | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.last_sequence = 0

    # --- queries

    def alive(self) -> list[str]:
        """Return the sorted names of members that are alive or suspected, including this member's."""
        return self.view.alive()

    def address_of(self, name: str) -> Address | None:
        """Return the address of a member, or None if it is not known."""
        return self.view.address_of(name)

    @property
    def next_wakeup(self) -> int:
        """When `tick` has to be called next."""
        times = [self.next_probe_at, self.next_full_sync_at]
        if self.probe is not None:
            times.append(self.probe.next_wakeup)
        times += [suspicion.deadline for suspicion in self.view.suspicions.values()]
        return min(times)

    # --- messages

    def handle(self, envelope: Envelope, now: int) -> Outgoing:
        """Process a message, and return the replies; ignore messages of other protocols."""
        if self.view.has_left() or envelope.sender_id == self.member_id:
            return []
        message = envelope.message
        if isinstance(message, Ping | IndirectProbe | Ack):
            for record in message.gossip:
                self.view.merge(record, now, envelope.sender)
        match message:
            case Ping():
                return self.handle_ping(envelope, message, now)
            case IndirectProbe():
                return self.relay_probe(envelope.sender, message)
            case Ack():
                return self.handle_ack(message)
            case Nack():
                self.handle_nack(envelope.sender, message)
            case FullSync():
                return self.handle_full_sync(envelope, message, now)
        return []

    def handle_ping(self, envelope: Envelope, ping: Ping, now: int) -> Outgoing:
        """Answer a probe."""
        if ping.target_record is not None:
            # Lifeguard's buddy system: a suspected member learns of the suspicion with the next Ping to it.
            self.view.merge(ping.target_record, now, envelope.sender)
        gossip = self.view.partition_healing.records_to_refute(envelope) + self.view.take_gossip()
        return self.address_to(envelope.sender, Ack(ping.sequence, gossip)) + self.notify_superseded(envelope)

    def handle_ack(self, ack: Ack) -> Outgoing:
        """Forward the answer to a relayed probe, or record the answer to this member's own probe."""
        relayed = self.relayed_probes.pop(ack.sequence, None)
        if relayed is not None:
            return self.address_to(relayed.requester, Ack(relayed.sequence, self.view.take_gossip()))
        if self.probe is not None and ack.sequence == self.probe.sequence:
            self.probe.is_acked = True
        return []

    def handle_nack(self, sender: str, nack: Nack) -> None:
        """Record that a relay of the probe in progress is reachable."""
        if self.probe is not None and nack.sequence == self.probe.sequence:
            self.probe.silent_relays.discard(sender)

    def handle_full_sync(self, envelope: Envelope, sync: FullSync, now: int) -> Outgoing:
        """Merge a page of records, and reply with all of ours if a reply is wanted."""
        for record in sync.records:
            self.view.merge(record, now, envelope.sender)
        # A notice to a superseded process requests no reply, and is not answered with another notice: two
        # superseded processes would answer each other forever.
        if not sync.reply_wanted:
            return []
        reply = self.full_sync(self.address_of(envelope.sender), reply_wanted=False)
        return reply + self.notify_superseded(envelope)

    def relay_probe(self, requester: str, probe: IndirectProbe) -> Outgoing:
        """Ping a member on behalf of another one."""
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            self.relayed_probes.clear()
        self.last_sequence += 1
        self.relayed_probes[self.last_sequence] = RelayedProbe(requester, probe.sequence)
        record = self.view.table.records.get(probe.target)
        ping = self.address_to(probe.target, Ping(self.last_sequence, record, self.view.take_gossip()))
        return ping + self.address_to(requester, Nack(probe.sequence))

    def notify_superseded(self, envelope: Envelope) -> Outgoing:
        """Notify the sender, at its own address, if a later process of its name has superseded it."""
        notice = self.view.partition_healing.superseded_notice(envelope)
        return [(notice.address, FullSync([notice.record], False))] if notice is not None else []

    # --- time

    def tick(self, now: int) -> Outgoing:
        """Perform the work that is due, and return the messages to send."""
        if self.view.has_left():
            return []
        self.view.expire_suspicions(now)
        outgoing = self.check_probe(now)
        if now >= self.next_probe_at:
            outgoing += self.start_probe(now)
        if now >= self.next_full_sync_at:
            outgoing += self.start_full_sync(now)
        return outgoing

    def start_probe(self, now: int) -> Outgoing:
        """Ping the next member; if no other member is known, contact the seeds."""
        interval = self.view.health.scale(PROBE_INTERVAL)
        self.next_probe_at = now + interval
        others = self.view.other_members()
        if not others:
            return [send for address in self.seeds for send in self.full_sync(address, reply_wanted=True)]
        target = self.probe_order.next_target(others)
        self.last_sequence += 1
        ack_timeout = min(self.view.health.scale(ACK_TIMEOUT), interval // 2)
        self.probe = ProbeInProgress(
            target=target,
            sequence=self.last_sequence,
            indirect_at=now + ack_timeout,
            deadline=now + interval - 1,
        )
        ping = Ping(self.last_sequence, self.view.table.records[target], self.view.take_gossip())
        return self.address_to(target, ping)

    def check_probe(self, now: int) -> Outgoing:
        """Probe indirectly once the direct probe has timed out, and finish the probe at its deadline."""
        probe = self.probe
        if probe is None:
            return []
        outgoing: Outgoing = []
        if not probe.is_acked and not probe.is_indirect and now >= probe.indirect_at:
            outgoing = self.start_indirect_probes(probe)
        if now >= probe.deadline:
            self.finish_probe(probe, now)
        return outgoing

    def start_indirect_probes(self, probe: ProbeInProgress) -> Outgoing:
        """Request some members that are not suspected to probe the target."""
        probe.is_indirect = True
        candidates = [
            name
            for name in self.view.other_members()
            if name != probe.target and name not in self.view.suspicions
        ]
        relays = self.draw(candidates, INDIRECT_PROBES)
        probe.silent_relays = set(relays)
        outgoing: Outgoing = []
        for name in relays:
            request = IndirectProbe(probe.sequence, probe.target, self.view.take_gossip())
            outgoing += self.address_to(name, request)
        return outgoing

    def finish_probe(self, probe: ProbeInProgress, now: int) -> None:
        """Suspect the target if no answer has arrived, neither directly nor through a relay."""
        self.probe = None
        if probe.is_acked:
            self.view.health.adjust(-1)
            return
        # If relays are silent as well, this member itself is probably the one that receives no messages.
        is_local_fault = probe.is_indirect and bool(probe.silent_relays)
        self.view.health.adjust(len(probe.silent_relays) if is_local_fault else +1)
        record = self.view.table.records.get(probe.target)
        if record is not None and record.state == MemberState.ALIVE:
            self.view.conclude(record, MemberState.SUSPECT, now)

    def start_full_sync(self, now: int) -> Outgoing:
        """Exchange all records with a random member, or the seeds, and with a member that counts as dead."""
        self.next_full_sync_at = now + FULL_SYNC_INTERVAL // 2 + self.generator.below(FULL_SYNC_INTERVAL)
        self.view.prune(now)
        others = self.view.other_members()
        drawn = self.address_of(others[self.generator.below(len(others))]) if others else None
        outgoing: Outgoing = []
        for address in [drawn] if drawn else self.seeds:
            outgoing += self.full_sync(address, reply_wanted=True)
        lost = self.view.partition_healing.draw_lost_address()
        return outgoing + self.full_sync(lost, reply_wanted=True)

    def leave(self) -> Outgoing:
        """Notify some members that this one leaves; it sends nothing after that."""
        self.view.leave()
        receivers = self.draw(self.view.other_members(), LEAVE_NOTICES)
        notice = FullSync([self.view.own_record], False)
        return [send for name in receivers for send in self.address_to(name, notice)]

    # --- sending

    def draw(self, names: list[str], count: int) -> list[str]:
        """Remove `count` random names from the list, or all if there are fewer, and return them."""
        return [names.pop(self.generator.below(len(names))) for _ in range(min(count, len(names)))]

    def address_to(self, name: str, message: Message) -> Outgoing:
        """Return a message with the member's address, or nothing if the address is not known."""
        address = self.address_of(name)
        return [(address, message)] if address is not None else []

    def full_sync(self, address: Address | None, reply_wanted: bool) -> Outgoing:
        """Return all records of this member in as many messages as needed; only the last may want a reply."""
        if address is None:
            return []
        records = sorted(self.view.table.records.values(), key=lambda record: record.name)
        pages = [records[start : start + MAX_RECORDS] for start in range(0, len(records), MAX_RECORDS)]
        last = len(pages) - 1
        return [(address, FullSync(page, reply_wanted and index == last)) for index, page in enumerate(pages)]
