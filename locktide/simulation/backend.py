"""Interface of the backends on which a scenario runs: loopback and virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from locktide.simulation.model.network import DISPATCHER, WORKER, Machine
from locktide.simulation.peer_links import PeerLinks

Address = tuple[str, int]
WORKER_PORT = 7000  # plus the dispatcher's number, so that each link to a worker has an address of its own
DISPATCHER_PORT, ROSTER_PORT = 7100, 8500
TALK_PORT, REACH_PORT = 7200, 7201  # of the cluster: where a dispatcher listens, and where others reach it


class Closable(Protocol):
    """A listening socket that can be closed."""

    def close(self) -> None: ...


class Backend(Protocol):
    """The methods and values of a backend that a scenario runner uses.

    Times are whole microseconds since `begin`; all methods are called from the event loop.
    """

    slack: int  # error of times measured here, in microseconds
    peer_links: PeerLinks  # links between the dispatchers

    def now(self) -> int: ...

    def unix_time(self, at: int) -> int:
        """Return that time as Unix time in microseconds."""

    def begin(self) -> None:
        """Set the time of the run to 0."""

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle: ...

    async def listen(
        self, here: Machine, there: Machine, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> Closable: ...

    async def connect(
        self, here: Machine, there: Machine, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; raise OSError if it is refused; never return if the link is cut."""

    def reset(self, transport: asyncio.BaseTransport) -> None:
        """Reset a connection, as at the crash of its process."""

    def links_changed(self) -> None:
        """Apply the new state of the links after some were cut or restored."""

    def address(self, machine: Machine) -> str: ...

    def start_dispatcher(self, number: int, start_config: dict[str, Any]) -> None: ...

    def stop_dispatcher(self, number: int) -> None:
        """Stop a dispatcher, as by SIGTERM."""

    def kill_dispatcher(self, number: int) -> None:
        """Kill a dispatcher, as by SIGKILL."""

    def dispatcher_runs(self, number: int) -> bool: ...

    def measures(self) -> dict[str, Any]:
        """Return measurements of the backend for the report."""

    async def clear_away(self) -> None:
        """Release everything that is left: processes, listening sockets, connections."""


def net_address(net: int, machine: Machine) -> str:
    """Return the address of a machine in the block 127.`net` of loopback; each machine has its own."""
    block = {WORKER: 20, DISPATCHER: 10}.get(machine.kind, 30)
    return f"127.{net}.{block + machine.number // 250}.{machine.number % 250 + 1}"
