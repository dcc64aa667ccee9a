"""Orders, from the decisions to the host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class StartAttempt:
    """The dispatches of one submission count 0, 1, 2 ... in the order of these orders. `before`: no byte of
    it may go out from that moment on; 0 where the time limit alone counts.
    """

    request_id: Any
    worker: Any
    send_before: int = 0


@dataclass(slots=True)
class CancelAttempt:
    request_id: Any
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    request_id: Any
    retry_after: int


@dataclass(slots=True)
class FailRequest:
    request_id: Any


@dataclass(slots=True)
class SetTimer:
    delay: int
    timer_id: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Closes the connections to a worker that are at rest."""

    worker: Any


@dataclass(slots=True)
class WatchEndpoints:
    enabled: bool


@dataclass(slots=True)
class FetchEndpoints:
    pass


@dataclass(slots=True)
class ReportInternalError:
    """A piece of news on which the decisions broke off; nothing of it counts. `submission`: the one it was
    about, which is to be answered by the host, as no order for it will come; None for any other.
    """

    request_id: Any
    detail: str


@dataclass(slots=True)
class LogMessage:
    text: str
