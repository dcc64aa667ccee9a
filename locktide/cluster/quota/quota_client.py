"""Connects a member's leases with its local quota: reports demand, and puts what is leased in force."""

from __future__ import annotations

from dataclasses import dataclass

from locktide.cluster.messages import LeaseRequest
from locktide.cluster.quota.lease_holder import LeaseHolder
from locktide.cluster.quota.lease_timing import REQUEST_INTERVAL
from locktide.cluster.quota.local_quota import LocalQuota
from locktide.cluster.quota_names import QuotaNames


@dataclass(frozen=True, slots=True)
class SettledQuotas:
    """What `QuotaClient.settle` has done.

    Attributes:
        changed: whether shares or loans in force are others.
        renewed: whether the leases of those in force end at other times.
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
        """When shares and loans in force expire."""
        return [until for until in (self.local_quota.shares_until, self.local_quota.loans_until) if until]

    def next_request(self, now: int) -> LeaseRequest | None:
        """Return the next lease request with the demand seen here; None before it is due."""
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
        """Take one token for a request of a quota, and request soon where it had no demand lately.

        Returns the quota that the token is of, its own or one that lends to it; None where there is none.
        """
        if self.local_quota.record_demand(name):
            self.lease_holder.request_soon(now)
        return self.local_quota.spend(name, now)

    def settle(self, now: int) -> SettledQuotas:
        """Put the leases and loans that are held now in force."""
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
        """Drop everything for good, the guaranteed minimum as well."""
        self.lease_holder.drop()
        self.local_quota.guaranteed_minimum = 0
