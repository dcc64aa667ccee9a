"""The client side of an HTTP connection: one request, its response, then the next request."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from locktide.protocol import names
from locktide.protocol.errors import ProtocolError

__all__ = ["ClientHttpConnection", "Headers", "ProtocolError", "UpstreamRequest", "UpstreamResponse"]

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class UpstreamRequest:
    """A request to a worker, to discovery or, from a simulated peer, to a dispatcher."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response; `headers` are by lower-case name."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientHttpConnection:
    """Fed what is read; encodes requests, and returns each response once it is complete.

    Attributes:
        has_received: Whether any byte has been read since the request.
    """

    def __init__(self, host: str, max_body_size: int = names.MAX_BODY_SIZE) -> None:
        """Begins a connection to `host`, whose response bodies hold at most so many bytes."""
        self.machine = h11.Connection(h11.CLIENT)
        self.host = host
        self.max_body_size = max_body_size
        self.response: UpstreamResponse | None = None
        self.body = bytearray()
        self.has_received = False

    def encode_request(self, request: UpstreamRequest) -> list[bytes]:
        """Returns the request in pieces, and awaits its response from now on."""
        self.response, self.body, self.has_received = None, bytearray(), False
        headers = [(b"Host", self.host.encode()), *request.headers]
        if request.body or request.method == "POST":
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        events: list[h11.Event] = [
            h11.Request(method=request.method, target=request.target, headers=headers),
            h11.EndOfMessage(),
        ]
        if request.body:
            events.insert(1, h11.Data(data=request.body))
        pieces: list[bytes] = []
        for event in events:
            pieces += self.machine.send_with_data_passthrough(event) or []
        return pieces

    def feed(self, data: bytes) -> UpstreamResponse | None:
        """Takes what was read, b"" at the end of the stream; returns the response once it is complete.

        Raises:
            ProtocolError: The stream ended before the response, or holds what is none.
        """
        self.has_received = self.has_received or bool(data)
        try:
            self.machine.receive_data(data)
            return self.read_response()
        except h11.RemoteProtocolError as error:
            raise ProtocolError(str(error)) from error

    def read_response(self) -> UpstreamResponse | None:
        """Returns the response, None until more is fed; raises ProtocolError or h11.RemoteProtocolError."""
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Response):
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                self.response = UpstreamResponse(event.status_code, headers, b"")
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > self.max_body_size:
                    raise ProtocolError("a reply over the limit")
            elif isinstance(event, h11.EndOfMessage) and self.response is not None:
                return self.complete_response(self.response)
            elif isinstance(event, h11.ConnectionClosed):
                raise ProtocolError("ended before the reply")

    def complete_response(self, response: UpstreamResponse) -> UpstreamResponse:
        """Adds the body to a response that has ended, and makes way for the next request."""
        response.body = bytes(self.body)
        if self.machine.our_state is self.machine.their_state is h11.DONE:
            self.machine.start_next_cycle()
        return response

    @property
    def is_idle(self) -> bool:
        """Whether no response is awaited and the next request may follow."""
        idle = self.machine.our_state is self.machine.their_state is h11.IDLE
        return idle and not self.machine.trailing_data[0]
