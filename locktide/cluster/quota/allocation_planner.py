"""Plans the target shares and loans of all members with recent requests; the allocator makes the grants."""

from __future__ import annotations

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.messages import MemberId, QuotaIndex
from locktide.cluster.quota.account import LONG_AGO, HolderAccount
from locktide.cluster.quota.allocation import target_shares
from locktide.cluster.quota.lease_timing import LeaseTiming
from locktide.cluster.quota.outstanding_grants import OutstandingGrants
from locktide.cluster.quota.revocations import RevocationQueue
from locktide.cluster.quota.types import Loans, QuotaDemand, QuotaShares

#: How long the demand of a member that sends no request counts, as a fraction of a share's lease: the member
#: may have died.
DEMAND_LIFETIME = 0.5
#: Plans in one regular interval between a member's requests.
PLANS_PER_REQUEST_INTERVAL = 2

RecentAccounts = list[tuple[MemberId, HolderAccount]]


class AllocationPlanner:
    """Makes plans from the demand of all members, at most twice between two requests of one member.

    Attributes:
        grants: the most that each member may hold, and its demand.
        revocations: the queue for revocations.
        loan_allocator: plans the loans; None if nothing may be lent.
        guaranteed_minimum: a member's guaranteed part of each quota, in millionths of a whole.
        replan_interval: the shortest time between two plans, in microseconds.
        demand_lifetime: how long the demand of a silent member counts, in microseconds.
        targets: the target share of each member with a recent request, by quota, in millionths.
        planned_loans: the loans that each member should have.
        planned_at: when the last plan was made.
        borrowing_order: quotas whose requests borrow first.
    """

    def __init__(
        self,
        grants: OutstandingGrants,
        revocations: RevocationQueue,
        loan_allocator: LoanAllocator | None,
        guaranteed_minimum: int,
        timing: LeaseTiming,
    ) -> None:
        self.grants = grants
        self.revocations = revocations
        self.loan_allocator = loan_allocator
        self.guaranteed_minimum = guaranteed_minimum
        self.replan_interval = timing.request_interval // PLANS_PER_REQUEST_INTERVAL
        self.demand_lifetime = int(timing.share_lease * DEMAND_LIFETIME)
        self.targets: dict[QuotaIndex, dict[MemberId, int]] = {}
        self.planned_loans: dict[MemberId, Loans] = {}
        self.planned_at = LONG_AGO
        self.borrowing_order: list[QuotaIndex] = []

    def invalidate(self) -> None:
        """Require a new plan before the next target is returned."""
        self.planned_at = LONG_AGO

    def target(self, member_id: MemberId, quota: QuotaIndex, now: int, may_lend: bool) -> int:
        """Return the member's target share of the quota."""
        targets = self._current_targets(now, may_lend)[quota]
        if member_id not in targets:  # its first request arrived after the last plan was made
            self.invalidate()
            targets = self._current_targets(now, may_lend)[quota]
        return targets[member_id]

    def even_share(self, quota: QuotaIndex) -> int:
        """Return an even share of the quota among the members of the last plan."""
        return self.grants.divisible[quota] // len(self.targets[quota])

    def _current_targets(self, now: int, may_lend: bool) -> dict[QuotaIndex, dict[MemberId, int]]:
        if now >= self.planned_at + self.replan_interval:
            self.planned_at = now
            self._replan(now, may_lend)
        return self.targets

    def _replan(self, now: int, may_lend: bool) -> None:
        recent = [
            (member_id, account)
            for member_id, account in self.grants.accounts.items()
            if now - account.request_received_at < self.demand_lifetime
        ]
        lent = self._plan_loans(recent, now) if may_lend else {}
        for quota, divisible in self.grants.divisible.items():
            demand = {member_id: account.demand.get(quota, 0) for member_id, account in recent}
            remaining = max(0, divisible - lent.get(quota, 0))
            self.targets[quota] = target_shares(demand, remaining, self.guaranteed_minimum)

    def _plan_loans(self, recent: RecentAccounts, now: int) -> QuotaShares:
        """Plan the loans and each member's part of them; return the planned loans of each quota in total."""
        if self.loan_allocator is None:
            return {}
        demand = _total_demand(recent)
        reclaimed = self.loan_allocator.replan(demand, self.borrowing_order, self.grants.loans(now), now)
        self.revocations.revoke(reclaimed, now)
        lent: QuotaShares = {}
        self.planned_loans = {member_id: {} for member_id, _ in recent}
        for key, share in self.loan_allocator.planned_loans.items():
            lent[key.lender] = lent.get(key.lender, 0) + share
            total = max(1, demand.get(key.borrower, 0))
            for member_id, account in recent:
                if member_share := share * account.demand.get(key.borrower, 0) // total:
                    self.planned_loans[member_id][key] = member_share
        return lent


def _total_demand(recent: RecentAccounts) -> QuotaDemand:
    """Return the total demand of these members by quota."""
    total: QuotaDemand = {}
    for _, account in recent:
        for quota, amount in account.demand.items():
            total[quota] = total.get(quota, 0) + amount
    return total
