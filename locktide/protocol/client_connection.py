"""The client side of an HTTP connection: one request, its response, then the next request.

One exchange follows another. h11 tracks a state for each side of the connection; the pairs of states mean:

    our side   peer's side     meaning
    IDLE       IDLE            no exchange: a request may be sent, unless bytes arrived without one
    DONE       SEND_RESPONSE   a request is sent, its response is awaited
    DONE       SEND_BODY       a response is being received
    DONE       DONE            both are complete: the next exchange begins
    any        MUST_CLOSE      the response said "Connection: close": no request follows

The end of the stream is a special case. Between exchanges it is the event `h11.ConnectionClosed`; while a
response is awaited or received it is an `h11.RemoteProtocolError`, or the regular end of a body whose
length was not stated.
"""

from __future__ import annotations

from dataclasses import dataclass

import h11

from locktide.protocol.errors import ProtocolError
from locktide.protocol.messages import MAX_BODY_SIZE, Headers


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to a worker, to discovery or, from a simulated peer, to a dispatcher."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response; `headers` are by lower-case name."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientHttpConnection:
    """Encodes requests, and parses the responses to them from the bytes that were read.

    Attributes:
        has_received: Whether any byte has been read since the request.
    """

    def __init__(self, host: str, max_body_size: int = MAX_BODY_SIZE) -> None:
        """Begin a connection to `host`; a response whose body is over `max_body_size` is a ProtocolError."""
        self.has_received = False
        self._machine = h11.Connection(h11.CLIENT)
        self._host = host
        self._max_body_size = max_body_size
        self._head: h11.Response | None = None
        self._body = bytearray()

    def encode_request(self, request: UpstreamRequest) -> list[bytes]:
        """Return the encoded request in pieces; its response is awaited from now on."""
        self.has_received = False
        self._head = None
        self._body = bytearray()
        headers = [(b"Host", self._host.encode()), *request.headers]
        if request.body or request.method == "POST":
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        pieces = self._send(h11.Request(method=request.method, target=request.target, headers=headers))
        if request.body:
            pieces += self._send(h11.Data(data=request.body))
        pieces += self._send(h11.EndOfMessage())
        return pieces

    def feed(self, data: bytes) -> UpstreamResponse | None:
        """Parse bytes that were read, b"" at the end of the stream; return the response once complete.

        Raises:
            ProtocolError: The stream ended before the response was complete, the bytes are not HTTP, or the
                body is too large.
        """
        self.has_received = self.has_received or bool(data)
        try:
            self._machine.receive_data(data)
            return self._read_response()
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error), peer=self._host) from error

    def _read_response(self) -> UpstreamResponse | None:
        """Return the response, None while more bytes are needed; raise as `feed`, or h11's error."""
        while True:
            event = self._machine.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._check_body_size()
            elif isinstance(event, h11.EndOfMessage) and self._head is not None:
                return self._complete_response(self._head)
            elif isinstance(event, h11.ConnectionClosed):
                raise ProtocolError("closed the connection before its response", peer=self._host)

    def _check_body_size(self) -> None:
        if len(self._body) > self._max_body_size:
            raise ProtocolError(f"its response has over {self._max_body_size} bytes", peer=self._host)

    def _complete_response(self, head: h11.Response) -> UpstreamResponse:
        """Return the response that has ended, and begin the next exchange, if one can follow."""
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        response = UpstreamResponse(head.status_code, headers, bytes(self._body))
        if self._machine.our_state is self._machine.their_state is h11.DONE:
            self._machine.start_next_cycle()
        return response

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes were fed that belong to no response."""
        return bool(self._machine.trailing_data[0])

    @property
    def is_idle(self) -> bool:
        """Whether no response is awaited and the next request may follow."""
        is_between_exchanges = self._machine.our_state is self._machine.their_state is h11.IDLE
        return is_between_exchanges and not self.has_unparsed_bytes

    def _send(self, event: h11.Event) -> list[bytes]:
        return self._machine.send_with_data_passthrough(event) or []
