"""A relay between processes on loopback, which cuts, loses, delays, doubles and garbles their datagrams.

The relay opens a port for each process, to which the others send. It knows a sender by its port.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from locktide.simulation.cluster.virtual_cluster import ClusterNetwork

Address = tuple[str, int]


class RelayedPath(asyncio.DatagramProtocol):
    """The port of the relay for one process: forwards the datagrams that are sent to it."""

    transport: asyncio.DatagramTransport

    def __init__(self, relay: DatagramRelay, name: str, target: Address) -> None:
        self.relay, self.name, self.target = relay, name, target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, address: Any) -> None:
        network, random = self.relay.network, self.relay.random
        sender = self.relay.senders_by_address.get(address, "")
        self.relay.received_count += 1
        if (sender, self.name) in network.cut or random.random() < network.lose:
            self.relay.lost_count += 1
            return
        if random.random() < network.garble:
            position = random.randrange(len(data))
            data = data[:position] + bytes([data[position] ^ 1 << random.randrange(8)]) + data[position + 1 :]
        if random.random() < network.truncate:
            data = data[: random.randrange(len(data))]
        for _ in range(2 if random.random() < network.double else 1):
            delay = random.randint(network.min_delay, network.max_delay) / 1e6
            if random.random() < network.late:
                delay = random.random() * 2.0
            asyncio.get_running_loop().call_later(delay, self.send, data)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, self.target)

    def error_received(self, error: Exception) -> None:
        pass  # the process does not listen at present


class DatagramRelay:
    """The ports for all processes, with the faults of the network between them.

    Attributes:
        network: the faults of the network at present.
        random: the source of random draws.
        senders_by_address: the names of processes, by the address from which they send.
        paths: the ports for the processes.
        received_count: how many datagrams were sent to the relay.
        lost_count: how many of them were lost or cut.
    """

    def __init__(self, seed: int) -> None:
        self.network, self.random = ClusterNetwork(), Random(seed)
        self.senders_by_address: dict[Address, str] = {}
        self.paths: list[RelayedPath] = []
        self.received_count = self.lost_count = 0

    async def open_path(self, name: str, target: Address) -> Address:
        """Open a port for the process that listens at `target`; return the address of the port."""
        loop = asyncio.get_running_loop()
        transport, path = await loop.create_datagram_endpoint(
            lambda: RelayedPath(self, name, target), local_addr=(target[0], 0)
        )
        self.senders_by_address[target] = name
        self.paths.append(path)
        address: Address = transport.get_extra_info("sockname")
        return address

    def close(self) -> None:
        for path in self.paths:
            path.transport.close()
