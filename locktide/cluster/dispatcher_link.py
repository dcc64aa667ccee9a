"""Connects a cluster member to its dispatcher: reports the dispatcher's demand and updates its scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from locktide.cluster.member import ClusterMember
from locktide.cluster.quota.allocation import WHOLE
from locktide.scheduler.events import ConfigReloaded, QuotaSharesUpdated, QuotaStage, RequestArrived

#: How long the scheduler treats a tenant as over its fair share after an update, and how long until the next
#: update while a tenant is over its share, in microseconds. An update expires, so that a member that hangs
#: does not leave a tenant marked as over its share for good.
OVER_SHARE_VALIDITY = 5_000_000
OVER_SHARE_REFRESH = OVER_SHARE_VALIDITY // 2
#: Later than any time of any clock, in microseconds.
FOREVER = 1 << 62


class Clock(Protocol):
    """The dispatcher's clock."""

    def now(self) -> int:
        """Return the time in whole microseconds."""


class EventSource(Protocol):
    """The part of a dispatcher that the cluster uses: observers of its events and commands, and its input."""

    observers: list[Callable[[object], None]]

    @property
    def clock(self) -> Clock:
        """The clock of the dispatcher's decisions."""

    def enqueue_event(self, event: QuotaSharesUpdated, /) -> None:
        """Hand an event to the scheduler."""


class MemberHost(Protocol):
    """Runs the member and provides its clock."""

    def now(self) -> int:
        """Return the time of the member's clock in whole microseconds."""

    def schedule_wakeup(self) -> None:
        """Set the timer to the member's next wakeup."""


class DispatcherLink:
    """Counts a dispatcher's requests as demand, and notifies its scheduler of the quota shares in force.

    Attributes:
        loop: the event loop of the dispatcher.
        event_source: the dispatcher.
        member: the cluster member.
        host: the host that runs the member.
        quota_names: the names of the tenants that have a quota.
        notified_at: when the scheduler was last notified, by the scheduler's clock.
    """

    def __init__(self, event_source: EventSource, member: ClusterMember, host: MemberHost) -> None:
        self.loop = asyncio.get_running_loop()
        self.event_source = event_source
        self.member = member
        self.host = host
        self.quota_names = {quota.name for quota in member.config.quotas}
        self.notified_at = 0

    def attach(self) -> None:
        """Start observing the dispatcher."""
        self.event_source.observers.append(self.on_event)

    def detach(self) -> None:
        """Stop observing the dispatcher."""
        self.event_source.observers.remove(self.on_event)

    def on_event(self, event: object) -> None:
        """Process an event or command of the dispatcher.

        Requests of clients are counted as the demand that the allocation follows; their use of the workers is
        counted in the fairness ledger.
        """
        if type(event) is ConfigReloaded:
            # After a reload the scheduler starts with new shares, so notify it again of those in force.
            self.loop.call_soon(self.emit_quota_shares)
            return
        if self.member.ledger is not None:
            self.member.ledger.usage.observe(event)
        if type(event) is RequestArrived and event.tenant in self.quota_names:
            previous_wakeup = self.member.next_wakeup
            # This call counts the demand. The tokens that it takes serve checks only: the scheduler limits
            # requests by its own buckets.
            self.member.spend(event.tenant, self.host.now())
            if self.member.next_wakeup < previous_wakeup:
                self.host.schedule_wakeup()  # demand after a pause is reported to the leader at once

    def refresh_over_share(self) -> None:
        """Notify the scheduler again before its knowledge of the tenants over their fair shares expires."""
        if not self.member.tenants_over_share:
            return
        if self.event_source.clock.now() >= self.notified_at + OVER_SHARE_REFRESH:
            self.emit_quota_shares()

    def emit_quota_shares(self) -> None:
        """Notify the scheduler of the shares in force and of their expiry by the scheduler's clock."""
        quota = self.member.local_quota
        member_now = self.host.now()
        scheduler_now = self.event_source.clock.now()
        # The two clocks differ by a constant.
        until = scheduler_now + max(0, quota.shares_until - member_now)
        shares = {name: share / WHOLE for name, share in quota.shares.items()}
        minimums = dict.fromkeys(shares, quota.guaranteed_minimum / WHOLE)
        stages = [QuotaStage(until, shares), QuotaStage(FOREVER, minimums)]
        if quota.loans:
            loans_until = min(until, scheduler_now + max(0, quota.loans_until - member_now))
            stages.insert(0, QuotaStage(loans_until, shares, self.borrowed_shares()))
        update = QuotaSharesUpdated(
            stages,
            over_fair_share=self.member.tenants_over_share,
            over_fair_share_until=scheduler_now + OVER_SHARE_VALIDITY,
        )
        self.notified_at = scheduler_now
        self.event_source.enqueue_event(update)

    def borrowed_shares(self) -> dict[str, float]:
        """Return how much each quota borrows, as a fraction of its own rate."""
        quota = self.member.local_quota
        borrowed: dict[str, float] = {}
        for (lender, borrower), loan in quota.loans.items():
            lender_rate = quota.specs[lender].rate
            borrower_rate = quota.specs[borrower].rate
            if borrower_rate:
                share = loan / WHOLE * lender_rate / borrower_rate
                borrowed[borrower] = borrowed.get(borrower, 0.0) + share
        return borrowed
