"""Connects a cluster member to its dispatcher, whose demand it reports and whose scheduler it updates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from locktide.cluster.member import ClusterMember
from locktide.cluster.quota.allocation import WHOLE
from locktide.scheduler.events import ConfigReloaded, QuotaSharesUpdated, QuotaStage, RequestArrived

#: For how long the scheduler takes a tenant to be over its share, in microseconds from the last update, and
#: after how long it is notified again while a tenant is: a member that is stuck holds nobody back for good.
OVER_SHARE_VALIDITY = 5_000_000
OVER_SHARE_REFRESH = OVER_SHARE_VALIDITY // 2
#: Later than any time of any clock, in microseconds.
FOREVER = 1 << 62


class Clock(Protocol):
    """The dispatcher's clock."""

    def now(self) -> int:
        """Return the time in whole microseconds."""


class EventSource(Protocol):
    """What the cluster needs of a dispatcher: to observe its events and commands, and to give it events."""

    observers: list[Callable[[object], None]]

    @property
    def clock(self) -> Clock:
        """The clock of the dispatcher's decisions."""

    def enqueue_event(self, event: QuotaSharesUpdated, /) -> None:
        """Hand an event to the scheduler."""


class MemberHost(Protocol):
    """Who runs the member and knows its time."""

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
        host: what runs the member.
        quota_names: the tenants that have a quota.
        notified_at: when the scheduler was notified last, by its own clock.
    """

    def __init__(self, event_source: EventSource, member: ClusterMember, host: MemberHost) -> None:
        self.loop = asyncio.get_running_loop()
        self.event_source = event_source
        self.member = member
        self.host = host
        self.quota_names = {quota.name for quota in member.config.quotas}
        self.notified_at = 0

    def attach(self) -> None:
        """Begin to observe the dispatcher."""
        self.event_source.observers.append(self.on_event)

    def detach(self) -> None:
        """Stop observing the dispatcher."""
        self.event_source.observers.remove(self.on_event)

    def on_event(self, event: object) -> None:
        """Take in an event or command of the dispatcher.

        What clients request is the demand that the allocation follows, and what they use of the workers is
        counted in the ledger.
        """
        if type(event) is ConfigReloaded:
            # The scheduler has begun with new shares, and has to be notified of those in force once more.
            self.loop.call_soon(self.emit_quota_shares)
            return
        if self.member.ledger is not None:
            self.member.ledger.usage.observe(event)
        if type(event) is RequestArrived and event.tenant in self.quota_names:
            previous_wakeup = self.member.next_wakeup
            # Counts the demand. The tokens that it takes are for checks: the scheduler has its own buckets.
            self.member.spend(event.tenant, self.host.now())
            if self.member.next_wakeup < previous_wakeup:
                self.host.schedule_wakeup()  # demand after a pause is reported to the leader at once

    def refresh_over_share(self) -> None:
        """Notify the scheduler anew before it forgets which tenants are over their fair shares."""
        if not self.member.tenants_over_share:
            return
        if self.event_source.clock.now() >= self.notified_at + OVER_SHARE_REFRESH:
            self.emit_quota_shares()

    def emit_quota_shares(self) -> None:
        """Notify the scheduler of the shares in force, and until when by its own clock."""
        quota = self.member.local_quota
        own_now = self.host.now()
        their_now = self.event_source.clock.now()
        # The two clocks differ by a constant.
        until = their_now + max(0, quota.shares_until - own_now)
        shares = {name: share / WHOLE for name, share in quota.shares.items()}
        minimums = dict.fromkeys(shares, quota.guaranteed_minimum / WHOLE)
        stages = [QuotaStage(until, shares), QuotaStage(FOREVER, minimums)]
        if quota.loans:
            loans_until = min(until, their_now + max(0, quota.loans_until - own_now))
            stages.insert(0, QuotaStage(loans_until, shares, self.borrowed_shares()))
        update = QuotaSharesUpdated(
            stages,
            over_fair_share=self.member.tenants_over_share,
            over_fair_share_until=their_now + OVER_SHARE_VALIDITY,
        )
        self.notified_at = their_now
        self.event_source.enqueue_event(update)

    def borrowed_shares(self) -> dict[str, float]:
        """Return what each quota borrows, as a fraction of its own rate."""
        quota = self.member.local_quota
        borrowed: dict[str, float] = {}
        for (lender, borrower), loan in quota.loans.items():
            lender_rate = quota.specs[lender].rate
            borrower_rate = quota.specs[borrower].rate
            if borrower_rate:
                share = loan / WHOLE * lender_rate / borrower_rate
                borrowed[borrower] = borrowed.get(borrower, 0.0) + share
        return borrowed
