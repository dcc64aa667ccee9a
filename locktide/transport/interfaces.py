"""Interfaces between the transport, its callers and the handlers that it calls."""

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
    """A response to a client or a worker; `headers` does not include those for framing."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)


class RequestHandler(Protocol):
    """Handles the messages of clients and the callbacks of workers; called by the listener's connections."""

    def is_ready(self) -> bool:
        """Return whether the dispatcher accepts requests."""

    def submit(self, message: SubmitRequest) -> asyncio.Future[Response] | None:
        """Return the future of the response; None if its id is in use or was recently."""

    def client_disconnected(self, message: SubmitRequest) -> None:
        """Handle that the client does not wait for the response any more.

        A dispatcher cancels the request; a durable job continues.
        """

    def handle_callback(self, message: Callback) -> Awaitable[None] | None:
        """Handle a callback; if an awaitable is returned, the worker gets its response once it is done.

        If the method or the awaitable raises OSError, the worker gets no response and keeps its message to
        repeat it.
        """

    def query_job(self, message: JobQuery) -> Response:
        """Return the state of a durable job."""


class System(Protocol):
    """The clock and the listening sockets of a dispatcher: the real ones, or simulated in virtual time."""

    def wall(self) -> float:
        """Return Unix time in seconds."""

    def open_listener(self, address: Address, backlog: int) -> socket.socket:
        """Return a socket on which the event loop can accept; raise OSError."""


class TransportFailure(StrEnum):
    """A failure of a connection that alone does not determine the outcome of the attempt."""

    #: The worker sent an invalid or incomplete response. It is alive and may have accepted the request.
    INVALID_RESPONSE = "invalid response"


#: The response to a request to a worker, or the outcome or failure if there is none.
SendResult: TypeAlias = UpstreamResponse | AttemptOutcome | TransportFailure


class RequestSender(Protocol):
    """Sends requests to workers; implemented by `UpstreamPool`."""

    async def send(
        self,
        worker: str,
        address: Address,
        build: Callable[[], UpstreamRequest | None],
        on_sent: Callable[[], None],
        on_new_connection: bool = False,
    ) -> SendResult:
        """Send a request; return its response, outcome or failure. A cancellation closes the connection.

        Args:
            worker: Name of the worker.
            address: Its address.
            build: Called right before the first byte; returns None if the request must not be sent any more.
            on_sent: Called once the kernel has taken the last byte.
            on_new_connection: Whether to send it on a new connection instead of an idle one.
        """
