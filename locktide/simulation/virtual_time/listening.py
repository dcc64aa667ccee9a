"""Listening sockets in virtual time, and connections that nobody has accepted yet."""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.process import PROCESS
from locktide.simulation.virtual_time.stream import VirtualTransport


class ListenerNetwork(Protocol):
    """The network, as its listening sockets see it.

    Attributes:
        loop: The loop.
        listeners: The listening sockets by address.
    """

    loop: VirtualLoop
    listeners: dict[tuple[str, int], Listener]


class Listener:
    """A listening socket, either with a protocol for each connection or with a queue for `sock_accept`."""

    def __init__(
        self,
        net: ListenerNetwork,
        factory: Callable[[], Any] | None,
        address: tuple[str, int],
        backlog: int = 1024,
    ) -> None:
        self.net, self.factory, self.address, self.backlog = net, factory, address, backlog
        self.context = contextvars.copy_context()
        self.process = PROCESS.get()
        self.queue: deque[AcceptedSocket] = deque()
        self.waiter: asyncio.Future[None] | None = None
        self.closed = False

    def setblocking(self, flag: bool) -> None:
        pass

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def close(self) -> None:
        self.closed = True
        if self.net.listeners.get(self.address) is self:
            del self.net.listeners[self.address]
        while self.queue:
            self.queue.popleft().close()

    async def wait_closed(self) -> None:
        pass

    def add_connection(self, transport: VirtualTransport) -> None:
        """Add a connection whose handshake is complete; reset it if the listener is closed."""
        if self.closed:
            transport.reset()
            return
        transport.data_at = self.net.loop.time()
        if self.factory is not None:
            transport.begin(self.factory(), self.context)
            return
        self.queue.append(AcceptedSocket(transport))
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def accept(self) -> tuple[AcceptedSocket, tuple[str, int]]:
        while not self.queue:
            self.waiter = self.net.loop.create_future()
            await self.waiter
        accepted = self.queue.popleft()
        return accepted, accepted.transport.peer_address


class AcceptedSocket:
    """An accepted connection without a protocol yet; data that arrives meanwhile is kept."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport

    def begin(self, protocol: Any) -> VirtualTransport:
        self.transport.begin(protocol, contextvars.copy_context())
        return self.transport

    def close(self) -> None:
        self.transport.reset()
