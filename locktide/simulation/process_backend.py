"""Backend on loopback: dispatchers as processes of `python -m locktide`, real sockets and real time."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

from locktide.cluster.inspection_client import inspect_member
from locktide.config.installation.cluster import ClusterSection
from locktide.simulation.backend import DISPATCHER_PORT, REACH_PORT, TALK_PORT, Address, net_address
from locktide.simulation.cluster_report import QuotaTrace
from locktide.simulation.latency import DelayedDirection, DelayedProtocol, DelayedTransport
from locktide.simulation.model.network import Machine, NetworkLinks
from locktide.simulation.peer_links import PeerLinks

# A run counts only if the event loop of this process kept up, which is checked by how late it is woken. A
# wake later than LATE_WAKE shows in response times; more than MAX_LATE_PART of such wakes, or one wake later
# than VERY_LATE_WAKE, falsify the figures. All values are seconds, except MAX_LATE_PART, which is a fraction.
WAKE_CHECK_INTERVAL, LATE_WAKE, VERY_LATE_WAKE, MAX_LATE_PART = 0.02, 0.05, 0.5, 0.01
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
LOOPBACK_NETS = range(2, 250)


class NoAddressError(OSError):
    """No part of 127.0.0.0/8 is free for a run."""


class DelayedListener:
    """A listening socket; while its link is cut its queue is full, so that no connection is established."""

    def __init__(
        self,
        host: ProcessBackend,
        here: Machine,
        there: Machine,
        address: Address,
        factory: Callable[[], Any],
    ) -> None:
        self.host, self.here, self.there, self.address, self.factory = host, here, there, address, factory
        self.server: asyncio.Server | None = None
        self.blocking_sockets: list[socket.socket] = []
        self.closed = False

    async def open(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: DelayedProtocol(self.host, self.here, self.there, self.factory()),
            *self.address,
            backlog=256,
        )
        if self.closed:
            self.server.close()

    def links_changed(self) -> None:
        cut = self.host.links.cut(self.here, self.there)
        if cut and not self.blocking_sockets and not self.closed:
            if self.server is not None:
                self.server.close()
            # A full queue of connections that are never accepted: the kernel drops further ones.
            full = socket.create_server(self.address, backlog=0)
            self.blocking_sockets = [full]
            for _ in range(3):
                blocking_socket = socket.socket()
                blocking_socket.setblocking(False)
                with suppress(BlockingIOError):
                    blocking_socket.connect(self.address)
                self.blocking_sockets.append(blocking_socket)
        elif not cut and self.blocking_sockets:
            self.unblock()
            if not self.closed:
                self.host.spawn(self.open())

    def unblock(self) -> None:
        for blocking_socket in self.blocking_sockets:
            blocking_socket.close()
        self.blocking_sockets.clear()

    def close(self) -> None:
        self.closed = True
        self.unblock()
        if self.server is not None:
            self.server.close()
        self.host.listeners.pop(self, None)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Relay of all datagrams to one dispatcher."""

    transport: asyncio.DatagramTransport

    def __init__(self, host: ProcessBackend, names: dict[str, Machine], target: Machine) -> None:
        self.host, self.names, self.target = host, names, target

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, source: Any) -> None:
        host, sender = self.host, self.names.get(source[0])
        if sender is None or host.links.cut(sender, self.target):
            return
        delay = host.links.delay(sender, self.target)
        for after, copy in host.peer_links.carried(
            f"d{sender.number}", f"d{self.target.number}", delay, data
        ):
            host.loop.call_later(after / 1e6, self.send, copy)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, (self.host.address(self.target), TALK_PORT))

    def error_received(self, error: Exception) -> None:
        pass  # the dispatcher does not listen at the moment


class ProcessBackend:
    links: NetworkLinks
    slack = 30_000  # microseconds by which the times of one event at two processes of a machine may differ

    def __init__(self, program: Path, folder: Path) -> None:
        """Create a backend; `program` is the checkout to run, configurations and logs go to `folder`."""
        self.program, self.folder = program, folder
        self.loop = asyncio.get_running_loop()
        self.begun, self.unix_begun = self.loop.time(), time.time()
        self.directions: dict[DelayedDirection, None] = {}
        self.listeners: dict[DelayedListener, None] = {}
        self.links_changed_event = asyncio.Event()  # set, and replaced, at each change of the links
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        # With durable jobs or a cluster: renders a start document as an installation file.
        self.as_file: Callable[[dict[str, Any], Path, ClusterSection | None], str] | None = None
        # With a cluster: returns the cluster section of a dispatcher, by its number and trace path.
        self.cluster_for: Callable[[int, Path], ClusterSection] | None = None
        self.peer_links = PeerLinks(os.getpid())
        self.relays: dict[int, asyncio.DatagramTransport] = {}
        self.inspection_hosts: dict[int, str] = {}
        self.lives: list[tuple[int, Path, subprocess.Popen[bytes]]] = []
        self.files: dict[int, Path] = {}  # the start file of each dispatcher
        self.ended_at: dict[int, int] = {}  # by process id
        self.starts = 0
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.net = self.find_free_net()
        self.wake_count = self.late_wakes = 0
        self.max_lateness = 0.0
        self.memory: dict[int, float] = {}
        self.cpu: dict[int, float] = {}  # seconds, by process id
        self.descriptors = 0
        self.spawn(self.watch())

    @staticmethod
    def find_free_net() -> int:
        """Return a free block of loopback addresses, so that concurrent runs do not interfere."""
        for place in range(len(LOOPBACK_NETS)):
            net = LOOPBACK_NETS[(os.getpid() + place) % len(LOOPBACK_NETS)]
            with suppress(OSError), socket.socket() as probe:
                probe.bind((f"127.{net}.99.1", DISPATCHER_PORT))
                return net
        raise NoAddressError("no free part of 127.0.0.0/8")

    def spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    # --- the backend

    def now(self) -> int:
        return int((self.loop.time() - self.begun) * 1e6)

    def unix_time(self, at: int) -> int:
        return int(self.unix_begun * 1e6) + at

    def begin(self) -> None:
        self.begun, self.unix_begun = self.loop.time(), time.time()
        self.wake_count = self.late_wakes = 0
        self.max_lateness = 0.0

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        return self.loop.call_at(self.begun + at / 1e6, what, *args)

    def address(self, machine: Machine) -> str:
        return net_address(self.net, machine)

    async def listen(
        self, here: Machine, there: Machine, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> DelayedListener:
        listener = DelayedListener(self, here, there, address, factory)
        self.listeners[listener] = None
        await listener.open()
        return listener

    async def connect(
        self, here: Machine, there: Machine, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.links.cut(here, there):
            await self.links_changed_event.wait()
        # The round trip of the handshake; the connection itself takes no time on loopback.
        await asyncio.sleep((self.links.delay(here, there) + self.links.delay(there, here)) / 1e6)
        reader = asyncio.StreamReader()
        inner = asyncio.StreamReaderProtocol(reader)
        _, protocol = await self.loop.create_connection(
            lambda: DelayedProtocol(self, here, there, inner), *address, local_addr=(self.address(here), 0)
        )
        return reader, asyncio.StreamWriter(protocol.facade, inner, reader, self.loop)

    def reset(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, DelayedTransport)
        transport.reset()

    def links_changed(self) -> None:
        for listener in list(self.listeners):
            listener.links_changed()
        for direction in list(self.directions):
            direction.links_restored()
        self.links_changed_event.set()
        self.links_changed_event = asyncio.Event()

    def start_dispatcher(self, number: int, start_config: dict[str, Any]) -> None:
        self.starts += 1
        path = self.folder / f"d{number}-{self.starts}.json"
        command = [sys.executable, "-m", "locktide"]
        if self.as_file is None:
            path.write_text(json.dumps(start_config), encoding="utf-8")
        else:
            path = path.with_suffix(".toml")
            cluster_section = (
                self.cluster_for(number, path.with_suffix(".trace")) if self.cluster_for is not None else None
            )
            text = self.as_file(start_config, self.folder / f"jobs-d{number}", cluster_section)
            path.write_text(text, encoding="utf-8")
            command = [sys.executable, "-m", "locktide.cli.main", "serve", str(path)]
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("GW_") and key != "PYTHONPATH"
        }
        with open(self.folder / f"d{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                command,
                cwd=self.program,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env={**environment, "GW_CONFIG": str(path)},
            )
        self.files[number] = path
        self.lives.append((number, path.with_suffix(".trace"), self.processes[number]))

    def stop_dispatcher(self, number: int) -> None:
        self.processes[number].terminate()

    def reload_dispatcher(self, number: int, start_config: dict[str, Any]) -> bool:
        """Replace the start file atomically, and send SIGHUP; return True, as the file is always applied."""
        path = self.files[number]
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(start_config), encoding="utf-8")
        new_path.replace(path)
        self.processes[number].send_signal(signal.SIGHUP)
        return True

    def hold_up_dispatcher(self, number: int, seconds: float) -> None:
        """Give a dispatcher no processor for `seconds`; what is sent to it still arrives."""
        process = self.processes[number]
        process.send_signal(signal.SIGSTOP)
        self.loop.call_later(seconds, process.send_signal, signal.SIGCONT)

    def kill_dispatcher(self, number: int) -> None:
        process = self.processes[number]
        if process.poll() is None:
            self.measure(process)
            process.send_signal(signal.SIGKILL)
        process.wait()
        self.ended_at.setdefault(process.pid, time.monotonic_ns() // 1000)

    # --- datagrams between dispatchers

    async def open_peer_links(self, machines: list[Machine]) -> None:
        """Open a relay for each dispatcher, at which others reach it, and which applies links and faults."""
        names = {self.address(machine): machine for machine in machines}
        for machine in machines:
            here = self.address(machine)
            transport, _ = await self.loop.create_datagram_endpoint(
                partial(PeerDatagrams, self, names, machine), local_addr=(here, REACH_PORT)
            )
            self.relays[machine.number] = transport
            self.inspection_hosts[machine.number] = here

    async def digests(self) -> list[str]:
        """Return the digests of the fairness ledgers of all live dispatchers, by inspection."""
        found = []
        for number, (_, process) in {number: (path, process) for number, path, process in self.lives}.items():
            if process.poll() is None:
                with suppress(OSError, TimeoutError, ValueError):
                    inspected = await inspect_member((self.inspection_hosts[number], TALK_PORT))
                    found.append(str(inspected["ledger"].get("digest", "")))
        return found

    def traced(self) -> tuple[list[QuotaTrace], int]:
        """Return the traces of all dispatchers, and when the run began by the clock of the traces."""
        return [
            QuotaTrace(
                number,
                path.read_text().splitlines() if path.exists() else [],
                self.ended_at.get(process.pid, 0),
            )
            for number, path, process in self.lives
        ], round(self.begun * 1e6)

    def dispatcher_runs(self, number: int) -> bool:
        return number in self.processes and self.processes[number].poll() is None

    async def clear_away(self) -> None:
        for number in self.processes:
            self.kill_dispatcher(number)
        for transport in self.relays.values():
            transport.close()
        for listener in list(self.listeners):
            listener.close()
        for direction in list(self.directions):
            direction.end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    # --- measurements

    async def watch(self) -> None:
        """Measure how late this process is woken, and the resources that dispatchers use."""
        measured = self.loop.time()
        while True:
            due = self.loop.time() + WAKE_CHECK_INTERVAL
            await asyncio.sleep(WAKE_CHECK_INTERVAL)
            lateness = self.loop.time() - due
            self.wake_count += 1
            self.late_wakes += lateness > LATE_WAKE
            self.max_lateness = max(self.max_lateness, lateness)
            if self.loop.time() - measured >= 1.0:
                measured = self.loop.time()
                for process in self.processes.values():
                    if process.poll() is None:
                        self.measure(process)

    def sum_up(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                self.measure(process)

    def logs(self) -> list[str]:
        lines = []
        for path in sorted(self.folder.glob("d*.log")):
            lines += path.read_text(errors="replace").splitlines()
        return sorted(lines)

    def measure(self, process: subprocess.Popen[bytes]) -> None:
        """Read the resources of a process from /proc; skip one that is just ending."""
        with suppress(OSError, ValueError, IndexError):
            root = Path(f"/proc/{process.pid}")
            for line in (root / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.memory[process.pid] = int(line.split()[1]) / 1024
            after = (root / "stat").read_text().rpartition(")")[2].split()
            self.cpu[process.pid] = (int(after[11]) + int(after[12])) / CLOCK_TICKS
            self.descriptors = max(self.descriptors, len(os.listdir(root / "fd")))

    @property
    def kept_up(self) -> bool:
        return self.max_lateness < VERY_LATE_WAKE and self.late_wakes <= MAX_LATE_PART * max(
            1, self.wake_count
        )

    def measures(self) -> dict[str, Any]:
        return {
            "dispatcher_memory_mb": round(max(self.memory.values(), default=0.0), 1),
            "dispatcher_cpu_s": round(sum(self.cpu.values()), 2),
            "dispatcher_descriptors": self.descriptors,
            "late": {
                "most_ms": round(self.max_lateness * 1000, 1),
                "part_over_50_ms": round(self.late_wakes / max(1, self.wake_count), 5),
            },
            "counts": self.kept_up,
        }
