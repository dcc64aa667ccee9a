"""The requests that are open in this process, and the ids of those that were."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.records import OpenRequest
from locktide.dispatcher.settings import DispatcherSettings
from locktide.scheduler.types import RequestId
from locktide.transport.interfaces import Response
from locktide.transport.units import MICROSECONDS_PER_SECOND


class RequestRegistry:
    """Owns the open requests; each leaves once it has its response and its attempts their outcomes.

    Attributes:
        open_requests: The open requests by id.
        answered_ids: Ids of earlier requests, and when each may be forgotten, in seconds of the event loop;
            oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: DispatcherSettings) -> None:
        self.open_requests: dict[RequestId, OpenRequest] = {}
        self.answered_ids: dict[str, float] = {}
        self._loop = loop
        self._settings = settings

    def is_known(self, request_id: str) -> bool:
        """Return whether the id is that of an open request or of one that was answered lately."""
        return request_id in self.open_requests or request_id in self.answered_ids

    def add(self, request: OpenRequest) -> None:
        """Add a request that was not known before."""
        self.open_requests[request.message.id] = request

    def get(self, request_id: RequestId) -> OpenRequest | None:
        """Return the open request of that id."""
        return self.open_requests.get(request_id)

    def open_count(self) -> int:
        """Return the number of requests for whose response a client waits."""
        return sum(
            request.is_open and not request.message.background for request in self.open_requests.values()
        )

    def respond(self, request_id: RequestId, response: Response) -> None:
        """Give the request its response; the first one counts."""
        request = self.open_requests.get(request_id)
        if request is not None and request.is_open:
            request.response.set_result(response)
            self.release_settled(request)

    def release_settled(self, request: OpenRequest) -> None:
        """Remove the request where it is settled, and remember its id.

        A worker may know the id for as long as a request may last. Given to another request meanwhile, it
        would make the worker take one for the other.
        """
        if not request.is_settled:
            return
        request.timer.cancel()
        if self.open_requests.pop(request.message.id, None):
            longest_timeout = self._settings.longest_timeout / MICROSECONDS_PER_SECOND
            self.answered_ids[request.message.id] = self._loop.time() + longest_timeout

    def forget_answered(self) -> None:
        """Forget the ids that no worker can know any more."""
        now = self._loop.time()
        expired = [request_id for request_id, until in self.answered_ids.items() if until < now]
        for request_id in expired:
            del self.answered_ids[request_id]
