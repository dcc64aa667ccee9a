"""The requests that are open in this process, and the ids of those that were."""

from __future__ import annotations

import asyncio

from locktide.dispatcher.records import OpenRequest
from locktide.dispatcher.settings import DispatcherSettings
from locktide.scheduler.types import RequestId
from locktide.transport.client_connection import Response


class RequestRegistry:
    """Owns the open requests; each leaves once it has its response and its attempts their outcomes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: DispatcherSettings) -> None:
        self.open_requests: dict[RequestId, OpenRequest] = {}
        # Ids of earlier requests, and when each may be forgotten by the loop's clock; oldest first.
        self.answered_ids: dict[str, float] = {}
        self._loop = loop
        self._settings = settings

    def is_known(self, request_id: str) -> bool:
        """Whether the id is that of an open request or of one that was answered lately."""
        return request_id in self.open_requests or request_id in self.answered_ids

    def add(self, request: OpenRequest) -> None:
        """Add a request that was not known before."""
        self.open_requests[request.message.id] = request

    def get(self, request_id: RequestId) -> OpenRequest | None:
        """The open request of that id."""
        return self.open_requests.get(request_id)

    def open_count(self) -> int:
        """The number of requests for whose response a client waits."""
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
        """Remove the request where it is settled, and remember its id."""
        if not request.is_settled:
            return
        request.timer.cancel()
        if self.open_requests.pop(request.message.id, None):
            # Guards against the id of another client's request: each has a new one. A worker may know it for
            # as long as a request may last.
            self.answered_ids[request.message.id] = self._loop.time() + self._settings.longest_timeout / 1e6

    def forget_answered(self) -> None:
        """Forget the ids that no worker can know any more."""
        now = self._loop.time()
        for request_id in [known for known, until in self.answered_ids.items() if until < now]:
            del self.answered_ids[request_id]
