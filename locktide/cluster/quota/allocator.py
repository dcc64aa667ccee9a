"""The leader's division of quotas: it grants shares and loans to members as leases.

Safety: at every instant, the shares of a quota in force at all members plus the loans of it are at most the
divisible part of the quota. The guaranteed minimums of all members are set aside from the whole before that,
so the whole is never exceeded either. The argument has four steps.

1. A grant expires at its holder before the allocator counts it as expired. The holder counts the lease's span
   from before it sent the request, by its own clock; the allocator counts the longer `lifetime_at_grantor`
   of that span from after it received the request (see `lease_timing`). This needs no synchronized clocks,
   only a bound on how much their rates differ.
2. A member holds one of two grants: the one that it reported in its last request (`confirmed`), or the one
   that answered that request (`unconfirmed`), which may have been lost. Any older grant is void, as a holder
   accepts only the answer to its latest request, and reports in each request the leases that it holds. So the
   larger of the two, for each quota, is an upper bound of what the member holds. It is counted until it
   expires by step 1 or the next request replaces it.
3. A grant is limited to the divisible part less the upper bounds of all other members by step 2. Loans count
   against the lender's quota, in addition to its shares, whichever member holds them. So the sum of all
   bounds never exceeds the divisible part, and neither do the leases in force. A total shrinks only after an
   expiry or a report.
4. A new leader does not know what its predecessors granted. The election lets at most one member lead at a
   time, so all earlier grants have expired one lifetime after the start of the new term. Until then the new
   allocator only renews the shares that a member reports to hold, which its predecessor counted as well; it
   grants nothing more, and no loans, as those end soon. A holder that has sent a request under a later term
   refuses the grants of an earlier one.

Source of leases: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency", SOSP 1989.
"""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.borrowing.loan_allocator import LoanAllocator
from locktide.cluster.messages import Ballot, LeaseGrant, LeaseRequest, MemberId, QuotaIndex
from locktide.cluster.quota.account import HolderAccount, OutstandingGrant
from locktide.cluster.quota.allocation import DEAD_BAND, damped_share
from locktide.cluster.quota.allocation_planner import AllocationPlanner
from locktide.cluster.quota.lease_timing import DEFAULT_TIMING, LeaseTiming, lifetime_at_grantor
from locktide.cluster.quota.outstanding_grants import OutstandingGrants
from locktide.cluster.quota.revocations import PendingRevocation, RevocationQueue
from locktide.cluster.quota.types import Loans, QuotaShares, loans_to_wire

#: Loans in one grant: as many as fit a datagram together with fifty shares and the demand of as many quotas.
MAX_LOANS_PER_GRANT = 24
#: Damped steps of one member's shares in one regular interval between its requests. If each of several
#: requests that report returned leases in quick succession made a step, that would undo the damping.
STEPS_PER_REQUEST_INTERVAL = 2


@dataclass(frozen=True, slots=True)
class AllocatorConfig:
    """Configuration of an allocator.

    Attributes:
        divisible: how much of each quota is divided, in millionths of its whole.
        guaranteed_minimum: each member's guaranteed part of every quota, which is not in `divisible`; in the
            same unit.
        timing: durations of the leases.
    """

    divisible: QuotaShares
    guaranteed_minimum: int = 0
    timing: LeaseTiming = DEFAULT_TIMING


class Allocator:
    """Answers the members' requests during one term of this leader.

    Times are microseconds of the leader's clock.

    Attributes:
        term: the term of the leader.
        divisible: how much of each quota is divided, in millionths of its whole.
        loan_allocator: plans the loans; None if nothing may be lent.
        share_lifetime: how long a grant of shares counts here, in microseconds.
        loan_lifetime: how long a grant of loans counts here, in microseconds.
        step_interval: the shortest time between two damped steps of one member's shares, in microseconds.
        renew_only_until: when all grants of earlier leaders have expired.
        seq: the number of the last grant.
        grants: the most that each member may hold.
        revocations: revocations that are to be sent.
        planner: plans target shares and loans.
    """

    def __init__(
        self, term: Ballot, config: AllocatorConfig, now: int, loan_allocator: LoanAllocator | None = None
    ) -> None:
        timing = config.timing
        self.term = term
        self.divisible = config.divisible
        self.loan_allocator = loan_allocator
        self.share_lifetime = lifetime_at_grantor(timing.share_lease)
        self.loan_lifetime = lifetime_at_grantor(timing.loan_lease)
        self.step_interval = timing.request_interval // STEPS_PER_REQUEST_INTERVAL
        self.renew_only_until = now + self.share_lifetime
        self.seq = 0
        self.grants = OutstandingGrants(config.divisible, self.share_lifetime)
        self.revocations = RevocationQueue(term, self.grants, loan_allocator)
        self.planner = AllocationPlanner(
            self.grants,
            self.revocations,
            loan_allocator,
            guaranteed_minimum=config.guaranteed_minimum,
            timing=timing,
        )

    def set_borrowing_order(self, order: list[QuotaIndex]) -> None:
        """Set which quotas borrow first, in this order."""
        self.planner.borrowing_order = order

    def take_revocations(self) -> list[PendingRevocation]:
        """Return the revocations that are to be sent, and clear the queue."""
        return self.revocations.take()

    def handle_request(self, member_id: MemberId, request: LeaseRequest, now: int) -> LeaseGrant | None:
        """Return the grant, or None for a request that is late, duplicated or the member's last."""
        self.grants.expire(now)
        account = self.grants.account(member_id)
        if request.number <= account.request_number:
            return None  # its report is out of date
        self._record_request(member_id, account, request, now)
        self._reclaim_for(account, now)
        if request.leaving:
            return None
        may_step = self._may_step(account, now)
        held = request.held_shares
        shares = {
            quota: self.share_for(member_id, quota, held.get(quota, 0), may_step, now)
            for quota in self.divisible
        }
        loans = self._loans_for(member_id, shares, now)
        self._record_grant(member_id, account, shares, loans, now)
        return LeaseGrant(
            term=self.term,
            number=request.number,
            seq=self.seq,
            shares=shares,
            loans=loans_to_wire(loans),
            more_expected=self._awaits_reclaim(member_id, account, shares, now),
        )

    def _record_request(
        self, member_id: MemberId, account: HolderAccount, request: LeaseRequest, now: int
    ) -> None:
        account.request_number = request.number
        account.request_received_at = now
        account.demand = {} if request.leaving else request.demand
        account.confirm(
            request,
            shares_until=now + self.share_lifetime,
            loans_until=now + self.loan_lifetime,
            same_term=request.held_term == self.term,
        )
        self.grants.update(member_id, now)

    def _may_step(self, account: HolderAccount, now: int) -> bool:
        """Return whether the member's shares may make a damped step now; if so, record the step."""
        if now < account.stepped_at + self.step_interval:
            return False
        account.stepped_at = now
        return True

    def _record_grant(
        self, member_id: MemberId, account: HolderAccount, shares: QuotaShares, loans: Loans, now: int
    ) -> None:
        """Count a new grant as one that the member may hold instead of the confirmed one."""
        self.seq += 1
        account.unconfirmed = OutstandingGrant(
            seq=self.seq,
            shares=shares,
            loans=loans,
            shares_until=now + self.share_lifetime,
            loans_until=now + self.loan_lifetime if loans else now,
        )
        self.grants.update(member_id, now)

    def _reclaim_for(self, account: HolderAccount, now: int) -> None:
        """Revoke the loans of quotas that have demand again."""
        if self.loan_allocator is None:
            return
        demanded = [quota for quota, amount in account.demand.items() if amount]
        reclaimed = [quota for quota in demanded if self.loan_allocator.record_demand(quota, now)]
        if reclaimed:
            self.planner.invalidate()
            self.revocations.revoke(reclaimed, now)

    def _may_grant_more(self, now: int) -> bool:
        """Return whether all grants of earlier leaders have expired, so that more than a renewal is safe."""
        return now >= self.renew_only_until

    def _target(self, member_id: MemberId, quota: QuotaIndex, now: int) -> int:
        return self.planner.target(member_id, quota, now, self._may_grant_more(now))

    def share_for(self, member_id: MemberId, quota: QuotaIndex, held: int, may_step: bool, now: int) -> int:
        """Return the member's next share of the quota, limited to the part that the other members leave."""
        available = self.grants.available(member_id, quota)
        if not self._may_grant_more(now):
            return min(held, available)
        wanted = held
        if self._is_reclaiming(quota, now):
            wanted = self._target(member_id, quota, now)  # the quota has demand again: no damping
        elif may_step:
            target = self._target(member_id, quota, now)
            wanted = damped_share(held, target, self.planner.even_share(quota))
        return max(0, min(wanted, available))

    def _is_reclaiming(self, quota: QuotaIndex, now: int) -> bool:
        """Return whether the quota was reclaimed so recently that its shares follow demand undamped."""
        return self.loan_allocator is not None and self.loan_allocator.is_reclaiming(quota, now)

    def _awaits_reclaim(
        self, member_id: MemberId, account: HolderAccount, shares: QuotaShares, now: int
    ) -> bool:
        """Return whether the member should get more of a reclaimed quota once others have returned theirs."""
        if not self._may_grant_more(now):
            return False
        short: list[QuotaIndex] = []
        for quota in account.demand:
            if not self._is_reclaiming(quota, now):
                continue
            target = self._target(member_id, quota, now)
            if shares.get(quota, 0) < target * (1.0 - DEAD_BAND):
                short.append(quota)
        self.revocations.revoke_again(short, now)
        return bool(short)

    def _loans_for(self, member_id: MemberId, shares: QuotaShares, now: int) -> Loans:
        """Return the loans to grant to the member, the largest planned ones first."""
        if self.loan_allocator is None or not self._may_grant_more(now):
            return {}
        granted: Loans = {}
        planned = self.planner.planned_loans.get(member_id, {})
        for key in sorted(planned, key=lambda key: (-planned[key], key))[:MAX_LOANS_PER_GRANT]:
            if key not in self.loan_allocator.planned_loans:
                continue  # reclaimed since it was planned
            lent_here = sum(share for other, share in granted.items() if other.lender == key.lender)
            free = self.grants.available(member_id, key.lender) - shares[key.lender] - lent_here
            share = min(planned[key], free)
            if share > 0:
                granted[key] = share
        return granted
