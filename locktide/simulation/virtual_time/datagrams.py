"""Datagrams of a virtual loop: each is lost, late or doubled as the wires say, and never held back."""

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
        """Each copy that comes, with its delay in microseconds."""


class VirtualDatagramTransport(asyncio.DatagramTransport):
    def __init__(self, ports: VirtualDatagramNetwork, address: Address, protocol: Any) -> None:
        super().__init__()
        self.ports, self.address, self.protocol = ports, address, protocol
        self.process: VirtualProcess | None = PROCESS.get()
        self.context = contextvars.copy_context()
        self.closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        if not self.closed:
            self.ports.send(self, bytes(data), addr)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if self.ports.open.get(self.address) is self:
                del self.ports.open[self.address]

    abort = close


class VirtualDatagramNetwork:
    def __init__(self, loop: Any, air: DatagramLinkModel) -> None:
        self.loop, self.air = loop, air
        self.context = contextvars.copy_context()  # of no process: what is under way outlives its sender
        self.open: dict[Address, VirtualDatagramTransport] = {}

    def bind(self, factory: Callable[[], Any], address: Address) -> tuple[VirtualDatagramTransport, Any]:
        held = self.open.get(address)
        if held is not None and not (held.process is not None and held.process.dead):
            raise OSError(98, "address in use")
        protocol = factory()
        port = self.open[address] = VirtualDatagramTransport(self, address, protocol)
        protocol.connection_made(port)
        return port, protocol

    def send(self, port: VirtualDatagramTransport, data: bytes, to: Address) -> None:
        for delay, copy in self.air.carried(port.address[0], to[0], data):
            when = self.loop.time() + delay / 1e6
            self.loop.call_at(when, self.come, port.address, to, copy, context=self.context)

    def come(self, source: Address, to: Address, data: bytes) -> None:
        port = self.open.get(to)
        if port is not None and not port.closed and not (port.process is not None and port.process.dead):
            port.context.run(port.protocol.datagram_received, data, source)
