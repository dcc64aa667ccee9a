"""The open requests, and the pool of those that wait for a worker."""

from __future__ import annotations

from bisect import insort

from locktide.scheduler.state.request import Attempt, Request
from locktide.scheduler.types import RequestId


class RequestPool:
    """All requests without a response or with an attempt in flight; the waiting ones form the pool."""

    __slots__ = ("open", "waiting")

    def __init__(self) -> None:
        self.open: dict[RequestId, Request] = {}
        self.waiting: list[Request] = []  # the pool, oldest request first

    def add(self, request: Request) -> None:
        """Add a request as open, without putting it into the pool."""
        self.open[request.id] = request

    def enter(self, request: Request) -> None:
        """Put the request into the pool, in the order of arrival."""
        if not request.is_in_pool:
            request.is_in_pool = True
            insort(self.waiting, request, key=lambda each: each.sequence)

    def leave(self, request: Request) -> None:
        """Remove the request from the pool."""
        if request.is_in_pool:
            request.is_in_pool = False
            self.waiting.remove(request)

    def close(self, request: Request) -> None:
        """Mark the request as answered; it is removed when its last attempt has ended."""
        request.is_answered = True
        if not request.open_attempts:
            self.open.pop(request.id, None)
        self.leave(request)

    def forget(self, request: Request) -> None:
        """Remove an answered request that has no attempt in flight."""
        del self.open[request.id]

    def find_attempt(self, request_id: RequestId, number: int) -> Attempt | None:
        """Return an attempt of an open request, or None if there is no such attempt."""
        request = self.open.get(request_id)
        return request.attempts[number] if request is not None and number < len(request.attempts) else None
