"""What a rehearsal asks of the place where it is played; loopback and virtual time each have their own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.model.network import DISPATCHER, WORKER, Machine
from locktide.simulation.peer_links import PeerLinks

Address = tuple[str, int]
WORKER_PORT = 7000  # of a worker, plus the dispatcher's number: each link has an address of its own
DISPATCHER_PORT, ROSTER_PORT = 7100, 8500
TALK_PORT, REACH_PORT = 7200, 7201  # of dispatchers among themselves: where each listens and is reached


class Closable(Protocol):
    """A listening place that can be given up."""

    def close(self) -> None: ...


class Backend(Protocol):
    """Times in whole microseconds since `begin`; all calls from the event loop."""

    slack: int  # microseconds by which what is measured here may be off
    talk: PeerLinks  # of the dispatchers among themselves

    def now(self) -> int: ...

    def unix(self, at: int) -> int:
        """That moment as Unix time in microseconds."""

    def begin(self) -> None:
        """From now on the rehearsal's time runs from 0."""

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle: ...

    async def listen(
        self, here: Machine, there: Machine, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> Closable: ...

    async def connect(
        self, here: Machine, there: Machine, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Raises OSError where it is refused; over a cut link it never returns."""

    def reset(self, transport: asyncio.BaseTransport) -> None:
        """Ends a connection as a process does that dies."""

    def links_changed(self) -> None:
        """Links were cut or are whole again."""

    def address(self, machine: Machine) -> str: ...

    def start_dispatcher(self, number: int, told: dict[str, Any]) -> None: ...

    def stop_dispatcher(self, number: int) -> None:
        """As SIGTERM."""

    def kill_dispatcher(self, number: int) -> None:
        """As SIGKILL."""

    def dispatcher_runs(self, number: int) -> bool: ...

    def measures(self) -> dict[str, Any]:
        """What there is to say of the run beside its outcome, for the report."""

    async def clear_away(self) -> None:
        """Gives back all that is left: processes, listening places, connections."""


def net_address(net: int, machine: Machine) -> str:
    """Its own address for each machine, below 127.`net` on loopback."""
    block = {WORKER: 20, DISPATCHER: 10}.get(machine.kind, 30)
    return f"127.{net}.{block + machine.number // 250}.{machine.number % 250 + 1}"
