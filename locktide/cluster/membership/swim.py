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
        self.who, self.seeds, self.chance = who, seeds, chance
        self.me = MemberRecord(who[0], who[1], 0, ALIVE, address)
        self.table, self.rumours, self.health = MemberTable(), DisseminationQueue(), LocalHealth()
        self.table.merge(self.me, now)
        self.rumours.add(self.me)
        self.order: list[str] = []  # whom to probe next: a drawn order, anew each time round
        self.probe_at, self.whole_at = now, now
        self.probed: ProbeInProgress | None = None
        self.suspected: dict[str, Suspicion] = {}
        self.relayed: dict[int, tuple[str, int]] = {}  # probes made for others: by number, for whom
        self.number = 0
        self.events: list[tuple[str, MemberRecord]] = []
        self.replaced = False  # a later process of our name was heard of
        self.reunion = PartitionHealing(self.table, seeds, chance)

    # --- what others ask

    def alive(self) -> list[str]:
        return self.table.alive()

    def address(self, name: str) -> Address | None:
        row = self.table.rows.get(name)
        return row.address if row is not None else None

    @property
    def due(self) -> int:
        times = [self.probe_at, self.whole_at]
        if self.probed is not None:
            over = self.probed.asked or self.probed.acked
            times.append(self.probed.until if over else self.probed.ask_others_at)
        times += [one.over_at for one in self.suspected.values()]
        return min(times)

    # --- news

    def learn(self, row: MemberRecord, now: int, by: str) -> None:
        if row.name == self.who[0]:
            self.of_us(row, now)
            return
        before = self.table.merge(row, now)
        if row.state == SUSPECT and (held := self.suspected.get(row.name)) and by != self.who[0]:
            known = self.table.rows[row.name]
            if (known.start, known.turn) == (row.start, row.turn) and by not in held.by:
                held.by.add(by)  # one more that does not hear it
                held.over_at = held.since + self.lasts(held)
                self.rumours.add(row)
        if before is None:
            self.reunion.note(row, self.table.rows[row.name])
            return
        self.reunion.note(before, row)
        self.rumours.add(row)
        if row.state == SUSPECT:
            held = self.suspected[row.name] = Suspicion(now, {by})
            held.over_at = now + self.lasts(held)
        else:
            self.suspected.pop(row.name, None)
        if (before.start, before.state) != (row.start, row.state):
            self.events.append((STATES[row.state], row))

    def of_us(self, row: MemberRecord, now: int) -> None:
        """What others say of us: a suspicion is refuted by a higher turn; an earlier process of our name is
        outdone by our start; a later one is another under our name.
        """
        if row.start > self.me.start:
            if not self.replaced:
                self.replaced = True
                self.events.append(("replaced", row))
            return
        if row.start == self.me.start and row.state > ALIVE and row.turn >= self.me.turn:
            self.health.note(+1)  # we were too slow for somebody
            self.me = MemberRecord(self.me.name, self.me.start, row.turn + 1, self.me.state, self.me.address)
        if row != self.me:
            self.table.merge(self.me, now)
            self.rumours.add(self.me)

    def hear(self, said: Envelope, now: int) -> Outgoing:
        if self.me.state == LEFT or (said.sender, said.start) == self.who:
            return []
        sender, word = said.sender, said.word
        for row in getattr(word, "rumours", ()):
            self.learn(row, now, sender)
        if isinstance(word, Ping):
            if word.row is not None:
                self.learn(word.row, now, sender)  # Lifeguard's buddy: who is suspected hears it first
            ack = Ack(word.number, self.reunion.doubts(said) + self.tell())
            return self.to(sender, ack) + self.outdo(said)
        if isinstance(word, IndirectProbe):
            return self.relay(sender, word)
        if isinstance(word, Ack):
            return self.acked(word)
        if isinstance(word, Nack) and self.probed is not None and word.number == self.probed.number:
            self.probed.nacks.discard(sender)
        if isinstance(word, FullSync):
            for row in word.rows:
                self.learn(row, now, sender)
            # Only what asks is answered: two that are both outdone would tell each other for ever.
            return self.whole(self.address(sender), answer=False) + self.outdo(said) if word.answer else []
        return []

    def outdo(self, said: Envelope) -> Outgoing:
        earlier = self.reunion.outdo(said)
        return [(earlier[0], FullSync([earlier[1]], False))] if earlier else []

    def acked(self, word: Ack) -> Outgoing:
        if (relayed := self.relayed.pop(word.number, None)) is not None:
            return self.to(relayed[0], Ack(relayed[1], self.tell()))
        if self.probed is not None and word.number == self.probed.number:
            self.probed.acked = True
        return []

    def relay(self, sender: str, word: IndirectProbe) -> Outgoing:
        if len(self.relayed) >= 256:  # guards the memory: those not answered by now will not be
            self.relayed.clear()
        self.number += 1
        self.relayed[self.number] = (sender, word.number)
        row = self.table.rows.get(word.name)
        pinged = self.to(word.name, Ping(self.number, row, self.tell()))
        return pinged + self.to(sender, Nack(word.number))

    # --- time

    def tick(self, now: int) -> Outgoing:
        if self.me.state == LEFT:
            return []
        sends: Outgoing = []
        for name, held in list(self.suspected.items()):
            if now >= held.over_at:
                row = self.table.rows[name]
                self.learn(MemberRecord(name, row.start, row.turn, DEAD, row.address), now, self.who[0])
        probed = self.probed
        if probed is not None and not probed.acked and not probed.asked and now >= probed.ask_others_at:
            sends += self.ask_others(probed)
        if probed is not None and now >= probed.until:
            self.judge(probed, now)
        if now >= self.probe_at:
            sends += self.probe(now)
        if now >= self.whole_at:
            self.whole_at = now + WHOLE_EVERY // 2 + self.chance.below(WHOLE_EVERY)
            self.table.forget(now)
            self.reunion.forget()
            others = self.others()
            drawn = self.address(others[self.chance.below(len(others))]) if others else None
            for address in [drawn] if drawn else self.seeds:
                sends += self.whole(address, answer=True)
            sends += self.whole(self.reunion.lost(), answer=True)
        return sends

    def probe(self, now: int) -> Outgoing:
        span = self.health.stretch(PERIOD)
        self.probe_at = now + span
        if not self.others():
            # Nobody is known yet, or any more: the seeds are told that we are here.
            return [send for address in self.seeds for send in self.whole(address, answer=True)]
        name = self.next_one()
        self.number += 1
        answer = min(self.health.stretch(ANSWER), span // 2)
        self.probed = ProbeInProgress(name, self.number, now + answer, now + span - 1)
        return self.to(name, Ping(self.number, self.table.rows[name], self.tell()))

    def next_one(self) -> str:
        others = set(self.others())
        while True:
            while self.order:
                if (name := self.order.pop()) in others:
                    return name
            self.order = sorted(others)
            for place in range(len(self.order) - 1, 0, -1):  # Fisher and Yates
                drawn = self.chance.below(place + 1)
                self.order[place], self.order[drawn] = self.order[drawn], self.order[place]

    def ask_others(self, probed: ProbeInProgress) -> Outgoing:
        probed.asked = True
        able = [name for name in self.others() if name != probed.name and name not in self.suspected]
        chosen = [able.pop(self.chance.below(len(able))) for _ in range(min(INDIRECT, len(able)))]
        probed.nacks = set(chosen)
        return [
            send
            for name in chosen
            for send in self.to(name, IndirectProbe(probed.number, probed.name, self.tell()))
        ]

    def judge(self, probed: ProbeInProgress, now: int) -> None:
        self.probed = None
        if probed.acked:
            self.health.note(-1)
            return
        # Who was asked in our place and says nothing either: it is rather we who do not hear.
        self.health.note(len(probed.nacks) if probed.asked and probed.nacks else +1)
        row = self.table.rows.get(probed.name)
        if row is not None and row.state == ALIVE:
            self.learn(MemberRecord(row.name, row.start, row.turn, SUSPECT, row.address), now, self.who[0])

    def leave(self) -> Outgoing:
        """Tells some that we go by ourselves; nothing is sent after that."""
        self.me = MemberRecord(self.me.name, self.me.start, self.me.turn, LEFT, self.me.address)
        others = self.others()
        chosen = [others.pop(self.chance.below(len(others))) for _ in range(min(2 * INDIRECT, len(others)))]
        return [send for name in chosen for send in self.to(name, FullSync([self.me], False))]

    # --- words

    def others(self) -> list[str]:
        return [name for name in self.table.alive() if name != self.who[0]]

    def lasts(self, held: Suspicion) -> int:
        return suspicion.suspicion_timeout(len(self.table.alive()), len(held.by) - 1, self.health.score)

    def tell(self) -> list[MemberRecord]:
        return self.rumours.take(len(self.table.alive()))

    def to(self, name: str, word: Message) -> Outgoing:
        address = self.address(name)
        return [(address, word)] if address is not None else []

    def whole(self, address: Address | None, answer: bool) -> Outgoing:
        """All we know, in as many datagrams as that takes; the last asks for as much."""
        if address is None:
            return []
        rows = sorted(self.table.rows.values(), key=lambda row: row.name)
        pages = [rows[place : place + MOST] for place in range(0, len(rows), MOST)]
        last = len(pages) - 1
        return [(address, FullSync(page, answer and place == last)) for place, page in enumerate(pages)]
