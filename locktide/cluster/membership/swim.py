"""Who is alive, as one member finds it out: SWIM with Lifeguard's refinements, without I/O.

A host calls `hear` with each word that came, and `tick` at `due`; both give what is to be sent, as (address,
word). `events` are what there is to tell. It says whom we hear; no promise rests on it.
"""

from __future__ import annotations

from locktide.cluster.membership import suspicion
from locktide.cluster.membership.dissemination import MOST, DisseminationQueue
from locktide.cluster.membership.member_table import ALIVE, DEAD, LEFT, STATES, SUSPECT, MemberTable
from locktide.cluster.membership.partition_healing import PartitionHealing
from locktide.cluster.membership.probing import ProbeInProgress, Suspicion
from locktide.cluster.membership.suspicion import ANSWER, INDIRECT, PERIOD, LocalHealth
from locktide.cluster.messages import (
    Ack,
    Envelope,
    FullSync,
    IndirectProbe,
    MemberId,
    MemberRecord,
    Message,
    Nack,
    Ping,
)
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

Address = tuple[str, int]
Outgoing = list[tuple[Address, Message]]
# A full exchange with one drawn member: mends what rumours missed, also after a partition.
WHOLE_EVERY = 10_000_000


class Swim:
    def __init__(
        self,
        who: MemberId,
        address: Address,
        seeds: list[Address],
        chance: LinearCongruentialGenerator,
        now: int,
    ) -> None:
        self.member_id, self.seeds, self.chance = who, seeds, chance
        self.own_record = MemberRecord(who[0], who[1], 0, ALIVE, address)
        self.table, self.gossip, self.health = MemberTable(), DisseminationQueue(), LocalHealth()
        self.table.merge(self.own_record, now)
        self.gossip.add(self.own_record)
        self.probe_order: list[str] = []  # whom to probe next: a drawn order, anew each time round
        self.next_probe_at, self.next_full_sync_at = now, now
        self.probe: ProbeInProgress | None = None
        self.suspicions: dict[str, Suspicion] = {}
        self.relayed_probes: dict[int, tuple[str, int]] = {}  # probes made for others: by number, for whom
        self.last_sequence = 0
        self.events: list[tuple[str, MemberRecord]] = []
        self.superseded = False  # a later process of our name was heard of
        self.partition_healing = PartitionHealing(self.table, seeds, chance)

    # --- what others ask

    def alive(self) -> list[str]:
        return self.table.alive()

    def address_of(self, name: str) -> Address | None:
        row = self.table.records.get(name)
        return row.address if row is not None else None

    @property
    def next_wakeup(self) -> int:
        times = [self.next_probe_at, self.next_full_sync_at]
        if self.probe is not None:
            over = self.probe.is_indirect or self.probe.is_acked
            times.append(self.probe.deadline if over else self.probe.indirect_at)
        times += [one.deadline for one in self.suspicions.values()]
        return min(times)

    # --- news

    def merge(self, row: MemberRecord, now: int, by: str) -> None:
        if row.name == self.member_id[0]:
            self.merge_own(row, now)
            return
        before = self.table.merge(row, now)
        if row.state == SUSPECT and (held := self.suspicions.get(row.name)) and by != self.member_id[0]:
            known = self.table.records[row.name]
            if (known.generation, known.incarnation) == (
                row.generation,
                row.incarnation,
            ) and by not in held.accusers:
                held.accusers.add(by)  # one more that does not hear it
                held.deadline = held.started_at + self.suspicion_timeout(held)
                self.gossip.add(row)
        if before is None:
            self.partition_healing.note_superseded(row, self.table.records[row.name])
            return
        self.partition_healing.note_superseded(before, row)
        self.gossip.add(row)
        if row.state == SUSPECT:
            held = self.suspicions[row.name] = Suspicion(now, {by})
            held.deadline = now + self.suspicion_timeout(held)
        else:
            self.suspicions.pop(row.name, None)
        if (before.generation, before.state) != (row.generation, row.state):
            self.events.append((STATES[row.state], row))

    def merge_own(self, row: MemberRecord, now: int) -> None:
        """What others say of us: a suspicion is refuted by a higher turn; an earlier process of our name is
        outdone by our start; a later one is another under our name.
        """
        if row.generation > self.own_record.generation:
            if not self.superseded:
                self.superseded = True
                self.events.append(("replaced", row))
            return
        if (
            row.generation == self.own_record.generation
            and row.state > ALIVE
            and row.incarnation >= self.own_record.incarnation
        ):
            self.health.adjust(+1)  # we were too slow for somebody
            self.own_record = MemberRecord(
                self.own_record.name,
                self.own_record.generation,
                row.incarnation + 1,
                self.own_record.state,
                self.own_record.address,
            )
        if row != self.own_record:
            self.table.merge(self.own_record, now)
            self.gossip.add(self.own_record)

    def handle(self, said: Envelope, now: int) -> Outgoing:
        if self.own_record.state == LEFT or (said.sender, said.generation) == self.member_id:
            return []
        sender, word = said.sender, said.message
        for row in getattr(word, "gossip", ()):
            self.merge(row, now, sender)
        if isinstance(word, Ping):
            if word.target_record is not None:
                self.merge(
                    word.target_record, now, sender
                )  # Lifeguard's buddy: who is suspected hears it first
            ack = Ack(word.sequence, self.partition_healing.records_to_refute(said) + self.take_gossip())
            return self.address_to(sender, ack) + self.notify_superseded(said)
        if isinstance(word, IndirectProbe):
            return self.relay_probe(sender, word)
        if isinstance(word, Ack):
            return self.handle_ack(word)
        if isinstance(word, Nack) and self.probe is not None and word.sequence == self.probe.sequence:
            self.probe.silent_relays.discard(sender)
        if isinstance(word, FullSync):
            for row in word.records:
                self.merge(row, now, sender)
            # Only what asks is answered: two that are both outdone would tell each other for ever.
            return (
                self.full_sync(self.address_of(sender), answer=False) + self.notify_superseded(said)
                if word.reply_wanted
                else []
            )
        return []

    def notify_superseded(self, said: Envelope) -> Outgoing:
        earlier = self.partition_healing.superseding_record(said)
        return [(earlier[0], FullSync([earlier[1]], False))] if earlier else []

    def handle_ack(self, word: Ack) -> Outgoing:
        if (relayed := self.relayed_probes.pop(word.sequence, None)) is not None:
            return self.address_to(relayed[0], Ack(relayed[1], self.take_gossip()))
        if self.probe is not None and word.sequence == self.probe.sequence:
            self.probe.is_acked = True
        return []

    def relay_probe(self, sender: str, word: IndirectProbe) -> Outgoing:
        if len(self.relayed_probes) >= 256:  # guards the memory: those not answered by now will not be
            self.relayed_probes.clear()
        self.last_sequence += 1
        self.relayed_probes[self.last_sequence] = (sender, word.sequence)
        row = self.table.records.get(word.target)
        pinged = self.address_to(word.target, Ping(self.last_sequence, row, self.take_gossip()))
        return pinged + self.address_to(sender, Nack(word.sequence))

    # --- time

    def tick(self, now: int) -> Outgoing:
        if self.own_record.state == LEFT:
            return []
        sends: Outgoing = []
        for name, held in list(self.suspicions.items()):
            if now >= held.deadline:
                row = self.table.records[name]
                self.merge(
                    MemberRecord(name, row.generation, row.incarnation, DEAD, row.address),
                    now,
                    self.member_id[0],
                )
        probed = self.probe
        if (
            probed is not None
            and not probed.is_acked
            and not probed.is_indirect
            and now >= probed.indirect_at
        ):
            sends += self.start_indirect_probes(probed)
        if probed is not None and now >= probed.deadline:
            self.finish_probe(probed, now)
        if now >= self.next_probe_at:
            sends += self.start_probe(now)
        if now >= self.next_full_sync_at:
            self.next_full_sync_at = now + WHOLE_EVERY // 2 + self.chance.below(WHOLE_EVERY)
            self.table.forget(now)
            self.partition_healing.prune()
            others = self.other_members()
            drawn = self.address_of(others[self.chance.below(len(others))]) if others else None
            for address in [drawn] if drawn else self.seeds:
                sends += self.full_sync(address, answer=True)
            sends += self.full_sync(self.partition_healing.draw_lost_address(), answer=True)
        return sends

    def start_probe(self, now: int) -> Outgoing:
        span = self.health.scale(PERIOD)
        self.next_probe_at = now + span
        if not self.other_members():
            # Nobody is known yet, or any more: the seeds are told that we are here.
            return [send for address in self.seeds for send in self.full_sync(address, answer=True)]
        name = self.next_probe_target()
        self.last_sequence += 1
        answer = min(self.health.scale(ANSWER), span // 2)
        self.probe = ProbeInProgress(name, self.last_sequence, now + answer, now + span - 1)
        return self.address_to(name, Ping(self.last_sequence, self.table.records[name], self.take_gossip()))

    def next_probe_target(self) -> str:
        others = set(self.other_members())
        while True:
            while self.probe_order:
                if (name := self.probe_order.pop()) in others:
                    return name
            self.probe_order = sorted(others)
            for place in range(len(self.probe_order) - 1, 0, -1):  # Fisher and Yates
                drawn = self.chance.below(place + 1)
                self.probe_order[place], self.probe_order[drawn] = (
                    self.probe_order[drawn],
                    self.probe_order[place],
                )

    def start_indirect_probes(self, probed: ProbeInProgress) -> Outgoing:
        probed.is_indirect = True
        able = [
            name for name in self.other_members() if name != probed.target and name not in self.suspicions
        ]
        chosen = [able.pop(self.chance.below(len(able))) for _ in range(min(INDIRECT, len(able)))]
        probed.silent_relays = set(chosen)
        return [
            send
            for name in chosen
            for send in self.address_to(
                name, IndirectProbe(probed.sequence, probed.target, self.take_gossip())
            )
        ]

    def finish_probe(self, probed: ProbeInProgress, now: int) -> None:
        self.probe = None
        if probed.is_acked:
            self.health.adjust(-1)
            return
        # Who was asked in our place and says nothing either: it is rather we who do not hear.
        self.health.adjust(len(probed.silent_relays) if probed.is_indirect and probed.silent_relays else +1)
        row = self.table.records.get(probed.target)
        if row is not None and row.state == ALIVE:
            self.merge(
                MemberRecord(row.name, row.generation, row.incarnation, SUSPECT, row.address),
                now,
                self.member_id[0],
            )

    def leave(self) -> Outgoing:
        """Tells some that we go by ourselves; nothing is sent after that."""
        self.own_record = MemberRecord(
            self.own_record.name,
            self.own_record.generation,
            self.own_record.incarnation,
            LEFT,
            self.own_record.address,
        )
        others = self.other_members()
        chosen = [others.pop(self.chance.below(len(others))) for _ in range(min(2 * INDIRECT, len(others)))]
        return [send for name in chosen for send in self.address_to(name, FullSync([self.own_record], False))]

    # --- words

    def other_members(self) -> list[str]:
        return [name for name in self.table.alive() if name != self.member_id[0]]

    def suspicion_timeout(self, held: Suspicion) -> int:
        return suspicion.suspicion_timeout(len(self.table.alive()), len(held.accusers) - 1, self.health.score)

    def take_gossip(self) -> list[MemberRecord]:
        return self.gossip.take(len(self.table.alive()))

    def address_to(self, name: str, word: Message) -> Outgoing:
        address = self.address_of(name)
        return [(address, word)] if address is not None else []

    def full_sync(self, address: Address | None, answer: bool) -> Outgoing:
        """All we know, in as many datagrams as that takes; the last asks for as much."""
        if address is None:
            return []
        rows = sorted(self.table.records.values(), key=lambda row: row.name)
        pages = [rows[place : place + MOST] for place in range(0, len(rows), MOST)]
        last = len(pages) - 1
        return [(address, FullSync(page, answer and place == last)) for place, page in enumerate(pages)]
