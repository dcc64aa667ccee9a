"""What one member holds of each budget and of loans, and until when by its own clock.

A part counts from the moment at which it was asked for. Who divides may change: once we have asked under a
later term, a grant of an earlier one is refused, and only the latest question's answer counts.
"""

from __future__ import annotations

from locktide.cluster.messages import Ballot, LeaseGrant, LeaseRequest, LeaseRevocation, MemberId
from locktide.cluster.quota.lease_timing import ASK, LOAN, PART

Parts = dict[int, int]  # by the budget's place
Loans = dict[tuple[int, int], int]


class LeaseHolder:
    def __init__(self, who: MemberId, now: int, span: int = PART, every: int = ASK, loan: int = LOAN) -> None:
        self.member_id, self.share_span, self.request_interval, self.loan_span = who, span, every, loan
        self.retry_interval = every // 4  # who waits for more than it has asks so soon again
        self.shares: Parts = {}
        self.shares_until = 0  # in force before that
        self.loans: Loans = {}
        self.loans_until = 0
        self.grant_term: Ballot | None = None
        self.seq = 0
        self.term: Ballot | None = None  # under which we ask
        self.request_number, self.requested_at = 0, 0
        self.next_request_at = now
        self.urgent_until = 0  # before that we ask anew soon while there is no answer
        self.leaving = False

    def current_shares(self, now: int) -> Parts:
        if now >= self.shares_until and self.shares:
            self.shares = {}
        return self.shares

    def current_loans(self, now: int) -> Loans:
        """What we may spend of others' budgets."""
        if now >= min(self.shares_until, self.loans_until) and self.loans:
            self.loans = {}
        return self.loans

    def observe_leader(self, term: Ballot, now: int) -> None:
        """Somebody says that it divides."""
        if self.term is None or term > self.term:
            self.term, self.next_request_at = term, now

    @property
    def due(self) -> int:
        return self.next_request_at

    def request_soon(self, now: int) -> None:
        """Something is wanted that was not: who divides should know at once."""
        self.urgent_until = now + self.share_span
        self.next_request_at = min(
            self.next_request_at, max(now, self.requested_at + self.request_interval // 8)
        )

    def next_request(self, wants: Parts, now: int) -> LeaseRequest | None:
        """The next question, if it is time; to the name in its term."""
        if self.term is None or now < self.next_request_at or self.leaving:
            return None
        return self.build_request(wants, now)

    def build_request(self, wants: Parts, now: int) -> LeaseRequest:
        assert self.term is not None
        self.request_number += 1
        self.requested_at, self.next_request_at = (
            now,
            now + (self.retry_interval if now < self.urgent_until else self.request_interval),
        )
        held, lent = dict(self.current_shares(now)), self.current_loans(now)
        loans = [(owner, borrower, part) for (owner, borrower), part in lent.items()]
        of = self.grant_term if held or loans else None
        return LeaseRequest(self.term, self.request_number, of, self.seq, held, wants, loans, self.leaving)

    def accept_grant(self, word: LeaseGrant, now: int) -> bool:
        """Whether it counts from now on."""
        if word.term != self.term or word.number != self.request_number or self.leaving:
            return False
        if now >= self.requested_at + self.share_span:
            return False
        before, lent = self.current_shares(now), self.current_loans(now)
        self.urgent_until = 0
        self.next_request_at = self.requested_at + (
            self.retry_interval if word.more_expected else self.request_interval
        )
        self.shares, self.grant_term, self.seq = dict(word.shares), word.term, word.seq
        self.loans = {(owner, borrower): part for owner, borrower, part in word.loans}
        less = any(self.shares.get(budget, 0) < held for budget, held in before.items())
        if less or any(self.loans.get(pair, 0) < held for pair, held in lent.items()):
            # Tells soon that it has given something back: only then others can have it.
            self.next_request_at = min(self.next_request_at, now + self.request_interval // 8)
        self.shares_until, self.loans_until = (
            self.requested_at + self.share_span,
            self.requested_at + self.loan_span,
        )
        return True

    def accept_revocation(self, word: LeaseRevocation, now: int) -> None:
        """Lets go of loans at once, and asks anew, so that parts that it does not need move, too."""
        if word.term != self.term:
            return
        for pair in [pair for pair in self.loans if pair[0] in word.lenders]:
            del self.loans[pair]
        self.next_request_at = min(
            self.next_request_at, max(now, self.requested_at + self.request_interval // 8)
        )

    def leave(self, now: int) -> LeaseRequest | None:
        """Gives all back."""
        self.shares, self.shares_until, self.loans, self.leaving = {}, 0, {}, True
        return self.build_request({}, now) if self.term is not None else None
