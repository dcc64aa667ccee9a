"""One side of a connection in virtual time: an ordered byte stream with delays, cuts, ends and resets."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.process import PROCESS, VirtualProcess
from locktide.simulation.virtual_time.socket_info import VirtualSocket


class LinkModel(Protocol):
    """How the network behaves between two addresses; spans in microseconds."""

    def delay(self, source: str, target: str) -> int: ...

    def split(self, size: int) -> int:
        """Return the byte at which a write is split in two, 0 for none."""

    def carried(self, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]: ...

    def cut(self, source: str, target: str) -> bool: ...


class StreamNetwork(Protocol):
    """The network, as the sides of its connections see it.

    Attributes:
        loop: The loop.
        links: How the network behaves between two addresses.
        context: The context in which bytes travel: of no process, as they outlive their sender.
        ends: All open sides of connections.
        split_count: Number of writes that were split in two.
    """

    loop: VirtualLoop
    links: LinkModel
    context: contextvars.Context
    ends: dict[VirtualTransport, None]
    split_count: int


class VirtualTransport(asyncio.Transport):
    """One side of a connection."""

    def __init__(
        self, net: StreamNetwork, here: str, there: str, port: int, process: VirtualProcess | None
    ) -> None:
        super().__init__()
        self.net, self.here, self.there, self.process = net, here, there, process
        self.peer_address = (there, port)
        self.peer: VirtualTransport
        self.protocol: Any = None
        self.context: contextvars.Context | None = None
        self.sent_until = 0.0  # arrival of the last data; later data does not overtake it
        self.data_at: float = net.loop.time()  # when data was last received; at first, when it was opened
        self.held: list[tuple[Callable[..., None], Any]] = []  # sent over a cut link
        self.unread: deque[Any] = deque()  # received, but not read; None is the end of the stream
        self.paused = self.closing = self.lost = self.ended = False
        net.ends[self] = None

    # --- transport interface

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        info = {"peername": self.peer_address, "sockname": (self.here, 0), "socket": VirtualSocket(self)}
        return info.get(name, default)

    def time_since_data(self) -> float:
        return self.net.loop.time() - self.data_at

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass  # the emulated kernel accepts all data at once

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return not self.paused

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        if self.unread:
            self.net.loop.call_soon(self.deliver_unread, context=self.context)

    def can_write_eof(self) -> bool:
        return True

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol  # type: ignore[no-any-return]

    def write(self, data: Any) -> None:
        if self.closing or self.ended or not data:
            return
        data = bytes(data)
        split_at = self.net.links.split(len(data))
        if split_at:
            self.net.split_count += 1
            self.send(self.peer.receive, data[:split_at])
            data = data[split_at:]
        self.send(self.peer.receive, data)

    def writelines(self, pieces: Any) -> None:
        self.write(b"".join(bytes(piece) for piece in pieces))

    def write_eof(self) -> None:
        if not self.ended and not self.closing:
            self.ended = True
            self.send(self.peer.receive, None)

    def close(self) -> None:
        if not self.closing:
            self.write_eof()
            self.closing = True
            self.net.loop.call_soon(self.lose, None, context=self.net.context)

    def abort(self) -> None:
        self.close()

    def reset(self) -> None:
        """End the connection with a reset, as the kernel does when its process crashes."""
        if not self.lost:
            self.closing = self.ended = True
            self.send(self.peer.lose, ConnectionResetError(104, "reset by the other side"))
            self.net.loop.call_soon(self.lose, None, context=self.net.context)

    # --- transfer of bytes

    def send(self, action: Callable[..., None], value: Any) -> None:
        if self.net.links.cut(self.here, self.there):
            self.held.append((action, value))
            return
        due = self.net.loop.time() + self.net.links.delay(self.here, self.there) / 1e6
        self.sent_until = max(self.sent_until, due)
        self.net.loop.call_at(self.sent_until, action, value, context=self.net.context)

    def send_held(self) -> None:
        """Send what was held back by a cut link."""
        held, self.held = self.held, []
        for action, value in held:
            self.send(action, value)

    def receive(self, data: bytes | None) -> None:
        if self.lost or self.closing:
            # The data can no longer be read: the sender gets a reset.
            if data is not None and not self.peer.lost and not self.peer.closing:
                self.send(self.peer.lose, ConnectionResetError(104, "reset by the other side"))
            return
        if data is not None:
            self.data_at = self.net.loop.time()
        self.unread.append(data)
        if self.protocol is not None and len(self.unread) == 1:
            self.net.loop.call_soon(self.deliver_unread, context=self.context)

    def deliver_unread(self) -> None:
        while self.unread and not self.paused and not self.lost and not self.closing:
            data = self.unread.popleft()
            if data is None:
                if not self.protocol.eof_received():
                    self.close()
            elif isinstance(self.protocol, asyncio.BufferedProtocol):
                self.fill(data)
            else:
                self.protocol.data_received(data)

    def fill(self, data: bytes) -> None:
        buffer = self.protocol.get_buffer(-1)
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        if size < len(data):
            self.unread.appendleft(data[size:])
        self.protocol.buffer_updated(size)

    def begin(self, protocol: Any, context: contextvars.Context) -> None:
        self.protocol, self.context = protocol, context
        self.process = context.get(PROCESS)
        loop = self.net.loop
        if self.lost:
            loop.call_soon(self.notify_lost, ConnectionResetError(104, "reset"), context=context)
            return
        loop.call_soon(protocol.connection_made, self, context=context)
        if self.unread:
            loop.call_soon(self.deliver_unread, context=context)

    def lose(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost = self.closing = True
        self.unread.clear()
        self.net.ends.pop(self, None)
        if self.protocol is not None:
            self.net.loop.call_soon(self.notify_lost, error, context=self.context)

    def notify_lost(self, error: Exception | None) -> None:
        self.protocol.connection_lost(error)
