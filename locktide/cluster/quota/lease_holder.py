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
        self.who, self.span, self.every, self.loan = who, span, every, loan
        self.soon = every // 4  # who waits for more than it has asks so soon again
        self.parts: Parts = {}
        self.until = 0  # in force before that
        self.loans: Loans = {}
        self.loans_until = 0
        self.of: Ballot | None = None
        self.seq = 0
        self.term: Ballot | None = None  # under which we ask
        self.number, self.asked_at = 0, 0
        self.ask_at = now
        self.urgent_until = 0  # before that we ask anew soon while there is no answer
        self.leaving = False

    def in_force(self, now: int) -> Parts:
        if now >= self.until and self.parts:
            self.parts = {}
        return self.parts

    def lent(self, now: int) -> Loans:
        """What we may spend of others' budgets."""
        if now >= min(self.until, self.loans_until) and self.loans:
            self.loans = {}
        return self.loans

    def led(self, term: Ballot, now: int) -> None:
        """Somebody says that it divides."""
        if self.term is None or term > self.term:
            self.term, self.ask_at = term, now

    @property
    def due(self) -> int:
        return self.ask_at

    def hurry(self, now: int) -> None:
        """Something is wanted that was not: who divides should know at once."""
        self.urgent_until = now + self.span
        self.ask_at = min(self.ask_at, max(now, self.asked_at + self.every // 8))

    def ask(self, wants: Parts, now: int) -> LeaseRequest | None:
        """The next question, if it is time; to the name in its term."""
        if self.term is None or now < self.ask_at or self.leaving:
            return None
        return self.question(wants, now)

    def question(self, wants: Parts, now: int) -> LeaseRequest:
        assert self.term is not None
        self.number += 1
        self.asked_at, self.ask_at = now, now + (self.soon if now < self.urgent_until else self.every)
        held, lent = dict(self.in_force(now)), self.lent(now)
        loans = [(owner, borrower, part) for (owner, borrower), part in lent.items()]
        of = self.of if held or loans else None
        return LeaseRequest(self.term, self.number, of, self.seq, held, wants, loans, self.leaving)

    def granted(self, word: LeaseGrant, now: int) -> bool:
        """Whether it counts from now on."""
        if word.term != self.term or word.number != self.number or self.leaving:
            return False
        if now >= self.asked_at + self.span:
            return False
        before, lent = self.in_force(now), self.lent(now)
        self.urgent_until = 0
        self.ask_at = self.asked_at + (self.soon if word.soon else self.every)
        self.parts, self.of, self.seq = dict(word.parts), word.term, word.seq
        self.loans = {(owner, borrower): part for owner, borrower, part in word.loans}
        less = any(self.parts.get(budget, 0) < held for budget, held in before.items())
        if less or any(self.loans.get(pair, 0) < held for pair, held in lent.items()):
            # Tells soon that it has given something back: only then others can have it.
            self.ask_at = min(self.ask_at, now + self.every // 8)
        self.until, self.loans_until = self.asked_at + self.span, self.asked_at + self.loan
        return True

    def recalled(self, word: LeaseRevocation, now: int) -> None:
        """Lets go of loans at once, and asks anew, so that parts that it does not need move, too."""
        if word.term != self.term:
            return
        for pair in [pair for pair in self.loans if pair[0] in word.owners]:
            del self.loans[pair]
        self.ask_at = min(self.ask_at, max(now, self.asked_at + self.every // 8))

    def leave(self, now: int) -> LeaseRequest | None:
        """Gives all back."""
        self.parts, self.until, self.loans, self.leaving = {}, 0, {}, True
        return self.question({}, now) if self.term is not None else None
