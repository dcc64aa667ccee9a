"""Runs a cluster member on a UDP socket: bytes and timers; nothing is decided here."""

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

#: Characters of ASCII in one page of an inspection: with the rest of the message it fits one datagram.
INSPECTION_PAGE_LENGTH = 900
#: Least time to the next wakeup, in seconds: one that is overdue must not spin.
MIN_TIMER_SECONDS = 0.001
MICROSECONDS_PER_SECOND = 1e6


class UdpTransport(asyncio.DatagramProtocol):
    """Runs one member, by the loop's clock, which is the machine's monotonic one.

    Attributes:
        transport: the socket.
        loop: the event loop.
        config: the configuration of the member.
        member: the member.
        timer: calls the member at its next wakeup.
        rejected_datagrams: datagrams that could not be decoded.
        reporter: writes changes to the log and the trace.
        link: connects the member to its dispatcher; None for a member without one.
    """

    transport: asyncio.DatagramTransport

    def __init__(
        self, config: ClusterConfig, log: Log, event_source: EventSource | None, trace: TextIO | None = None
    ) -> None:
        """`event_source` is the dispatcher, if any; `trace` gets each change of the quotas in force."""
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
        """Begin to run the member."""
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
        """Ignore that nobody listens at an address any more: failure detection finds it."""

    def on_timer(self) -> None:
        """Wake the member."""
        self.send_and_report(self.member.tick(self.now()))

    def schedule_wakeup(self) -> None:
        """Set the timer to the member's next wakeup."""
        if self.timer is not None:
            self.timer.cancel()
        wakeup = max(self.member.next_wakeup / MICROSECONDS_PER_SECOND, self.loop.time() + MIN_TIMER_SECONDS)
        self.timer = self.loop.call_at(wakeup, self.on_timer)

    def send_and_report(self, outgoing: Outgoing) -> None:
        """Send messages, report what the member's last call has changed, and set the timer."""
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
        """Report the new end of leases that are as before, where it is taken for their end otherwise.

        Notified of changes only, the scheduler fell back to the guaranteed minimum at the end that it knew
        of, while the lease was renewed (tests/cluster/test_dispatcher_link.py).
        """
        self.reporter.trace_quotas(self.now())
        if self.link is not None:
            self.link.emit_quota_shares()

    # --- inspection, and the end

    def answer_inspection(self, request: InspectionRequest, address: Address) -> None:
        """Send the member's view in pages; on loopback only, as it is no other machine's business."""
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
        OSError: the address cannot be bound; most likely another process of the same name has it.
    """
    loop = asyncio.get_running_loop()
    _, transport = await loop.create_datagram_endpoint(
        lambda: UdpTransport(config, log, event_source, trace), local_addr=listen
    )
    return transport
