"""Interfaces of the transport: what it calls, what calls it, and the values that pass between them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, TypeAlias

from locktide.config.address import Address
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.protocol.messages import Callback, JobQuery, SubmitRequest
from locktide.scheduler.types import AttemptOutcome


@dataclass(slots=True)
class Response:
    """A response to a client or a worker; `headers` without those of framing."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class RequestHandler(Protocol):
    """Handles the messages of clients and the callbacks of workers; called by the listener's connections."""

    def is_ready(self) -> bool:
        """Return whether the dispatcher accepts requests."""

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Return the response to come; None where a request with that id is open, or was."""

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Take the notice that nobody waits for the response any more.

        A dispatcher cancels the request; a durable job goes on.
        """

    def handle_callback(self, message: Callback) -> Awaitable[None] | None:
        """Take a callback; where something to await is returned, the worker gets its response after that.

        Where it raises OSError, the worker gets none and keeps what it has reported.
        """

    def query_job(self, message: JobQuery) -> Response:
        """Return the state of a durable job."""


class System(Protocol):
    """The machine under a dispatcher: the operating system, or a simulation in virtual time."""

    def wall(self) -> float:
        """Return Unix time in seconds."""

    def listening(self, address: Address, backlog: int) -> socket.socket:
        """Return a socket on which the event loop can accept; raise OSError."""


class TransportFailure(StrEnum):
    """A failure on a connection that by itself does not say how the attempt ended."""

    #: What came back is no response, or half of one. Its worker lives and may have accepted the request.
    INVALID_RESPONSE = "invalid response"


#: The response to a request to a worker, or what became of the request in place of one.
SendResult: TypeAlias = UpstreamResponse | AttemptOutcome | TransportFailure


class RequestSender(Protocol):
    """Sends requests to workers; implemented by `UpstreamPool`."""

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        sent: Callable[[], None],
        fresh: bool = False,
    ) -> SendResult:
        """Send a request and return its response, or what became of it; a cancellation closes the connection.

        Args:
            worker: Name of the worker.
            address: Its address.
            build: Called right before the first byte; returns None where nothing may be sent any more.
            sent: Called once the kernel has the last byte.
            fresh: Whether to send it on a new connection rather than an idle one.
        """
