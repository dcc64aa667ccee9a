"""One cluster member without I/O: messages and time in, messages and updates out.

A host calls `handle` with each message that arrives and `tick` at `next_wakeup`, and sends what they return.
After each call `update` tells what has changed. All times are whole microseconds of one clock of the host.
"""

from __future__ import annotations

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.config import ClusterConfig, MemberUpdate
from locktide.cluster.election.participant import ElectionParticipant
from locktide.cluster.fairness.ledger import FairnessLedger
from locktide.cluster.membership.swim import Outgoing, Swim
from locktide.cluster.messages import (
    Accepted,
    Ballot,
    Delta,
    Digest,
    Envelope,
    LeaderHeartbeat,
    LeaseGrant,
    LeaseRequest,
    LeaseRevocation,
    MemberId,
    Message,
    Prepare,
    Promise,
    Propose,
)
from locktide.cluster.quota.allocator import Allocator, AllocatorConfig
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.cluster.quota_names import QuotaNames
from locktide.scheduler.estimators.random import LinearCongruentialGenerator

MILLION = 1_000_000


class ClusterMember:
    """Joins membership, leader election, quota leases and the fairness ledger of one member."""

    def __init__(self, config: ClusterConfig, now: int) -> None:
        self.config = config
        self.member_id = config.member_id
        generator = LinearCongruentialGenerator(config.random_seed)
        self.swim = Swim(config.member_id, config.address, config.seeds, generator, now)
        acceptors = sorted(config.acceptors)
        self.election: ElectionParticipant | None = None  # for members that are configured as acceptors
        if config.member_id[0] in acceptors:
            self.election = ElectionParticipant(config.member_id, acceptors, generator, now)
        self.allocator: Allocator | None = None  # while this member is the leader
        self.lease_holder = LeaseHolder(config.member_id, now)
        self.local_quota = LocalQuota(config.quotas, config.reserved_fraction, config.max_members, now)
        self.quota_names = QuotaNames([quota.name for quota in config.quotas])
        self.divisible = dict.fromkeys(range(len(self.quota_names)), self.local_quota.divisible)
        self.lendable = {
            self.quota_names.indices[quota.name]: int(quota.rate * MILLION)
            for quota in config.quotas
            if config.lendable_fraction and quota.lendable and quota.rate
        }
        self.next_heartbeat_at = now
        self.next_demand_decay_at = now
        self.stepped_down = False
        self.loopback: list[Message] = []  # messages to ourselves
        self.ledger: FairnessLedger | None = None
        if config.fairness is not None:
            self.ledger = FairnessLedger(config.fairness, config.member_id, generator, now)
        self.tenants_over_share: frozenset[str] = frozenset()
        self.update = MemberUpdate()

    # --- time

    @property
    def next_wakeup(self) -> int:
        """When `tick` has to be called next."""
        times = [self.swim.next_wakeup]
        if self.lease_holder.term is not None and not self.stepped_down:
            times.append(self.lease_holder.due)
        if self.election is not None:
            times.append(self.election.proposer.next_wakeup)
        if self.allocator is not None:
            times.append(self.next_heartbeat_at)
        if self.ledger is not None and not self.stepped_down:
            times.append(self.ledger.due)
        times += [until for until in (self.local_quota.shares_until, self.local_quota.loans_until) if until]
        return min(times)

    def tick(self, now: int) -> Outgoing:
        """Do what is due, and return the messages to send."""
        self.update = MemberUpdate()
        outgoing = self.swim.tick(now)
        if not self.stepped_down:
            if self.election is not None:
                outgoing += self.address_all(self.election.proposer.tick(now))
            outgoing += self.act_as_leader(now)
            outgoing += self.request_lease(now)
            outgoing += self.tick_ledger(now)
        return self.finish_step(outgoing, now)

    def act_as_leader(self, now: int) -> Outgoing:
        """While the leader lease is ours: keep an allocator, and send heartbeats to the members alive."""
        term = self.election.term_as_leader(now) if self.election is not None else None
        if term is None:
            self.allocator = None
            return []
        if self.allocator is None or self.allocator.term != term:
            self.allocator = self.new_allocator(term, now)
            self.next_heartbeat_at = now
        if self.ledger is not None:
            self.allocator.set_borrowing_order(self.quota_names.known_indices(self.ledger.standing.order))
        if now < self.next_heartbeat_at:
            return []
        self.next_heartbeat_at = now + REQUEST_INTERVAL
        return self.address_all([(name, LeaderHeartbeat(term)) for name in self.swim.alive()])

    def new_allocator(self, term: Ballot, now: int) -> Allocator:
        """Return the allocator of a new term."""
        loan_allocator = None
        if self.lendable:
            lendable_millionths = int(self.config.lendable_fraction * MILLION)
            loan_allocator = LoanAllocator(self.lendable, self.divisible, lendable_millionths, now)
        allocator_config = AllocatorConfig(self.divisible, self.local_quota.guaranteed_minimum)
        return Allocator(term, allocator_config, now, loan_allocator)

    def request_lease(self, now: int) -> Outgoing:
        """Return the next lease request where it is due."""
        demand = {
            self.quota_names.indices[name]: amount
            for name, amount in self.local_quota.demand.items()
            if amount
        }
        request = self.lease_holder.next_request(demand, now)
        if request is None:
            return []
        request.names_checksum = self.quota_names.checksum
        if now >= self.next_demand_decay_at:
            self.next_demand_decay_at = now + REQUEST_INTERVAL
            self.local_quota.decay_demand()
        return self.address_to(request.term[1], request)

    def tick_ledger(self, now: int) -> Outgoing:
        """Do what is due in the fairness ledger."""
        if self.ledger is None:
            return []
        records = self.swim.view.table.records
        generations = {name: record.generation for name, record in records.items()}
        return self.address_all(self.ledger.tick(self.swim.alive(), generations, now))

    # --- messages

    def handle(self, envelope: Envelope, now: int) -> Outgoing:
        """Take in a message, and return the messages to send."""
        self.update = MemberUpdate()
        outgoing = self.swim.handle(envelope, now)
        if not self.stepped_down:
            outgoing += self.dispatch(envelope.sender_id, envelope.message, now)
        return self.finish_step(outgoing, now)

    def dispatch(self, sender: MemberId, message: Message, now: int) -> Outgoing:
        """Take in a message on election, quotas or fairness; others are ignored."""
        match message:
            case Digest() | Delta():
                return self.handle_fairness(sender[0], message)
            case Prepare() | Promise() | Propose() | Accepted():
                return self.handle_election(sender[0], message, now)
            case LeaseRequest():
                return self.handle_lease_request(sender, message, now)
            case LeaderHeartbeat() | LeaseGrant() | LeaseRevocation():
                return self.handle_leader(sender, message, now)
        return []

    def handle_fairness(self, sender: str, message: Digest | Delta) -> Outgoing:
        """Take in a message of the fairness ledger's anti-entropy."""
        return self.address_all(self.ledger.handle(sender, message)) if self.ledger is not None else []

    def handle_election(
        self, sender: str, message: Prepare | Promise | Propose | Accepted, now: int
    ) -> Outgoing:
        """Take in a message of the election, in which only configured acceptors take part."""
        if self.election is None:
            return []
        outgoing = self.address_all(self.election.handle(sender, message, now))
        if isinstance(message, Accepted):
            outgoing += self.act_as_leader(now)  # it may have made us the leader
        return outgoing

    def handle_lease_request(self, sender: MemberId, request: LeaseRequest, now: int) -> Outgoing:
        """Grant quota leases while we are the leader of the request's term."""
        self.act_as_leader(now)
        allocator = self.allocator
        is_ours = allocator is not None and request.term == allocator.term
        if allocator is None or not is_ours or request.names_checksum != self.quota_names.checksum:
            return []
        grant = allocator.handle_request(sender, request, now)
        revocations = allocator.take_revocations()
        outgoing = self.address_all([(holder[0], revocation) for holder, revocation in revocations])
        if grant is not None:
            outgoing += self.address_to(sender[0], grant)
        return outgoing

    def handle_leader(
        self, sender: MemberId, message: LeaderHeartbeat | LeaseGrant | LeaseRevocation, now: int
    ) -> Outgoing:
        """Take in a message of the leader; the term names it, and nobody may speak for another."""
        if message.term[1:] != sender:
            return []
        match message:
            case LeaseGrant():
                self.lease_holder.accept_grant(message, now)
                return []
            case LeaderHeartbeat():
                self.lease_holder.observe_leader(message.term, now)
            case LeaseRevocation():
                self.lease_holder.accept_revocation(message, now)
        return self.request_lease(now)

    def spend(self, name: str, now: int) -> str | None:
        """Take one token for a request of that quota.

        Demand for a quota that had none lately is told to the leader at once, as its loans have to be
        revoked: `next_wakeup` may be earlier after this call.

        Returns:
            The quota that the token is of, its own or one that lends to it; None where there is no token.
        """
        if self.local_quota.record_demand(name):
            self.lease_holder.request_soon(now)
        return self.local_quota.spend(name, now)

    def leave(self, now: int) -> Outgoing:
        """Leave cleanly: return the leases, resign as the leader, and tell some members."""
        self.update = MemberUpdate()
        outgoing: Outgoing = []
        request = None if self.stepped_down else self.lease_holder.leave(now)
        if request is not None:
            outgoing += self.address_to(request.term[1], request)
        self.resign()
        outgoing += self.swim.leave()
        return self.finish_step(outgoing, now)

    def step_down(self) -> None:
        """Stop for good, as a later process of our name runs: it has our quotas, the minimum as well."""
        self.stepped_down = True
        self.lease_holder.drop()
        self.resign()
        self.local_quota.guaranteed_minimum = 0

    def resign(self) -> None:
        """Give up the leader lease."""
        if self.election is not None:
            self.election.proposer.resign()
        self.allocator = None

    # --- sending, and the end of each step

    def address_to(self, name: str, message: Message) -> Outgoing:
        """Return a message with the member's address; one to ourselves is kept for the end of the step.

        Acceptors are where the configuration says, whoever else claims their names.
        """
        if name == self.member_id[0]:
            self.loopback.append(message)
            return []
        address = self.config.acceptors.get(name) or self.swim.address_of(name)
        return [(address, message)] if address is not None else []

    def address_all(self, named: list[tuple[str, Message]]) -> Outgoing:
        """Return messages to named members with their addresses."""
        return [send for name, message in named for send in self.address_to(name, message)]

    def finish_step(self, outgoing: Outgoing, now: int) -> Outgoing:
        """Handle the messages to ourselves, then bring the quotas in force up to date."""
        while self.loopback:
            message = self.loopback.pop(0)
            if not self.stepped_down:
                outgoing += self.dispatch(self.member_id, message, now)
        if self.swim.view.superseded and not self.stepped_down:
            self.step_down()
        changed = self.settle_quotas(now)
        if self.ledger is not None and self.ledger.standing.over_share != self.tenants_over_share:
            self.tenants_over_share = self.ledger.standing.over_share
            changed = True
        events = self.update.events + self.swim.view.take_events()
        self.update = MemberUpdate(self.update.quotas_changed or changed, events)
        return outgoing

    def settle_quotas(self, now: int) -> bool:
        """Put the leases and loans that are held now in force; whether that changes anything."""
        shares = self.lease_holder.current_shares(now)
        loans = self.lease_holder.current_loans(now)
        return self.local_quota.update(
            self.quota_names.amounts_by_name(shares),
            self.lease_holder.shares_until if shares else 0,
            self.quota_names.loans_by_name(loans),
            self.lease_holder.loans_until if loans else 0,
            now,
        )
