"""One cluster member without I/O: its inputs are messages and the time, its outputs messages and updates.

A host calls `handle` with each message that arrives and `tick` at `next_wakeup`, and sends the messages that
they return. After each call `update` contains the changes. All times are whole microseconds of one clock
of the host.
"""

from __future__ import annotations

from locktide.cluster.config import ClusterConfig, MemberUpdate
from locktide.cluster.election.participant import ElectionParticipant
from locktide.cluster.election.proposer import Outgoing as NamedMessages
from locktide.cluster.fairness.ledger import FairnessLedger
from locktide.cluster.leadership import Leadership
from locktide.cluster.membership.swim import Outgoing, Swim
from locktide.cluster.messages import (
    Accepted,
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
from locktide.cluster.quota.allocator import Allocator
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.cluster.quota.quota_client import QuotaClient
from locktide.cluster.quota_names import QuotaNames
from locktide.scheduler.estimators.random import LinearCongruentialGenerator


class ClusterMember:
    """Combines membership, leader election, quota leases and the fairness ledger of one member.

    Attributes:
        config: the configuration of this member.
        member_id: its name and generation.
        swim: the membership: which members are alive, and their addresses.
        election: its part in the election of the leader; None for a member that is not an acceptor.
        leadership: its duties while it is the leader.
        lease_holder: the leases that it requests and holds.
        local_quota: how much of each quota it may spend under these leases.
        quota_names: indices of the quotas in messages.
        quota_client: requests leases and puts them in force.
        ledger: the fairness ledger; None if none is configured.
        tenants_over_share: tenants that hold more than their fair shares according to the ledger.
        stepped_down: whether this process has stopped for good because a later process of its name runs.
        update: the changes made by the last call.
    """

    def __init__(self, config: ClusterConfig, now: int) -> None:
        name, _ = config.member_id
        generator = LinearCongruentialGenerator(config.random_seed)
        self.config = config
        self.member_id = config.member_id
        self.swim = Swim(config.member_id, config.address, config.seeds, generator, now)
        self.election: ElectionParticipant | None = None
        if name in config.acceptors:
            acceptors = sorted(config.acceptors)
            self.election = ElectionParticipant(config.member_id, acceptors, generator, now)
        self.lease_holder = LeaseHolder(config.member_id, now)
        self.local_quota = LocalQuota(config.quotas, config.reserved_fraction, config.max_members, now)
        self.quota_names = QuotaNames([quota.name for quota in config.quotas])
        self.quota_client = QuotaClient(self.lease_holder, self.local_quota, self.quota_names, now)
        self.leadership = Leadership(config, self.election, self.quota_names, self.local_quota, now)
        self.ledger: FairnessLedger | None = None
        if config.fairness is not None:
            self.ledger = FairnessLedger(config.fairness, config.member_id, generator, now)
        self.tenants_over_share: frozenset[str] = frozenset()
        self.stepped_down = False
        self.update = MemberUpdate()
        # Messages from this member to itself, handled at the end of the step.
        self._loopback: list[Message] = []

    @property
    def allocator(self) -> Allocator | None:
        """The allocator while this member is the leader; None otherwise."""
        return self.leadership.allocator

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
            times.append(self.leadership.next_heartbeat_at)
        if self.ledger is not None and not self.stepped_down:
            times.append(self.ledger.due)
        return min(times + self.quota_client.expiries)

    def tick(self, now: int) -> Outgoing:
        """Perform the work that is due, and return the messages to send."""
        self.update = MemberUpdate()
        outgoing = self.swim.tick(now)
        if not self.stepped_down:
            if self.election is not None:
                outgoing += self._address_all(self.election.proposer.tick(now))
            outgoing += self._update_leadership(now)
            outgoing += self._request_lease(now)
            outgoing += self._tick_ledger(now)
        return self._finish_step(outgoing, now)

    def _update_leadership(self, now: int) -> Outgoing:
        """Follow the election; return the heartbeats to all live members if they are due."""
        self.leadership.follow_election(now)
        if self.ledger is not None:
            self.leadership.set_borrowing_order(self.ledger.standing.order)
        term = self.leadership.take_due_heartbeat(now)
        if term is None:
            return []
        return self._address_all([(name, LeaderHeartbeat(term)) for name in self.swim.alive()])

    def _request_lease(self, now: int) -> Outgoing:
        """Return the next lease request if it is due."""
        request = self.quota_client.next_request(now)
        return self._address_to_leader(request) if request is not None else []

    def _tick_ledger(self, now: int) -> Outgoing:
        """Perform the work that is due in the fairness ledger, and return the messages to send."""
        if self.ledger is None:
            return []
        records = self.swim.view.table.records
        generations = {name: record.generation for name, record in records.items()}
        return self._address_all(self.ledger.tick(self.swim.alive(), generations, now))

    # --- messages

    def handle(self, envelope: Envelope, now: int) -> Outgoing:
        """Process a message, and return the messages to send."""
        self.update = MemberUpdate()
        outgoing = self.swim.handle(envelope, now)
        if not self.stepped_down:
            outgoing += self._dispatch(envelope.sender_id, envelope.message, now)
        return self._finish_step(outgoing, now)

    def _dispatch(self, sender: MemberId, message: Message, now: int) -> Outgoing:
        """Process a message on election, quotas or fairness; ignore any other."""
        match message:
            case Digest() | Delta():
                return self._handle_fairness(sender[0], message)
            case Prepare() | Promise() | Propose() | Accepted():
                return self._handle_election(sender[0], message, now)
            case LeaseRequest():
                return self._handle_lease_request(sender, message, now)
            case LeaderHeartbeat() | LeaseGrant() | LeaseRevocation():
                return self._handle_leader(sender, message, now)
        return []

    def _handle_fairness(self, sender: str, message: Digest | Delta) -> Outgoing:
        """Process a message of the fairness ledger's anti-entropy."""
        if self.ledger is None:
            return []
        return self._address_all(self.ledger.handle(sender, message))

    def _handle_election(
        self, sender: str, message: Prepare | Promise | Propose | Accepted, now: int
    ) -> Outgoing:
        """Process a message of the election, in which only configured acceptors take part."""
        if self.election is None:
            return []
        outgoing = self._address_all(self.election.handle(sender, message, now))
        if isinstance(message, Accepted):
            outgoing += self._update_leadership(now)  # this vote may have made us the leader
        return outgoing

    def _handle_lease_request(self, sender: MemberId, request: LeaseRequest, now: int) -> Outgoing:
        """Grant quota leases while we are the leader of the request's term.

        Heartbeats that fall due at the time of the request count as sent, so they must be returned as well:
        if they were dropped here, the next ones would be sent a whole interval later
        (test_heartbeats_that_fall_due_with_a_lease_request_are_sent).
        """
        outgoing = self._update_leadership(now)
        return outgoing + self._address_all(self.leadership.answer(sender, request, now))

    def _handle_leader(
        self, sender: MemberId, message: LeaderHeartbeat | LeaseGrant | LeaseRevocation, now: int
    ) -> Outgoing:
        """Process a message of the leader, if its sender is the leader that the term names."""
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
        return self._request_lease(now)

    # --- other calls of the host

    def spend(self, name: str, now: int) -> str | None:
        """Take one token for a request of that quota.

        Demand for a quota that had none recently is reported to the leader at once, as its loans have to be
        revoked; so `next_wakeup` may be earlier after this call.

        Returns:
            The quota from which the token was taken: `name`, or a quota that lends to `name`. None if no
            token was available.
        """
        return self.quota_client.spend(name, now)

    def leave(self, now: int) -> Outgoing:
        """Leave cleanly: return the leases, resign as the leader, and notify some members."""
        self.update = MemberUpdate()
        outgoing: Outgoing = []
        request = None if self.stepped_down else self.lease_holder.leave(now)
        if request is not None:
            outgoing += self._address_to_leader(request)
        self.leadership.resign()
        outgoing += self.swim.leave()
        return self._finish_step(outgoing, now)

    # --- sending, and the end of each step

    def _address_to(self, name: str, message: Message) -> Outgoing:
        """Return a message with the receiver's address; keep one to this member itself until the step ends.

        The address of an acceptor is the configured one, even if another process claims its name.
        """
        own_name, _ = self.member_id
        if name == own_name:
            self._loopback.append(message)
            return []
        address = self.config.acceptors.get(name) or self.swim.address_of(name)
        return [(address, message)] if address is not None else []

    def _address_all(self, messages: NamedMessages) -> Outgoing:
        """Return messages with the addresses of the members that they name."""
        return [addressed for name, message in messages for addressed in self._address_to(name, message)]

    def _address_to_leader(self, request: LeaseRequest) -> Outgoing:
        """Return a lease request with the address of the leader of its term."""
        _, leader_name, _ = request.term
        return self._address_to(leader_name, request)

    def _finish_step(self, outgoing: Outgoing, now: int) -> Outgoing:
        """Handle the messages from this member to itself, then update the quotas in force."""
        while self._loopback:
            message = self._loopback.pop(0)
            if not self.stepped_down:
                outgoing += self._dispatch(self.member_id, message, now)
        if self.swim.view.superseded and not self.stepped_down:
            self._step_down()
        settled = self.quota_client.settle(now)
        fairness_changed = self._settle_fairness()
        self.update = MemberUpdate(
            quotas_changed=self.update.quotas_changed or settled.changed or fairness_changed,
            leases_renewed=settled.renewed,
            events=self.update.events + self.swim.view.take_events(),
        )
        return outgoing

    def _step_down(self) -> None:
        """Stop for good: a later process of our name runs and holds our quotas, the minimum included."""
        self.stepped_down = True
        self.quota_client.step_down()
        self.leadership.resign()

    def _settle_fairness(self) -> bool:
        """Adopt the ledger's set of tenants over their fair shares; return whether it has changed."""
        if self.ledger is None or self.ledger.standing.over_share == self.tenants_over_share:
            return False
        self.tenants_over_share = self.ledger.standing.over_share
        return True
