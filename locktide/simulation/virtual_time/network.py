"""The in-memory network: connections and datagrams between addresses.

How long bytes take and which links are cut is asked of a `LinkModel`. Nothing is lost of a stream: what is
sent over a cut link comes once the link is whole again, as it does when TCP sends it anew.
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

    def __init__(self, loop: VirtualLoop, wires: LinkModel) -> None:
        self.loop, self.wires = loop, wires
        self.context = contextvars.copy_context()  # of no process: bytes under way outlive their sender
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.ends: dict[VirtualTransport, None] = {}
        self.split = self.connected = 0
        self.ports = VirtualDatagramNetwork(loop, wires)
        loop.network = self

    def listen(self, factory: Callable[[], Any] | None, host: str, port: int) -> Listener:
        address = (host, port)
        if address in self.listeners:
            raise OSError(98, "address in use")
        listener = self.listeners[address] = Listener(self, factory, address)
        return listener

    def socket(self, address: tuple[str, int], backlog: int) -> Listener:
        """In place of `socket.create_server`, for who accepts by himself."""
        listener = self.listen(None, *address)
        listener.backlog = backlog
        return listener

    async def connect(self, protocol: Any, host: str, port: int, source: str | None) -> VirtualTransport:
        process = PROCESS.get()
        here = source or (process.address if process else "0.0.0.0")
        await self.trip(here, host)
        listener = self.listeners.get((host, port))
        refused = listener is None or len(listener.queue) >= listener.backlog
        await self.trip(host, here)
        if listener is None or refused:
            raise ConnectionRefusedError(111, f"{host}:{port} refused")
        mine = VirtualTransport(self, here, host, port, process)
        theirs = VirtualTransport(self, host, here, 0, listener.process)
        mine.peer, theirs.peer = theirs, mine
        self.connected += 1
        # The third leg of the handshake: what is sent from now on comes right behind it.
        mine.send(listener.come, theirs)
        mine.begin(protocol, contextvars.copy_context())
        await asyncio.sleep(0)
        return mine

    async def trip(self, source: str, target: str) -> None:
        """One way of a handshake; over a cut link it never comes."""
        if self.wires.cut(source, target):
            await self.loop.create_future()
        await asyncio.sleep(self.wires.delay(source, target) / 1e6)

    def links_restored(self) -> None:
        """Sends what waited for a link that is whole again."""
        for end in list(self.ends):
            if end.held and not self.wires.cut(end.here, end.there):
                end.send_held()

    def kill(self, process: VirtualProcess) -> None:
        """The process dies: its connections are reset, new ones refused."""
        process.kill()
        for address, listener in list(self.listeners.items()):
            if listener.process is process:
                listener.closed = True
                del self.listeners[address]
                for accepted in listener.queue:
                    accepted.end.reset()
        for end in list(self.ends):
            if end.process is process:
                end.reset()
