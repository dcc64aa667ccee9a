"""The host in virtual time: the dispatchers' own code in this process, on a clock and a network of memory."""

from __future__ import annotations

import asyncio
import io
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from locktide.cluster.config import ClusterConfig
from locktide.cluster.udp_transport import UdpTransport, open_udp_transport
from locktide.config.installation.durable_jobs import DurableJobsSection
from locktide.config.json_reader import JsonObject
from locktide.config.start import start_from_document
from locktide.dispatcher.dispatcher import Dispatcher
from locktide.durable.bootstrap import attach_job_service
from locktide.durable.recovery import ClockReading
from locktide.protocol import discovery
from locktide.simulation.backend import TALK_PORT, Address, net_address
from locktide.simulation.cluster_report import QuotaTrace
from locktide.simulation.model.network import Machine
from locktide.simulation.peer_links import PeerLinks
from locktide.simulation.virtual_time.disk import VirtualDisk
from locktide.simulation.virtual_time.listening import Listener
from locktide.simulation.virtual_time.loop import VirtualLoop
from locktide.simulation.virtual_time.network import VirtualNetwork
from locktide.simulation.virtual_time.process import VirtualProcess
from locktide.transport.log import Log

EPOCH = 1_800_000_000  # the Unix time at which every virtual rehearsal begins, in seconds
UP_AFTER = 0.3  # seconds from a dispatcher's start until it listens, as measured of the real one
MOST_LINES = 2000  # of the dispatchers' logs that are kept


class RecordingLog(Log):
    """Keeps what dispatchers say, with the virtual time."""

    def __init__(self, name: str, loop: VirtualLoop, lines: list[str]) -> None:
        super().__init__(name)
        self.loop, self.lines = loop, lines

    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
        if len(self.lines) < MOST_LINES:
            self.lines.append(f"{self.loop.time():.3f} {self.name} {line}")


class NoLatency:
    """The wires when all is over: nothing takes any time, or goes anywhere."""

    def delay(self, source: Machine, target: Machine) -> int:
        return 0

    def split(self, size: int) -> int:
        return 0

    def cut(self, source: Machine, target: Machine) -> bool:
        return False


class RecordedText(io.StringIO):
    """A trace that stays when who writes it closes it."""

    def __init__(self, kept: io.StringIO) -> None:
        super().__init__()
        self.kept = kept

    def write(self, text: str) -> int:
        return self.kept.write(text)


class VirtualBackend:
    slack = 0  # nothing is ever late

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.net = loop, VirtualNetwork(loop, self)
        self.links: Any = None  # of the stage, once it stands
        self.machines: dict[str, Machine] = {}
        self.processes: dict[int, tuple[VirtualProcess, asyncio.Event]] = {}
        self.nodes: dict[int, Dispatcher] = {}  # of the processes that have come up
        self.begun = 0.0
        self.said: list[str] = []
        self.durable: tuple[DurableJobsSection, int, float, float] | None = (
            None  # terms, seed, latency, zeros
        )
        self.platters: dict[int, VirtualDisk] = {}
        self.on_point: Callable[[int, str], None] = lambda number, name: None
        self.all: list[VirtualProcess] = []  # also those that have died
        self.talk = PeerLinks(0)
        # Where dispatchers agree: the terms of one, by its number, name and address.
        self.agree: Callable[[int, str, str], ClusterConfig] | None = None
        self.traces: list[tuple[int, VirtualProcess, io.StringIO]] = []
        self.ended_at: dict[VirtualProcess, int] = {}
        self.drivers: dict[int, tuple[VirtualProcess, UdpTransport]] = {}

    # --- the host

    def now(self) -> int:
        return round((self.loop.time() - self.begun) * 1e6)

    def unix(self, at: int) -> int:
        return round((EPOCH + self.begun) * 1e6) + at

    def begin(self) -> None:
        self.begun = self.loop.time()

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        # Of no process, also where a dispatcher has come to a trap: what follows outlives it.
        when = max(self.loop.time(), self.begun + at / 1e6)
        return self.loop.call_at(when, what, *args, context=self.net.context)

    def address(self, machine: Machine) -> str:
        address = net_address(0, machine)
        self.machines[address] = machine
        return address

    async def listen(
        self, here: Machine, there: Machine, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> Listener:
        return self.net.listen(factory, *address)

    async def connect(
        self, here: Machine, there: Machine, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*address, local_addr=(self.address(here), 0))

    def reset(self, transport: Any) -> None:
        transport.reset()

    def links_changed(self) -> None:
        self.net.healed()

    def start_dispatcher(self, number: int, told: dict[str, Any]) -> None:
        name = told["name"]
        process = VirtualProcess(name, told["listen"].rpartition(":")[0])
        stop = asyncio.Event()
        self.processes[number] = (process, stop)
        self.nodes.pop(number, None)
        self.all.append(process)
        read = start_from_document(JsonObject(told), {})
        kept = self.kept(number)
        known = discovery.read(read.cached_endpoints, "known")
        context = process.context()

        async def run() -> None:
            await asyncio.sleep(UP_AFTER)
            log = RecordingLog(name, self.loop, self.said)
            node = Dispatcher(read, known, log, self)
            self.nodes[number] = node
            job_service = None
            if kept is not None:
                told_durable, platter = kept
                job_service = await attach_job_service(
                    node, told_durable, log, platter.mount(), self.moment()
                )
                job_service.write_ahead_log.reach_crash_point = partial(self.on_point, number)
            driver = await self.joined(number, process, node, log) if self.agree is not None else None
            await node.run(stop)
            if driver is not None:
                await driver.close()
            if job_service is not None:
                await job_service.close()
            self.note_death(process)
            self.net.kill(process)

        self.loop.create_task(run(), context=context).add_done_callback(self.ended)

    async def joined(self, number: int, process: VirtualProcess, node: Dispatcher, log: Log) -> UdpTransport:
        assert self.agree is not None
        trace = io.StringIO()
        self.traces.append((number, process, trace))
        terms = self.agree(number, process.name, process.address)
        # Its start tells it from an earlier process, as the clock does elsewhere.
        terms = replace(
            terms, member_id=(process.name, round(self.wall() * 1e6)), random_seed=len(self.traces)
        )
        driver = await open_udp_transport(
            terms, log, node.bridge, (process.address, TALK_PORT), RecordedText(trace)
        )
        self.drivers[number] = process, driver
        return driver

    async def digests(self) -> list[str]:
        """Of the ledgers of all dispatchers that live."""
        ledgers = [driver.member.ledger for process, driver in self.drivers.values() if not process.dead]
        return [f"{ledger.standing.digest:016x}" for ledger in ledgers if ledger is not None]

    def note_death(self, process: VirtualProcess) -> None:
        self.ended_at.setdefault(process, round(self.loop.time() * 1e6))

    def traced(self) -> tuple[list[QuotaTrace], int]:
        """What dispatchers traced, and when the rehearsal began by its clock."""
        return [
            QuotaTrace(number, trace.getvalue().splitlines(), self.ended_at.get(process, 0))
            for number, process, trace in self.traces
        ], round(self.begun * 1e6)

    def ended(self, done: asyncio.Task[None]) -> None:
        """A dispatcher that breaks off, at its start or later, must not pass for a quiet one."""
        if not done.cancelled() and (trouble := done.exception()) is not None:
            self.loop.trouble.append({"message": "a dispatcher ended", "exception": trouble})

    def stop_dispatcher(self, number: int) -> None:
        self.processes[number][1].set()

    def reload_dispatcher(self, number: int, told: dict[str, Any]) -> bool:
        """Put other settings in force, as SIGHUP does; return False for a process that is not up yet.

        Such a process goes by the settings of its start here.
        """
        process, _ = self.processes[number]
        node = self.nodes.get(number)
        if node is None or process.dead:
            return False
        read = start_from_document(JsonObject(told), {}, is_reload=True)
        self.loop.call_soon(node.reload, read, context=process.context())
        return True

    def hold_up_dispatcher(self, number: int, seconds: float) -> None:
        """Let a dispatcher get no processor for so long; what is sent to it comes all the same."""
        self.processes[number][0].held_until = self.loop.time() + seconds

    def kill_dispatcher(self, number: int) -> None:
        self.note_death(self.processes[number][0])
        self.net.kill(self.processes[number][0])
        if number in self.platters:
            self.platters[number].crash()

    def moment(self) -> ClockReading:
        """The machines start once, with the rehearsal."""
        at = round(self.wall() * 1e6)
        return ClockReading(at, "virtual", round(self.loop.time() * 1e6))

    def kept(self, number: int) -> tuple[DurableJobsSection, VirtualDisk] | None:
        """The terms and the disk of a dispatcher that keeps jobs."""
        if self.durable is None:
            return None
        told, seed, latency, zeros = self.durable
        if number not in self.platters:
            self.platters[number] = VirtualDisk(seed * 1009 + number, latency, zeros)
        return told, self.platters[number]

    def dispatcher_runs(self, number: int) -> bool:
        return number in self.processes and not self.processes[number][0].dead

    async def clear_away(self) -> None:
        self.links = NoLatency()
        for process in self.all:
            await process.clear_away()

    def drop(self) -> None:
        for process in self.all:
            process.drop()

    def measures(self) -> dict[str, Any]:
        return {"connections": self.net.connected}

    # --- the machine under a dispatcher

    def wall(self) -> float:
        return EPOCH + self.loop.time()

    def listening(self, address: Address, backlog: int) -> Any:
        return self.net.socket(address, backlog)

    # --- the wires

    def delay(self, source: str, target: str) -> int:
        if source == target:
            return 20
        return int(self.links.delay(self.machines[source], self.machines[target]))

    def split(self, size: int) -> int:
        return int(self.links.split(size))

    def carried(self, source: str, target: str, data: bytes) -> list[tuple[int, bytes]]:
        if self.cut(source, target):
            return []
        names = [f"d{self.machines[address].number}" for address in (source, target)]
        return self.talk.carried(names[0], names[1], self.delay(source, target), data)

    def cut(self, source: str, target: str) -> bool:
        return source != target and bool(self.links.cut(self.machines[source], self.machines[target]))
