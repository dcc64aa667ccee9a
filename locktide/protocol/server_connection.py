"""The server side of an HTTP connection, on which clients hand in jobs and workers call back."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from http import HTTPStatus
from urllib.parse import unquote

import h11

from locktide.protocol import names
from locktide.protocol.callbacks import parse_callback
from locktide.protocol.errors import RejectedMessageError
from locktide.protocol.messages import BadRequest, Callback, HealthQuery, JobQuery, Message, SubmitRequest
from locktide.protocol.submissions import IDENTIFIER_PATTERN, UNIQUE_FIELDS, SubmissionParser

__all__ = [
    "BadRequest",
    "Callback",
    "HealthQuery",
    "JobQuery",
    "Message",
    "ServerHttpConnection",
    "SubmitRequest",
]

FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class ServerHttpConnection:
    """Fed bytes; returns one message at a time, and encodes the response to each before the next.

    The end of the stream is the caller's to notice: it ends no message.

    Attributes:
        is_final: Whether nothing can follow on this connection.
    """

    def __init__(
        self, timeouts: Mapping[str, int], keyed_classes: Collection[str], keeps_jobs: bool = False
    ) -> None:
        """Begins before the first byte.

        Args:
            timeouts: Timeout of each service class, in microseconds.
            keyed_classes: Service classes whose requests need an idempotency key.
            keeps_jobs: Whether clients may ask for the state of durable jobs.
        """
        self.machine = h11.Connection(h11.SERVER)
        self.timeouts = timeouts
        self.submission_parser = SubmissionParser(timeouts, keyed_classes)
        self.keeps_jobs = keeps_jobs
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.is_final = False

    def feed(self, data: bytes) -> None:
        """Takes bytes that were read from the socket."""
        self.machine.receive_data(data)

    @property
    def is_idle(self) -> bool:
        """Whether no byte has been fed of a message that is not answered."""
        return self.machine.their_state is h11.IDLE and not self.machine.trailing_data[0]

    @property
    def unparsed_bytes(self) -> int:
        """How many bytes were fed and are not parsed."""
        return len(self.machine.trailing_data[0])

    @property
    def buffered_bytes(self) -> int:
        """How many bytes are kept of a message that is not complete."""
        return len(self.body) + self.unparsed_bytes

    def expects_continue(self) -> bool:
        """Whether the client waits for a 100 response before it sends the body."""
        return self.machine.they_are_waiting_for_100_continue

    def encode_continue(self) -> list[bytes]:
        """Returns the 100 response, in pieces."""
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self.machine.send_with_data_passthrough(event) or []

    def next_message(self) -> Message | None:
        """Returns the next message; None until more is fed."""
        try:
            return self.read_message()
        except RejectedMessageError as error:
            return BadRequest(error.status, error.reason)
        except h11.RemoteProtocolError as error:
            self.is_final = True
            hint = error.error_status_hint  # 501 for a transfer coding that is not known
            return BadRequest(hint if 400 <= hint < 500 else 400, str(error))

    def read_message(self) -> Message | None:
        """As `next_message`; raises RejectedMessageError or h11.RemoteProtocolError."""
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Request):
                self.head, self.body = event, bytearray()
                self.check_framing(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                self.check_body_size(len(self.body))
            elif isinstance(event, h11.EndOfMessage):
                return self.route(self.complete_head())

    def check_framing(self, head: h11.Request) -> None:
        """Raises RejectedMessageError where the body is too large or its end is not clear."""
        framing = [name for name, _ in head.headers if name in FRAMING_FIELDS]
        # Guards against a message hidden in the body of another: the two sides of a hop could differ on
        # where the body ends. HTTP/1.0 knows no transfer codings.
        if len(framing) > 1 or framing == [b"transfer-encoding"] and head.http_version < b"1.1":
            self.is_final = True
            raise RejectedMessageError(400, "the length of the body is told in two ways")
        for name, value in head.headers:
            if name == b"content-length":
                self.check_body_size(int(value))

    def check_body_size(self, size: int) -> None:
        """Raises RejectedMessageError where a body of that many bytes is too large."""
        if size > names.MAX_BODY_SIZE:
            self.is_final = True
            raise RejectedMessageError(413, f"a body holds at most {names.MAX_BODY_SIZE} bytes")

    def complete_head(self) -> h11.Request:
        """Returns the head of the message that is complete."""
        assert self.head is not None
        return self.head

    def route(self, head: h11.Request) -> Message:
        """Returns the complete message that its path and method say it is."""
        # h11 takes nothing but ASCII, other than in the values of header fields.
        method, path = head.method.decode("ascii"), head.target.decode("ascii").partition("?")[0]
        fields = read_fields(head)
        if path in (names.READY, names.LIVE):
            require_method(method, "GET", "HEAD")
            return HealthQuery(path == names.READY)
        if path == names.CALLBACK:
            require_method(method, "POST")
            return parse_callback(self.body)
        if self.keeps_jobs and path.startswith(names.JOBS):
            job_id = unquote(path[len(names.JOBS) :])
            if not IDENTIFIER_PATTERN.fullmatch(job_id):
                raise RejectedMessageError(404, "no such job")
            require_method(method, "GET")
            return JobQuery(job_id)
        service_class = path.split("/")[1] if path.startswith("/") else ""
        if service_class not in self.timeouts:
            raise RejectedMessageError(404, "no such path")
        require_method(method, "POST")
        return self.read_submission(head, fields, service_class)

    def read_submission(
        self, head: h11.Request, fields: Mapping[str, str], service_class: str
    ) -> SubmitRequest:
        """Returns the complete submission; its body is no longer kept here."""
        if self.unparsed_bytes:
            # Guards against a length that is too short: what follows was meant as part of this message, and a
            # client hands in one at a time.
            self.is_final = True
            raise RejectedMessageError(400, "something follows before the answer")
        submission = self.submission_parser.parse(head, fields, bytes(self.body), service_class)
        self.body = bytearray()
        return submission

    def encode_response(
        self, status: int, body: bytes, headers: list[tuple[str, str]], is_final: bool
    ) -> list[bytes]:
        """Returns the response to the message returned last, in pieces; a final one closes the connection."""
        self.is_final = self.is_final or is_final
        if self.machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.is_final = True
            return []
        if status != HTTPStatus.NO_CONTENT:
            headers = [*headers, ("Content-Length", str(len(body)))]
        if self.is_final:
            headers = [*headers, ("Connection", "close")]
        send = self.machine.send_with_data_passthrough
        reason = HTTPStatus(status).phrase
        pieces = send(h11.Response(status_code=status, headers=headers, reason=reason)) or []
        if body and (self.head is None or self.head.method != b"HEAD"):
            pieces += send(h11.Data(data=body)) or []
        pieces += send(h11.EndOfMessage()) or []
        if (self.machine.our_state, self.machine.their_state) == (h11.DONE, h11.DONE) and not self.is_final:
            self.machine.start_next_cycle()
        else:
            self.is_final = True
        self.head, self.body = None, bytearray()
        return pieces


def read_fields(head: h11.Request) -> dict[str, str]:
    """Returns the header fields by lower-case name; raises RejectedMessageError for a repeated one."""
    fields: dict[str, str] = {}
    for raw_name, value in head.headers:
        name = raw_name.decode("ascii")
        if name in UNIQUE_FIELDS and name in fields:
            raise RejectedMessageError(400, f"{name} is told twice")
        fields[name] = value.decode("latin-1")
    return fields


def require_method(method: str, *allowed: str) -> None:
    """Raises RejectedMessageError, naming the first of those allowed, where the method is another."""
    if method not in allowed:
        raise RejectedMessageError(405, f"expected {allowed[0]}")
