"""Connections on loopback that take as long as the emulated link does: held back on our end, both ways."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.model.network import Machine, NetworkLinks

# Less than this is not waited for: loopback and the turn of the loop take about as long. Microseconds.
NOT_WORTH = 600


class LatencySource(Protocol):
    links: NetworkLinks
    ways: dict[DelayedDirection, None]


class DelayedDirection:
    """One direction of one connection: in order, each piece after its delay; over a cut link it waits."""

    def __init__(self, host: LatencySource, source: Machine, target: Machine) -> None:
        self.host, self.source, self.target = host, source, target
        self.loop = asyncio.get_running_loop()
        self.last_due = 0.0
        # Pieces whose timers are set. A timer says when the next one is due, not which: the event loop keeps
        # no order among timers of one moment, and an end that overtook its data looked like half a response.
        self.under_way: deque[tuple[Callable[..., None], Any]] = deque()
        self.held: list[tuple[Callable[..., None], Any]] = []
        host.ways[self] = None

    def push(self, what: Callable[..., None], *args: Any) -> None:
        if self.held or self.host.links.cut(self.source, self.target):
            self.held.append((what, args))
            return
        delay = self.host.links.delay(self.source, self.target)
        if delay < NOT_WORTH and not self.under_way:
            what(*args)
            return
        self.last_due = max(self.last_due, self.loop.time() + delay / 1e6)
        self.under_way.append((what, args))
        self.loop.call_at(self.last_due, self.arrive)

    def arrive(self) -> None:
        what, args = self.under_way.popleft()
        what(*args)

    def healed(self) -> None:
        if self.held and not self.host.links.cut(self.source, self.target):
            held, self.held = self.held, []
            for what, args in held:
                self.push(what, *args)

    def end(self) -> None:
        self.host.ways.pop(self, None)


class DelayedProtocol(asyncio.Protocol):
    """Stands between a real connection and the protocol that it is for."""

    real: asyncio.Transport

    def __init__(self, host: LatencySource, here: Machine, there: Machine, inner: Any) -> None:
        self.inner = inner
        self.coming, self.going = DelayedDirection(host, there, here), DelayedDirection(host, here, there)
        self.facade = DelayedTransport(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.real = transport  # type: ignore[assignment]
        self.inner.connection_made(self.facade)

    def data_received(self, data: bytes) -> None:
        self.coming.push(self.hand_over, data)

    def hand_over(self, data: bytes) -> None:
        if not self.facade.closing:
            self.inner.data_received(data)

    def eof_received(self) -> bool:
        self.coming.push(self.end_of_stream)
        return True

    def end_of_stream(self) -> None:
        if not self.facade.closing and not self.inner.eof_received():
            self.facade.close()

    def connection_lost(self, trouble: Exception | None) -> None:
        if self.facade.closing:
            self.lost(trouble)
        else:
            self.coming.push(self.lost, trouble)

    def lost(self, trouble: Exception | None) -> None:
        self.coming.end()
        self.going.end()
        self.facade.closing = True
        self.inner.connection_lost(trouble)


class DelayedTransport(asyncio.Transport):
    """The transport that the inner protocol sees."""

    def __init__(self, lagged: DelayedProtocol) -> None:
        super().__init__()
        self.lagged, self.closing = lagged, False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.lagged.real.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self.closing

    def is_reading(self) -> bool:
        return self.lagged.real.is_reading()

    def pause_reading(self) -> None:
        self.lagged.real.pause_reading()

    def resume_reading(self) -> None:
        self.lagged.real.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.lagged.inner = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.lagged.inner  # type: ignore[no-any-return]

    def can_write_eof(self) -> bool:
        return True

    def write(self, data: Any) -> None:
        if not self.closing:
            self.lagged.going.push(self.lagged.real.write, bytes(data))

    def writelines(self, pieces: Any) -> None:
        self.write(b"".join(bytes(piece) for piece in pieces))

    def write_eof(self) -> None:
        if not self.closing:
            self.lagged.going.push(self.finish)

    def finish(self) -> None:
        if not self.lagged.real.is_closing():
            self.lagged.real.write_eof()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.lagged.going.push(self.lagged.real.close)

    def abort(self) -> None:
        self.close()

    def reset(self) -> None:
        """At once, whatever is under way: the process behind it has died."""
        self.closing = True
        handle: socket.socket | None = self.lagged.real.get_extra_info("socket")
        if handle is not None and not self.lagged.real.is_closing():
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.lagged.real.abort()
