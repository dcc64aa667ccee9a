"""What all accepted connections of a listener share."""

from __future__ import annotations

from typing import Protocol

from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import RequestHandler
from locktide.transport.log import Log


class ConnectionContext(Protocol):
    """The listener, as its connections see it.

    Attributes:
        descriptors: Budget of the accepted connections.
        timeouts: Timeout of each service class, in microseconds.
        keyed_classes: Service classes whose requests need an idempotency key.
        keeps_jobs: Whether clients may query the state of durable jobs.
        request_handler: Handles the messages.
        log: The log.
        waiting_clients: How many connections wait for the response to a request.
        max_waiting_clients: How many may.
        stored_bytes: Bytes of messages that are half received or wait.
        max_stored_bytes: How many there may be.
        stopping: Whether connections end with their next response.
    """

    descriptors: DescriptorBudget
    timeouts: dict[str, int]
    keyed_classes: set[str]
    keeps_jobs: bool
    request_handler: RequestHandler
    log: Log
    waiting_clients: int
    max_waiting_clients: int
    stored_bytes: int
    max_stored_bytes: int
    stopping: bool
