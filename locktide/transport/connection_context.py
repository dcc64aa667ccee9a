"""The interface of a listener to its accepted connections."""

from __future__ import annotations

from typing import Protocol

from locktide.transport.descriptor_budget import DescriptorBudget
from locktide.transport.interfaces import RequestHandler
from locktide.transport.log import Log


class ConnectionContext(Protocol):
    """The state that all accepted connections of a listener share.

    Attributes:
        descriptors: Budget of the accepted connections.
        timeouts: Timeout of each service class, in microseconds.
        keyed_classes: Service classes whose requests need an idempotency key.
        keeps_jobs: Whether clients may query the state of durable jobs.
        request_handler: Handles the messages.
        log: The log.
        waiting_clients: Number of connections that wait for the response to a request.
        max_waiting_clients: Upper limit of `waiting_clients`.
        stored_bytes: Bytes of messages that are partly received or waiting.
        max_stored_bytes: Upper limit of `stored_bytes`.
        is_stopping: Whether each connection ends with its next response.
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
    is_stopping: bool
