"""The scenario runner as the emulated machines see it: an interface for each kind of machine."""

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
    open: dict[str, RequestTry] = field(default_factory=dict)  # open submissions of the clients there


class RunContext(Protocol):
    """What all emulated machines need."""

    scenario: Scenario
    host: Backend
    links: NetworkLinks
    checker: Checker
    submissions: dict[str, RequestTry]
    dispatcher_machines: list[Machine]
    dispatcher_port: int

    def body(self, request: ClientRequest) -> bytes: ...


class ClientContext(RunContext, Protocol):
    dispatchers: list[EmulatedDispatcher]
    durable_classes: frozenset[str]
    durable_counts: dict[str, int]

    def links_changed_at(self) -> int:
        """Return when a link was last cut or restored, in microseconds."""

    def record_response_time(self, request: ClientRequest) -> None: ...


class WorkerContext(RunContext, Protocol):
    agents: list[DiscoveryAgent]
    half_open: list[Any]  # connections whose worker has vanished
    triggered_traps: int  # number of traps that have killed a process

    def zone_of(self, number: int) -> int: ...

    def entry(self, number: int, boot_at: int = 0) -> ListedWorker: ...

    def next_key(self) -> int: ...

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]: ...

    def could_have_ended(self, received: ReceivedAttempt) -> bool: ...

    def held_back(self, source: Machine, target: Machine, came_at: int) -> int | None: ...

    def announce_change(self, entry: ListedWorker, state: str, after: float) -> None: ...

    def add_running_jobs(self, count: int) -> None: ...

    def schedule_pause(self, site: Any) -> None: ...

    def reach_crash_point(self, number: int, point: str) -> None: ...
