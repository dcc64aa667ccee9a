# ruff: noqa: ARG002, ASYNC109, D102, D103, PLR0913 - a stand-in, not part of the program
"""Stand-ins for clients, workers, discovery and the platform, and the start of dispatcher processes.

Standard library only. Every address is a loopback address on a free port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CALLBACK_TRIES = 10
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
Headers = dict[str, str]


def disruption_is_on() -> bool:
    """Return whether the case plays its disruption: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port below those that outgoing connections take, so that it is free at a restart too."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes] | None:
    """Read one HTTP message with a Content-Length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body


def response_bytes(status: int, body: bytes = b"", extra: Headers | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    port: int,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout: float = 60,
) -> tuple[int, Headers, bytes]:
    """Make one HTTP call on a connection of its own; raise OSError where no whole response comes."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}:{port}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            answer = await read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise ConnectionError("no whole response")
    return int(answer[0].split()[1]), answer[1], answer[2]


class HttpServer:
    """A small HTTP server; `handle` returns the bytes of the response, None to close without one."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port or self.port or free_port())
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        serving = asyncio.current_task()
        assert serving is not None
        self.tasks.add(serving)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.handle(*message)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(serving)
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first: str, headers: Headers, body: bytes) -> bytes | None:
        raise NotImplementedError

    def spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Stop listening and reset the open connections, as a process that dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Discovery(HttpServer):
    """The agent of the endpoint list: the whole list, and a watch on changes (PROTOCOL, Discovery)."""

    def __init__(self, record: Record, name: str, rev: int) -> None:
        super().__init__()
        self.record, self.name, self.rev = record, name, rev
        self.entries: dict[str, dict] = {}
        self.changed: dict[str, int] = {}
        self.news = asyncio.Event()
        self.delay = 0.0  # seconds by which each answer comes late
        self.calls = 0

    def put(self, uid: str, port: int, state: str = "active", **more: object) -> None:
        """List a worker, or change its entry."""
        self.rev += 1
        entry = {"uid": uid, "endpoint": f"{HOST}:{port}", "az": "a", "model": "m", "pod_group": 1}
        entry |= {"state": state, "capacity_hint": 1.0, "boot_ms": 0, **more}
        self.entries[uid] = entry
        self.changed[uid] = self.rev
        self.news.set()
        self.news = asyncio.Event()
        self.record.add(f"discovery {self.name}: rev {self.rev}: {uid} {state}")

    def whole_list(self) -> dict:
        listed = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": listed}

    async def handle(self, first: str, headers: Headers, body: bytes) -> bytes | None:
        self.calls += 1
        query = first.split()[1].partition("?")[2]
        fields = dict(part.split("=") for part in query.split("&") if part)
        if "after" not in fields:
            answer = self.whole_list()
        else:
            after = int(fields["after"])
            if self.rev <= after:
                wait = int(fields.get("wait_ms", "0")) / 1000
                news = self.news
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(news.wait(), wait)
            targets = [self.entries[uid] for uid, rev in self.changed.items() if rev > after]
            answer = {"rev": self.rev, "all": False, "targets": targets}
        await asyncio.sleep(self.delay)
        told = ", ".join(f"{entry['uid']} {entry['state']}" for entry in answer["targets"])
        if told:
            self.record.add(
                f"discovery {self.name}: {query or 'whole list'} answered: rev {self.rev}: {told}"
            )
        return response_bytes(200, json.dumps(answer).encode(), {"Content-Type": "application/json"})


class Job:
    """A job that a worker has taken."""

    def __init__(self, request_id: str, headers: Headers, body: bytes, at: float) -> None:
        self.id, self.headers, self.body, self.at = request_id, headers, body, at
        self.is_cancelled = False


class Worker(HttpServer):
    """A worker: answers 202, then runs `work`, which reports by `report`; DELETE gives a job up."""

    def __init__(self, record: Record, uid: str) -> None:
        super().__init__()
        self.record, self.uid = record, uid
        self.callback_port = 0
        self.jobs: list[Job] = []
        self.open: dict[str, Job] = {}
        self.work: Callable[[Job], Awaitable[None]] = self.run_briefly
        self.run_time = 0.1
        self.echoes_fence = True

    async def handle(self, first: str, headers: Headers, body: bytes) -> bytes | None:
        method, target, _ = first.split()
        if method == "DELETE":
            job = self.open.pop(target.removeprefix("/jobs/"), None)
            if job is not None:
                job.is_cancelled = True
            self.record.add(f"worker {self.uid}: cancelled {target.removeprefix('/jobs/')}")
            return response_bytes(204)
        job = Job(headers.get("req-id", ""), headers, body, self.record.now())
        self.record.add(f"worker {self.uid}: got {job.id} key {headers.get('idempotency-key', '-')}")
        self.jobs.append(job)
        self.open[job.id] = job
        self.spawn(self.work(job))
        return response_bytes(202)

    async def run_briefly(self, job: Job) -> None:
        await self.report(job, "started")
        await asyncio.sleep(self.run_time)
        self.open.pop(job.id, None)
        await self.report(job, "done", result=f"{self.uid} did {job.id}")

    async def report(self, job: Job, state: str, **more: object) -> bool:
        """Call back until it is answered, ten times at most."""
        message = {"id": job.id, "from": self.uid, "state": state, **more}
        if self.echoes_fence and "lease-fence" in job.headers:
            message["fence"] = int(job.headers["lease-fence"])
        for _ in range(CALLBACK_TRIES):
            try:
                body = json.dumps(message).encode()
                status, _, _ = await call(self.callback_port, "POST", "/callback", {}, body, timeout=5)
                if status in (200, 204):
                    self.record.add(f"worker {self.uid}: reported {state} of {job.id}")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.3)
        self.record.add(f"worker {self.uid}: could not report {state} of {job.id}")
        return False


class Dispatcher:
    """A dispatcher process, started as the platform does."""

    def __init__(self, record: Record, name: str, folder: Path) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.command = deploy["run"]
        self.environment = {"GW_CONFIG": str(self.config_path)}

    def configure(self, discovery_port: int, known: dict, settings: dict) -> None:
        """Replace the file of the configuration."""
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        draft = self.config_path.with_suffix(".new")
        draft.write_text(json.dumps(document), encoding="utf-8")
        draft.replace(self.config_path)

    async def start(self) -> None:
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command, cwd=ROOT, env=os.environ | self.environment, stdout=log, stderr=log
        )
        log.close()
        for _ in range(300):
            if self.process.returncode is not None:
                raise CaseError(f"the dispatcher ended: {self.log_path.read_text(errors='replace')[-800:]}")
            try:
                status, _, _ = await call(self.port, "GET", "/health/ready", timeout=1)
                if status == 200:
                    self.record.add(f"dispatcher {self.name}: ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CaseError("the dispatcher is not ready after 30 s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.add(f"dispatcher {self.name}: {number.name}")
        self.process.send_signal(number)

    async def wait(self, timeout: float = 30) -> int:
        assert self.process is not None
        status = await asyncio.wait_for(self.process.wait(), timeout)
        self.record.add(f"dispatcher {self.name}: ended with {status}")
        return status

    async def end(self) -> None:
        """End the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CaseError(Exception):
    """The case could not run."""


def service_grade(name: str, semantics: str, **more: object) -> dict:
    grade = {"Name": name, "Semantics": semantics, "SoftLimit": 1000.0, "TimeLimit": 6000.0, "Revenue": 1.0}
    grade |= {"Group": "all", "MemorySpan": 0.0, "OverdueRevenue": 0.5, "Stream": False}
    return grade | more


def settings(grades: list[dict], **more: object) -> dict:
    """Return the settings of a small deployment, with the names of the simulator's first message."""
    ceilings = {"ConnectTimeout": 250.0, "IdleClose": 30000.0, "MaxDispatches": 4, "MaxRetryAfter": 2000.0}
    ceilings |= {"MayCancel": True, "RetryAfter": True, "SecondCopies": False, "MaxOpen": 20000}
    rules = {"AnswerSlack": 16.0, "AskWithin": 10000.0, "Cold": 9000.0, "ColdFrom": 0.31}
    rules |= {"DrainGrace": 250.0, "OverloadFactor": 4.0, "OverloadFor": 2000.0}
    domain = {"ClassKind": [-1] * len(grades), "ClassPriority": [0] * len(grades)}
    domain |= {"ClassStretch": [2.0] * len(grades), "Progress": 1000.0, "TellsStart": True}
    document = {"FleetSize": 1, "ServiceGrades": grades, "Ceilings": ceilings, "Rules": rules}
    document |= {"Domain": domain, "Discovery": "automatic", "Kinds": ["m"], "Azs": ["a"], "Zone": "a"}
    document |= {"Step": 4.0, "WeightKind": "silent", "Realms": [], "BeyondShareRevenue": 1.0}
    return document | more


_numbers = iter(range(1, 1_000_000))


async def submit(
    record: Record, port: int, grade: str, *, deadline_ms: int = 6000, key: str = "", **more: str
) -> tuple[str, int, Headers, bytes]:
    """Send one request and wait for its answer; status 0 where none came."""
    request_id = f"{os.getpid():x}{next(_numbers):06x}"
    headers = {"Req-Id": request_id, "Req-Kind": grade, "Req-Deadline": f"{deadline_ms}m"}
    if key:
        headers["Idempotency-Key"] = key
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    record.add(f"client: sent {request_id} {grade} key {key or '-'}")
    try:
        status, answer_headers, body = await call(
            port, "POST", f"/{grade}", headers, b"litres=412", timeout=deadline_ms / 1000 + 2
        )
    except (OSError, TimeoutError):
        status, answer_headers, body = 0, {}, b""
    record.add(f"client: {request_id} answered {status} {body.decode(errors='replace').strip()!r}")
    return request_id, status, answer_headers, body


def main(folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Play a case for 110 s at most, write its record and exit with its verdict."""
    record = Record(folder / "record.txt")

    async def limited(temporary: Path) -> int:
        playing = asyncio.ensure_future(play(record, temporary))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        async with asyncio.timeout(110):
            return await playing

    verdict = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            verdict = asyncio.run(limited(Path(temporary)))
        except (Exception, asyncio.CancelledError) as error:  # a case that cannot run is no verdict
            record.add(f"could not run: {type(error).__name__}: {error}")
        for log in sorted(Path(temporary).glob("*.log")):
            record.lines.append(f"--- {log.name}")
            record.lines += log.read_text(errors="replace").splitlines()[-60:]
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.lines.append(f"verdict: {words[verdict]}")
    record.write()
    print(words[verdict])
    sys.exit(verdict)
