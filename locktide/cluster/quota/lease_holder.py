"""What one member holds of each quota and of loans, and until when by its own clock.

A lease counts from the moment at which it was requested. The leader may change: once a request was sent under
a later term, a grant of an earlier one is refused, and only the latest request's answer is accepted.
"""

from __future__ import annotations

from locktide.cluster.messages import Ballot, LeaseGrant, LeaseRequest, LeaseRevocation, MemberId
from locktide.cluster.quota.lease_timing import DEFAULT_TIMING, LeaseTiming
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares, loans_from_wire, loans_to_wire


class LeaseHolder:
    """Requests leases from the leader and keeps what was granted; all times are this member's clock."""

    def __init__(self, member_id: MemberId, now: int, timing: LeaseTiming = DEFAULT_TIMING) -> None:
        self.member_id = member_id
        self.share_lease = timing.share_lease
        self.loan_lease = timing.loan_lease
        self.request_interval = timing.request_interval
        self.waiting_interval = timing.request_interval // 4  # while it waits for more than it has
        self.urgent_interval = timing.request_interval // 8  # after something has changed
        self.shares: QuotaShares = {}
        self.shares_until = 0  # in force before that
        self.loans: Loans = {}
        self.loans_until = 0
        self.grant_term: Ballot | None = None  # of the grant in force
        self.seq = 0  # of the grant in force
        self.term: Ballot | None = None  # under which requests are sent
        self.request_number = 0
        self.requested_at = 0
        self.next_request_at = now
        self.urgent_until = 0  # before that an unanswered request is soon followed by another
        self.leaving = False

    def current_shares(self, now: int) -> QuotaShares:
        """Return the shares in force."""
        if now >= self.shares_until and self.shares:
            self.shares = {}
        return self.shares

    def current_loans(self, now: int) -> Loans:
        """Return the loans in force: what may be spent of other quotas."""
        if now >= min(self.shares_until, self.loans_until) and self.loans:
            self.loans = {}
        return self.loans

    def observe_leader(self, term: Ballot, now: int) -> None:
        """Follow a leader of a later term."""
        if self.term is None or term > self.term:
            self.term, self.next_request_at = term, now

    @property
    def due(self) -> int:
        """When the next request is to be sent."""
        return self.next_request_at

    def request_soon(self, now: int) -> None:
        """Demand has begun that the leader should know of at once."""
        self.urgent_until = now + self.share_lease
        self._advance_request(now)

    def _advance_request(self, now: int) -> None:
        earliest = max(now, self.requested_at + self.urgent_interval)
        self.next_request_at = min(self.next_request_at, earliest)

    def next_request(self, demand: QuotaDemand, now: int) -> LeaseRequest | None:
        """Return the next request, if it is time; it goes to the member that the term names."""
        if self.term is None or now < self.next_request_at or self.leaving:
            return None
        return self._build_request(self.term, demand, now)

    def _build_request(self, term: Ballot, demand: QuotaDemand, now: int) -> LeaseRequest:
        self.request_number += 1
        self.requested_at = now
        interval = self.waiting_interval if now < self.urgent_until else self.request_interval
        self.next_request_at = now + interval
        shares = dict(self.current_shares(now))
        loans = loans_to_wire(self.current_loans(now))
        held_term = self.grant_term if shares or loans else None
        return LeaseRequest(
            term, self.request_number, held_term, self.seq, shares, demand, loans, self.leaving
        )

    def accept_grant(self, grant: LeaseGrant, now: int) -> bool:
        """Put the grant in force if it answers the latest request in time; return whether it does."""
        if grant.term != self.term or grant.number != self.request_number or self.leaving:
            return False
        if now >= self.requested_at + self.share_lease:
            return False
        previous_shares, previous_loans = self.current_shares(now), self.current_loans(now)
        self.urgent_until = 0
        interval = self.waiting_interval if grant.more_expected else self.request_interval
        self.next_request_at = self.requested_at + interval
        self.shares, self.grant_term, self.seq = dict(grant.shares), grant.term, grant.seq
        self.loans = loans_from_wire(grant.loans)
        gave_shares = any(self.shares.get(quota, 0) < share for quota, share in previous_shares.items())
        if gave_shares or any(self.loans.get(key, 0) < share for key, share in previous_loans.items()):
            # Reports soon that it has given something back: only then others can have it.
            self.next_request_at = min(self.next_request_at, now + self.urgent_interval)
        self.shares_until = self.requested_at + self.share_lease
        self.loans_until = self.requested_at + self.loan_lease
        return True

    def accept_revocation(self, revocation: LeaseRevocation, now: int) -> None:
        """Let go of the loans at once, and request soon, so that shares that are not needed move, too."""
        if revocation.term != self.term:
            return
        for key in [key for key in self.loans if key.lender in revocation.lenders]:
            del self.loans[key]
        self._advance_request(now)

    def drop(self) -> None:
        """Let go of everything at once."""
        self.shares, self.shares_until, self.loans = {}, 0, {}

    def leave(self, now: int) -> LeaseRequest | None:
        """Let go of everything; return the last request, which tells the leader so."""
        self.drop()
        self.leaving = True
        return self._build_request(self.term, {}, now) if self.term is not None else None
