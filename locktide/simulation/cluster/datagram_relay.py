"""A relay of ours between processes on loopback, which cuts, loses, delays, doubles and garbles at command.

Each process is reached by a port of the relay's; who sends is told by its own port.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from locktide.simulation.cluster.virtual_cluster import ClusterNetwork

Address = tuple[str, int]


class RelayedPath(asyncio.DatagramProtocol):
    """All that goes to one process."""

    transport: asyncio.DatagramTransport

    def __init__(self, relay: DatagramRelay, name: str, target: Address) -> None:
        self.relay, self.name, self.target = relay, name, target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, source: Any) -> None:
        net, random = self.relay.net, self.relay.random
        sender = self.relay.senders.get(source, "")
        self.relay.passed += 1
        if (sender, self.name) in net.cut or random.random() < net.lose:
            self.relay.lost += 1
            return
        if random.random() < net.garble:
            place = random.randrange(len(data))
            data = data[:place] + bytes([data[place] ^ 1 << random.randrange(8)]) + data[place + 1 :]
        if random.random() < net.truncate:
            data = data[: random.randrange(len(data))]
        for _ in range(2 if random.random() < net.double else 1):
            delay = random.randint(net.least, net.most) / 1e6
            if random.random() < net.late:
                delay = random.random() * 2.0
            asyncio.get_running_loop().call_later(delay, self.send, data)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def error_received(self, trouble: Exception) -> None:
        pass  # nobody listens there just now


class DatagramRelay:
    def __init__(self, seed: int) -> None:
        self.net, self.random = ClusterNetwork(), Random(seed)
        self.senders: dict[Address, str] = {}
        self.ways: list[RelayedPath] = []
        self.passed = self.lost = 0

    async def way(self, name: str, target: Address) -> Address:
        """Where that process is reached from now on."""
        loop = asyncio.get_running_loop()
        transport, way = await loop.create_datagram_endpoint(
            lambda: RelayedPath(self, name, target), local_addr=(target[0], 0)
        )
        self.senders[target] = name
        self.ways.append(way)
        reached: Address = transport.get_extra_info("sockname")
        return reached

    def close(self) -> None:
        for way in self.ways:
            way.transport.close()
