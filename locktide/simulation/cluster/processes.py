"""Runs of several processes on loopback with faults; the checker reads the traces that they write."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from locktide.cluster.inspection_client import inspect_member
from locktide.protocol import names
from locktide.simulation.cluster.datagram_relay import DatagramRelay
from locktide.simulation.cluster.quota_checker import QuotaChecker
from locktide.simulation.cluster.virtual_cluster import ClusterNetwork

HOST = "127.0.0.1"
FAULTS = (
    "cut",
    "cut one way",
    "lossy",
    "late",
    "doubling",
    "garbling",
    "pause",
    "kill",
    "restart",
    "twice",
    "two thirds",
    "stop",
)
#: How long the processes may take to start, in seconds.
START_TIMEOUT_S = 20.0
#: Time without faults at the end of a run, in seconds.
QUIET_TIME_S = 8.0
#: Last part of the quiet time, in which no requests are submitted, in seconds. Requests that wait are given
#: up after one second; two idle seconds follow.
IDLE_TIME_S = 3.0


def free_port(kind: socket.SocketKind) -> int:
    """Return a port of that kind that is free at present."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def monotonic_us() -> int:
    """Return the monotonic time in microseconds, which is the clock of the traces."""
    return time.monotonic_ns() // 1000


@dataclass
class MemberProcess:
    """One process, from its start to its end.

    Attributes:
        name: the name of the member.
        process: the operating system's process.
        trace: the file to which it writes the quotas in force.
        ended_at: when it was killed, in microseconds of the monotonic clock; 0 while it is alive.
        paused: whether it is stopped by SIGSTOP.
    """

    name: str
    process: subprocess.Popen[bytes]
    trace: Path
    ended_at: int = 0
    paused: bool = False

    @property
    def alive(self) -> bool:
        """Return whether the process has not been killed."""
        return not self.ended_at


@dataclass
class ProcessOutcome:
    """The outcome of one run.

    Attributes:
        seed: the seed of the run.
        processes: how many names of members there are.
        faults: how often each fault was injected.
        overruns: the first five overruns of quotas.
        datagrams: how many datagrams were sent to the relay.
        lost: how many of them were lost or cut.
        changes: how many changes of the quotas in force all processes recorded.
        asked: how many requests were submitted.
        loans: how many loans were in force, counted anew at each change.
        reclaims: for each return of an owner that had lent, the seconds until its loans were over.
        ledgers: how many different ledgers there are at the end; 1 if all are equal.
        agree: whether all processes answered at the end and regard the same members as alive.
    """

    seed: int
    processes: int
    faults: dict[str, int] = field(default_factory=dict)
    overruns: list[str] = field(default_factory=list)
    datagrams: int = 0
    lost: int = 0
    changes: int = 0
    asked: int = 0
    loans: int = 0
    reclaims: list[float] = field(default_factory=list)
    ledgers: int = 0
    agree: bool = False

    @property
    def as_dict(self) -> dict[str, Any]:
        """Return the fields by name."""
        return asdict(self)


class ProcessCluster:
    """Several processes with a relay between them.

    Attributes:
        program: arguments of the interpreter that start a dispatcher; a test replaces them, for a faulty one.
        seed: the seed of the run.
        random: the source of random draws, besides that of the relay.
        folder: the folder of the settings, traces and logs.
        relay: the relay.
        names: the names of the members.
        acceptors: those of them that elect the leader.
        member_addresses: the addresses at which the members receive datagrams, by name.
        relay_addresses: the ports of the relay at which the other members reach them, by name.
        processes: all processes that were started.
        fault_counts: how often each fault was injected.
        client_addresses: the address at which the latest process of each name accepts requests.
        submissions: when requests were submitted, in microseconds of the monotonic clock, and their tenants.
        demand_factors: the present demand of each tenant; at 2 or more it has a request in every draw.
    """

    program = ("-m", "locktide.cli.main")

    def __init__(self, seed: int, count: int, folder: Path) -> None:
        self.seed, self.random, self.folder, self.relay = seed, Random(seed), folder, DatagramRelay(seed)
        self.names = [f"d{number}" for number in range(count)]
        self.acceptors = self.names[: 3 if count < 5 else 5]
        self.member_addresses = {name: (HOST, free_port(socket.SOCK_DGRAM)) for name in self.names}
        self.relay_addresses: dict[str, tuple[str, int]] = {}
        self.processes: list[MemberProcess] = []
        self.fault_counts = Counter[str]()
        self.client_addresses: dict[str, tuple[str, int]] = {}
        self.submissions: list[tuple[int, str]] = []
        self.demand_factors = {"dairy": 1.0, "goats": 1.0}

    async def submit_requests(self) -> None:
        """Submit requests of tenants whose demand changes, without waiting for the responses."""
        connections: dict[str, asyncio.StreamWriter] = {}
        number = 0
        while True:
            await asyncio.sleep(0.02)
            for tenant in self.demand_factors:
                if self.random.random() < 0.008:
                    self.demand_factors[tenant] = self.random.choice((0.0, 0.0, 1.0, 3.0))
            for name in [member_process.name for member_process in self.running_processes()]:
                tenant = self.random.choice(list(self.demand_factors))
                if self.random.random() * 2.0 > self.demand_factors[tenant]:
                    continue
                number += 1
                fields = {
                    "Host": "us",
                    names.REQUEST_ID: f"{self.seed}-{number}",
                    names.SERVICE_CLASS: "view",
                    names.TIMEOUT: "900m",
                    names.EXTRAS: f"{names.WIDTH}=1,{names.TENANT}={tenant}",
                    "Content-Length": "0",
                }
                head = "\r\n".join(["POST /view HTTP/1.1", *(f"{a}: {b}" for a, b in fields.items()), "", ""])
                # Each request has a new connection: requests are counted, and responses are not read.
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.2):
                        _, writer = await asyncio.open_connection(*self.client_addresses[name])
                        writer.write(head.encode())
                    self.submissions.append((monotonic_us(), tenant))
                    if (previous := connections.pop(name, None)) is not None:
                        previous.close()
                    connections[name] = writer

    def write_config(
        self, name: str, member_address: tuple[str, int], reachable_at: tuple[str, int], trace: Path
    ) -> Path:
        """Write the settings of a process, with a new port for clients; return their path."""
        self.client_addresses[name] = (HOST, free_port(socket.SOCK_STREAM))
        lines = [
            "[serve]",
            f'name = "{name}"',
            f'listen = "{HOST}:{self.client_addresses[name][1]}"',
            f'roster = "{HOST}:9"',
            "[log]",
            'format = "json"',
            "[accord]",
            "on = true",
            f'listen = "{member_address[0]}:{member_address[1]}"',
            f'reach = "{reachable_at[0]}:{reachable_at[1]}"',
            f"most = {len(self.names) + 2}",
            f'trace = "{trace}"',
            "lend = 0.6",
        ]
        for acceptor in self.acceptors:
            address = (
                self.relay_addresses[acceptor]
                if acceptor != name or reachable_at == self.relay_addresses[name]
                else reachable_at
            )
            lines += ["[[accord.electors]]", f'name = "{acceptor}"', f'address = "{address[0]}:{address[1]}"']
        lines += [
            "[[tenant]]",
            'name = "dairy"',
            "rate = 100.0",
            "[[tenant]]",
            'name = "goats"',
            "rate = 50.0",
            "[[accord.resource]]",
            'name = "slots"',
            "each = 4.0",
            "[[grade]]",
            'name = "view"',
            "limit = 3.0",
            "[grade.holds]",
            "slots = 1.0",
        ]
        path = trace.with_suffix(".toml")
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, name: str, is_double: bool = False) -> MemberProcess:
        """Start a process of that name; a double runs beside another one, at an address of its own."""
        trace = self.folder / f"{name}-{len(self.processes)}.trace"
        member_address = (HOST, free_port(socket.SOCK_DGRAM)) if is_double else self.member_addresses[name]
        path = self.write_config(
            name, member_address, member_address if is_double else self.relay_addresses[name], trace
        )
        if is_double:
            self.relay.senders_by_address[member_address] = name
        with open(trace.with_suffix(".log"), "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *self.program, "serve", str(path)],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[3])},
            )
        member_process = MemberProcess(name, process, trace)
        self.processes.append(member_process)
        return member_process

    def running_processes(self) -> list[MemberProcess]:
        """Return the processes that are neither dead nor paused."""
        return [
            member_process
            for member_process in self.processes
            if member_process.alive and not member_process.paused
        ]

    def kill(self, member_process: MemberProcess, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """End a process; after SIGTERM it has six seconds to stop by itself."""
        if member_process.alive:
            member_process.process.send_signal(signal_number)
            if signal_number == signal.SIGTERM:
                with suppress(subprocess.TimeoutExpired):
                    member_process.process.wait(6.0)
            member_process.process.kill()
            member_process.process.wait()
            member_process.ended_at = monotonic_us()

    # --- faults

    async def inject(self, fault: str) -> None:
        """Inject a fault, and undo it after a random time."""
        self.fault_counts[fault] += 1
        network, duration = self.relay.network, self.random.uniform(0.3, 4.0)
        live = self.running_processes()
        one = self.random.choice(live) if live else None
        if fault in ("cut", "cut one way"):
            separated = set(self.random.sample(self.names, self.random.randrange(1, len(self.names))))
            links = {(one, other) for one in separated for other in self.names if other not in separated}
            links |= {(other, one) for one, other in links} if fault == "cut" else set()
            network.cut |= links
            await asyncio.sleep(duration)
            network.cut -= links
        elif fault in ("lossy", "late", "doubling", "garbling"):
            key = {"lossy": "lose", "late": "late", "doubling": "double", "garbling": "garble"}[fault]
            setattr(network, key, self.random.uniform(0.1, 0.6))
            await asyncio.sleep(duration)
            setattr(network, key, 0.0)
        elif fault == "two thirds":
            killed = self.random.sample(live, 2 * len(live) // 3)
            for member_process in killed:
                self.kill(member_process)
            await asyncio.sleep(duration)
            for member_process in killed:
                self.restart(member_process.name)
        elif one is not None and fault == "pause":
            one.paused = True
            one.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration + 2.5)  # longer than a lease
            one.process.send_signal(signal.SIGCONT)
            one.paused = False
        elif one is not None and fault in ("kill", "restart", "stop"):
            self.kill(one, signal.SIGTERM if fault == "stop" else signal.SIGKILL)
            await asyncio.sleep(duration if fault == "kill" else 0.0)
            self.restart(one.name)
        elif one is not None and fault == "twice" and self.fault_counts["twice"] <= 2:
            double = self.start(one.name, is_double=True)
            await asyncio.sleep(duration + 1.5)
            self.kill(double)

    def restart(self, name: str) -> None:
        """Start a process of that name, unless one is alive."""
        if not any(member_process.alive and member_process.name == name for member_process in self.processes):
            self.start(name)

    # --- the run

    async def run(self, length_s: float, faults: list[tuple[float, str]]) -> ProcessOutcome:
        """Run for that long and the quiet time, with faults at their times in seconds; return the outcome."""
        try:
            for name in self.names:
                self.relay_addresses[name] = await self.relay.open_path(name, self.member_addresses[name])
            for name in self.names:
                self.start(name)
            started_at = time.monotonic()
            while any(not member_process.trace.exists() for member_process in self.processes):
                if time.monotonic() - started_at > START_TIMEOUT_S:
                    raise TimeoutError("not all processes came up")
                await asyncio.sleep(0.05)
            fault_tasks = [
                asyncio.create_task(self.inject_after(delay_s, fault)) for delay_s, fault in faults
            ]
            submitting = asyncio.create_task(self.submit_requests())
            await asyncio.sleep(length_s)
            await asyncio.gather(*fault_tasks)
            self.relay.network = ClusterNetwork()
            await asyncio.sleep(max(0.0, QUIET_TIME_S - IDLE_TIME_S))
            submitting.cancel()
            await asyncio.sleep(IDLE_TIME_S)
            return await self.summarize()
        finally:
            for member_process in self.processes:
                if member_process.paused:
                    member_process.process.send_signal(signal.SIGCONT)
                self.kill(member_process)
            self.relay.close()

    async def inject_after(self, delay_s: float, fault: str) -> None:
        """Inject a fault after a time."""
        await asyncio.sleep(delay_s)
        await self.inject(fault)

    async def summarize(self) -> ProcessOutcome:
        """Return the outcome, from an inspection of the running processes and from all traces."""
        views, digests = [], set()
        for member_process in self.running_processes():
            with suppress(OSError, TimeoutError, ValueError):
                inspection = await inspect_member(self.member_addresses[member_process.name])
                digests.add(inspection["ledger"].get("digest"))
                views.append(
                    [row["name"] for row in inspection["members"] if row["state"] in ("alive", "suspect")]
                )
        checker, changes = QuotaChecker({"dairy": (0.0, 0.0), "goats": (0.0, 0.0)}), 0
        for member_process in self.processes:
            for line in (
                member_process.trace.read_text().splitlines() if member_process.trace.exists() else ()
            ):
                record, changes = json.loads(line), changes + 1
                loans = {(owner, borrower): share for owner, borrower, share in record["loans"]}
                checker.record_quotas(
                    member_process.trace.name,
                    record["at"],
                    record["parts"],
                    record["until"],
                    record["floor"],
                    loans,
                    record["loans_until"],
                )
            if member_process.ended_at:
                checker.record_end(member_process.trace.name, member_process.ended_at)
        for at, tenant in self.submissions:
            checker.record_submission(tenant, at)
        reclaims = [one.loans_over_after / 1e6 for one in checker.reclaims(3_000_000)]
        return ProcessOutcome(
            self.seed,
            len(self.names),
            dict(self.fault_counts),
            [f"{one.at}: {one.quota}, {one.description}" for one in checker.overruns()[:5]],
            self.relay.received_count,
            self.relay.lost_count,
            changes,
            len(self.submissions),
            sum(1 for _ in checker.loan_periods()),
            reclaims,
            len(digests),
            len(views) == len(self.running_processes()) and all(view == views[0] for view in views),
        )


def draw_faults(seed: int, count: int, length_s: float, fault_count: int) -> list[tuple[float, str]]:
    """Draw the faults of a run, with their times in seconds."""
    random = Random(seed * 31 + count)
    return [(random.uniform(4.0, 4.0 + length_s), random.choice(FAULTS)) for _ in range(fault_count)]


def run(seed: int, count: int, folder: Path, length_s: float = 16.0, fault_count: int = 6) -> ProcessOutcome:
    """Run `count` processes with random faults; `length_s` is the time in which faults begin."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(
        ProcessCluster(seed, count, folder).run(
            4.0 + length_s, draw_faults(seed, count, length_s, fault_count)
        )
    )
