"""Stand-ins for clients, workers and discovery, and the processes of dispatchers, for the review's cases.

Only the standard library is used. Everything binds loopback addresses and free ports. Times are seconds since
the start of the run.
"""

# ruff: noqa: D101, D102, D103, D107, PLR0913, S603

from __future__ import annotations

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self.zero = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.zero

    def __call__(self, line: str) -> None:
        self.file.write(f"{self.now():8.3f} {line}\n")

    def say(self, line: str) -> None:
        self(line)
        print(line)


# --- HTTP


@dataclass
class Message:
    """A request or a response; `start` has the words of its first line."""

    start: list[str]
    headers: dict[str, str]
    body: bytes
    first_at: float


async def read_message(reader: asyncio.StreamReader, record: Record) -> Message | None:
    """Read one message with a Content-Length or without a body; None at the end of the stream."""
    first = await reader.read(1)
    if not first:
        return None
    first_at = record.now()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0].split(" ", 2), headers, body, first_at)


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    reasons = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    if status == 204:
        return b"HTTP/1.1 204 No Content\r\n\r\n"
    return encode(f"HTTP/1.1 {status} {reasons[status]}", fields, body)


def free_address() -> str:
    """Return a free loopback address, outside the range from which the system takes ports for connections."""
    while True:
        host = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250)}.{secrets.randbelow(250) + 1}"
        port = 20000 + secrets.randbelow(10000)
        with suppress(OSError), socket.create_server((host, port)):
            return f"{host}:{port}"


# --- discovery


class Agent:
    """The agent of discovery on the machine of one dispatcher.

    Attributes:
        entries: The entries of the list by uid.
        rev: The version of the list.
        changed_at_rev: The version at which each entry last changed.
        answer_after: Seconds by which each answer is late.
        silent: Whether discovery is down: calls that come then are never answered.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.entries: dict[str, dict[str, Any]] = {}
        self.rev = 1
        self.changed_at_rev: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.answer_after = 0.0
        self.silent = False
        self.calls = 0
        self.answered = 0
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def change(self, uid: str, state: str) -> None:
        async with self.changed:
            self.rev += 1
            self.entries[uid] = {**self.entries[uid], "state": state}
            self.changed_at_rev[uid] = self.rev
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while message := await read_message(reader, self.record):
                self.calls += 1
                if self.silent:
                    self.record(f"agent {self.name}: a call comes while discovery is down")
                    await reader.read()  # never answered; ends with the caller's close
                    break
                body = await self._answer(message.start[1])
                await asyncio.sleep(self.answer_after)
                if self.silent:
                    await reader.read()
                    break
                writer.write(response(200, body))
                await writer.drain()
                self.answered += 1
        writer.close()

    async def _answer(self, target: str) -> bytes:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if "after" not in query:
            return self._list(True, list(self.entries))
        after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(lambda: self.rev > after)
        return self._list(False, [uid for uid, rev in self.changed_at_rev.items() if rev > after])

    def _list(self, whole: bool, uids: list[str]) -> bytes:
        targets = [self.entries[uid] for uid in uids]
        return json.dumps({"rev": self.rev, "all": whole, "targets": targets}).encode()


def entry(uid: str, port: int, zone: str = "a", model: str = "std", group: int = 0) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": zone,
        "model": model,
        "pod_group": group,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


# --- workers


class KeyMemory:
    """What a group of workers remembers of idempotency keys: each for `span` seconds."""

    def __init__(self, span: float) -> None:
        self.span = span
        self.seen: dict[str, float] = {}

    def is_repeat(self, key: str, now: float) -> bool:
        """Return whether the key is remembered; remember it from now on if not."""
        if key in self.seen and now < self.seen[key] + self.span:
            return True
        self.seen[key] = now
        return False


@dataclass
class Run:
    """A job that a worker ran."""

    worker: str
    id: str
    key: str
    at: float


@dataclass
class Attempt:
    """A job that came to a worker."""

    worker: str
    id: str
    first_at: float
    dispatcher: str


class Worker:
    """A worker: takes jobs with 202, runs them on its cores in order, and reports by callbacks.

    Attributes:
        answers: While cleared, callbacks are held back; jobs are taken and run as usual.
    """

    def __init__(
        self,
        uid: str,
        record: Record,
        cores: int,
        run_time: Callable[[str], float],
        memory: KeyMemory | None = None,
        progress: float = 2.0,
    ) -> None:
        self.uid, self.record, self.run_time, self.memory = uid, record, run_time, memory
        self.progress = progress
        self.cores = asyncio.Semaphore(cores)
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.answers = asyncio.Event()
        self.answers.set()
        self.jobs: dict[str, tuple[asyncio.Task[None], str]] = {}
        self.killed: dict[str, asyncio.Task[None]] = {}
        self.open: set[asyncio.StreamWriter] = set()
        self.connections: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}
        self.locks: dict[str, asyncio.Lock] = {}
        self.servers: list[asyncio.Server] = []

    async def listen(self, dispatcher: str) -> int:
        """Listen on a port for one dispatcher, at whose address jobs from there are called back."""
        server = await asyncio.start_server(partial(self._serve, dispatcher), HOST, 0)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, back: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while message := await read_message(reader, self.record):
                method, target = message.start[:2]
                if method == "DELETE":
                    self.record(f"{self.uid}: DELETE {target}")
                    writer.write(response(204))
                else:
                    self._take(message, back)
                    writer.write(response(202))
                await writer.drain()
        self.open.discard(writer)
        writer.close()

    def _take(self, message: Message, back: str) -> None:
        request_id = message.headers["req-id"]
        key = message.headers.get("idempotency-key", "")
        self.attempts.append(Attempt(self.uid, request_id, message.first_at, back))
        deadline = message.headers["req-deadline"]
        self.record(f"{self.uid}: takes {request_id} of {back} key={key or '-'} deadline={deadline}")
        # The time of arrival counts, as a job that waits for a core was sent in time.
        repeat = bool(key and self.memory and self.memory.is_repeat(key, message.first_at))
        self.jobs[request_id] = asyncio.create_task(self._job(request_id, key, repeat, back)), back

    async def _job(self, request_id: str, key: str, repeat: bool, back: str) -> None:
        async with self.cores:
            await self._call(back, {"id": request_id, "state": "started"})
            if repeat:
                self.record(f"{self.uid}: drops {request_id}, a repeat of key {key}")
            else:
                self.runs.append(Run(self.uid, request_id, key, self.record.now()))
                self.record(f"{self.uid}: RUNS {request_id} key={key or '-'}")
                left = self.run_time(request_id)
                total = left
                while left > 0:
                    await asyncio.sleep(min(left, self.progress))
                    left -= self.progress
                    if left > 0:
                        share = round(1 - left / total, 3)
                        await self._call(back, {"id": request_id, "state": "running", "share": share})
        await self._call(back, {"id": request_id, "state": "done", "result": f"result of {request_id}"})

    def end(self) -> int:
        """End the process: its connections are reset, its jobs are killed and reported; return how many."""
        for server in self.servers:
            server.close()
        for writer in list(self.open):
            writer.transport.abort()
        killed = 0
        for request_id, (task, back) in self.jobs.items():
            if not task.done():
                killed += 1
                task.cancel()
                self.record(f"{self.uid}: KILLED with {request_id}")
                document = {"id": request_id, "state": "lost"}
                self.killed[request_id] = asyncio.create_task(self._call(back, document))
        return killed

    async def _call(self, back: str, document: dict[str, Any]) -> None:
        """Send a callback; try until it is answered, ten times at most."""
        if not self.answers.is_set():
            self.record(f"{self.uid}: says nothing of {document['id']}: {document['state']}")
            asyncio.get_running_loop().create_task(self._call_later(back, document))
            return
        body = json.dumps({"id": document["id"], "from": self.uid, **document}).encode()
        for _ in range(10):
            if await self._post(back, body):
                return
            await asyncio.sleep(0.2)

    async def _call_later(self, back: str, document: dict[str, Any]) -> None:
        await self.answers.wait()
        await self._call(back, document)

    async def _post(self, back: str, body: bytes) -> bool:
        lock = self.locks.setdefault(back, asyncio.Lock())
        async with lock:
            try:
                async with asyncio.timeout(2.0):
                    if back not in self.connections:
                        self.connections[back] = await asyncio.open_connection(*split_address(back))
                    reader, writer = self.connections[back]
                    writer.write(encode("POST /callback HTTP/1.1", {"Host": back}, body))
                    answer = await read_message(reader, self.record)
                if answer is not None and answer.start[1] in ("200", "204"):
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            reader_writer = self.connections.pop(back, None)
            if reader_writer:
                reader_writer[1].close()
            return False


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


# --- clients


@dataclass
class Answer:
    """The final answer to a request; status 0: the connection ended without one."""

    id: str
    status: int
    body: bytes
    retry_after: float
    took: float


class Clients:
    """Clients that send one request at a time on each connection, and keep connections."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.count = 0
        self.answers: list[Answer] = []
        self.client_id = os.urandom(4).hex()

    def next_id(self) -> str:
        self.count += 1
        return f"{self.client_id}{self.count:08x}"

    async def send(self, to: str, service_class: str, time_limit: float, key: str = "") -> Answer:
        """Send a request and wait for its answer."""
        request_id = self.next_id()
        headers = {
            "Host": "backend.local",
            "Req-Id": request_id,
            "Req-Kind": service_class,
            "Req-Deadline": f"{round(time_limit * 1000)}m",
        }
        if key:
            headers["Idempotency-Key"] = key
        began = self.record.now()
        self.record(f"client: sends {request_id} {service_class} key={key or '-'} to {to}")
        answer = Answer(request_id, 0, b"", 0.0, 0.0)
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(time_limit + 1.0):
                idle = self.idle.setdefault(to, [])
                idle[:] = [each for each in idle if not each[0].at_eof()]
                pair = idle.pop() if idle else await asyncio.open_connection(*split_address(to))
                reader, writer = pair
                body = b"x" * 100
                writer.write(encode(f"POST /{service_class} HTTP/1.1", headers, body))
                message = await read_message(reader, self.record)
                if message is not None:
                    advice = float(message.headers.get("retry-after", "0"))
                    answer = Answer(request_id, int(message.start[1]), message.body, advice, 0.0)
                if message is None or message.headers.get("connection") == "close":
                    writer.close()
                else:
                    idle.append(pair)
        answer.took = self.record.now() - began
        self.record(f"client: {request_id} answered {answer.status} after {answer.took:.3f} s")
        self.answers.append(answer)
        return answer


# --- dispatchers


@dataclass
class Dispatcher:
    """A dispatcher, started by the line `run` of the deploy file."""

    name: str
    folder: Path
    discovery: str
    known: dict[str, Any]
    settings: dict[str, Any]
    record: Record
    address: str
    process: subprocess.Popen[bytes] | None = None
    lives: int = 0
    exits: list[int] = field(default_factory=list)

    def write_config(self) -> Path:
        path = self.folder / f"{self.name}.json"
        document = {
            "name": self.name,
            "listen": self.address,
            "discovery": self.discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": self.known,
            "settings": self.settings,
        }
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def spawn(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        path = self.write_config()
        variables = {
            "GW_CONFIG": str(path),
            "GW_NAME": self.name,
            "GW_LISTEN": self.address,
            "GW_DISCOVERY": self.discovery,
            "TMPDIR": str(self.folder),
        }
        self.lives += 1
        with (self.folder / f"{self.name}.{self.lives}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env={**os.environ, **variables}, stdout=log, stderr=log
            )
        self.record(f"dispatcher {self.name}: started, process {self.process.pid}, {self.address}")

    async def ready(self, within: float = 30.0) -> None:
        """Wait until it answers /health/ready with 200."""
        assert self.process is not None
        until = self.record.now() + within
        while self.record.now() < until:
            if self.process.poll() is not None:
                raise CouldNotRunError(f"{self.name} ended with {self.process.returncode}: {self.log()}")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*split_address(self.address))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                message = await read_message(reader, self.record)
                writer.close()
                if message is not None and message.start[1] == "200":
                    self.record(f"dispatcher {self.name}: ready")
                    return
            await asyncio.sleep(0.02)
        raise CouldNotRunError(f"{self.name} is not ready: {self.log()}")

    def log(self) -> str:
        return (self.folder / f"{self.name}.{self.lives}.log").read_text(errors="replace")[-2000:]

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record(f"dispatcher {self.name}: killed")

    def save_logs(self) -> None:
        for life in range(1, self.lives + 1):
            path = self.folder / f"{self.name}.{life}.log"
            for line in path.read_text(errors="replace").splitlines()[:200]:
                self.record(f"log {self.name}: {line}")


# --- a small deployment


class Fleet:
    """Workers, and dispatchers with an agent of discovery each.

    Every dispatcher has ports of its own at the workers.
    """

    def __init__(
        self, record: Record, folder: Path, workers: list[Worker], count: int, settings: dict[str, Any]
    ) -> None:
        self.record, self.folder, self.workers, self.settings = record, folder, workers, settings
        self.count = count
        self.agents: list[Agent] = []
        self.dispatchers: list[Dispatcher] = []

    async def start(self) -> None:
        for number in range(self.count):
            agent = Agent(f"n{number}", self.record)
            await agent.start()
            address = free_address()
            for worker in self.workers:
                agent.entries[worker.uid] = entry(worker.uid, await worker.listen(address))
            known = {"rev": agent.rev, "all": True, "targets": list(agent.entries.values())}
            settings = {**self.settings, "Me": number, "FleetSize": self.count}
            self.agents.append(agent)
            self.dispatchers.append(
                Dispatcher(agent.name, self.folder, agent.address, known, settings, self.record, address)
            )
        for dispatcher in self.dispatchers:
            dispatcher.spawn()
        for dispatcher in self.dispatchers:
            await dispatcher.ready()

    async def drain(self, uid: str) -> None:
        """Let every agent have the news that a worker drains."""
        await self.tell(uid, "leaving")

    async def tell(self, uid: str, state: str) -> None:
        """Let every agent have the new state of a worker."""
        self.record(f"discovery has: {uid} is {state}")
        for agent in self.agents:
            await agent.change(uid, state)

    def end(self) -> None:
        """End all dispatchers that still run."""
        for dispatcher in self.dispatchers:
            dispatcher.kill()
            dispatcher.save_logs()

    def late_sends(self, uid: str, after: float) -> list[Attempt]:
        """Return the jobs whose first byte came to a worker after that time."""
        worker = next(each for each in self.workers if each.uid == uid)
        return [attempt for attempt in worker.attempts if attempt.first_at > after]


def play(folder: Path, story: Callable[[Record, Path, bool], Awaitable[int]], limit: float = 110.0) -> None:
    """Play a case and exit with its result; `story` gets the record, a temporary folder and the trouble."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def within_limit() -> int:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: record(f"stand-in: {context.get('message')}"))
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(limit):
            result = await story(record, temporary, trouble)
        await asyncio.sleep(0.3)  # the connections of the killed dispatchers end
        return result

    try:
        result = asyncio.run(within_limit())
    except (Exception, asyncio.CancelledError) as error:  # a fault of the case itself is no verdict
        record.say(f"could not run: {type(error).__name__} {error}")
        result = COULD_NOT_RUN
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.say({HELD: "RULE HELD", BROKEN: "RULE BROKEN", COULD_NOT_RUN: "COULD NOT RUN"}[result])
    record.file.close()
    sys.exit(result)
