"""Loopback connections with the delays of the emulated link, added at our end in both directions."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.model.network import Machine, NetworkLinks

# Microseconds; a shorter delay is skipped, as loopback and one turn of the event loop take about as long.
MIN_DELAY = 600


class LatencySource(Protocol):
    links: NetworkLinks
    directions: dict[DelayedDirection, None]


class DelayedDirection:
    """One direction of a connection: pieces arrive in order after their delays, and wait at a cut link."""

    def __init__(self, host: LatencySource, source: Machine, target: Machine) -> None:
        self.host, self.source, self.target = host, source, target
        self.loop = asyncio.get_running_loop()
        self.last_due = 0.0
        # Pieces whose timers are set. A timer only says that the next piece is due, not which one: the event
        # loop keeps no order among timers of one time, and an end of stream that overtook its data looked
        # like a truncated response.
        self.in_transit: deque[tuple[Callable[..., None], Any]] = deque()
        self.held: list[tuple[Callable[..., None], Any]] = []
        host.directions[self] = None

    def push(self, callback: Callable[..., None], *args: Any) -> None:
        if self.held or self.host.links.cut(self.source, self.target):
            self.held.append((callback, args))
            return
        delay = self.host.links.delay(self.source, self.target)
        if delay < MIN_DELAY and not self.in_transit:
            callback(*args)
            return
        self.last_due = max(self.last_due, self.loop.time() + delay / 1e6)
        self.in_transit.append((callback, args))
        self.loop.call_at(self.last_due, self.arrive)

    def arrive(self) -> None:
        callback, args = self.in_transit.popleft()
        callback(*args)

    def links_restored(self) -> None:
        if self.held and not self.host.links.cut(self.source, self.target):
            held, self.held = self.held, []
            for callback, args in held:
                self.push(callback, *args)

    def end(self) -> None:
        self.host.directions.pop(self, None)


class DelayedProtocol(asyncio.Protocol):
    """Delays the data between a real connection and the inner protocol."""

    real: asyncio.Transport

    def __init__(self, host: LatencySource, here: Machine, there: Machine, inner: Any) -> None:
        self.inner = inner
        self.incoming, self.outgoing = (
            DelayedDirection(host, there, here),
            DelayedDirection(host, here, there),
        )
        self.facade = DelayedTransport(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.real = transport  # type: ignore[assignment]
        self.inner.connection_made(self.facade)

    def data_received(self, data: bytes) -> None:
        self.incoming.push(self.hand_over, data)

    def hand_over(self, data: bytes) -> None:
        if not self.facade.closing:
            self.inner.data_received(data)

    def eof_received(self) -> bool:
        self.incoming.push(self.end_of_stream)
        return True

    def end_of_stream(self) -> None:
        if not self.facade.closing and not self.inner.eof_received():
            self.facade.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.facade.closing:
            self.lost(error)
        else:
            self.incoming.push(self.lost, error)

    def lost(self, error: Exception | None) -> None:
        self.incoming.end()
        self.outgoing.end()
        self.facade.closing = True
        self.inner.connection_lost(error)


class DelayedTransport(asyncio.Transport):
    """The transport that the inner protocol sees."""

    def __init__(self, protocol: DelayedProtocol) -> None:
        super().__init__()
        self.protocol, self.closing = protocol, False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.protocol.real.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return self.protocol.real.is_reading()

    def pause_reading(self) -> None:
        self.protocol.real.pause_reading()

    def resume_reading(self) -> None:
        self.protocol.real.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol.inner = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol.inner  # type: ignore[no-any-return]

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:
        if not self.closing:
            self.protocol.outgoing.push(self.protocol.real.write, bytes(data))

    def writelines(self, pieces: Any) -> None:
        self.write(b"".join(bytes(piece) for piece in pieces))

    def write_eof(self) -> None:
        if not self.closing:
            self.protocol.outgoing.push(self.finish)

    def finish(self) -> None:
        if not self.protocol.real.is_closing():
            self.protocol.real.write_eof()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.protocol.outgoing.push(self.protocol.real.close)

    def abort(self) -> None:
        self.close()

    def reset(self) -> None:
        """Reset at once, dropping data in transit, as at the crash of a process."""
        self.closing = True
        handle: socket.socket | None = self.protocol.real.get_extra_info("socket")
        if handle is not None and not self.protocol.real.is_closing():
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.protocol.real.abort()
