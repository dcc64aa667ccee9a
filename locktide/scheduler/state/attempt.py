"""One attempt of a request at one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from locktide.scheduler.state.endpoint import Endpoint

if TYPE_CHECKING:
    from locktide.scheduler.state.request import Request


class Attempt:
    """When and where a request was sent, and what was heard of it. Times are microseconds."""

    __slots__ = (
        "request",
        "number",
        "endpoint",
        "sent_at",
        "started_at",
        "last_heard_at",
        "filled_limit",
        "is_retry",
        "failure_recorded",
        "presumed_lost_at",
    )

    def __init__(self, request: Request, number: int, endpoint: Endpoint, now: int) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, now
        # Whether it took the last room that the concurrency limit left.
        self.filled_limit = endpoint.in_flight + request.width > endpoint.concurrency_limit - 1
        self.started_at = self.last_heard_at = 0
        # Half the timeout: what has not started by then seldom ends, and elsewhere it still can.
        self.presumed_lost_at = now + request.service_class.timeout // 2
        self.is_retry, self.failure_recorded = bool(request.possibly_executed), False
