"""Applies updates of the endpoint list to connections, attempts and the scheduler."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.types import EndpointState, ListUpdateKind
from locktide.transport.upstream_pool import UpstreamPool


@dataclass(eq=False, slots=True, kw_only=True)
class EndpointListHandler:
    """Applies updates of the endpoint list.

    Attributes:
        received: Set once an update has arrived from discovery; the cached list does not count.
    """

    endpoints: EndpointDirectory
    upstream: UpstreamPool
    cancellations: CancellationService
    bridge: SchedulerBridge
    received: asyncio.Event = field(default_factory=asyncio.Event)

    def apply_cached(self, update: DiscoveryUpdate) -> None:
        """Apply the cached list of an earlier process, before any other update."""
        self.endpoints.apply(update)
        self.bridge.enqueue_event(EndpointListUpdate(ListUpdateKind.CACHED, update.entries))

    def apply(self, update: DiscoveryUpdate) -> None:
        """Apply an update of the list, and pass it to the scheduler."""
        self._apply(update)
        self.received.set()

    def apply_former(self, update: DiscoveryUpdate) -> None:
        """Apply an update that came late from an address of discovery that is no longer in force.

        It counts as far as it is news of workers in the list: that they are draining, gone or have restarted.
        Nothing is sent to a worker that only a former address lists.
        """
        newer = self.endpoints.select_newer(update)
        if newer.entries:
            self._apply(newer)

    def _apply(self, update: DiscoveryUpdate) -> None:
        for worker in self.endpoints.apply(update):
            self.upstream.close_idle(worker)
            self.cancellations.cancel_lost(worker, self.endpoints.entries[worker].started_at)
        for entry in update.entries:
            if entry.state is EndpointState.READY:
                self.upstream.allow_reuse(entry.worker)
        kind = ListUpdateKind.SNAPSHOT if update.is_snapshot else ListUpdateKind.DELTA
        self.bridge.enqueue_event(EndpointListUpdate(kind, update.entries))
