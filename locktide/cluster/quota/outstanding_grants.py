"""The allocator's accounts of all members, with the sum of the most that they may hold."""

from __future__ import annotations

from heapq import heappop, heappush

from locktide.cluster.messages import MemberId, QuotaIndex
from locktide.cluster.quota.account import HolderAccount
from locktide.cluster.quota.types import Loans, QuotaShares

#: How long a silent member's account is kept once none of its grants can be in force, in lifetimes of a
#: share.
RETENTION_LIFETIMES = 10


class OutstandingGrants:
    """Accounts by member, and their sums.

    An account is updated when it changes and when a grant in it expires. Between an expiry and the update the
    total is too large, never too small.

    Attributes:
        divisible: how much of each quota is divided, in millionths of its whole.
        share_lifetime: how long a grant of shares counts, in microseconds.
        accounts: the account of each member.
        totals: the sum over all accounts of the most that each member may hold, by quota, in millionths.
        expiries: a heap of the times at which an account may count less, each with its member.
    """

    def __init__(self, divisible: QuotaShares, share_lifetime: int) -> None:
        self.divisible = divisible
        self.share_lifetime = share_lifetime
        self.accounts: dict[MemberId, HolderAccount] = {}
        self.totals: QuotaShares = dict.fromkeys(divisible, 0)
        self.expiries: list[tuple[int, MemberId]] = []

    def expire(self, now: int) -> None:
        """Update the accounts in which a grant has expired."""
        while self.expiries and self.expiries[0][0] <= now:
            _, member_id = heappop(self.expiries)
            if member_id in self.accounts:
                self.update(member_id, now)

    def account(self, member_id: MemberId) -> HolderAccount:
        """Return the member's account; create it if there is none."""
        return self.accounts.setdefault(member_id, HolderAccount())

    def update(self, member_id: MemberId, now: int) -> None:
        """Update the totals with one account; drop the account if it has expired and its member is silent."""
        account = self.accounts[member_id]
        worst = account.worst_case(now)
        for quota in self.divisible:
            self.totals[quota] += worst.get(quota, 0) - account.counted.get(quota, 0)
        account.counted = worst
        expiries = [expiry for grant in account.outstanding(now) for expiry in grant.expiries_after(now)]
        if expiries:
            heappush(self.expiries, (min(expiries), member_id))
        elif now - account.request_received_at > RETENTION_LIFETIMES * self.share_lifetime:
            del self.accounts[member_id]
        else:
            forget_at = account.request_received_at + (RETENTION_LIFETIMES + 1) * self.share_lifetime
            heappush(self.expiries, (forget_at, member_id))

    def available(self, member_id: MemberId, quota: QuotaIndex) -> int:
        """Return the divisible part of the quota less the most that all other members may hold."""
        others = self.totals[quota] - self.accounts[member_id].counted.get(quota, 0)
        return self.divisible[quota] - others

    def loans(self, now: int) -> Loans:
        """Return the loans that may be in force at this moment, summed over the members."""
        total: Loans = {}
        for account in self.accounts.values():
            for key, share in account.worst_case_loans(now).items():
                total[key] = total.get(key, 0) + share
        return total
