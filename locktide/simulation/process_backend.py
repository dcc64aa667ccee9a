"""The host on loopback: dispatchers as processes of `python -m locktide`, stand-ins on real sockets, real
time.
"""

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

# A run counts only if our own loop kept up: it looks every so often how late it was woken. A wake later than
# LATE is seen in the waits; more than one in a hundred, or one by VERY_LATE, moves the figures. Seconds.
LOOK_EVERY, LATE, VERY_LATE, MOST_LATE = 0.02, 0.05, 0.5, 0.01
TICKS = os.sysconf("SC_CLK_TCK")
NETS = range(2, 250)


class NoAddressError(OSError):
    """No part of 127.0.0.0/8 is free for a rehearsal."""


class DelayedListener:
    """One listening place. Over a cut link it stands full, so that connections never come up."""

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
        self.wall: list[socket.socket] = []
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
        if cut and not self.wall and not self.closed:
            if self.server is not None:
                self.server.close()
            # A full queue of connections that nobody accepts: the kernel drops what else would come.
            full = socket.create_server(self.address, backlog=0)
            self.wall = [full]
            for _ in range(3):
                one = socket.socket()
                one.setblocking(False)
                with suppress(BlockingIOError):
                    one.connect(self.address)
                self.wall.append(one)
        elif not cut and self.wall:
            self.unwall()
            if not self.closed:
                self.host.spawn(self.open())

    def unwall(self) -> None:
        for one in self.wall:
            one.close()
        self.wall.clear()

    def close(self) -> None:
        self.closed = True
        self.unwall()
        if self.server is not None:
            self.server.close()
        self.host.doors.pop(self, None)


class PeerDatagrams(asyncio.DatagramProtocol):
    """All talk that goes to one dispatcher."""

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
        for after, copy in host.talk.carried(f"d{sender.number}", f"d{self.target.number}", delay, data):
            host.loop.call_later(after / 1e6, self.send, copy)

    def send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.sendto(data, (self.host.address(self.target), TALK_PORT))

    def error_received(self, trouble: Exception) -> None:
        pass  # nobody listens there just now


class ProcessBackend:
    links: NetworkLinks
    slack = 30_000  # microseconds by which two processes of one machine may see a moment differently

    def __init__(self, program: Path, folder: Path) -> None:
        """`program` is the checkout whose locktide is run, `folder` takes configurations and logs."""
        self.program, self.folder = program, folder
        self.loop = asyncio.get_running_loop()
        self.begun, self.unix_begun = self.loop.time(), time.time()
        self.ways: dict[DelayedDirection, None] = {}
        self.doors: dict[DelayedListener, None] = {}
        self.whole = asyncio.Event()  # set at each change of the links
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        # Where jobs are durable: what a dispatcher is told, as an installation's file with that directory.
        self.as_file: Callable[[dict[str, Any], Path, ClusterSection | None], str] | None = None
        # Where dispatchers agree: the accord of one, by where it listens and is reached, and its trace.
        self.agree: Callable[[int, Path], ClusterSection] | None = None
        self.talk = PeerLinks(os.getpid())
        self.reached: dict[int, asyncio.DatagramTransport] = {}
        self.told_at: dict[int, str] = {}
        self.lives: list[tuple[int, Path, subprocess.Popen[bytes]]] = []
        self.files: dict[int, Path] = {}  # what each dispatcher was started with
        self.ended_at: dict[int, int] = {}  # by process id
        self.starts = 0
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.net = self.free_net()
        self.wakes = self.late = 0
        self.most_late = 0.0
        self.memory: dict[int, float] = {}
        self.cpu: dict[int, float] = {}  # seconds, by process id
        self.descriptors = 0
        self.spawn(self.watch())

    @staticmethod
    def free_net() -> int:
        """A part of loopback of its own, so that two rehearsals at once do not meet."""
        for place in range(len(NETS)):
            net = NETS[(os.getpid() + place) % len(NETS)]
            with suppress(OSError), socket.socket() as probe:
                probe.bind((f"127.{net}.99.1", DISPATCHER_PORT))
                return net
        raise NoAddressError("no free part of 127.0.0.0/8")

    def spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    # --- the host

    def now(self) -> int:
        return int((self.loop.time() - self.begun) * 1e6)

    def unix(self, at: int) -> int:
        return int(self.unix_begun * 1e6) + at

    def begin(self) -> None:
        self.begun, self.unix_begun = self.loop.time(), time.time()
        self.wakes = self.late = 0
        self.most_late = 0.0

    def call_at(self, at: int, what: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        return self.loop.call_at(self.begun + at / 1e6, what, *args)

    def address(self, machine: Machine) -> str:
        return net_address(self.net, machine)

    async def listen(
        self, here: Machine, there: Machine, address: Address, factory: Callable[[], asyncio.Protocol]
    ) -> DelayedListener:
        door = DelayedListener(self, here, there, address, factory)
        self.doors[door] = None
        await door.open()
        return door

    async def connect(
        self, here: Machine, there: Machine, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.links.cut(here, there):
            await self.whole.wait()
        # The handshake's way there and back; the connection itself takes no time here.
        await asyncio.sleep((self.links.delay(here, there) + self.links.delay(there, here)) / 1e6)
        reader = asyncio.StreamReader()
        inner = asyncio.StreamReaderProtocol(reader)
        _, lagged = await self.loop.create_connection(
            lambda: DelayedProtocol(self, here, there, inner), *address, local_addr=(self.address(here), 0)
        )
        return reader, asyncio.StreamWriter(lagged.facade, inner, reader, self.loop)

    def reset(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, DelayedTransport)
        transport.reset()

    def links_changed(self) -> None:
        for door in list(self.doors):
            door.links_changed()
        for way in list(self.ways):
            way.healed()
        self.whole.set()
        self.whole = asyncio.Event()

    def start_dispatcher(self, number: int, told: dict[str, Any]) -> None:
        self.starts += 1
        path = self.folder / f"d{number}-{self.starts}.json"
        command = [sys.executable, "-m", "locktide"]
        if self.as_file is None:
            path.write_text(json.dumps(told), encoding="utf-8")
        else:
            path = path.with_suffix(".toml")
            accord = self.agree(number, path.with_suffix(".trace")) if self.agree is not None else None
            text = self.as_file(told, self.folder / f"jobs-d{number}", accord)
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

    def reload_dispatcher(self, number: int, told: dict[str, Any]) -> bool:
        """Replace the start file in one step, and send SIGHUP; return True, as it is always taken."""
        path = self.files[number]
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(told), encoding="utf-8")
        beside.replace(path)
        self.processes[number].send_signal(signal.SIGHUP)
        return True

    def hold_up_dispatcher(self, number: int, seconds: float) -> None:
        """Let a dispatcher get no processor for so long; what is sent to it comes all the same."""
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

    # --- the dispatchers' talk

    async def open_talk(self, machines: list[Machine]) -> None:
        """Each is reached at a port of ours, from which what comes goes on to it as the script says."""
        names = {self.address(machine): machine for machine in machines}
        for machine in machines:
            here = self.address(machine)
            transport, _ = await self.loop.create_datagram_endpoint(
                partial(PeerDatagrams, self, names, machine), local_addr=(here, REACH_PORT)
            )
            self.reached[machine.number] = transport
            self.told_at[machine.number] = here

    async def digests(self) -> list[str]:
        """Of the ledgers of all dispatchers that live, as each tells it."""
        found = []
        for number, (_, process) in {number: (path, process) for number, path, process in self.lives}.items():
            if process.poll() is None:
                with suppress(OSError, TimeoutError, ValueError):
                    seen = await inspect_member((self.told_at[number], TALK_PORT))
                    found.append(str(seen["ledger"].get("digest", "")))
        return found

    def traced(self) -> tuple[list[QuotaTrace], int]:
        """What dispatchers traced, and when the rehearsal began by its clock."""
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
        for transport in self.reached.values():
            transport.close()
        for door in list(self.doors):
            door.close()
        for way in list(self.ways):
            way.end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    # --- how it went

    async def watch(self) -> None:
        """How late this process is woken, and what the dispatchers use."""
        measured = self.loop.time()
        while True:
            due = self.loop.time() + LOOK_EVERY
            await asyncio.sleep(LOOK_EVERY)
            late = self.loop.time() - due
            self.wakes += 1
            self.late += late > LATE
            self.most_late = max(self.most_late, late)
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
        """From /proc; a process that is just ending says nothing."""
        with suppress(OSError, ValueError, IndexError):
            root = Path(f"/proc/{process.pid}")
            for line in (root / "status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.memory[process.pid] = int(line.split()[1]) / 1024
            after = (root / "stat").read_text().rpartition(")")[2].split()
            self.cpu[process.pid] = (int(after[11]) + int(after[12])) / TICKS
            self.descriptors = max(self.descriptors, len(os.listdir(root / "fd")))

    @property
    def kept_up(self) -> bool:
        return self.most_late < VERY_LATE and self.late <= MOST_LATE * max(1, self.wakes)

    def measures(self) -> dict[str, Any]:
        return {
            "dispatcher_memory_mb": round(max(self.memory.values(), default=0.0), 1),
            "dispatcher_cpu_s": round(sum(self.cpu.values()), 2),
            "dispatcher_descriptors": self.descriptors,
            "late": {
                "most_ms": round(self.most_late * 1000, 1),
                "part_over_50_ms": round(self.late / max(1, self.wakes), 5),
            },
            "counts": self.kept_up,
        }
