"""Server side of an HTTP connection to an emulated machine: parses requests, and encodes responses."""

from __future__ import annotations

import json
from dataclasses import dataclass

import h11


@dataclass(slots=True)
class Message:
    method: str
    path: str
    query: str
    fields: dict[str, str]
    body: bytes
    first_at: int  # when its first byte arrived


class ServerMessages:
    """Parser and encoder of one connection; raises h11.RemoteProtocolError for bytes that are no HTTP."""

    def __init__(self) -> None:
        self.machine = h11.Connection(h11.SERVER)
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.first_at: int | None = None

    def feed(self, data: bytes, now: int) -> Message | None:
        """Return the message once it is complete; the next one follows only after the response to it."""
        if self.first_at is None:
            self.first_at = now
        self.machine.receive_data(data)
        while True:
            event = self.machine.next_event()
            if isinstance(event, h11.Request):
                self.head, self.body = event, bytearray()
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert self.head is not None
                path, _, query = self.head.target.decode().partition("?")
                fields = {name.decode(): value.decode("latin-1") for name, value in self.head.headers}
                first_at, self.first_at = self.first_at, None
                return Message(self.head.method.decode(), path, query, fields, bytes(self.body), first_at)
            else:
                return None

    def answer(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> bytes:
        fields = [*headers, ("Content-Length", str(len(body)))]
        pieces = [self.machine.send(h11.Response(status_code=status, headers=fields))]
        if body:
            pieces.append(self.machine.send(h11.Data(data=body)))
        pieces.append(self.machine.send(h11.EndOfMessage()))
        if self.machine.our_state is self.machine.their_state is h11.DONE:
            self.machine.start_next_cycle()
        return b"".join(piece or b"" for piece in pieces)


def as_json(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
