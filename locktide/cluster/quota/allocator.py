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
        self.guaranteed_minimum = floor  # what each has beside that, of every budget
        self.term, self.divisible, self.replan_interval = term, movable, every // 2
        self.share_lifetime, self.demand_lifetime = stretched(span), int(span * QUIET)
        self.loan_lifetime, self.loan_allocator = stretched(loan), broker
        self.renew_only_until = now + self.share_lifetime  # by then all that others gave is over
        self.accounts: dict[MemberId, HolderAccount] = {}
        self.seq = 0
        # The sum of what all accounts count, and when each may count less. Between the two moments the sum is
        # too large, never too small.
        self.totals = dict.fromkeys(movable, 0)
        self.expiries: list[tuple[int, MemberId]] = []
        self.targets: dict[int, dict[MemberId, int]] = {}
        self.planned_loans: dict[MemberId, Loans] = {}  # of the planned loans, by member
        self.targets_planned_at = -(1 << 62)
        self.borrowing_order: list[int] = []
        self.revocations: list[tuple[MemberId, LeaseRevocation]] = []  # to be sent

    def handle_request(self, who: MemberId, word: LeaseRequest, now: int) -> LeaseGrant | None:
        while self.expiries and self.expiries[0][0] <= now:
            _, other = heappop(self.expiries)
            if other in self.accounts:
                self.update_totals(other, now)
        account = self.accounts.setdefault(who, HolderAccount())
        if word.number <= account.request_number:
            return None  # late, or doubled: what it says is of before
        account.request_number, account.heard_at = word.number, now
        account.demand = {} if word.leaving else word.demand
        account.confirm(
            word, now + self.share_lifetime, now + self.loan_lifetime, word.held_term == self.term
        )
        self.update_totals(who, now)
        if self.loan_allocator is not None:
            self.revoke(
                [
                    name
                    for name, want in account.demand.items()
                    if want and self.loan_allocator.record_demand(name, now)
                ],
                now,
            )
        if word.leaving:
            return None
        steps = now >= account.stepped_at + self.replan_interval
        if steps:
            account.stepped_at = now
        held = word.held_shares
        parts = {
            budget: self.share_for(who, budget, held.get(budget, 0), steps, now) for budget in self.divisible
        }
        loans = self.loans_for(who, parts, now)
        self.seq += 1
        loans_until = now + self.loan_lifetime if loans else now
        account.unconfirmed = OutstandingGrant(self.seq, parts, loans, now + self.share_lifetime, loans_until)
        self.update_totals(who, now)
        told = [(owner, borrower, part) for (owner, borrower), part in loans.items()]
        return LeaseGrant(
            self.term, word.number, self.seq, parts, told, self.awaits_reclaim(who, account, parts, now)
        )

    def update_totals(self, who: MemberId, now: int) -> None:
        """Brings the totals up to date with one account; forgets it once nothing of it can be in force."""
        account = self.accounts[who]
        worst, counted = account.worst_case(now), account.counted
        for budget in self.divisible:
            self.totals[budget] += worst.get(budget, 0) - counted.get(budget, 0)
        account.counted = worst
        if ends := [end for one in account.outstanding(now) for end in one.expiries_after(now)]:
            heappush(self.expiries, (min(ends), who))
        elif now - account.heard_at > 10 * self.share_lifetime:
            del self.accounts[who]
        else:
            heappush(self.expiries, (account.heard_at + 11 * self.share_lifetime, who))

    def share_for(self, who: MemberId, budget: int, held: int, steps: bool, now: int) -> int:
        whole = self.divisible[budget]
        others = self.totals[budget] - self.accounts[who].counted.get(budget, 0)
        if now < self.renew_only_until:
            return min(held, whole - others)
        # Guards against a step for each of the questions that tell at once of what was given back.
        wanted = held
        if self.is_reclaiming(budget, now):
            wanted = self.target_share(who, budget, now)  # its owner has come again: no damping
        elif steps:
            wanted = divide.moved(
                held, self.target_share(who, budget, now), whole // len(self.targets[budget])
            )
        return max(0, min(wanted, whole - others))

    def target_share(self, who: MemberId, budget: int, now: int) -> int:
        targets = self.current_targets(now)[budget]
        if who not in targets:
            self.targets_planned_at = -(1 << 62)  # it has come since
            targets = self.current_targets(now)[budget]
        return targets[who]

    def awaits_reclaim(self, who: MemberId, account: HolderAccount, parts: Parts, now: int) -> bool:
        """Whether it should have more of what its owner has come back for, once that is given back."""
        if now < self.renew_only_until:
            return False
        short = [
            budget
            for budget, want in account.demand.items()
            if self.is_reclaiming(budget, now)
            and parts.get(budget, 0) < self.target_share(who, budget, now) * (1.0 - divide.STILL)
        ]
        self.queue_revocations(short, now, anew=True)
        return bool(short)

    # --- loans

    def is_reclaiming(self, budget: int, now: int) -> bool:
        """Whether the owner has come back so lately that its parts follow at once."""
        owner = self.loan_allocator.lenders.get(budget) if self.loan_allocator is not None else None
        return owner is not None and now < owner.lends_again_at

    def loans_for(self, who: MemberId, parts: Parts, now: int) -> Loans:
        """What this member may spend of others' budgets, within what is free of them."""
        if self.loan_allocator is None or now < self.renew_only_until:
            return {}
        given: Loans = {}
        planned = self.planned_loans.get(who, {})
        for pair in sorted(planned, key=lambda pair: (-planned[pair], pair))[:MOST_LOANS]:
            owner, part = pair[0], planned[pair]
            if pair not in self.loan_allocator.planned_loans:
                continue  # called back since
            others = self.totals[owner] - self.accounts[who].counted.get(owner, 0)
            ours = parts[owner] + sum(lent for (of, _), lent in given.items() if of == owner)
            part = min(part, self.divisible[owner] - others - ours)
            if part > 0:
                given[pair] = part
        return given

    def outstanding_loans(self, now: int) -> Loans:
        """All that may be lent just now."""
        found: Loans = {}
        for account in self.accounts.values():
            for pair, part in account.worst_case_loans(now).items():
                found[pair] = found.get(pair, 0) + part
        return found

    def revoke(self, owners: list[int], now: int) -> None:
        if owners:
            self.targets_planned_at = -(1 << 62)
            self.queue_revocations(owners, now, anew=False)

    def queue_revocations(self, owners: list[int], now: int, anew: bool) -> None:
        """To all that hold something of it; anew to those that have not asked since the owner came back."""
        for who, account in self.accounts.items():
            worst = account.worst_case(now)
            theirs = [
                owner
                for owner in owners
                if worst.get(owner) and not (anew and account.heard_at >= self.reclaimed_at(owner))
            ]
            if theirs:
                self.revocations.append((who, LeaseRevocation(self.term, theirs)))

    def reclaimed_at(self, owner: int) -> int:
        assert self.loan_allocator is not None
        return self.loan_allocator.lenders[owner].reclaimed_at

    # --- the division

    def current_targets(self, now: int) -> dict[int, dict[MemberId, int]]:
        """The targets of all that ask; once in half of the time between two questions of one member."""
        if now >= self.targets_planned_at + self.replan_interval:
            self.targets_planned_at = now
            asking = [
                (who, one) for who, one in self.accounts.items() if now - one.heard_at < self.demand_lifetime
            ]
            lent = self.plan_loans(asking, now)
            for budget, whole in self.divisible.items():
                wants = {who: one.demand.get(budget, 0) for who, one in asking}
                left = max(0, whole - lent.get(budget, 0))
                self.targets[budget] = divide.targets(wants, left, self.guaranteed_minimum)
        return self.targets

    def plan_loans(self, asking: list[tuple[MemberId, HolderAccount]], now: int) -> Parts:
        """Plans the loans and each member's part of them; how much of each budget is to be lent."""
        if self.loan_allocator is None or now < self.renew_only_until:
            return {}
        wants: Parts = {}
        for _, one in asking:
            for budget, want in one.demand.items():
                wants[budget] = wants.get(budget, 0) + want
        called = self.loan_allocator.replan(wants, self.borrowing_order, self.outstanding_loans(now), now)
        self.revoke(called, now)
        self.targets_planned_at = now
        lent: Parts = {}
        self.planned_loans = {who: {} for who, _ in asking}
        for (owner, borrower), part in self.loan_allocator.planned_loans.items():
            lent[owner] = lent.get(owner, 0) + part
            for who, one in asking:
                if theirs := part * one.demand.get(borrower, 0) // max(1, wants.get(borrower, 0)):
                    self.planned_loans[who][owner, borrower] = theirs
        return lent
