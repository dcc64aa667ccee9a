"""Runs a cluster member on a UDP socket: it handles datagrams and timers, and makes no decisions."""

from __future__ import annotations

import asyncio
import json
from ipaddress import ip_address
from typing import TextIO, cast

from locktide.cluster.config import ClusterConfig
from locktide.cluster.dispatcher_link import DispatcherLink, EventSource
from locktide.cluster.inspection import inspect
from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.swim import Outgoing
from locktide.cluster.membership.view import Address
from locktide.cluster.messages import InspectionPage, InspectionRequest, decode, encode
from locktide.cluster.reporting import Log, Reporter

#: ASCII characters in one page of an inspection: with the rest of the message a page fits one datagram.
INSPECTION_PAGE_LENGTH = 900
#: Shortest time to the next wakeup, in seconds, so that an overdue wakeup does not make the loop spin.
MIN_TIMER_SECONDS = 0.001
MICROSECONDS_PER_SECOND = 1e6


class UdpTransport(asyncio.DatagramProtocol):
    """Runs one member by the clock of the event loop, which is the machine's monotonic clock.

    Attributes:
        transport: the socket.
        loop: the event loop.
        config: the configuration of the member.
        member: the member.
        timer: calls the member at its next wakeup.
        rejected_datagrams: datagrams that could not be decoded.
        reporter: writes changes to the log and the trace.
        link: connects the member to its dispatcher; None for a member without a dispatcher.
    """

    transport: asyncio.DatagramTransport

    def __init__(
        self, config: ClusterConfig, log: Log, event_source: EventSource | None, trace: TextIO | None = None
    ) -> None:
        """`event_source` is the dispatcher, if any; `trace` receives each change of the quotas in force."""
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.member = ClusterMember(config, self.now())
        self.timer: asyncio.TimerHandle | None = None
        self.rejected_datagrams = 0
        self.reporter = Reporter(self.member, log, trace)
        self.link: DispatcherLink | None = None
        if event_source is not None:
            self.link = DispatcherLink(event_source, self.member, self)
            self.link.attach()

    def now(self) -> int:
        """Return the time of the member's clock in whole microseconds."""
        return int(self.loop.time() * MICROSECONDS_PER_SECOND)

    # --- socket and timer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start running the member."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.report_quotas()
        self.schedule_wakeup()

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Hand a datagram to the member, or answer an inspection."""
        envelope = decode(data)
        if envelope is None:
            self.rejected_datagrams += 1
        elif isinstance(envelope.message, InspectionRequest):
            self.answer_inspection(envelope.message, address)
        else:
            self.send_and_report(self.member.handle(envelope, self.now()))

    def error_received(self, _: Exception) -> None:
        """Ignore that nobody listens at an address any more: failure detection notices the dead member."""

    def on_timer(self) -> None:
        """Call the member at its wakeup."""
        self.send_and_report(self.member.tick(self.now()))

    def schedule_wakeup(self) -> None:
        """Set the timer to the member's next wakeup."""
        if self.timer is not None:
            self.timer.cancel()
        wakeup = max(self.member.next_wakeup / MICROSECONDS_PER_SECOND, self.loop.time() + MIN_TIMER_SECONDS)
        self.timer = self.loop.call_at(wakeup, self.on_timer)

    def send_and_report(self, outgoing: Outgoing) -> None:
        """Send messages, report the changes made by the member's last call, and set the timer."""
        self.send(outgoing)
        if self.member.update.quotas_changed:
            self.report_quotas()
        elif self.member.update.leases_renewed:
            self.report_renewal()
        elif self.link is not None:
            self.link.refresh_over_share()
        for event in self.member.update.events:
            self.reporter.report_event(event)
        self.schedule_wakeup()

    def send(self, outgoing: Outgoing) -> None:
        """Send messages."""
        for address, message in outgoing:
            self.transport.sendto(encode(self.config.member_id, message), address)

    def report_quotas(self) -> None:
        """Report the quotas in force to the log, the trace and the scheduler."""
        self.reporter.report_quotas(self.now())
        if self.link is not None:
            self.link.emit_quota_shares()

    def report_renewal(self) -> None:
        """Report the new expiry of leases whose shares have not changed, to the trace and the scheduler.

        If the scheduler were notified of changed shares only, it would fall back to the guaranteed minimum at
        the last expiry that it knows of, although the lease was renewed
        (tests/cluster/test_dispatcher_link.py).
        """
        self.reporter.trace_quotas(self.now())
        if self.link is not None:
            self.link.emit_quota_shares()

    # --- inspection, and the end

    def answer_inspection(self, request: InspectionRequest, address: Address) -> None:
        """Send the member's view in pages, only to a client on loopback: other machines must not read it."""
        if not ip_address(address[0]).is_loopback:
            return
        view = inspect(self.member, self.now()) | {"refused_datagrams": self.rejected_datagrams}
        text = json.dumps(view)
        page_starts = range(0, len(text), INSPECTION_PAGE_LENGTH)
        pages = [text[start : start + INSPECTION_PAGE_LENGTH] for start in page_starts]
        for index, page in enumerate(pages):
            message = InspectionPage(
                request_id=request.request_id, page_index=index, page_count=len(pages), text=page
            )
            self.transport.sendto(encode(self.config.member_id, message), address)

    async def close(self) -> None:
        """Leave the cluster cleanly, and close the socket."""
        self.send(self.member.leave(self.now()))
        if self.timer is not None:
            self.timer.cancel()
        if self.link is not None:
            self.link.detach()
        self.reporter.close()
        await asyncio.sleep(0)
        self.transport.close()


async def open_udp_transport(
    config: ClusterConfig,
    log: Log,
    event_source: EventSource | None,
    listen: Address,
    trace: TextIO | None = None,
) -> UdpTransport:
    """Open the socket, and run a member on it.

    Raises:
        OSError: the address cannot be bound; most likely another process of the same name uses it.
    """
    loop = asyncio.get_running_loop()
    _, transport = await loop.create_datagram_endpoint(
        lambda: UdpTransport(config, log, event_source, trace), local_addr=listen
    )
    return transport
