"""Several processes of the program on loopback, with faults between them; the meter sums what they traced."""

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
READY_WITHIN = 20.0
QUIET = 8.0  # seconds at the end of a run
# Of them so many without a submission: what waits is given up after a second, then there are two of quiet.
SETTLES = 3.0


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind((HOST, 0))
        return int(one.getsockname()[1])


def monotonic() -> int:
    return time.monotonic_ns() // 1000


@dataclass
class MemberProcess:
    """One process, from its start to its end."""

    name: str
    process: subprocess.Popen[bytes]
    trace: Path
    ended_at: int = 0
    paused: bool = False

    @property
    def alive(self) -> bool:
        return not self.ended_at


@dataclass
class ProcessOutcome:
    seed: int
    processes: int
    faults: dict[str, int] = field(default_factory=dict)
    overruns: list[str] = field(default_factory=list)
    datagrams: int = 0
    lost: int = 0
    changes: int = 0  # of what was in force, over all
    asked: int = 0  # submissions handed in
    loans: int = 0
    reclaims: list[float] = field(default_factory=list)  # seconds until loans were over, of each return
    ledgers: int = 0  # different ones at the end; 1 where all are equal
    agree: bool = False

    @property
    def told(self) -> dict[str, Any]:
        return asdict(self)


class ProcessCluster:
    program = ("-m", "locktide.cli.main")  # a test puts one with a fault in its place

    def __init__(self, seed: int, count: int, folder: Path) -> None:
        self.seed, self.random, self.folder, self.relay = seed, Random(seed), folder, DatagramRelay(seed)
        self.names = [f"d{number}" for number in range(count)]
        self.electors = self.names[: 3 if count < 5 else 5]
        self.listen = {name: (HOST, free_port(socket.SOCK_DGRAM)) for name in self.names}
        self.reach: dict[str, tuple[str, int]] = {}
        self.lives: list[MemberProcess] = []
        self.counts = Counter[str]()
        # Where the latest process of each name takes submissions.
        self.serving: dict[str, tuple[str, int]] = {}
        self.asked: list[tuple[int, str]] = []  # when, of which tenant
        self.tenants = {"dairy": 1.0, "goats": 1.0}

    async def ask(self) -> None:
        """Clients that hand in and wait for nothing: tenants ask for much, little or nothing for a while."""
        lines: dict[str, asyncio.StreamWriter] = {}
        number = 0
        while True:
            await asyncio.sleep(0.02)
            for tenant in self.tenants:
                if self.random.random() < 0.008:
                    self.tenants[tenant] = self.random.choice((0.0, 0.0, 1.0, 3.0))
            for name in [life.name for life in self.live()]:
                tenant = self.random.choice(list(self.tenants))
                if self.random.random() * 2.0 > self.tenants[tenant]:
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
                # A new connection each time: what was asked for is counted, answers are nobody's.
                with suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.2):
                        _, writer = await asyncio.open_connection(*self.serving[name])
                        writer.write(head.encode())
                    self.asked.append((monotonic(), tenant))
                    if (before := lines.pop(name, None)) is not None:
                        before.close()
                    lines[name] = writer

    def file(self, name: str, listen: tuple[str, int], reach: tuple[str, int], trace: Path) -> Path:
        self.serving[name] = (HOST, free_port(socket.SOCK_STREAM))
        lines = [
            "[serve]",
            f'name = "{name}"',
            f'listen = "{HOST}:{self.serving[name][1]}"',
            f'roster = "{HOST}:9"',
            "[log]",
            'format = "json"',
            "[accord]",
            "on = true",
            f'listen = "{listen[0]}:{listen[1]}"',
            f'reach = "{reach[0]}:{reach[1]}"',
            f"most = {len(self.names) + 2}",
            f'trace = "{trace}"',
            "lend = 0.6",
        ]
        for elector in self.electors:
            at = self.reach[elector] if elector != name or reach == self.reach[name] else reach
            lines += ["[[accord.electors]]", f'name = "{elector}"', f'address = "{at[0]}:{at[1]}"']
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

    def begin(self, name: str, double: bool = False) -> MemberProcess:
        trace = self.folder / f"{name}-{len(self.lives)}.trace"
        listen = (HOST, free_port(socket.SOCK_DGRAM)) if double else self.listen[name]
        path = self.file(name, listen, listen if double else self.reach[name], trace)
        if double:
            self.relay.senders[listen] = name
        with open(trace.with_suffix(".log"), "ab") as log:
            process = subprocess.Popen(
                [sys.executable, *self.program, "serve", str(path)],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[3])},
            )
        life = MemberProcess(name, process, trace)
        self.lives.append(life)
        return life

    def live(self) -> list[MemberProcess]:
        return [life for life in self.lives if life.alive and not life.paused]

    def kill(self, life: MemberProcess, how: signal.Signals = signal.SIGKILL) -> None:
        if life.alive:
            life.process.send_signal(how)
            if how == signal.SIGTERM:
                with suppress(subprocess.TimeoutExpired):
                    life.process.wait(6.0)
            life.process.kill()
            life.process.wait()
            life.ended_at = monotonic()

    # --- faults

    async def fault(self, what: str) -> None:
        """Does it, and undoes it after a while."""
        self.counts[what] += 1
        net, span = self.relay.net, self.random.uniform(0.3, 4.0)
        live = self.live()
        one = self.random.choice(live) if live else None
        if what in ("cut", "cut one way"):
            part = set(self.random.sample(self.names, self.random.randrange(1, len(self.names))))
            pairs = {(one, other) for one in part for other in self.names if other not in part}
            pairs |= {(other, one) for one, other in pairs} if what == "cut" else set()
            net.cut |= pairs
            await asyncio.sleep(span)
            net.cut -= pairs
        elif what in ("lossy", "late", "doubling", "garbling"):
            key = {"lossy": "lose", "late": "late", "doubling": "double", "garbling": "garble"}[what]
            setattr(net, key, self.random.uniform(0.1, 0.6))
            await asyncio.sleep(span)
            setattr(net, key, 0.0)
        elif what == "two thirds":
            killed = self.random.sample(live, 2 * len(live) // 3)
            for life in killed:
                self.kill(life)
            await asyncio.sleep(span)
            for life in killed:
                self.again(life.name)
        elif one is not None and what == "pause":
            one.paused = True
            one.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span + 2.5)  # longer than a lease
            one.process.send_signal(signal.SIGCONT)
            one.paused = False
        elif one is not None and what in ("kill", "restart", "stop"):
            self.kill(one, signal.SIGTERM if what == "stop" else signal.SIGKILL)
            await asyncio.sleep(span if what == "kill" else 0.0)
            self.again(one.name)
        elif one is not None and what == "twice" and self.counts["twice"] <= 2:
            double = self.begin(one.name, double=True)
            await asyncio.sleep(span + 1.5)
            self.kill(double)

    def again(self, name: str) -> None:
        if not any(life.alive and life.name == name for life in self.lives):
            self.begin(name)

    # --- the run

    async def play(self, length: float, faults: list[tuple[float, str]]) -> ProcessOutcome:
        try:
            for name in self.names:
                self.reach[name] = await self.relay.way(name, self.listen[name])
            for name in self.names:
                self.begin(name)
            begun = time.monotonic()
            while any(not life.trace.exists() for life in self.lives):
                if time.monotonic() - begun > READY_WITHIN:
                    raise TimeoutError("not all processes came up")
                await asyncio.sleep(0.05)
            under_way = [asyncio.create_task(self.after(at, what)) for at, what in faults]
            asking = asyncio.create_task(self.ask())
            await asyncio.sleep(length)
            await asyncio.gather(*under_way)
            self.relay.net = ClusterNetwork()
            await asyncio.sleep(max(0.0, QUIET - SETTLES))
            asking.cancel()
            await asyncio.sleep(SETTLES)
            return await self.outcome()
        finally:
            for life in self.lives:
                if life.paused:
                    life.process.send_signal(signal.SIGCONT)
                self.kill(life)
            self.relay.close()

    async def after(self, at: float, what: str) -> None:
        await asyncio.sleep(at)
        await self.fault(what)

    async def outcome(self) -> ProcessOutcome:
        views, digests = [], set()
        for life in self.live():
            with suppress(OSError, TimeoutError, ValueError):
                seen = await inspect_member(self.listen[life.name])
                digests.add(seen["ledger"].get("digest"))
                views.append([row["name"] for row in seen["members"] if row["state"] in ("alive", "suspect")])
        meter, changes = QuotaChecker({"dairy": (0.0, 0.0), "goats": (0.0, 0.0)}), 0
        for life in self.lives:
            for line in life.trace.read_text().splitlines() if life.trace.exists() else ():
                told, changes = json.loads(line), changes + 1
                loans = {(owner, borrower): part for owner, borrower, part in told["loans"]}
                meter.in_force(
                    life.trace.name,
                    told["at"],
                    told["parts"],
                    told["until"],
                    told["floor"],
                    loans,
                    told["loans_until"],
                )
            if life.ended_at:
                meter.end(life.trace.name, life.ended_at)
        for at, tenant in self.asked:
            meter.ask(tenant, at)
        reclaims = [one.loans_over / 1e6 for one in meter.reclaims(3_000_000)]
        return ProcessOutcome(
            self.seed,
            len(self.names),
            dict(self.counts),
            [f"{one.at}: {one.budget}, {one.what}" for one in meter.overruns()[:5]],
            self.relay.passed,
            self.relay.lost,
            changes,
            len(self.asked),
            sum(1 for _ in meter.lent()),
            reclaims,
            len(digests),
            len(views) == len(self.live()) and all(view == views[0] for view in views),
        )


def drawn(seed: int, count: int, length: float, faults: int) -> list[tuple[float, str]]:
    random = Random(seed * 31 + count)
    return [(random.uniform(4.0, 4.0 + length), random.choice(FAULTS)) for _ in range(faults)]


def play(seed: int, count: int, folder: Path, length: float = 16.0, faults: int = 6) -> ProcessOutcome:
    """One run of `count` processes with so many faults at drawn moments; seconds."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(
        ProcessCluster(seed, count, folder).play(4.0 + length, drawn(seed, count, length, faults))
    )
