"""The link between a cluster member and its scheduler: which shares the scheduler takes to be in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from locktide.cluster.config import ClusterConfig
from locktide.cluster.quota.allocation import WHOLE
from locktide.cluster.quota.local_quota import QuotaSpec
from locktide.cluster.udp_transport import UdpTransport
from locktide.scheduler.events import QuotaSharesUpdated, QuotaStage
from locktide.simulation.virtual_time.datagrams import VirtualDatagramNetwork
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.transport.log import Log

ADDRESS = ("127.0.0.1", 7000)
LATENCY = 1_000  # microseconds of a datagram
REQUEST_INTERVAL = 0.02  # seconds between two requests of the tenant


class ReliableNetwork:
    """Delivers each datagram once."""

    def carried(self, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        return [(LATENCY, data)]


@dataclass
class RecordingDispatcher:
    """Takes the place of a dispatcher: it keeps the last update of quota shares."""

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


def test_scheduler_admits_by_the_leased_share_for_as_long_as_the_lease_is_renewed() -> None:
    """All demand of a tenant came through one dispatcher, which held nearly the whole of its quota.

    The scheduler was notified of the share and of the moment at which its lease expired by then, but not of
    the renewals, as the share stayed the same. From that moment on it admitted by the guaranteed minimum,
    though the lease went on. What is in force at the member must be in force at its scheduler.
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
        assert share > 2 * quota.guaranteed_minimum, "the demand has brought more than the minimum"
        assert transport.now() < quota.shares_until, "the lease is in force"
        stage = dispatcher.stage_in_force()
        await transport.close()
        assert stage.shares["dairy"] == share / WHOLE

    VirtualLoop().run_until_complete(run())  # type: ignore[abstract]
