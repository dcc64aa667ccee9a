"""Faults of datagrams between dispatchers: cut, lost, late, doubled or garbled, beside the link delays."""

from __future__ import annotations

from random import Random

from locktide.simulation.cluster.virtual_cluster import ClusterNetwork

MAX_LATE_DELAY = 1_000_000  # largest extra delay of a late datagram, in microseconds


class PeerLinks:
    """Links by the names of dispatchers, with the probabilities of `ClusterNetwork`, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.net, self.random = ClusterNetwork(), Random(seed)
        self.passed = self.lost = 0

    def carried(self, sender: str, receiver: str, delay: int, data: bytes) -> list[tuple[int, bytes]]:
        """Return each copy of a datagram that arrives, with its delay in microseconds."""
        net, random = self.net, self.random
        self.passed += 1
        if (sender, receiver) in net.cut or random.random() < net.lose:
            self.lost += 1
            return []
        if data and random.random() < net.garble:
            place = random.randrange(len(data))
            data = data[:place] + bytes([data[place] ^ 1 << random.randrange(8)]) + data[place + 1 :]
        copies = 2 if random.random() < net.double else 1
        return [
            (delay + (random.randrange(MAX_LATE_DELAY) if random.random() < net.late else 0), data)
            for _ in range(copies)
        ]
