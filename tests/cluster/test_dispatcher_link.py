"""The link between a cluster member and its scheduler: the scheduler uses the shares that are in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from locktide.cluster.config import ClusterConfig
from locktide.cluster.dispatcher_link import FOREVER
from locktide.cluster.fairness.ledger import FairnessConfig
from locktide.cluster.fairness.standing import FairnessStanding
from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.udp_transport import UdpTransport
from locktide.scheduler.events import QuotaSharesUpdated, QuotaStage
from locktide.simulation.virtual_time.datagrams import VirtualDatagramNetwork
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.transport.log import Log

ADDRESS = ("127.0.0.1", 7000)
LATENCY = 1_000  # of a datagram, in microseconds
REQUEST_INTERVAL = 0.02  # seconds between two requests of the tenant


class ReliableNetwork:
    """Delivers each datagram once."""

    def carried(self, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        return [(LATENCY, data)]


@dataclass
class RecordingDispatcher:
    """Stands in for a dispatcher, and keeps the last update of quota shares."""

    loop: asyncio.AbstractEventLoop
    observers: list[Callable[[object], None]] = field(default_factory=list)
    last_update: QuotaSharesUpdated = field(default_factory=lambda: QuotaSharesUpdated([]))

    @property
    def clock(self) -> RecordingDispatcher:
        return self

    def now(self) -> int:
        return int(self.loop.time() * 1_000_000)

    def enqueue_event(self, event: QuotaSharesUpdated) -> None:
        self.last_update = event

    def stage_in_force(self) -> QuotaStage:
        return next(stage for stage in self.last_update.stages if self.now() < stage.until)


@dataclass(frozen=True)
class SchedulerView:
    """The shares and loans that the scheduler of a member uses at the end of a run."""

    stage: QuotaStage
    update: QuotaSharesUpdated
    now: int
    has_loans: bool


def test_scheduler_admits_by_the_leased_share_for_as_long_as_the_lease_is_renewed() -> None:
    """The scheduler was notified of a share and its expiry, but not of renewals, as the share did not change.

    From the first expiry on it admitted requests by the guaranteed minimum, although the lease was renewed.
    This happens if all demand of a tenant arrives at one dispatcher, which holds nearly the whole quota. The
    share in force at the member must be in force at its scheduler.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = RecordingDispatcher(loop)
        quotas = [QuotaSpec("dairy", 50.0, 250.0)]
        config = ClusterConfig(("d0", 1), ADDRESS, {"d0": ADDRESS}, [], quotas, 0.2, 2)
        network = VirtualDatagramNetwork(loop, ReliableNetwork())
        _, transport = network.bind(lambda: UdpTransport(config, Log("d0"), dispatcher), ADDRESS)
        assert isinstance(transport, UdpTransport)
        for _ in range(int(20 / REQUEST_INTERVAL)):
            transport.member.spend("dairy", transport.now())
            await asyncio.sleep(REQUEST_INTERVAL)
        quota = transport.member.local_quota
        share = quota.shares["dairy"]
        assert share > 2 * quota.guaranteed_minimum, "the demand has raised the share above the minimum"
        assert transport.now() < quota.shares_until, "the lease is in force"
        stage = dispatcher.stage_in_force()
        await transport.close()
        assert stage.shares["dairy"] == share / WHOLE

    VirtualLoop().run_until_complete(run())  # type: ignore[abstract]


def run_one_member(config: ClusterConfig, seconds: float, demanded: str) -> SchedulerView:
    """Run one member whose dispatcher has demand of one tenant; return the view of its scheduler."""

    async def run() -> SchedulerView:
        loop = asyncio.get_running_loop()
        dispatcher = RecordingDispatcher(loop)
        network = VirtualDatagramNetwork(loop, ReliableNetwork())
        _, transport = network.bind(lambda: UdpTransport(config, Log("d0"), dispatcher), ADDRESS)
        assert isinstance(transport, UdpTransport)
        for _ in range(int(seconds / REQUEST_INTERVAL)):
            if transport.member.ledger is not None:  # as the ledger does while the fleet is contended
                transport.member.ledger.standing = FairnessStanding(over_share=frozenset([demanded]))
                transport.member.ledger.next_recompute_at = FOREVER
            transport.member.spend(demanded, transport.now())
            await asyncio.sleep(REQUEST_INTERVAL)
        observed = SchedulerView(
            stage=dispatcher.stage_in_force(),
            update=dispatcher.last_update,
            now=dispatcher.now(),
            has_loans=bool(transport.member.local_quota.loans),
        )
        await transport.close()
        return observed

    observed: SchedulerView = VirtualLoop().run_until_complete(run())  # type: ignore[abstract]
    return observed


def test_scheduler_admits_by_a_loan_for_as_long_as_the_loan_is_renewed() -> None:
    """The scheduler was notified of the first expiry of a loan, but not of its renewals.

    A loan lasts for 0.5 s and is renewed every 0.3 s. For the scheduler it ended half a second after each
    change of its amount, although it was renewed.
    """
    quotas = [QuotaSpec("dairy", 10.0, 50.0, lendable=True), QuotaSpec("goats", 50.0, 250.0, lendable=True)]
    config = ClusterConfig(("d0", 1), ADDRESS, {"d0": ADDRESS}, [], quotas, 0.2, 2, lendable_fraction=0.5)
    observed = run_one_member(config, 20.0, "dairy")
    assert observed.has_loans, "the idle quota is lent"
    assert observed.stage.borrowed.get("dairy", 0.0) > 0.0


def test_scheduler_holds_a_tenant_over_its_fair_share_for_as_long_as_the_ledger_does() -> None:
    """The scheduler was notified of the tenants over their fair shares only when their set changed.

    It drops the set after 5 s, so a tenant that stayed over its share for a minute was served beyond it
    again, although the ledger still named it. There is no leader here, so no lease renewal notifies the
    scheduler either.
    """
    fairness = FairnessConfig(["slots"], {"dairy": 1000, "goats": 1000}, {"view": [1000]}, [1000], 1_000_000)
    quotas = [QuotaSpec("dairy", 50.0, 250.0), QuotaSpec("goats", 50.0, 250.0)]
    config = ClusterConfig(("d0", 1), ADDRESS, {}, [], quotas, 0.2, 2, fairness=fairness)
    observed = run_one_member(config, 60.0, "dairy")
    assert observed.update.over_fair_share == {"dairy"}
    assert observed.now < observed.update.over_fair_share_until
