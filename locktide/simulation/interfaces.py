"""What the stand-ins see of each other: the stage, as narrow as each of them needs it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from locktide.simulation.backend import Backend
from locktide.simulation.model.checker import Checker, ReceivedAttempt
from locktide.simulation.model.discovery import DiscoveryAgent, ListedWorker
from locktide.simulation.model.network import Machine, NetworkLinks
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.model.traffic import ClientRequest, RequestTry


@dataclass
class EmulatedDispatcher:
    machine: Machine
    life: int = 0
    alive: bool = False
    stopping: bool = False
    open: dict[str, RequestTry] = field(default_factory=dict)  # what clients have handed in there


class RunContext(Protocol):
    """What all of them need."""

    script: Scenario
    host: Backend
    links: NetworkLinks
    checker: Checker
    tries: dict[str, RequestTry]
    dispatcher_machines: list[Machine]
    dispatcher_port: int

    def body(self, request: ClientRequest) -> bytes: ...


class ClientContext(RunContext, Protocol):
    dispatchers: list[EmulatedDispatcher]
    kept_grades: frozenset[str]
    records: dict[str, int]

    def links_changed_at(self) -> int:
        """When a link was last cut or made whole, in microseconds."""

    def waits(self, request: ClientRequest) -> None: ...


class WorkerContext(RunContext, Protocol):
    agents: list[DiscoveryAgent]
    half_open: list[Any]  # connections whose worker has vanished
    sprung: int  # traps that have killed somebody

    def zone_of(self, number: int) -> int: ...

    def entry(self, number: int, boot_at: int = 0) -> ListedWorker: ...

    def next_key(self) -> int: ...

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]: ...

    def could_have_ended(self, came: ReceivedAttempt) -> bool: ...

    def held_back(self, one: Machine, other: Machine, came_at: int) -> int | None: ...

    def list_change(self, entry: ListedWorker, state: str, after: float) -> None: ...

    def running(self, by: int) -> None: ...

    def pause_later(self, site: Any) -> None: ...

    def dispatcher_at(self, number: int, point: str) -> None: ...
