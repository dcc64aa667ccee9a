"""The in-memory network: connections and datagrams between addresses.

A `LinkModel` determines delays and cuts. Streams lose no data: what is sent over a cut link arrives once the
link is restored, as with retransmissions of TCP.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from locktide.simulation.virtual_time.datagrams import VirtualDatagramNetwork
from locktide.simulation.virtual_time.listening import Listener
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.process import PROCESS, VirtualProcess
from locktide.simulation.virtual_time.stream import LinkModel, VirtualTransport


class VirtualNetwork:
    """All listening sockets and connections of one virtual loop."""

    def __init__(self, loop: VirtualLoop, links: LinkModel) -> None:
        self.loop, self.links = loop, links
        self.context = contextvars.copy_context()  # of no process: bytes in transit outlive their sender
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.ends: dict[VirtualTransport, None] = {}
        self.split_count = self.connection_count = 0
        self.datagrams = VirtualDatagramNetwork(loop, links)
        loop.network = self

    def listen(self, factory: Callable[[], Any] | None, host: str, port: int) -> Listener:
        address = (host, port)
        if address in self.listeners:
            raise OSError(98, "address in use")
        listener = self.listeners[address] = Listener(self, factory, address)
        return listener

    def socket(self, address: tuple[str, int], backlog: int) -> Listener:
        """Replace `socket.create_server`, for code that accepts connections itself."""
        listener = self.listen(None, *address)
        listener.backlog = backlog
        return listener

    async def connect(self, protocol: Any, host: str, port: int, source: str | None) -> VirtualTransport:
        process = PROCESS.get()
        here = source or (process.address if process else "0.0.0.0")
        await self.travel(here, host)
        listener = self.listeners.get((host, port))
        refused = listener is None or len(listener.queue) >= listener.backlog
        await self.travel(host, here)
        if listener is None or refused:
            raise ConnectionRefusedError(111, f"{host}:{port} refused")
        client_side = VirtualTransport(self, here, host, port, process)
        server_side = VirtualTransport(self, host, here, 0, listener.process)
        client_side.peer, server_side.peer = server_side, client_side
        self.connection_count += 1
        # The third part of the handshake; data sent from now on arrives right after it.
        client_side.send(listener.add_connection, server_side)
        client_side.begin(protocol, contextvars.copy_context())
        await asyncio.sleep(0)
        return client_side

    async def travel(self, source: str, target: str) -> None:
        """Wait for one direction of a handshake; never return if the link is cut."""
        if self.links.cut(source, target):
            await self.loop.create_future()
        await asyncio.sleep(self.links.delay(source, target) / 1e6)

    def links_restored(self) -> None:
        """Send what was held back by links that are restored."""
        for transport in list(self.ends):
            if transport.held and not self.links.cut(transport.here, transport.there):
                transport.send_held()

    def kill(self, process: VirtualProcess) -> None:
        """Kill a process: its connections are reset, new ones are refused."""
        process.kill()
        for address, listener in list(self.listeners.items()):
            if listener.process is process:
                listener.closed = True
                del self.listeners[address]
                for accepted in listener.queue:
                    accepted.transport.reset()
        for transport in list(self.ends):
            if transport.process is process:
                transport.reset()
