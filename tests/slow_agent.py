"""An agent of discovery whose responses leave late, in virtual time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from rig import Peer, Rig

from locktide.config.address import Address

ADDRESS: Address = ("agent", 1)
#: Seconds after which a change counts as notified, once discovery has it and can be reached.
NOTIFIED_WITHIN = 6.0
#: Seconds within which a list is known once a silent agent responds again: the grace of a drain.
DRAIN_GRACE = 0.25


class SlowAgent:
    """An agent whose responses leave late; it resets some calls, and never answers others.

    Attributes:
        version: The version of its list; a change raises it.
        workers: The workers in its list; after `change` they drain.
        delay: Returns by how many seconds the next response is late.
        silent: Whether calls that arrive get no response, and responses on their way get lost.
        call_count: How many calls have arrived.
        most_open: How many connections were open at once, at most.
    """

    def __init__(self, rig: Rig, delay: Callable[[], float], address: Address = ADDRESS) -> None:
        self.loop = rig.loop
        self.address = address
        self.version = 1
        self.workers = ["w0"]
        self.delay = delay
        self.silent = False
        self.loss: Callable[[], str] = lambda: ""
        self.call_count = self.most_open = 0
        self.peers: list[Peer] = []
        self.waiting: list[tuple[Peer, int, asyncio.TimerHandle]] = []
        rig.network.listen(self.accept, *address)

    def accept(self) -> Peer:
        peer = Peer(self.receive)
        self.peers = [each for each in self.peers if not each.ending] + [peer]
        self.most_open = max(self.most_open, len(self.peers))
        return peer

    def receive(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.buffer:
            head, peer.buffer = peer.buffer.split(b"\r\n\r\n", 1)
            self.call_count += 1
            loss = "silence" if self.silent else self.loss()
            if loss == "reset":
                peer.transport.abort()
            if loss:
                continue
            target = head.split()[1].decode()
            after = int(target.partition("after=")[2].partition("&")[0] or 0)
            wait = int(target.partition("wait_ms=")[2] or 0) / 1000 if after >= self.version else 0.0
            timer = self.loop.call_later(wait, self.respond, peer, after)
            self.waiting.append((peer, after, timer))

    def change(self) -> None:
        self.version += 1
        waiting, self.waiting = self.waiting, []
        for peer, after, timer in waiting:
            if not timer.cancelled() and timer.when() > self.loop.time():
                timer.cancel()
                self.respond(peer, after)

    def respond(self, peer: Peer, after: int) -> None:
        state = "leaving" if self.version > 1 else "active"
        workers = self.workers if self.version > after else []
        targets = [{"uid": worker, "endpoint": f"{worker}:1", "state": state} for worker in workers]
        body = json.dumps({"rev": self.version, "all": not after, "targets": targets}).encode()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.loop.call_later(self.delay(), self.deliver, peer, response)

    def deliver(self, peer: Peer, response: bytes) -> None:
        if not self.silent and not peer.ending:
            peer.transport.write(response)
