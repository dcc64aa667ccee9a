"""The other side of a connection on which we are asked: clients, and workers that call back."""

from __future__ import annotations

import json
import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs, unquote
from zlib import crc32

import h11

from locktide.protocol import names

# What concerns one connection only, or is written anew for the next one.
NOT_ONWARD = frozenset(
    name.encode()
    for name in (
        "host",
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        names.TIME_LIMIT.lower(),
    )
)
FRAMING = (b"content-length", b"transfer-encoding")
SPAN = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])", re.ASCII)
WIDTH = re.compile(r"\d{1,3}(\.\d{1,6})?", re.ASCII)
HINT = re.compile(r"\d{1,9}(\.\d{1,6})?", re.ASCII)
VISIBLE = re.compile(r"[!-~]{1,128}")  # what an id or a number may be made of
# Each of these is told once or not at all; two of one would mean one thing to us and another to a worker.
SINGLE = frozenset(
    name.lower()
    for name in (names.ID, names.GRADE, names.NUMBER, names.TIME_LIMIT, names.RETRY, names.EXTRAS)
)
# So many time limits of its grade a client may say that it waits. None waits for two, and beyond reason it
# would hold a place for good.
LONGEST_WAIT = 10


@dataclass(slots=True)
class SubmitRequest:
    id: str
    service_class: str
    timeout: int  # how long the client waits for the answer, in microseconds
    width: float
    is_retry: bool
    method: str
    target: str
    onward: list[tuple[bytes, bytes]]  # header fields that go on to the worker unchanged
    body: bytes
    background: bool = False  # nobody waits for it on a connection
    work_hint: int = 0  # the work expected, in microseconds; 0 where nothing is told
    tenant: str | None = None
    affinity_key: int | None = None  # what it is about, where that is told


@dataclass(slots=True)
class Callback:
    """What a worker tells of a job. `outcome` is set where that ends the dispatch."""

    request_id: str
    worker: str
    state: str
    fraction_done: float
    outcome: str | None
    result: bytes
    fence: int | None = None  # of the lease, from workers that tell it


@dataclass(slots=True)
class JobQuery:
    """Where a durable job stands."""

    id: str


@dataclass(slots=True)
class HealthQuery:
    """Whether we are ready, or only whether we live."""

    ready: bool


@dataclass(slots=True)
class BadRequest:
    """A message that is not taken; `status` is a 4xx."""

    status: int
    reason: str


Message = SubmitRequest | Callback | JobQuery | HealthQuery | BadRequest


class ServerHttpConnection:
    """Fed bytes; gives one message at a time, and writes the answer to each before the next is given.

    The end of the stream is the driver's to notice: it ends no message.
    """

    def __init__(
        self, grades: Mapping[str, int], numbered: Collection[str], keeps_jobs: bool = False
    ) -> None:
        self.keeps_jobs = keeps_jobs
        self.machine = h11.Connection(h11.SERVER)
        self.grades, self.numbered = grades, numbered  # the grades with their time limits
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.last = False  # nothing can follow on this connection

    def feed(self, data: bytes) -> None:
        self.machine.receive_data(data)

    @property
    def between(self) -> bool:
        """No byte of a message is here that has not been answered."""
        return self.machine.their_state is h11.IDLE and not self.machine.trailing_data[0]

    @property
    def unread(self) -> int:
        return len(self.machine.trailing_data[0])

    @property
    def stored(self) -> int:
        """Bytes that are kept of a message that is not whole."""
        return len(self.body) + self.unread

    def wants_go_ahead(self) -> bool:
        return self.machine.they_are_waiting_for_100_continue

    def go_ahead(self) -> list[bytes]:
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self.machine.send_with_data_passthrough(event) or []

    def next(self) -> Message | None:
        """The next message; None until more is fed."""
        try:
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Request):
                    self.head, self.body = event, bytearray()
                    framed = [name for name, _ in event.headers if name in FRAMING]
                    # Guards against a message hidden in the body of another: the two sides of a hop could
                    # differ on where the body ends. HTTP/1.0 knows no transfer codings.
                    if len(framed) > 1 or framed == [b"transfer-encoding"] and event.http_version < b"1.1":
                        self.last = True
                        return BadRequest(400, "the length of the body is told in two ways")
                    for name, value in event.headers:
                        if name == b"content-length" and int(value) > names.LARGEST_BODY:
                            return self.too_large()
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > names.LARGEST_BODY:
                        return self.too_large()
                elif isinstance(event, h11.EndOfMessage):
                    return self.message()
        except h11.RemoteProtocolError as trouble:
            self.last = True
            hint = trouble.error_status_hint  # 501 for a transfer coding that is not known
            return BadRequest(hint if 400 <= hint < 500 else 400, str(trouble))

    def too_large(self) -> BadRequest:
        self.last = True
        return BadRequest(413, f"a body holds at most {names.LARGEST_BODY} bytes")

    def message(self) -> Message:
        assert self.head is not None
        # h11 takes nothing but ASCII, other than in the values of header fields.
        method, target = self.head.method.decode("ascii"), self.head.target.decode("ascii")
        fields: dict[str, str] = {}
        for raw_name, value in self.head.headers:
            name = raw_name.decode("ascii")
            if name in SINGLE and name in fields:
                return BadRequest(400, f"{name} is told twice")
            fields[name] = value.decode("latin-1")
        path = target.partition("?")[0]
        if path in (names.READY, names.LIVE):
            return (
                HealthQuery(path == names.READY)
                if method in ("GET", "HEAD")
                else BadRequest(405, "expected GET")
            )
        if path == names.CALLBACK:
            return self.callback() if method == "POST" else BadRequest(405, "expected POST")
        if self.keeps_jobs and path.startswith(names.JOBS):
            id = unquote(path[len(names.JOBS) :])
            if not VISIBLE.fullmatch(id):
                return BadRequest(404, "no such job")
            return JobQuery(id) if method == "GET" else BadRequest(405, "expected GET")
        first = path.split("/")[1] if path.startswith("/") else ""
        if first not in self.grades:
            return BadRequest(404, "no such path")
        if method != "POST":
            return BadRequest(405, "expected POST")
        if self.unread:
            # Guards against a length that is too short: what follows was meant as part of this message, and a
            # client hands in one at a time.
            self.last = True
            return BadRequest(400, "something follows before the answer")
        return self.submission(first, method, target, fields)

    def submission(self, grade: str, method: str, target: str, fields: dict[str, str]) -> Message:
        assert self.head is not None
        if fields.get(names.GRADE.lower()) != grade:
            return BadRequest(400, f"{names.GRADE} and the path differ")
        id = fields.get(names.ID.lower(), "")
        if not VISIBLE.fullmatch(id):
            return BadRequest(400, f"{names.ID} is missing or not an id")
        span = SPAN.fullmatch(fields.get(names.TIME_LIMIT.lower(), ""))
        if not span:
            return BadRequest(400, f"{names.TIME_LIMIT}: expected a number and m or u")
        patience = round(float(span[1]) * (1000 if span[2] == "m" else 1))
        if not 0 < patience <= LONGEST_WAIT * self.grades[grade]:
            return BadRequest(400, f"{names.TIME_LIMIT}: no time at all, or far over that of the grade")
        if not VISIBLE.fullmatch(fields.get(names.NUMBER.lower(), "" if grade in self.numbered else "-")):
            return BadRequest(400, f"{names.NUMBER} is missing or not a number")
        pairs = [pair.strip().partition("=") for pair in fields.get(names.EXTRAS.lower(), "").split(",")]
        widths = [value for name, _, value in pairs if name == names.WIDTH] or ["1"]
        width = float(widths[0]) if len(widths) == 1 and WIDTH.fullmatch(widths[0]) else 0.0
        if not width:
            return BadRequest(400, f"{names.EXTRAS}: expected a number of {names.WIDTH}")
        extras = {name: value for name, _, value in pairs}
        told_hint = extras.get(names.HINT, "")
        hint = round(float(told_hint) * 1000) if HINT.fullmatch(told_hint) else 0  # it only advises
        about = parse_qs(target.partition("?")[2]).get(names.OBJECT)
        key = crc32(about[0].encode()) if about else None
        raw_items = self.head.headers.raw_items()
        onward = [(name, value) for name, value in raw_items if name.lower() not in NOT_ONWARD]
        retry = fields.get(names.RETRY.lower()) == "1"
        body, self.body = bytes(self.body), bytearray()
        return SubmitRequest(
            id,
            grade,
            patience,
            width,
            retry,
            method,
            target,
            onward,
            body,
            work_hint=hint,
            tenant=extras.get(names.TENANT),
            affinity_key=key,
        )

    def callback(self) -> Message:
        try:
            told = json.loads(self.body)
            submission, worker, state = told["id"], told["from"], told["state"]
            if not isinstance(submission, str) or not isinstance(worker, str):
                raise ValueError
            fence = told.get("fence")
            fence = fence if isinstance(fence, int) else None
            if state == names.RUNNING:
                share = float(told["share"])
                return Callback(submission, worker, state, min(1.0, max(0.0, share)), None, b"", fence)
            if state == names.STARTED:
                return Callback(submission, worker, state, 0.0, None, b"", fence)
            result = told["result"].encode("utf-8", "surrogatepass") if state == "done" else b""
            return Callback(submission, worker, state, 0.0, names.ENDS[state], result, fence)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError):
            return BadRequest(400, "expected a callback")

    def answer(self, status: int, body: bytes, headers: list[tuple[str, str]], last: bool) -> list[bytes]:
        """The answer to the message given last, in pieces; `last` closes the connection after it."""
        self.last = self.last or last
        if self.machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.last = True
            return []
        if status != 204:
            headers = [*headers, ("Content-Length", str(len(body)))]
        if self.last:
            headers = [*headers, ("Connection", "close")]
        send = self.machine.send_with_data_passthrough
        reason = HTTPStatus(status).phrase
        pieces = send(h11.Response(status_code=status, headers=headers, reason=reason)) or []
        if body and (self.head is None or self.head.method != b"HEAD"):
            pieces += send(h11.Data(data=body)) or []
        pieces += send(h11.EndOfMessage()) or []
        if (self.machine.our_state, self.machine.their_state) == (h11.DONE, h11.DONE) and not self.last:
            self.machine.start_next_cycle()
        else:
            self.last = True
        self.head, self.body = None, bytearray()
        return pieces
