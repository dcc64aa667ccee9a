"""The open requests, and those of them that wait for a worker."""

from __future__ import annotations

from bisect import insort

from locktide.scheduler.state.request import Attempt, Request
from locktide.scheduler.types import RequestId


class RequestPool:
    """Every request that has no response, or an attempt in flight; the pool are those that wait."""

    __slots__ = ("open", "waiting")

    def __init__(self) -> None:
        self.open: dict[RequestId, Request] = {}
        self.waiting: list[Request] = []  # for a worker, oldest first

    def add(self, request: Request) -> None:
        """Add a request that came; it does not wait yet."""
        self.open[request.id] = request

    def enter(self, request: Request) -> None:
        """Let the request wait, by its age."""
        if not request.in_pool:
            request.in_pool = True
            insort(self.waiting, request, key=lambda each: each.sequence)

    def leave(self, request: Request) -> None:
        """End the wait of the request."""
        if request.in_pool:
            request.in_pool = False
            self.waiting.remove(request)

    def close(self, request: Request) -> None:
        """Count the request as answered; it is forgotten at the end of its last attempt."""
        request.is_answered = True
        if not request.open_attempts:
            self.open.pop(request.id, None)
        self.leave(request)

    def forget(self, request: Request) -> None:
        """Remove a request that is answered and has no attempt in flight any more."""
        del self.open[request.id]

    def find_attempt(self, request_id: RequestId, number: int) -> Attempt | None:
        """Return an attempt of an open request, or None."""
        request = self.open.get(request_id)
        return request.attempts[number] if request is not None and number < len(request.attempts) else None
