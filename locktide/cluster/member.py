"""One member of the accord, whole and without I/O: words and time in, words and news out.

A host calls `hear` with each datagram's word and `tick` at `due`, and sends what comes back. After each call
`news` tells whether the parts in force have moved. All times are one clock of its own, in whole microseconds.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.config import ClusterConfig, MemberUpdate
from locktide.cluster.election.acceptor import Acceptor
from locktide.cluster.election.proposer import Proposer
from locktide.cluster.fairness.ledger import FairnessLedger
from locktide.cluster.membership.swim import Outgoing, Swim
from locktide.cluster.messages import (
    VERSION,
    Accepted,
    Ballot,
    Delta,
    Digest,
    Envelope,
    LeaderHeartbeat,
    LeaseGrant,
    LeaseRequest,
    LeaseRevocation,
    Message,
    Prepare,
    Promise,
    Propose,
)
from locktide.cluster.quota.allocator import Allocator, AllocatorConfig
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

MILLION = 1_000_000


class ClusterMember:
    def __init__(self, terms: ClusterConfig, now: int) -> None:
        self.terms, self.who = terms, terms.who
        chance = LinearCongruentialGenerator(terms.seed)
        self.swim = Swim(terms.who, terms.address, terms.seeds, chance, now)
        names = sorted(terms.electors)
        self.elector = Acceptor(now) if terms.who[0] in names else None
        self.candidate = Proposer(terms.who, names, chance, now) if self.elector else None
        self.giver: Allocator | None = None
        self.holder = LeaseHolder(terms.who, now)
        self.purse = LocalQuota(terms.budgets, terms.reserve, terms.most, now)
        self.names = sorted(budget.name for budget in terms.budgets)
        self.places = {name: place for place, name in enumerate(self.names)}
        self.book = crc32("\0".join(self.names).encode())
        self.movable = {place: self.purse.divisible for place in range(len(self.names))}
        self.lendable = {
            self.places[budget.name]: int(budget.rate * MILLION)
            for budget in terms.budgets
            if terms.lend and budget.lendable and budget.rate
        }
        self.lead_at = self.fade_at = now
        self.stepped_down = False
        self.said_by_us: list[Any] = []  # words to ourselves
        self.ledger = (
            FairnessLedger(terms.ledger, terms.who, chance, now) if terms.ledger is not None else None
        )
        self.over: frozenset[str] = frozenset()  # tenants that hold more than they should
        self.news = MemberUpdate()

    # --- time

    @property
    def due(self) -> int:
        times = [self.swim.due]
        if self.holder.term is not None and not self.stepped_down:
            times.append(self.holder.due)
        if self.candidate is not None:
            times.append(self.candidate.due)
        if self.giver is not None:
            times.append(self.lead_at)
        if self.ledger is not None and not self.stepped_down:
            times.append(self.ledger.due)
        times += [until for until in (self.purse.shares_until, self.purse.loans_until) if until]
        return min(times)

    def tick(self, now: int) -> Outgoing:
        self.news = MemberUpdate()
        sends = self.swim.tick(now)
        if not self.stepped_down:
            if self.candidate is not None:
                sends += self.named(self.candidate.tick(now))
            sends += self.lead(now)
            sends += self.ask(now)
            if self.ledger is not None:
                starts = {name: row.start for name, row in self.swim.table.rows.items()}
                sends += self.named(self.ledger.tick(self.swim.alive(), starts, now))
        return self.close(sends, now)

    def lead(self, now: int) -> Outgoing:
        """While the lease is ours: tells those that live, some times a second."""
        term = self.candidate.term if self.candidate is not None and self.candidate.leads(now) else None
        if term is None:
            self.giver = None
            return []
        if self.giver is None or self.giver.term != term:
            self.giver, self.lead_at = self.divider(term, now), now
        if self.ledger is not None:
            order = self.ledger.standing.order
            self.giver.set_borrowing_order([self.places[name] for name in order if name in self.places])
        if now < self.lead_at:
            return []
        self.lead_at = now + REQUEST_INTERVAL
        return [send for name in self.swim.alive() for send in self.to(name, LeaderHeartbeat(term))]

    def divider(self, term: Ballot, now: int) -> Allocator:
        lend = int(self.terms.lend * MILLION)
        broker = LoanAllocator(self.lendable, self.movable, lend, now) if self.lendable else None
        config = AllocatorConfig(self.movable, self.purse.guaranteed_minimum)
        return Allocator(term, config, now, broker)

    def ask(self, now: int) -> Outgoing:
        """The next question, where it is time."""
        wants = {self.places[name]: want for name, want in self.purse.demand.items() if want}
        if (ask := self.holder.next_request(wants, now)) is None:
            return []
        ask.names_checksum = self.book
        if now >= self.fade_at:
            self.fade_at = now + REQUEST_INTERVAL
            self.purse.decay_demand()
        return self.to(ask.term[1], ask)

    # --- words

    def hear(self, said: Envelope, now: int) -> Outgoing:
        self.news = MemberUpdate()
        sends = self.swim.hear(said, now)
        if not self.stepped_down:
            sends += self.agree(said, now)
        return self.close(sends, now)

    def agree(self, said: Envelope, now: int) -> Outgoing:
        """A word on budgets. Who was not chosen for a vote has none, whatever it says."""
        word, sender = said.word, said.sender
        if isinstance(word, Digest | Delta):
            return self.named(self.ledger.handle(sender, word)) if self.ledger is not None else []
        elector, candidate = self.elector, self.candidate
        if isinstance(word, LeaderHeartbeat):
            # The term names who leads: nobody is believed to do so for another.
            if word.term[1:] == (sender, said.start):
                self.holder.observe_leader(word.term, now)
                return self.ask(now)
        elif isinstance(word, LeaseGrant):
            if word.term[1:] == (sender, said.start):
                self.holder.accept_grant(word, now)
        elif isinstance(word, LeaseRequest):
            self.lead(now)
            if self.giver is not None and word.term == self.giver.term and word.names_checksum == self.book:
                grant = self.giver.handle_request((sender, said.start), word, now)
                recalls = self.giver.take_revocations()
                sends = [send for who, recall in recalls for send in self.to(who[0], recall)]
                return sends + (self.to(sender, grant) if grant is not None else [])
        elif isinstance(word, LeaseRevocation):
            if word.term[1:] == (sender, said.start):
                self.holder.accept_revocation(word, now)
                return self.ask(now)
        elif elector is not None and candidate is not None:
            if isinstance(word, Prepare):
                reply = elector.prepare(word, now)
                return self.to(sender, reply) if reply is not None else []
            if isinstance(word, Propose):
                accepted = elector.propose(word, now)
                return self.to(sender, accepted) if accepted is not None else []
            if isinstance(word, Promise):
                return self.named(candidate.promise(sender, word, now))
            if isinstance(word, Accepted):
                candidate.was_accepted(sender, word, now)
                return self.lead(now)
        return []

    # --- spending

    def spend(self, name: str, now: int) -> str | None:
        """One token for a submission of that budget: out of which budget, or None. What was not wanted lately
        is told at once, as its owner may have come back; a host calls `tick` when it is due.
        """
        if self.purse.record_demand(name):
            self.holder.request_soon(now)
        return self.purse.spend(name, now)

    # --- the end

    def leave(self, now: int) -> Outgoing:
        """A clean end: gives back what is held, resigns, and tells some that it goes."""
        self.news = MemberUpdate()
        sends: Outgoing = []
        if not self.stepped_down and (ask := self.holder.leave(now)) is not None:
            sends += self.to(ask.term[1], ask)
        if self.candidate is not None:
            self.candidate.resign()
        self.giver = None
        sends += self.swim.leave()
        return self.close(sends, now)

    def step_down(self, now: int) -> None:
        """Another process of our name began after us: nothing is spent by us any more, floors neither."""
        self.stepped_down = True
        self.holder.drop()
        if self.candidate is not None:
            self.candidate.resign()
        self.giver = None
        self.purse.guaranteed_minimum = 0

    # --- between

    def to(self, name: str, word: Message) -> Outgoing:
        """Electors are where the configuration says, whoever else claims their names."""
        if name == self.who[0]:
            self.said_by_us.append(word)
            return []
        address = self.terms.electors.get(name) or self.swim.address(name)
        return [(address, word)] if address is not None else []

    def named(self, sends: list[tuple[str, Message]]) -> Outgoing:
        return [send for name, word in sends for send in self.to(name, word)]

    def close(self, sends: Outgoing, now: int) -> Outgoing:
        """What we have told ourselves is heard; then the parts in force are settled."""
        while self.said_by_us:
            word = self.said_by_us.pop(0)
            if not self.stepped_down:
                sends += self.agree(Envelope(VERSION, self.who[0], self.who[1], word), now)
        if self.swim.replaced and not self.stepped_down:
            self.step_down(now)
        held, loans = self.holder.current_shares(now), self.holder.current_loans(now)
        until, loans_until = self.holder.shares_until if held else 0, self.holder.loans_until if loans else 0
        names = self.names
        moved = self.purse.update(
            {names[place]: part for place, part in held.items() if place < len(names)},
            until,
            {
                (names[owner], names[borrower]): part
                for (owner, borrower), part in loans.items()
                if max(owner, borrower) < len(names)
            },
            loans_until,
            now,
        )
        if self.ledger is not None and self.ledger.standing.over_share != self.over:
            self.over, moved = self.ledger.standing.over_share, True
        self.news = MemberUpdate(self.news.moved or moved, self.news.events + self.swim.events)
        self.swim.events = []
        return sends


__all__ = ["Ballot", "ClusterConfig", "ClusterMember", "MemberUpdate"]
