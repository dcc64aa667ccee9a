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
        self.config, self.member_id = terms, terms.member_id
        chance = LinearCongruentialGenerator(terms.random_seed)
        self.swim = Swim(terms.member_id, terms.address, terms.seeds, chance, now)
        names = sorted(terms.acceptors)
        self.acceptor = Acceptor(now) if terms.member_id[0] in names else None
        self.proposer = Proposer(terms.member_id, names, chance, now) if self.acceptor else None
        self.allocator: Allocator | None = None
        self.lease_holder = LeaseHolder(terms.member_id, now)
        self.local_quota = LocalQuota(terms.quotas, terms.reserved_fraction, terms.max_members, now)
        self.quota_names = sorted(budget.name for budget in terms.quotas)
        self.quota_indices = {name: place for place, name in enumerate(self.quota_names)}
        self.quota_names_checksum = crc32("\0".join(self.quota_names).encode())
        self.movable = {place: self.local_quota.divisible for place in range(len(self.quota_names))}
        self.lendable = {
            self.quota_indices[budget.name]: int(budget.rate * MILLION)
            for budget in terms.quotas
            if terms.lendable_fraction and budget.lendable and budget.rate
        }
        self.next_heartbeat_at = self.next_demand_decay_at = now
        self.stepped_down = False
        self.loopback: list[Any] = []  # words to ourselves
        self.ledger = (
            FairnessLedger(terms.fairness, terms.member_id, chance, now)
            if terms.fairness is not None
            else None
        )
        self.tenants_over_share: frozenset[str] = frozenset()  # tenants that hold more than they should
        self.update = MemberUpdate()

    # --- time

    @property
    def next_wakeup(self) -> int:
        times = [self.swim.next_wakeup]
        if self.lease_holder.term is not None and not self.stepped_down:
            times.append(self.lease_holder.due)
        if self.proposer is not None:
            times.append(self.proposer.next_wakeup)
        if self.allocator is not None:
            times.append(self.next_heartbeat_at)
        if self.ledger is not None and not self.stepped_down:
            times.append(self.ledger.due)
        times += [until for until in (self.local_quota.shares_until, self.local_quota.loans_until) if until]
        return min(times)

    def tick(self, now: int) -> Outgoing:
        self.update = MemberUpdate()
        sends = self.swim.tick(now)
        if not self.stepped_down:
            if self.proposer is not None:
                sends += self.address_all(self.proposer.tick(now))
            sends += self.act_as_leader(now)
            sends += self.request_lease(now)
            if self.ledger is not None:
                starts = {name: row.generation for name, row in self.swim.table.records.items()}
                sends += self.address_all(self.ledger.tick(self.swim.alive(), starts, now))
        return self.finish_step(sends, now)

    def act_as_leader(self, now: int) -> Outgoing:
        """While the lease is ours: tells those that live, some times a second."""
        term = self.proposer.term if self.proposer is not None and self.proposer.is_leader(now) else None
        if term is None:
            self.allocator = None
            return []
        if self.allocator is None or self.allocator.term != term:
            self.allocator, self.next_heartbeat_at = self.new_allocator(term, now), now
        if self.ledger is not None:
            order = self.ledger.standing.order
            self.allocator.set_borrowing_order(
                [self.quota_indices[name] for name in order if name in self.quota_indices]
            )
        if now < self.next_heartbeat_at:
            return []
        self.next_heartbeat_at = now + REQUEST_INTERVAL
        return [send for name in self.swim.alive() for send in self.address_to(name, LeaderHeartbeat(term))]

    def new_allocator(self, term: Ballot, now: int) -> Allocator:
        lend = int(self.config.lendable_fraction * MILLION)
        broker = LoanAllocator(self.lendable, self.movable, lend, now) if self.lendable else None
        config = AllocatorConfig(self.movable, self.local_quota.guaranteed_minimum)
        return Allocator(term, config, now, broker)

    def request_lease(self, now: int) -> Outgoing:
        """The next question, where it is time."""
        wants = {self.quota_indices[name]: want for name, want in self.local_quota.demand.items() if want}
        if (ask := self.lease_holder.next_request(wants, now)) is None:
            return []
        ask.names_checksum = self.quota_names_checksum
        if now >= self.next_demand_decay_at:
            self.next_demand_decay_at = now + REQUEST_INTERVAL
            self.local_quota.decay_demand()
        return self.address_to(ask.term[1], ask)

    # --- words

    def handle(self, said: Envelope, now: int) -> Outgoing:
        self.update = MemberUpdate()
        sends = self.swim.handle(said, now)
        if not self.stepped_down:
            sends += self.agree(said, now)
        return self.finish_step(sends, now)

    def agree(self, said: Envelope, now: int) -> Outgoing:
        """A word on budgets. Who was not chosen for a vote has none, whatever it says."""
        word, sender = said.message, said.sender
        if isinstance(word, Digest | Delta):
            return self.address_all(self.ledger.handle(sender, word)) if self.ledger is not None else []
        elector, candidate = self.acceptor, self.proposer
        if isinstance(word, LeaderHeartbeat):
            # The term names who leads: nobody is believed to do so for another.
            if word.term[1:] == (sender, said.generation):
                self.lease_holder.observe_leader(word.term, now)
                return self.request_lease(now)
        elif isinstance(word, LeaseGrant):
            if word.term[1:] == (sender, said.generation):
                self.lease_holder.accept_grant(word, now)
        elif isinstance(word, LeaseRequest):
            self.act_as_leader(now)
            if (
                self.allocator is not None
                and word.term == self.allocator.term
                and word.names_checksum == self.quota_names_checksum
            ):
                grant = self.allocator.handle_request((sender, said.generation), word, now)
                recalls = self.allocator.take_revocations()
                sends = [send for who, recall in recalls for send in self.address_to(who[0], recall)]
                return sends + (self.address_to(sender, grant) if grant is not None else [])
        elif isinstance(word, LeaseRevocation):
            if word.term[1:] == (sender, said.generation):
                self.lease_holder.accept_revocation(word, now)
                return self.request_lease(now)
        elif elector is not None and candidate is not None:
            if isinstance(word, Prepare):
                reply = elector.handle_prepare(word, now)
                return self.address_to(sender, reply) if reply is not None else []
            if isinstance(word, Propose):
                accepted = elector.handle_propose(word, now)
                return self.address_to(sender, accepted) if accepted is not None else []
            if isinstance(word, Promise):
                return self.address_all(candidate.handle_promise(sender, word, now))
            if isinstance(word, Accepted):
                candidate.handle_accepted(sender, word, now)
                return self.act_as_leader(now)
        return []

    # --- spending

    def spend(self, name: str, now: int) -> str | None:
        """One token for a submission of that budget: out of which budget, or None. What was not wanted lately
        is told at once, as its owner may have come back; a host calls `tick` when it is due.
        """
        if self.local_quota.record_demand(name):
            self.lease_holder.request_soon(now)
        return self.local_quota.spend(name, now)

    # --- the end

    def leave(self, now: int) -> Outgoing:
        """A clean end: gives back what is held, resigns, and tells some that it goes."""
        self.update = MemberUpdate()
        sends: Outgoing = []
        if not self.stepped_down and (ask := self.lease_holder.leave(now)) is not None:
            sends += self.address_to(ask.term[1], ask)
        if self.proposer is not None:
            self.proposer.resign()
        self.allocator = None
        sends += self.swim.leave()
        return self.finish_step(sends, now)

    def step_down(self, now: int) -> None:
        """Another process of our name began after us: nothing is spent by us any more, floors neither."""
        self.stepped_down = True
        self.lease_holder.drop()
        if self.proposer is not None:
            self.proposer.resign()
        self.allocator = None
        self.local_quota.guaranteed_minimum = 0

    # --- between

    def address_to(self, name: str, word: Message) -> Outgoing:
        """Electors are where the configuration says, whoever else claims their names."""
        if name == self.member_id[0]:
            self.loopback.append(word)
            return []
        address = self.config.acceptors.get(name) or self.swim.address_of(name)
        return [(address, word)] if address is not None else []

    def address_all(self, sends: list[tuple[str, Message]]) -> Outgoing:
        return [send for name, word in sends for send in self.address_to(name, word)]

    def finish_step(self, sends: Outgoing, now: int) -> Outgoing:
        """What we have told ourselves is heard; then the parts in force are settled."""
        while self.loopback:
            word = self.loopback.pop(0)
            if not self.stepped_down:
                sends += self.agree(Envelope(VERSION, self.member_id[0], self.member_id[1], word), now)
        if self.swim.superseded and not self.stepped_down:
            self.step_down(now)
        held, loans = self.lease_holder.current_shares(now), self.lease_holder.current_loans(now)
        until, loans_until = (
            self.lease_holder.shares_until if held else 0,
            self.lease_holder.loans_until if loans else 0,
        )
        names = self.quota_names
        moved = self.local_quota.update(
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
        if self.ledger is not None and self.ledger.standing.over_share != self.tenants_over_share:
            self.tenants_over_share, moved = self.ledger.standing.over_share, True
        self.update = MemberUpdate(self.update.quotas_changed or moved, self.update.events + self.swim.events)
        self.swim.events = []
        return sends


__all__ = ["Ballot", "ClusterConfig", "ClusterMember", "MemberUpdate"]
