"""What the listener calls with the messages that it reads."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field
from typing import Protocol

from locktide.protocol.messages import Callback, JobQuery, SubmitRequest


@dataclass(slots=True)
class Response:
    """A response to a client or a worker; `headers` without those of framing."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class RequestHandler(Protocol):
    """Handles the messages of clients and the callbacks of workers."""

    def is_ready(self) -> bool:
        """Returns whether the dispatcher takes requests."""

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Returns the response to come; None where a request with that id is open, or was."""

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Notes that nobody waits for the response any more."""

    def handle_callback(self, message: Callback) -> Awaitable[None] | None:
        """Takes a callback; where it returns something to wait for, the worker is answered after that."""

    def query_job(self, message: JobQuery) -> Response:
        """Returns the state of a durable job."""
