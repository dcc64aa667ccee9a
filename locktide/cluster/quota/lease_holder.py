"""The shares and loans that one member holds as leases, and their expiry by its own clock.

The span of a lease counts from the moment at which it was requested. The leader may change: once a request
was sent under a later term, a grant of an earlier term is refused, and only the answer to the latest request
is accepted.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

from locktide.cluster.messages import Ballot, LeaseGrant, LeaseRequest, LeaseRevocation, MemberId
from locktide.cluster.quota.lease_timing import DEFAULT_TIMING, LeaseTiming
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares, loans_from_wire, loans_to_wire

Key = TypeVar("Key", bound=Hashable)

#: Requests in one regular interval while the holder waits for more than it has: the leader grants what
#: others have returned only in answer to the holder's next request.
WAITING_REQUESTS_PER_INTERVAL = 4
#: Requests in one regular interval after a change of which the leader should know at once.
URGENT_REQUESTS_PER_INTERVAL = 8


class LeaseHolder:
    """Requests leases from the leader and keeps those that were granted.

    Times are microseconds of this member's clock.

    Attributes:
        member_id: name and generation of this member.
        share_lease: how long shares are leased, in microseconds.
        loan_lease: how long loans are leased, in microseconds.
        request_interval: the regular time between two requests, in microseconds.
        waiting_interval: the time between two requests while it waits for more than it has.
        urgent_interval: the shortest time between two requests, used after a change.
        shares: the shares of the last grant; in force before `shares_until`.
        shares_until: when the shares expire.
        loans: the loans of the last grant; in force before `loans_until`.
        loans_until: when the loans expire.
        grant_term: the term of the grant in force; None before the first one.
        seq: the number of the grant in force, in its term.
        term: the term of the leader to whom requests are sent; None while no leader is known.
        request_number: the number of the last request.
        requested_at: when the last request was sent.
        next_request_at: when the next request is due.
        urgent_until: time before which an unanswered request is soon followed by another one.
        leaving: whether the member leaves, so that no further request is sent.
    """

    def __init__(self, member_id: MemberId, now: int, timing: LeaseTiming = DEFAULT_TIMING) -> None:
        self.member_id = member_id
        self.share_lease = timing.share_lease
        self.loan_lease = timing.loan_lease
        self.request_interval = timing.request_interval
        self.waiting_interval = timing.request_interval // WAITING_REQUESTS_PER_INTERVAL
        self.urgent_interval = timing.request_interval // URGENT_REQUESTS_PER_INTERVAL
        self.shares: QuotaShares = {}
        self.shares_until = 0
        self.loans: Loans = {}
        self.loans_until = 0
        self.grant_term: Ballot | None = None
        self.seq = 0
        self.term: Ballot | None = None
        self.request_number = 0
        self.requested_at = 0
        self.next_request_at = now
        self.urgent_until = 0
        self.leaving = False

    def current_shares(self, now: int) -> QuotaShares:
        """Return the shares in force."""
        if now >= self.shares_until and self.shares:
            self.shares = {}
        return self.shares

    def current_loans(self, now: int) -> Loans:
        """Return the loans in force, under which tokens of other quotas may be spent."""
        if now >= min(self.shares_until, self.loans_until) and self.loans:
            self.loans = {}
        return self.loans

    def observe_leader(self, term: Ballot, now: int) -> None:
        """Follow the leader of a later term; ignore that of an earlier one."""
        if self.term is None or term > self.term:
            self.term = term
            self.next_request_at = now

    @property
    def due(self) -> int:
        """When the next request is due."""
        return self.next_request_at

    def request_soon(self, now: int) -> None:
        """Make the next request due sooner, as the leader should know at once of demand that has begun."""
        self.urgent_until = now + self.share_lease
        self._advance_request(now)

    def _advance_request(self, now: int) -> None:
        earliest = max(now, self.requested_at + self.urgent_interval)
        self.next_request_at = min(self.next_request_at, earliest)

    def next_request(self, demand: QuotaDemand, now: int) -> LeaseRequest | None:
        """Return the next request if it is due; its term names the receiver."""
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
            term=term,
            number=self.request_number,
            held_term=held_term,
            seq=self.seq,
            held_shares=shares,
            demand=demand,
            loans=loans,
            leaving=self.leaving,
        )

    def accept_grant(self, grant: LeaseGrant, now: int) -> bool:
        """Put the grant in force if it answers the latest request in time; return whether it did."""
        if not self._is_answer(grant, now):
            return False
        previous_shares = self.current_shares(now)
        previous_loans = self.current_loans(now)
        self.shares = dict(grant.shares)
        self.shares_until = self.requested_at + self.share_lease
        self.loans = loans_from_wire(grant.loans)
        self.loans_until = self.requested_at + self.loan_lease
        self.grant_term = grant.term
        self.seq = grant.seq
        self.urgent_until = 0
        interval = self.waiting_interval if grant.more_expected else self.request_interval
        self.next_request_at = self.requested_at + interval
        if _has_less(self.shares, previous_shares) or _has_less(self.loans, previous_loans):
            # The leader grants returned leases to others only after this member has reported their return.
            self.next_request_at = min(self.next_request_at, now + self.urgent_interval)
        return True

    def _is_answer(self, grant: LeaseGrant, now: int) -> bool:
        """Return whether the grant answers the latest request and its shares have not expired."""
        is_latest = grant.term == self.term and grant.number == self.request_number
        return is_latest and not self.leaving and now < self.requested_at + self.share_lease

    def accept_revocation(self, revocation: LeaseRevocation, now: int) -> None:
        """Drop the revoked loans at once, and send a request soon, so that unneeded shares move as well."""
        if revocation.term != self.term:
            return
        for key in [key for key in self.loans if key.lender in revocation.lenders]:
            del self.loans[key]
        self._advance_request(now)

    def drop(self) -> None:
        """Drop all leases at once."""
        self.shares = {}
        self.shares_until = 0
        self.loans = {}

    def leave(self, now: int) -> LeaseRequest | None:
        """Drop all leases; return the last request, which notifies the leader of that."""
        self.drop()
        self.leaving = True
        return self._build_request(self.term, {}, now) if self.term is not None else None


def _has_less(current: Mapping[Key, int], previous: Mapping[Key, int]) -> bool:
    """Return whether any amount is smaller than before or has disappeared."""
    return any(current.get(key, 0) < amount for key, amount in previous.items())
