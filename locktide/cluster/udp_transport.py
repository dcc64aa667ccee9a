"""The agent on a UDP socket, joined to a node as a part: bytes and timers, nothing is decided here."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from ipaddress import ip_address
from typing import Any, Protocol, TextIO

from locktide.cluster.config import ClusterConfig
from locktide.cluster.inspection import inspect
from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.swim import Outgoing
from locktide.cluster.messages import Envelope, InspectionPage, InspectionRequest, decode, encode
from locktide.cluster.quota.allocation import WHOLE
from locktide.scheduler.events import ConfigReloaded, QuotaSharesUpdated, QuotaStage, RequestArrived

PAGE = 900  # bytes of what is shown, to a datagram
# Who holds too much is told anew with each change; where no news comes for so long nobody does.
OVER_FOR = 5_000_000
SMALLEST_WAIT = 0.001  # seconds; a due moment that has gone by does not spin


class Log(Protocol):
    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None: ...


class EventSource(Protocol):
    """What the part asks of a node: to be told of news, and to hear the news that it gets."""

    observers: list[Callable[[Any], None]]

    @property
    def clock(self) -> Any: ...

    def enqueue_event(self, piece: Any) -> None: ...


class UdpTransport(asyncio.DatagramProtocol):
    """Times are those of the loop's clock, which is the machine's monotonic one, in whole microseconds."""

    transport: asyncio.DatagramTransport

    def __init__(
        self, terms: ClusterConfig, log: Log, node: EventSource | None, trace: TextIO | None = None
    ) -> None:
        self.trace = trace  # where each change of what is in force goes, with its moment
        self.loop, self.config, self.log, self.event_source = asyncio.get_running_loop(), terms, log, node
        self.member = ClusterMember(terms, self.now())
        self.timer: asyncio.TimerHandle | None = None
        self.rejected_datagrams = 0  # datagrams of which nothing was believed
        self.quota_names = {budget.name for budget in terms.quotas}
        self.logged_loans: list[tuple[str, str]] = []
        self.logged_over_share: frozenset[str] = frozenset()
        if node is not None:
            node.observers.append(self.on_event)

    def now(self) -> int:
        return int(self.loop.time() * 1e6)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.report_quotas()
        self.schedule_wakeup()

    def datagram_received(self, data: bytes, source: Any) -> None:
        said = decode(data)
        if said is None:
            self.rejected_datagrams += 1
        elif isinstance(said.message, InspectionRequest):
            self.answer_inspection(said.message, source)
        else:
            self.send_and_report(self.member.handle(said, self.now()))  # the clock is read after the datagram

    def error_received(self, trouble: Exception) -> None:
        pass  # nobody listens there any more: it will be missed

    def on_timer(self) -> None:
        self.send_and_report(self.member.tick(self.now()))

    def schedule_wakeup(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        at = max(self.member.next_wakeup / 1e6, self.loop.time() + SMALLEST_WAIT)
        self.timer = self.loop.call_at(at, self.on_timer)

    def send_and_report(self, sends: Outgoing) -> None:
        for address, word in sends:
            self.transport.sendto(encode(self.config.member_id, word), address)
        if self.member.update.quotas_changed:
            self.report_quotas()
        for what, row in self.member.update.events:
            at = f"{row.address[0]}:{row.address[1]}"
            line = f"accord: {row.name} at {at} is {what}"
            if what == "replaced":
                line = f"accord: a second process under our name at {at}; we step down"
            self.log.emit(
                line, "accord", event=f"accord-{what}", member=row.name, start=row.generation, at=at
            )
        self.schedule_wakeup()

    def report_quotas(self) -> None:
        """What is in force from now on, and until when."""
        purse = self.member.local_quota
        shown = ", ".join(f"{name} {part / 1e4:.1f}%" for name, part in purse.shares.items())
        self.log.emit(f"accord: in force {shown}", "accord", event="accord-parts", parts=dict(purse.shares))
        self.log_loans_and_fairness()
        self.emit_quota_shares()
        if self.trace is not None:
            told = {
                "at": self.now(),
                "parts": purse.shares,
                "until": purse.shares_until,
                "floor": purse.guaranteed_minimum,
                "loans": [[*pair, part] for pair, part in purse.loans.items()],
                "loans_until": purse.loans_until,
            }
            print(json.dumps(told), file=self.trace, flush=True)

    def log_loans_and_fairness(self) -> None:
        """Loans and who holds too much, once each time that changes."""
        lent = sorted(self.member.local_quota.loans)
        if lent != self.logged_loans:
            self.logged_loans = lent
            shown = ", ".join(
                f"{part / 1e4:.1f}% of {owner} for {borrower}"
                for (owner, borrower), part in sorted(self.member.local_quota.loans.items())
            )
            self.log.emit(f"accord: borrowed {shown or 'nothing'}", "accord", event="accord-lent", loans=lent)
        if self.member.tenants_over_share != self.logged_over_share:
            self.logged_over_share, over = (
                self.member.tenants_over_share,
                sorted(self.member.tenants_over_share),
            )
            line = f"accord: beyond their fair shares: {', '.join(over) or 'nobody'}"
            self.log.emit(line, "accord", event="accord-over", over=over)

    # --- the node

    def emit_quota_shares(self) -> None:
        """The parts that the decisions go by, and on their clock until when."""
        if self.event_source is None:
            return
        purse, now, there = self.member.local_quota, self.now(), self.event_source.clock.now()
        # What is held from now on by this loop's clock, on the decisions' one; they differ by a constant.
        until = there + max(0, purse.shares_until - now)
        parts = {name: part / WHOLE for name, part in purse.shares.items()}
        stages = [
            QuotaStage(until, parts),
            QuotaStage(1 << 62, dict.fromkeys(parts, purse.guaranteed_minimum / WHOLE)),
        ]
        if purse.loans:
            lent: dict[str, float] = {}
            for (owner, borrower), part in purse.loans.items():
                rates = purse.specs[owner].rate, purse.specs[borrower].rate
                if rates[1]:
                    lent[borrower] = lent.get(borrower, 0.0) + part / WHOLE * rates[0] / rates[1]
            stages.insert(0, QuotaStage(min(until, there + max(0, purse.loans_until - now)), parts, lent))
        self.event_source.enqueue_event(
            QuotaSharesUpdated(stages, self.member.tenants_over_share, there + OVER_FOR)
        )

    def on_event(self, piece: Any) -> None:
        """News and orders of the node: what clients ask for is the demand that the division follows, and
        what they hold of the fleet goes into the ledger.
        """
        if type(piece) is ConfigReloaded:
            self.loop.call_soon(self.emit_quota_shares)  # which made a new reckoning of shares
            return
        if (ledger := self.member.ledger) is not None:
            ledger.usage.observe(piece)
        if type(piece) is RequestArrived and piece.tenant in self.quota_names:
            due = self.member.next_wakeup
            self.member.spend(piece.tenant, self.now())
            if self.member.next_wakeup < due:
                self.schedule_wakeup()  # its owner has come back: that is told at once

    # --- a look from outside

    def answer_inspection(self, word: InspectionRequest, source: Any) -> None:
        """On loopback only: what members see is nobody else's."""
        if not ip_address(source[0]).is_loopback:
            return
        told = json.dumps(inspect(self.member, self.now()) | {"refused_datagrams": self.rejected_datagrams})
        pages = [told[place : place + PAGE] for place in range(0, len(told), PAGE)]
        for place, text in enumerate(pages):
            self.transport.sendto(
                encode(self.config.member_id, InspectionPage(word.request_id, place, len(pages), text)),
                source,
            )

    async def close(self) -> None:
        """A clean end: gives back what it holds and says that it goes."""
        for address, word in self.member.leave(self.now()):
            self.transport.sendto(encode(self.config.member_id, word), address)
        if self.timer is not None:
            self.timer.cancel()
        if self.event_source is not None:
            self.event_source.observers.remove(self.on_event)
        if self.trace is not None:
            self.trace.close()
        await asyncio.sleep(0)
        self.transport.close()


async def open_udp_transport(
    terms: ClusterConfig,
    log: Log,
    node: EventSource | None,
    listen: tuple[str, int],
    trace: TextIO | None = None,
) -> UdpTransport:
    """Raises OSError where the address cannot be had: most likely somebody of our name has it."""
    loop = asyncio.get_running_loop()
    _, driver = await loop.create_datagram_endpoint(
        lambda: UdpTransport(terms, log, node, trace), local_addr=listen
    )
    return driver


async def inspect_member(address: tuple[str, int], within: float = 1.0) -> dict[str, Any]:
    """What the member at that address sees; raises OSError, TimeoutError or ValueError."""
    loop = asyncio.get_running_loop()
    pages: dict[int, str] = {}
    whole: asyncio.Future[str] = loop.create_future()

    class Looking(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, source: Any) -> None:
            said: Envelope | None = decode(data)
            if said is not None and isinstance(said.message, InspectionPage) and not whole.done():
                pages[said.message.page_index] = said.message.text
                if len(pages) == said.message.page_count:
                    whole.set_result("".join(pages[page] for page in sorted(pages)))

        def error_received(self, trouble: Exception) -> None:
            if not whole.done():
                whole.set_exception(trouble)

    transport, _ = await loop.create_datagram_endpoint(Looking, remote_addr=address)
    try:
        transport.sendto(encode(("", 0), InspectionRequest(1)))
        told: dict[str, Any] = json.loads(await asyncio.wait_for(whole, within))
        return told
    finally:
        transport.close()
