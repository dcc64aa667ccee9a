"""Connects a member's leases with its local quota: reports its demand, and puts its leases in force."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.messages import LeaseRequest
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.cluster.quota_names import QuotaNames


@dataclass(frozen=True, slots=True)
class SettledQuotas:
    """Changes made by `QuotaClient.settle`.

    Attributes:
        changed: whether the shares or loans in force have changed.
        renewed: whether the expiry times of the leases in force have changed.
    """

    changed: bool
    renewed: bool


class QuotaClient:
    """The member's side of the quota leases; times are microseconds of its clock."""

    def __init__(
        self, lease_holder: LeaseHolder, local_quota: LocalQuota, quota_names: QuotaNames, now: int
    ) -> None:
        self.lease_holder = lease_holder
        self.local_quota = local_quota
        self.quota_names = quota_names
        self.next_decay_at = now

    @property
    def expiries(self) -> list[int]:
        """The times at which shares and loans in force expire."""
        return [until for until in (self.local_quota.shares_until, self.local_quota.loans_until) if until]

    def next_request(self, now: int) -> LeaseRequest | None:
        """Return the next lease request with this member's demand; None before it is due."""
        demand = {
            self.quota_names.indices[name]: amount
            for name, amount in self.local_quota.demand.items()
            if amount
        }
        request = self.lease_holder.next_request(demand, now)
        if request is None:
            return None
        request.names_checksum = self.quota_names.checksum
        if now >= self.next_decay_at:
            self.next_decay_at = now + REQUEST_INTERVAL
            self.local_quota.decay_demand()
        return request

    def spend(self, name: str, now: int) -> str | None:
        """Take one token for a request of a quota; request leases soon if it had no demand recently.

        Returns the quota whose token was taken: `name`, or a quota that lends to `name`. Returns None if no
        token was available.
        """
        if self.local_quota.record_demand(name):
            self.lease_holder.request_soon(now)
        return self.local_quota.spend(name, now)

    def settle(self, now: int) -> SettledQuotas:
        """Put the shares and loans in force that are held now."""
        shares = self.lease_holder.current_shares(now)
        loans = self.lease_holder.current_loans(now)
        previous_expiries = self.expiries
        changed = self.local_quota.update(
            held=self.quota_names.amounts_by_name(shares),
            shares_until=self.lease_holder.shares_until if shares else 0,
            loans=self.quota_names.loans_by_name(loans),
            loans_until=self.lease_holder.loans_until if loans else 0,
            now=now,
        )
        return SettledQuotas(changed=changed, renewed=self.expiries != previous_expiries)

    def step_down(self) -> None:
        """Drop all quotas for good, including the guaranteed minimum."""
        self.lease_holder.drop()
        self.local_quota.guaranteed_minimum = 0
