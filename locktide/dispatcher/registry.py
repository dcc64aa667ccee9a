"""The open requests of this process, and the ids of those answered recently."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.records import OpenRequest
from locktide.dispatcher.settings import DispatcherSettings
from locktide.scheduler.types import RequestId
from locktide.transport.interfaces import Response
from locktide.transport.units import MICROSECONDS_PER_SECOND


class RequestRegistry:
    """Owns the open requests; removes each once it has its response and its attempts their outcomes.

    Attributes:
        open_requests: The open requests by id.
        answered_ids: Ids of answered requests, each with the time at which it may be forgotten, in seconds of
            the event loop; oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: DispatcherSettings) -> None:
        self.open_requests: dict[RequestId, OpenRequest] = {}
        self.answered_ids: dict[str, float] = {}
        self._loop = loop
        self._settings = settings

    def is_known(self, request_id: str) -> bool:
        """Return whether the id belongs to a request that is open or was answered recently."""
        return request_id in self.open_requests or request_id in self.answered_ids

    def add(self, request: OpenRequest) -> None:
        """Add a request whose id is not known yet."""
        self.open_requests[request.message.id] = request

    def get(self, request_id: RequestId) -> OpenRequest | None:
        """Return the open request with that id, or None."""
        return self.open_requests.get(request_id)

    def open_count(self) -> int:
        """Return the number of requests whose clients wait for a response."""
        return sum(
            request.is_open and not request.message.background for request in self.open_requests.values()
        )

    def respond(self, request_id: RequestId, response: Response) -> None:
        """Set the response of the request, unless it has one already."""
        request = self.open_requests.get(request_id)
        if request is not None and request.is_open:
            request.response.set_result(response)
            self.release_settled(request)

    def release_settled(self, request: OpenRequest) -> None:
        """Remove the request if it is settled, and remember its id.

        A worker may remember the id for as long as a request may last. If another request got the same id
        meanwhile, the worker would confuse the two.
        """
        if not request.is_settled:
            return
        request.timer.cancel()
        if self.open_requests.pop(request.message.id, None):
            longest_timeout = self._settings.longest_timeout / MICROSECONDS_PER_SECOND
            self.answered_ids[request.message.id] = self._loop.time() + longest_timeout

    def forget_answered(self) -> None:
        """Forget the ids that no worker can remember any more."""
        now = self._loop.time()
        expired = [request_id for request_id, until in self.answered_ids.items() if until < now]
        for request_id in expired:
            del self.answered_ids[request_id]
