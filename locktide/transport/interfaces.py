"""Interfaces between the sockets and the dispatcher that uses them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol, TypeAlias

from locktide.config.address import Address
from locktide.protocol.client_connection import UpstreamRequest, UpstreamResponse
from locktide.scheduler.types import AttemptOutcome


class TransportFailure(StrEnum):
    """A failure on a connection that by itself does not say how the attempt ended."""

    # What came back is no response, or half of one. Its worker lives and may have accepted the request.
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
