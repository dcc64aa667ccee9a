"""The books of the member that divides: what each may hold at worst, by our own clock.

What somebody may hold is the larger of what it said it holds and of the grant that is under way to it; a
grant counts until `stretched` of its span has gone by, whether or not it arrived, or until its holder has
asked again, as it takes none but the answer to its last question. The sum never exceeds what may be divided:
parts and loans of a budget together. A giver that is new knows nothing of what its predecessors gave: until
all of that is over it only renews what somebody says it holds, which was counted then, too, and gives nothing
more; it lends nothing, as loans end soon.
"""

from __future__ import annotations

from heapq import heappop, heappush

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.messages import Ballot, LeaseGrant, LeaseRequest, LeaseRevocation, MemberId
from locktide.cluster.quota import allocation as divide
from locktide.cluster.quota.account import HolderAccount, Loans, OutstandingGrant, Parts
from locktide.cluster.quota.lease_timing import ASK, LOAN, PART, stretched

# Demand of who has not asked for so long does not count, in parts of a span: it may have died.
QUIET = 0.5
# Loans in one grant: what fits a datagram beside fifty parts and what is wanted of them.
MOST_LOANS = 24


class Allocator:
    """`movable`: how much of each budget is divided, in millionths of its whole. One for each term. `order`
    is who borrows first.
    """

    def __init__(
        self,
        term: Ballot,
        movable: Parts,
        now: int,
        span: int = PART,
        every: int = ASK,
        floor: int = 0,
        loan: int = LOAN,
        broker: LoanAllocator | None = None,
    ) -> None:
        self.floor = floor  # what each has beside that, of every budget
        self.term, self.movable, self.gap = term, movable, every // 2
        self.lasts, self.quiet = stretched(span), int(span * QUIET)
        self.loan_lasts, self.broker = stretched(loan), broker
        self.renews_until = now + self.lasts  # by then all that others gave is over
        self.accounts: dict[MemberId, HolderAccount] = {}
        self.seq = 0
        # The sum of what all accounts count, and when each may count less. Between the two moments the sum is
        # too large, never too small.
        self.totals = dict.fromkeys(movable, 0)
        self.less_at: list[tuple[int, MemberId]] = []
        self.targets: dict[int, dict[MemberId, int]] = {}
        self.shares: dict[MemberId, Loans] = {}  # of the planned loans, by member
        self.targets_at = -(1 << 62)
        self.order: list[int] = []
        self.recalls: list[tuple[MemberId, LeaseRevocation]] = []  # to be sent

    def asked(self, who: MemberId, word: LeaseRequest, now: int) -> LeaseGrant | None:
        while self.less_at and self.less_at[0][0] <= now:
            _, other = heappop(self.less_at)
            if other in self.accounts:
                self.count(other, now)
        account = self.accounts.setdefault(who, HolderAccount())
        if word.number <= account.number:
            return None  # late, or doubled: what it says is of before
        account.number, account.heard_at = word.number, now
        account.wants = {} if word.leaving else word.wants
        account.told(word, now + self.lasts, now + self.loan_lasts, word.of == self.term)
        self.count(who, now)
        if self.broker is not None:
            self.recall(
                [name for name, want in account.wants.items() if want and self.broker.wanted(name, now)], now
            )
        if word.leaving:
            return None
        steps = now >= account.moved_at + self.gap
        if steps:
            account.moved_at = now
        held = word.held
        parts = {budget: self.part(who, budget, held.get(budget, 0), steps, now) for budget in self.movable}
        loans = self.lend(who, parts, now)
        self.seq += 1
        loans_until = now + self.loan_lasts if loans else now
        account.under_way = OutstandingGrant(self.seq, parts, loans, now + self.lasts, loans_until)
        self.count(who, now)
        told = [(owner, borrower, part) for (owner, borrower), part in loans.items()]
        return LeaseGrant(self.term, word.number, self.seq, parts, told, self.waits(who, account, parts, now))

    def count(self, who: MemberId, now: int) -> None:
        """Brings the totals up to date with one account; forgets it once nothing of it can be in force."""
        account = self.accounts[who]
        worst, counted = account.worst(now), account.counted
        for budget in self.movable:
            self.totals[budget] += worst.get(budget, 0) - counted.get(budget, 0)
        account.counted = worst
        if ends := [end for one in account.promised(now) for end in one.ends(now)]:
            heappush(self.less_at, (min(ends), who))
        elif now - account.heard_at > 10 * self.lasts:
            del self.accounts[who]
        else:
            heappush(self.less_at, (account.heard_at + 11 * self.lasts, who))

    def part(self, who: MemberId, budget: int, held: int, steps: bool, now: int) -> int:
        whole = self.movable[budget]
        others = self.totals[budget] - self.accounts[who].counted.get(budget, 0)
        if now < self.renews_until:
            return min(held, whole - others)
        # Guards against a step for each of the questions that tell at once of what was given back.
        wanted = held
        if self.back(budget, now):
            wanted = self.target(who, budget, now)  # its owner has come again: no damping
        elif steps:
            wanted = divide.moved(held, self.target(who, budget, now), whole // len(self.targets[budget]))
        return max(0, min(wanted, whole - others))

    def target(self, who: MemberId, budget: int, now: int) -> int:
        targets = self.divided(now)[budget]
        if who not in targets:
            self.targets_at = -(1 << 62)  # it has come since
            targets = self.divided(now)[budget]
        return targets[who]

    def waits(self, who: MemberId, account: HolderAccount, parts: Parts, now: int) -> bool:
        """Whether it should have more of what its owner has come back for, once that is given back."""
        if now < self.renews_until:
            return False
        short = [
            budget
            for budget, want in account.wants.items()
            if self.back(budget, now)
            and parts.get(budget, 0) < self.target(who, budget, now) * (1.0 - divide.STILL)
        ]
        self.call(short, now, anew=True)
        return bool(short)

    # --- loans

    def back(self, budget: int, now: int) -> bool:
        """Whether the owner has come back so lately that its parts follow at once."""
        owner = self.broker.owners.get(budget) if self.broker is not None else None
        return owner is not None and now < owner.holds_until

    def lend(self, who: MemberId, parts: Parts, now: int) -> Loans:
        """What this member may spend of others' budgets, within what is free of them."""
        if self.broker is None or now < self.renews_until:
            return {}
        given: Loans = {}
        planned = self.shares.get(who, {})
        for pair in sorted(planned, key=lambda pair: (-planned[pair], pair))[:MOST_LOANS]:
            owner, part = pair[0], planned[pair]
            if pair not in self.broker.plan:
                continue  # called back since
            others = self.totals[owner] - self.accounts[who].counted.get(owner, 0)
            ours = parts[owner] + sum(lent for (of, _), lent in given.items() if of == owner)
            part = min(part, self.movable[owner] - others - ours)
            if part > 0:
                given[pair] = part
        return given

    def out(self, now: int) -> Loans:
        """All that may be lent just now."""
        found: Loans = {}
        for account in self.accounts.values():
            for pair, part in account.lent(now).items():
                found[pair] = found.get(pair, 0) + part
        return found

    def recall(self, owners: list[int], now: int) -> None:
        if owners:
            self.targets_at = -(1 << 62)
            self.call(owners, now, anew=False)

    def call(self, owners: list[int], now: int, anew: bool) -> None:
        """To all that hold something of it; anew to those that have not asked since the owner came back."""
        for who, account in self.accounts.items():
            worst = account.worst(now)
            theirs = [
                owner
                for owner in owners
                if worst.get(owner) and not (anew and account.heard_at >= self.came_back(owner))
            ]
            if theirs:
                self.recalls.append((who, LeaseRevocation(self.term, theirs)))

    def came_back(self, owner: int) -> int:
        assert self.broker is not None
        return self.broker.owners[owner].came_at

    # --- the division

    def divided(self, now: int) -> dict[int, dict[MemberId, int]]:
        """The targets of all that ask; once in half of the time between two questions of one member."""
        if now >= self.targets_at + self.gap:
            self.targets_at = now
            asking = [(who, one) for who, one in self.accounts.items() if now - one.heard_at < self.quiet]
            lent = self.plan(asking, now)
            for budget, whole in self.movable.items():
                wants = {who: one.wants.get(budget, 0) for who, one in asking}
                left = max(0, whole - lent.get(budget, 0))
                self.targets[budget] = divide.targets(wants, left, self.floor)
        return self.targets

    def plan(self, asking: list[tuple[MemberId, HolderAccount]], now: int) -> Parts:
        """Plans the loans and each member's part of them; how much of each budget is to be lent."""
        if self.broker is None or now < self.renews_until:
            return {}
        wants: Parts = {}
        for _, one in asking:
            for budget, want in one.wants.items():
                wants[budget] = wants.get(budget, 0) + want
        called = self.broker.divide(wants, self.order, self.out(now), now)
        self.recall(called, now)
        self.targets_at = now
        lent: Parts = {}
        self.shares = {who: {} for who, _ in asking}
        for (owner, borrower), part in self.broker.plan.items():
            lent[owner] = lent.get(owner, 0) + part
            for who, one in asking:
                if theirs := part * one.wants.get(borrower, 0) // max(1, wants.get(borrower, 0)):
                    self.shares[who][owner, borrower] = theirs
        return lent
