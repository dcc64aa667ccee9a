"""Emulated discovery service: an agent on each dispatcher's machine, answering with its own endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import h11

from locktide.protocol import names
from locktide.simulation.backend import Backend
from locktide.simulation.http import Message, ServerMessages, as_json
from locktide.simulation.model import random_streams as chance
from locktide.simulation.model.discovery import CallCapacity, DiscoveryAgent

LONGEST_WAIT_MS = 60_000
WATCH_GAP = 200_000  # microseconds after an answer within which the next call continues the watch


class DiscoveryConnection(asyncio.Protocol):
    """A connection of a dispatcher to its agent."""

    transport: asyncio.Transport

    def __init__(self, site: DiscoverySite) -> None:
        self.site, self.parser = site, ServerMessages()
        self.pending_request: Message | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_admitted = False  # whether the pending call has been admitted

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.site.open_connections[self] = None

    def data_received(self, data: bytes) -> None:
        now = self.site.host.now()
        try:
            message = self.parser.feed(data, now)
        except h11.RemoteProtocolError:
            self.transport.close()
            return
        if message is None:
            return
        if message.method != "GET" or message.path != names.INSTANCES:
            self.transport.write(self.parser.answer(404))
            return
        self.pending_request = message
        at, is_admitted = self.site.admit(now)
        if at == now:
            self.begin()
        else:
            self.timer = self.site.host.call_at(at, self.begin if is_admitted else self.turn_away)

    def begin(self) -> None:
        """Admit the pending call; the agent answers it at once, or when there is a change."""
        assert self.pending_request is not None
        wait = int(parse_qs(self.pending_request.query).get("wait_ms", ["0"])[0])
        until = self.site.host.now() + min(wait, LONGEST_WAIT_MS) * 1000
        self.timer, self.is_admitted = self.site.host.call_at(until, self.on_wait_over), True
        self.site.answer(self, waited=not wait)

    def turn_away(self) -> None:
        self.timer = self.pending_request = None
        self.transport.write(self.parser.answer(503, b"", (("Connection", "close"),)))
        self.transport.close()

    def on_wait_over(self) -> None:
        self.timer = None
        self.site.answer(self, waited=True)

    def connection_lost(self, error: Exception | None) -> None:
        self.site.open_connections.pop(self, None)
        self.pending_request = None
        if self.timer is not None:
            self.timer.cancel()


class DiscoverySite:
    def __init__(
        self,
        host: Backend,
        number: int,
        agent: DiscoveryAgent,
        seed: int,
        complete_fraction: float,
        endpoint: Callable[[int], str],
        calls: CallCapacity | None = None,
    ) -> None:
        self.calls, self.watch_until = calls, 0
        self.host, self.number, self.agent, self.seed, self.complete_fraction = (
            host,
            number,
            agent,
            seed,
            complete_fraction,
        )
        self.endpoint = endpoint
        self.open_connections: dict[DiscoveryConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.answers = 0

    def admit(self, now: int) -> tuple[int, bool]:
        """Return when a call is admitted or rejected, and whether it is admitted.

        A call that continues a watch is admitted at once.
        """
        if self.calls is None or now <= self.watch_until:
            return now, True
        return self.calls.call(now)

    def answer(self, connection: DiscoveryConnection, waited: bool) -> None:
        if connection.pending_request is None or self.agent.silent or not connection.is_admitted:
            return
        after = parse_qs(connection.pending_request.query).get("after")
        version = int(after[0]) if after else None
        if version is not None and version >= self.agent.version and not waited:
            return
        self.answers += 1
        is_complete = (
            version is None
            or chance.unit(self.seed, "whole", self.number, self.answers) < self.complete_fraction
        )
        reply = self.agent.answer(self.host.now(), version, is_complete, self.endpoint)
        connection.pending_request, connection.is_admitted = None, False
        self.watch_until = self.host.now() + WATCH_GAP
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None
        connection.transport.write(connection.parser.answer(200, as_json(reply)))

    def changed(self) -> None:
        """Apply due changes, answer waiting calls, and set a timer for the next change."""
        if self.agent.advance(self.host.now()):
            for connection in list(self.open_connections):
                self.answer(connection, waited=False)
        if self.timer is not None:
            self.timer.cancel()
        at = self.agent.next_at()
        self.timer = None if at is None else self.host.call_at(at, self.on_timer)

    def on_timer(self) -> None:
        self.timer = None
        self.changed()

    def set_silent(self, silent: bool) -> None:
        self.agent.silent = silent
        if not silent:
            for connection in list(self.open_connections):
                self.answer(connection, waited=connection.timer is None)

    def known(self) -> Any:
        """Return the complete list as of now, for the start of the dispatcher."""
        return self.agent.answer(self.host.now(), None, True, self.endpoint)
