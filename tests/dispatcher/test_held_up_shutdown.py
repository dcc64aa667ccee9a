"""A shutdown of a dispatcher that is held up: what clients see until the earliest kill, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import pytest
from helpers import scheduler_config, submit_bytes
from rig import DISPATCHER_ADDRESS, ONE_WAY_DELAY, Peer, Rig

from locktide.config import start
from locktide.dispatcher import shutdown
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.protocol import discovery
from locktide.simulation.virtual_time.process import VirtualProcess
from locktide.transport.descriptor_budget import run_pending_reads
from locktide.transport.log import Log

#: Seconds after SIGTERM at which the platform kills at the earliest: the longest timeout, which is over 3 s
#: here, counts as 3 s, and 0.7 s are added.
EARLIEST_KILL = 3.7
#: A request sent more than this many seconds after SIGTERM must have its response before the kill.
LATE_REQUESTS_AFTER = 0.7
#: Seconds for which the platform's terms allow a dispatcher to be held up.
ALLOWED_HOLD = 0.15
#: Seconds from the start of the dispatcher to SIGTERM, and half of the time between two of its beats.
SERVING_TIME, HALF_BEAT = 2.0, 0.025
#: Seconds after SIGTERM at which the clients send; at the last ones the limit of the shutdown is near.
SENDING_TIMES = (0.72, 0.9, 1.4, 1.9, 2.4)


@dataclass(frozen=True)
class Hold:
    """A time without processor.

    Attributes:
        begins_at: When it begins, in seconds after SIGTERM; negative before it.
        duration: Its duration in seconds.
    """

    begins_at: float
    duration: float


class ConnectionKind(Enum):
    """What a client's connection has gone through when the client sends the last byte of its request."""

    OPENED_BEFORE = "opened before SIGTERM and silent since"
    OPENED_AFTER = "opened after SIGTERM and silent since"
    HALF_SENT = "half of the request was sent before SIGTERM"


#: Seconds after SIGTERM at which each kind of connection is opened.
OPENING_TIMES = {
    ConnectionKind.OPENED_BEFORE: -0.1,
    ConnectionKind.OPENED_AFTER: 0.39,
    ConnectionKind.HALF_SENT: -0.1,
}


@dataclass(eq=False)
class LateClient:
    """A client that sends one request after SIGTERM.

    Attributes:
        kind: The kind of its connection.
        sends_at: When it sends the last byte, in seconds after SIGTERM.
        sent_at: When it did so, by the event loop; None if its connection had ended before.
        ended_at: When it saw the end of its connection; None before.
        peer: Its connection.
    """

    kind: ConnectionKind
    sends_at: float
    sent_at: float | None = None
    ended_at: float | None = None
    peer: Peer = field(init=False)

    def __post_init__(self) -> None:
        self.peer = Peer(self._note_end)

    def _note_end(self, peer: Peer) -> None:
        if peer.ending and self.ended_at is None:
            self.ended_at = asyncio.get_running_loop().time()

    async def run(self, signalled_at: float, number: int) -> None:
        """Open the connection and send the request."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(signalled_at + OPENING_TIMES[self.kind] - loop.time())
        await loop.create_connection(lambda: self.peer, *DISPATCHER_ADDRESS)
        request = submit_bytes("/record", Req_Id=f"late{number}", Req_Deadline="25000m", Idempotency_Key="k")
        if self.kind is ConnectionKind.HALF_SENT:
            half = len(request) // 2
            self.peer.transport.write(request[:half])
            request = request[half:]
        await asyncio.sleep(signalled_at + self.sends_at - loop.time())
        if not self.peer.ending:
            self.sent_at = loop.time()
            self.peer.transport.write(request)

    def is_lost(self) -> bool:
        """Return whether the request was sent and its connection has not brought a response.

        A request that crosses the end of its connection is not lost, as the platform's terms say: the
        dispatcher had ended the connection before the request arrived, and its client sends it elsewhere.
        """
        if self.sent_at is None or self.sends_at <= LATE_REQUESTS_AFTER:
            return False
        crosses = self.ended_at is not None and self.ended_at < self.sent_at + 2 * ONE_WAY_DELAY
        return not crosses and not self.peer.buffer.startswith(b"HTTP/1.1 ")


def take_jobs(peer: Peer) -> None:
    """Accept every job, as a worker that never finishes one; confirm cancellations."""
    while b"\r\n\r\n" in peer.buffer:
        head, peer.buffer = peer.buffer.split(b"\r\n\r\n", 1)
        is_job = head.startswith(b"POST")
        peer.transport.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % (b"202 A" if is_job else b"204 N"))


class HeldUpShutdown:
    """Plays one shutdown with holds, and its kill at the earliest moment."""

    def __init__(self, holds: list[Hold], clients: list[LateClient]) -> None:
        self.rig = Rig()
        self.holds = holds
        self.clients = clients
        self.process = VirtualProcess("d", DISPATCHER_ADDRESS[0])
        self.stop = asyncio.Event()

    def play(self) -> list[LateClient]:
        """Play the shutdown and return the clients whose requests are lost."""
        loop = self.rig.loop
        try:
            loop.run_until_complete(self._run())
            lost = [client for client in self.clients if client.is_lost()]
            loop.run_until_complete(self.process.clear_away())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(2.0))
            self.process.drop()
            loop.close()
        assert any(client.sent_at is not None for client in self.clients), "no request was sent"
        return lost

    async def _run(self) -> None:
        loop = self.rig.loop
        self._open_peers()
        loop.create_task(self._run_dispatcher(), context=self.process.context())
        signalled_at = SERVING_TIME + HALF_BEAT
        for hold in self.holds:
            loop.call_at(signalled_at + hold.begins_at, self._hold_up, hold.duration)
        for number, client in enumerate(self.clients):
            loop.create_task(client.run(signalled_at, number))
        await asyncio.sleep(signalled_at)
        loop.deliver_signal(self.process, self._handle_sigterm)
        await asyncio.sleep(EARLIEST_KILL)
        self.rig.network.kill(self.process)

    def _open_peers(self) -> None:
        self.rig.network.listen(lambda: Peer(self.rig.handle_discovery), "agent", 1)
        for name in self.rig.states:
            self.rig.network.listen(lambda: Peer(take_jobs), name, 1)

    async def _run_dispatcher(self) -> None:
        config = scheduler_config(3, 1, False, 0.4)
        start_config = start.Start(
            "d", DISPATCHER_ADDRESS, ("agent", 1), 7, 100, 80 << 20, {}, 250_000, 30_000_000, config
        )
        update = discovery.DiscoveryUpdate(0, True, [], {})
        self.dispatcher = Dispatcher(start_config, update, Log("d"), self.rig)
        await self.dispatcher.run(self.stop)

    def _hold_up(self, duration: float) -> None:
        self.process.held_until = self.rig.loop.time() + duration

    def _handle_sigterm(self) -> None:
        self.dispatcher.shutdown.note_signal()
        self.stop.set()


def late_clients() -> list[LateClient]:
    """Return a client of each kind for each sending time."""
    return [
        LateClient(kind, at)
        for kind in ConnectionKind
        for at in SENDING_TIMES
        if at - OPENING_TIMES[kind] < 2.0  # a silent connection is ended after 2 s
    ]


def describe(lost: list[LateClient]) -> list[str]:
    return [f"{client.kind.value}, sent after {client.sends_at} s" for client in lost]


@pytest.mark.parametrize("begins_at", [3.2, 3.3, 3.4, 3.45, 3.5, 3.549, 3.6])
def test_hold_before_the_kill_leaves_no_late_request_without_a_response(begins_at: float) -> None:
    """A dispatcher was held up for 0.1 s right before the earliest kill, and ten of twelve requests that had
    come 0.9 s to 1.8 s after SIGTERM had no response: they were due 0.08 s before the kill.
    """
    assert describe(HeldUpShutdown([Hold(begins_at, ALLOWED_HOLD)], late_clients()).play()) == []


@pytest.mark.parametrize(
    "hold", [Hold(-0.01, 0.14), Hold(-0.14, ALLOWED_HOLD), Hold(-0.2, 0.5), Hold(-0.05, 0.6), Hold(-0.1, 0.9)]
)
def test_hold_at_sigterm_leaves_no_late_request_without_a_response(hold: Hold) -> None:
    """A dispatcher that got no processor as SIGTERM came counted the time until its kill from the end of the
    hold: its limit for new requests lay past the kill, or was not set yet when they were read.
    """
    assert describe(HeldUpShutdown([hold], late_clients()).play()) == []


@pytest.mark.parametrize("hold", [Hold(0.3, 0.3), Hold(0.45, ALLOWED_HOLD), Hold(0.4, 0.9), Hold(0.49, 1.5)])
def test_hold_before_the_limit_is_in_force_leaves_no_late_request_without_a_response(hold: Hold) -> None:
    """A hold covers the moment from which new requests are limited, and requests arrive during the hold.

    They must be limited although no code ran at that moment.
    """
    assert describe(HeldUpShutdown([hold], late_clients()).play()) == []


@pytest.mark.parametrize("begins_at", [2.9, 3.0, 3.1, 3.19])
@pytest.mark.parametrize("at_signal", [Hold(-0.01, ALLOWED_HOLD), Hold(-0.2, 0.5)])
def test_holds_at_sigterm_and_before_the_kill_leave_no_late_request_without_a_response(
    at_signal: Hold, begins_at: float
) -> None:
    """Both holds are allowed for together, and a hold as long as one that was seen shortly before, too."""
    holds = [at_signal, Hold(begins_at, at_signal.duration)]
    assert describe(HeldUpShutdown(holds, late_clients()).play()) == []


def test_late_requests_are_given_most_of_the_time_until_the_kill() -> None:
    """Check that the tests above are not passed by rejecting every late request at once."""
    clients = [LateClient(ConnectionKind.OPENED_AFTER, at) for at in (0.9, 1.4, 1.9)]
    play = HeldUpShutdown([], clients)
    deadlines: list[float] = []

    async def record_deadlines() -> None:
        await asyncio.sleep(SERVING_TIME + HALF_BEAT + 3.0)
        requests = play.dispatcher.registry.open_requests.values()
        deadlines.extend(play.dispatcher.clock.to_loop_time(request.deadline) for request in requests)

    play.rig.loop.create_task(record_deadlines())
    assert play.play() == []
    assert len(deadlines) == len(clients)
    assert min(deadlines) > SERVING_TIME + EARLIEST_KILL - 0.4


def test_hold_before_the_last_check_leaves_no_new_connection_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dispatcher without other work read its connections, was held up, and then saw by its clock that no
    more would come: a client that had connected meanwhile lost its request.
    """
    client = LateClient(ConnectionKind.OPENED_AFTER, OPENING_TIMES[ConnectionKind.OPENED_AFTER])
    play = HeldUpShutdown([], [client])
    loop = play.rig.loop
    connects_at = SERVING_TIME + HALF_BEAT + client.sends_at

    async def read_and_hold() -> None:
        is_last_before_connect = connects_at - shutdown.CHECK_INTERVAL <= loop.now < connects_at
        await run_pending_reads()
        if is_last_before_connect:
            loop.now += ALLOWED_HOLD

    monkeypatch.setattr(shutdown, "run_pending_reads", read_and_hold)
    assert play.play() == []
    assert client.peer.buffer.startswith(b"HTTP/1.1 ")


def draw_shutdown(seed: int) -> tuple[list[Hold], list[LateClient]]:
    """Return holds of the allowed duration with a pause after each, and clients that send at any moment."""
    random = Random(f"shutdown {seed}")
    holds = []
    begins_at = random.uniform(-1.0, 1.0)
    while begins_at < EARLIEST_KILL:
        holds.append(Hold(begins_at, random.uniform(0.01, ALLOWED_HOLD)))
        begins_at += holds[-1].duration + random.uniform(0.02, 1.5)
    kinds = random.choices(list(ConnectionKind), k=10)
    return holds, [LateClient(kind, random.uniform(0.71, 2.4)) for kind in kinds]


@pytest.mark.parametrize("seed", range(30))
def test_drawn_holds_leave_no_late_request_without_a_response(seed: int) -> None:
    assert describe(HeldUpShutdown(*draw_shutdown(seed)).play()) == []


def test_the_oracle_sees_a_hold_that_nobody_can_foresee() -> None:
    """Check that the tests above can fail: a first hold that lasts until the kill loses what is open."""
    assert describe(HeldUpShutdown([Hold(3.0, 0.8)], late_clients()).play()) != []
