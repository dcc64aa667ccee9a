"""Our side of a connection on which we ask: one question, one reply, then the next."""

from __future__ import annotations

from dataclasses import dataclass

import h11

from locktide.protocol import names

Headers = list[tuple[bytes, bytes]]


class ProtocolError(Exception):
    """The connection ended, or said what HTTP does not allow, before the reply was whole."""


@dataclass(slots=True)
class UpstreamRequest:
    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class UpstreamResponse:
    status: int
    headers: dict[str, str]
    body: bytes


class ClientHttpConnection:
    """Fed what comes in; gives what is to be written as pieces, and the reply once it is whole."""

    def __init__(self, host: str, largest: int = names.LARGEST_BODY) -> None:
        self.machine = h11.Connection(h11.CLIENT)
        self.host, self.largest = host, largest
        self.reply: UpstreamResponse | None = None
        self.body = bytearray()
        self.heard = False  # whether anything has come since the question

    def ask(self, question: UpstreamRequest) -> list[bytes]:
        self.reply, self.body, self.heard = None, bytearray(), False
        headers = [(b"Host", self.host.encode()), *question.headers]
        if question.body or question.method == "POST":
            headers.append((b"Content-Length", b"%d" % len(question.body)))
        pieces: list[bytes] = []
        events: list[h11.Event] = [
            h11.Request(method=question.method, target=question.target, headers=headers),
            h11.EndOfMessage(),
        ]
        if question.body:
            events.insert(1, h11.Data(data=question.body))
        for event in events:
            pieces += self.machine.send_with_data_passthrough(event) or []
        return pieces

    def feed(self, data: bytes) -> UpstreamResponse | None:
        """Takes what was read, nothing at the end of the stream; the reply once it is whole."""
        self.heard = self.heard or bool(data)
        try:
            self.machine.receive_data(data)
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
                    self.reply = UpstreamResponse(event.status_code, headers, b"")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > self.largest:
                        raise ProtocolError("a reply over the limit")
                elif isinstance(event, h11.EndOfMessage) and self.reply is not None:
                    self.reply.body = bytes(self.body)
                    if self.machine.our_state is self.machine.their_state is h11.DONE:
                        self.machine.start_next_cycle()
                    return self.reply
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError("ended before the reply")
        except h11.RemoteProtocolError as trouble:
            raise ProtocolError(str(trouble)) from None

    @property
    def at_rest(self) -> bool:
        """Nothing has been asked that is not answered, and the next question may follow."""
        idle = self.machine.our_state is self.machine.their_state is h11.IDLE
        return idle and not self.machine.trailing_data[0]
