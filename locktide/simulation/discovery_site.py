"""The stand-in roster: an agent on each dispatcher's machine, which answers with what has reached it."""

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
WATCH_GAP = 200_000  # a watch goes on while the next call comes so soon after the last answer


class DiscoveryConnection(asyncio.Protocol):
    """One connection of the dispatcher to its agent."""

    transport: asyncio.Transport

    def __init__(self, site: DiscoverySite) -> None:
        self.site, self.talk = site, ServerMessages()
        self.asked: Message | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.heard = False  # its question has had its turn

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.site.ends[self] = None

    def data_received(self, data: bytes) -> None:
        now = self.site.host.now()
        try:
            message = self.talk.feed(data, now)
        except h11.RemoteProtocolError:
            self.transport.close()
            return
        if message is None:
            return
        if message.method != "GET" or message.path != names.INSTANCES:
            self.transport.write(self.talk.answer(404))
            return
        self.asked = message
        at, heard = self.site.admit(now)
        if at == now:
            self.begin()
        else:
            self.timer = self.site.host.call_at(at, self.begin if heard else self.turn_away)

    def begin(self) -> None:
        """From now on the agent answers, at once or when there is something new."""
        assert self.asked is not None
        wait = int(parse_qs(self.asked.query).get("wait_ms", ["0"])[0])
        until = self.site.host.now() + min(wait, LONGEST_WAIT_MS) * 1000
        self.timer, self.heard = self.site.host.call_at(until, self.waited), True
        self.site.answer(self, waited=not wait)

    def turn_away(self) -> None:
        self.timer = self.asked = None
        self.transport.write(self.talk.answer(503, b"", (("Connection", "close"),)))
        self.transport.close()

    def waited(self) -> None:
        self.timer = None
        self.site.answer(self, waited=True)

    def connection_lost(self, trouble: Exception | None) -> None:
        self.site.ends.pop(self, None)
        self.asked = None
        if self.timer is not None:
            self.timer.cancel()


class DiscoverySite:
    def __init__(
        self,
        host: Backend,
        number: int,
        agent: DiscoveryAgent,
        seed: int,
        whole: float,
        endpoint: Callable[[int], str],
        calls: CallCapacity | None = None,
    ) -> None:
        self.calls, self.watch_until = calls, 0
        self.host, self.number, self.agent, self.seed, self.whole = host, number, agent, seed, whole
        self.endpoint = endpoint
        self.ends: dict[DiscoveryConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.answers = 0

    def admit(self, now: int) -> tuple[int, bool]:
        """When a question has its turn, or is turned away; what goes on with a watch has it at once."""
        if self.calls is None or now <= self.watch_until:
            return now, True
        return self.calls.call(now)

    def answer(self, end: DiscoveryConnection, waited: bool) -> None:
        if end.asked is None or self.agent.silent or not end.heard:
            return
        after = parse_qs(end.asked.query).get("after")
        version = int(after[0]) if after else None
        if version is not None and version >= self.agent.version and not waited:
            return
        self.answers += 1
        everything = (
            version is None or chance.unit(self.seed, "whole", self.number, self.answers) < self.whole
        )
        told = self.agent.answer(self.host.now(), version, everything, self.endpoint)
        end.asked, end.heard = None, False
        self.watch_until = self.host.now() + WATCH_GAP
        if end.timer is not None:
            end.timer.cancel()
            end.timer = None
        end.transport.write(end.talk.answer(200, as_json(told)))

    def changed(self) -> None:
        """Something is on its way to the agent, or it speaks again."""
        if self.agent.advance(self.host.now()):
            for end in list(self.ends):
                self.answer(end, waited=False)
        if self.timer is not None:
            self.timer.cancel()
        at = self.agent.next_at()
        self.timer = None if at is None else self.host.call_at(at, self.come_due)

    def come_due(self) -> None:
        self.timer = None
        self.changed()

    def speak(self, silent: bool) -> None:
        self.agent.silent = silent
        if not silent:
            for end in list(self.ends):
                self.answer(end, waited=end.timer is None)

    def known(self) -> Any:
        """The list as the dispatcher last had it, for its start."""
        return self.agent.answer(self.host.now(), None, True, self.endpoint)
