"""Backend in virtual time: the dispatchers' own code in this process, on a virtual clock and network."""

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

EPOCH = 1_800_000_000  # the Unix time at which every virtual run begins, in seconds
START_DELAY = 0.3  # seconds from a dispatcher's start until it listens, as for a real process
MAX_LOG_LINES = 2000  # further log lines of the dispatchers are dropped


class RecordingLog(Log):
    """Log that keeps the lines of dispatchers, with the virtual time."""

    def __init__(self, name: str, loop: VirtualLoop, lines: list[str]) -> None:
        super().__init__(name)
        self.loop, self.lines = loop, lines

    def emit(self, line: str, kind: str = "", event: str = "", **fields: Any) -> None:
        if len(self.lines) < MAX_LOG_LINES:
            self.lines.append(f"{self.loop.time():.3f} {self.name} {line}")


class NoLatency:
    """Links without delays or cuts, for the clean-up after a run."""

    def delay(self, source: Machine, target: Machine) -> int:
        return 0

    def split(self, size: int) -> int:
        return 0

    def cut(self, source: Machine, target: Machine) -> bool:
        return False


class RecordedText(io.StringIO):
    """A trace file whose text outlives its close by the writer."""

    def __init__(self, kept: io.StringIO) -> None:
        super().__init__()
        self.kept = kept

    def write(self, text: str) -> int:
        return self.kept.write(text)


class VirtualBackend:
    slack = 0  # virtual time is exact

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.net = loop, VirtualNetwork(loop, self)
        self.links: Any = None  # the links of the scenario runner, set once that exists
        self.machines: dict[str, Machine] = {}
        self.processes: dict[int, tuple[VirtualProcess, asyncio.Event]] = {}
        self.dispatchers: dict[int, Dispatcher] = {}  # of the processes that have started
        self.begun = 0.0
        self.log_lines: list[str] = []
        # Settings, seed, sync latency in seconds, and fraction of the crashes that leave zeros.
        self.durable: tuple[DurableJobsSection, int, float, float] | None = None
        self.disks: dict[int, VirtualDisk] = {}
        self.on_crash_point: Callable[[int, str], None] = lambda number, name: None
        self.all_processes: list[VirtualProcess] = []  # also those that have ended
        self.peer_links = PeerLinks(0)
        # With a cluster: returns the cluster configuration of a dispatcher, by its number, name and address.
        self.cluster_for: Callable[[int, str, str], ClusterConfig] | None = None
        self.traces: list[tuple[int, VirtualProcess, io.StringIO]] = []
        self.ended_at: dict[VirtualProcess, int] = {}
        self.udp_transports: dict[int, tuple[VirtualProcess, UdpTransport]] = {}

    # --- the backend

    def now(self) -> int:
        return round((self.loop.time() - self.begun) * 1e6)

    def unix_time(self, at: int) -> int:
        return round((EPOCH + self.begun) * 1e6) + at

    def begin(self) -> None:
        self.begun = self.loop.time()

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        # In the context of no process, as a timer set by a dispatcher at a crash point has to outlive it.
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
        self.net.links_restored()

    def start_dispatcher(self, number: int, start_config: dict[str, Any]) -> None:
        name = start_config["name"]
        process = VirtualProcess(name, start_config["listen"].rpartition(":")[0])
        stop = asyncio.Event()
        self.processes[number] = (process, stop)
        self.dispatchers.pop(number, None)
        self.all_processes.append(process)
        config = start_from_document(JsonObject(start_config), {})
        durable_setup = self.durable_setup(number)
        known = discovery.read(config.cached_endpoints, "known")
        context = process.context()

        async def run() -> None:
            await asyncio.sleep(START_DELAY)
            log = RecordingLog(name, self.loop, self.log_lines)
            dispatcher = Dispatcher(config, known, log, self)
            self.dispatchers[number] = dispatcher
            if stop.is_set():  # the signal came during the start and was blocked
                dispatcher.shutdown.note_signal()
            job_service = None
            if durable_setup is not None:
                durable_section, disk = durable_setup
                job_service = await attach_job_service(
                    dispatcher, durable_section, log, disk.mount(), self.clock_reading()
                )
                job_service.write_ahead_log.reach_crash_point = partial(self.on_crash_point, number)
            udp_transport = (
                await self.join_cluster(number, process, dispatcher, log)
                if self.cluster_for is not None
                else None
            )
            await dispatcher.run(stop)
            if udp_transport is not None:
                await udp_transport.close()
            if job_service is not None:
                await job_service.close()
            self.note_death(process)
            self.net.kill(process)

        self.loop.create_task(run(), context=context).add_done_callback(self.on_dispatcher_ended)

    async def join_cluster(
        self, number: int, process: VirtualProcess, dispatcher: Dispatcher, log: Log
    ) -> UdpTransport:
        assert self.cluster_for is not None
        trace = io.StringIO()
        self.traces.append((number, process, trace))
        cluster_config = self.cluster_for(number, process.name, process.address)
        # The start time distinguishes the process from earlier ones, as the real clock does elsewhere.
        cluster_config = replace(
            cluster_config, member_id=(process.name, round(self.wall() * 1e6)), random_seed=len(self.traces)
        )
        udp_transport = await open_udp_transport(
            cluster_config, log, dispatcher.bridge, (process.address, TALK_PORT), RecordedText(trace)
        )
        self.udp_transports[number] = process, udp_transport
        return udp_transport

    async def digests(self) -> list[str]:
        """Return the digests of the fairness ledgers of all live dispatchers."""
        ledgers = [
            udp_transport.member.ledger
            for process, udp_transport in self.udp_transports.values()
            if not process.dead
        ]
        return [f"{ledger.standing.digest:016x}" for ledger in ledgers if ledger is not None]

    def note_death(self, process: VirtualProcess) -> None:
        self.ended_at.setdefault(process, round(self.loop.time() * 1e6))

    def traced(self) -> tuple[list[QuotaTrace], int]:
        """Return the traces of all dispatchers, and when the run began by the clock of the traces."""
        return [
            QuotaTrace(number, trace.getvalue().splitlines(), self.ended_at.get(process, 0))
            for number, process, trace in self.traces
        ], round(self.begun * 1e6)

    def on_dispatcher_ended(self, done: asyncio.Task[None]) -> None:
        """Record the exception of a dispatcher that failed; it would otherwise look like a silent one."""
        if not done.cancelled() and (error := done.exception()) is not None:
            self.loop.unhandled.append({"message": "a dispatcher ended", "exception": error})

    def stop_dispatcher(self, number: int) -> None:
        """Send a process the signal to stop, which it handles as soon as it has a processor."""
        process, stop = self.processes[number]
        self.loop.deliver_signal(process, partial(self.handle_stop_signal, number, stop))

    def handle_stop_signal(self, number: int, stop: asyncio.Event) -> None:
        if (dispatcher := self.dispatchers.get(number)) is not None:
            dispatcher.shutdown.note_signal()
        stop.set()

    def reload_dispatcher(self, number: int, start_config: dict[str, Any]) -> bool:
        """Put other settings in force, as SIGHUP does; return False for a process that is not up yet.

        Here such a process keeps the settings with which it was started.
        """
        process, _ = self.processes[number]
        dispatcher = self.dispatchers.get(number)
        if dispatcher is None or process.dead:
            return False
        config = start_from_document(JsonObject(start_config), {}, is_reload=True)
        self.loop.call_soon(dispatcher.reload, config, context=process.context())
        return True

    def hold_up_dispatcher(self, number: int, seconds: float) -> None:
        """Give a dispatcher no processor for `seconds`; what is sent to it still arrives."""
        self.processes[number][0].held_until = self.loop.time() + seconds

    def kill_dispatcher(self, number: int) -> None:
        self.note_death(self.processes[number][0])
        self.net.kill(self.processes[number][0])
        if number in self.disks:
            self.disks[number].crash()

    def clock_reading(self) -> ClockReading:
        """Return the clocks of a machine; all machines boot once, at the start of the run."""
        at = round(self.wall() * 1e6)
        return ClockReading(at, "virtual", round(self.loop.time() * 1e6))

    def durable_setup(self, number: int) -> tuple[DurableJobsSection, VirtualDisk] | None:
        """Return the settings and the disk of a dispatcher with durable jobs; None without these."""
        if self.durable is None:
            return None
        durable_section, seed, latency, zeros = self.durable
        if number not in self.disks:
            self.disks[number] = VirtualDisk(seed * 1009 + number, latency, zeros)
        return durable_section, self.disks[number]

    def dispatcher_runs(self, number: int) -> bool:
        return number in self.processes and not self.processes[number][0].dead

    async def clear_away(self) -> None:
        self.links = NoLatency()
        for process in self.all_processes:
            await process.clear_away()

    def drop(self) -> None:
        for process in self.all_processes:
            process.drop()

    def measures(self) -> dict[str, Any]:
        return {"connections": self.net.connection_count}

    # --- the machine under a dispatcher

    def wall(self) -> float:
        return EPOCH + self.loop.time()

    def open_listener(self, address: Address, backlog: int) -> Any:
        return self.net.socket(address, backlog)

    # --- links

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
        return self.peer_links.carried(names[0], names[1], self.delay(source, target), data)

    def cut(self, source: str, target: str) -> bool:
        return source != target and bool(self.links.cut(self.machines[source], self.machines[target]))
