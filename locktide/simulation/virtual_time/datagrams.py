"""Datagrams of a virtual loop: the link model may lose, delay or double each of them; none is held back."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.virtual_time.process import PROCESS, VirtualProcess

Address = tuple[str, int]


class DatagramLinkModel(Protocol):
    """What happens to a datagram."""

    def carried(self, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        """Return each copy that arrives, with its delay in microseconds."""


class VirtualDatagramTransport(asyncio.DatagramTransport):
    def __init__(self, network: VirtualDatagramNetwork, address: Address, protocol: Any) -> None:
        super().__init__()
        self.network, self.address, self.protocol = network, address, protocol
        self.process: VirtualProcess | None = PROCESS.get()
        self.context = contextvars.copy_context()
        self.closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        if not self.closed:
            self.network.send(self, bytes(data), addr)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.network.open.get(self.address) is self:
                del self.network.open[self.address]

    abort = close


class VirtualDatagramNetwork:
    def __init__(self, loop: Any, links: DatagramLinkModel) -> None:
        self.loop, self.links = loop, links
        self.context = contextvars.copy_context()  # of no process: datagrams in transit outlive their sender
        self.open: dict[Address, VirtualDatagramTransport] = {}

    def bind(self, factory: Callable[[], Any], address: Address) -> tuple[VirtualDatagramTransport, Any]:
        bound = self.open.get(address)
        if bound is not None and not (bound.process is not None and bound.process.dead):
            raise OSError(98, "address in use")
        protocol = factory()
        port = self.open[address] = VirtualDatagramTransport(self, address, protocol)
        protocol.connection_made(port)
        return port, protocol

    def send(self, port: VirtualDatagramTransport, data: bytes, target: Address) -> None:
        for delay, copy in self.links.carried(port.address[0], target[0], data):
            when = self.loop.time() + delay / 1e6
            self.loop.call_at(when, self.deliver, port.address, target, copy, context=self.context)

    def deliver(self, source: Address, target: Address, data: bytes) -> None:
        port = self.open.get(target)
        if port is not None and not port.closed and not (port.process is not None and port.process.dead):
            port.context.run(port.protocol.datagram_received, data, source)
