"""Following the endpoint list, and what its changes mean for the open requests."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from locktide.dispatcher.cancellation import CancellationService
from locktide.dispatcher.endpoint_directory import EndpointDirectory
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.dispatcher.settings import DispatcherSettings
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.types import AttemptOutcome, ListUpdateKind
from locktide.transport.endpoint_watch import EndpointWatch
from locktide.transport.log import Log
from locktide.transport.upstream_pool import UpstreamPool


@dataclass(eq=False, slots=True)
class EndpointFollower:
    """Owns the watch of the endpoint list and applies what it brings."""

    endpoints: EndpointDirectory
    registry: RequestRegistry
    bridge: SchedulerBridge
    cancellations: CancellationService
    upstream: UpstreamPool
    settings: DispatcherSettings
    log: Log
    cached_version: int | None  # of the list that was remembered at the start
    watch_task: asyncio.Task[None] | None = None
    # Set once a list has come, not only what was remembered of it.
    list_received: asyncio.Event = field(default_factory=asyncio.Event)
    # Set while the scheduler wants the list watched and no call is under way for that.
    watch_requested: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self) -> None:
        """Follow the list from now on; where calls cost others work, once the scheduler asks for it."""
        self.watch(self.follow_when_requested() if self.settings.endpoint_list.polled else self.follow())

    def restart(self) -> None:
        """Follow the list at the address in force, from the whole list on: each has its own versions."""
        self.watch(self.follow())

    async def close(self) -> None:
        """Await the end of the watch, after `stop`."""
        if self.watch_task is not None and not self.watch_task.done():
            with suppress(asyncio.CancelledError):
                await self.watch_task

    def stop(self) -> None:
        """Cancel the watch."""
        if self.watch_task is not None:
            self.watch_task.cancel()

    def watch(self, following: Coroutine[Any, Any, None]) -> None:
        """Run `following` in place of the watch so far."""
        self.stop()
        self.watch_task = asyncio.create_task(following)

    def request_watch(self) -> None:
        """Let a watch that waits for the scheduler's word make its next call."""
        self.watch_requested.set()

    async def follow(self, version: int | None = None) -> None:
        """Follow the list at the address in force, from that version on, or from the whole of it."""
        config = self.settings.endpoint_list
        if not config.polled:
            await EndpointWatch(self.settings.discovery, self.apply_endpoint_list, self.log, version).run()
        # A call waits its turn there. Given up sooner than it would be it has been work for nothing; but one
        # that is not answered in half of the time in which we have to know was not heard.
        patience = min(config.poll_within, config.notified_within or config.poll_within) / 2e6
        watch = EndpointWatch(
            self.settings.discovery,
            self.apply_endpoint_list,
            self.log,
            version,
            patience,
            self.retry_when_requested,
        )
        await watch.run()

    async def follow_when_requested(self) -> None:
        """Follow the list once the scheduler asks for it, from the version that was remembered."""
        await self.watch_requested.wait()
        await self.follow(self.cached_version)

    async def retry_when_requested(self, silent: bool) -> None:
        """Report a call that failed, and wait until the scheduler asks for the next."""
        self.watch_requested.clear()
        kind = ListUpdateKind.FETCH_TIMED_OUT if silent else ListUpdateKind.FETCH_FAILED
        self.bridge.enqueue_event(EndpointListUpdate(kind, []))
        await self.watch_requested.wait()

    def apply_endpoint_list(self, update: DiscoveryUpdate) -> None:
        """Apply an update of the list, and pass it to the scheduler."""
        for worker in self.endpoints.apply(update):
            self.upstream.close_idle(worker)
            self._cancel_lost_attempts(worker)
        kind = ListUpdateKind.SNAPSHOT if update.is_snapshot else ListUpdateKind.DELTA
        self.bridge.enqueue_event(EndpointListUpdate(kind, update.entries))
        self.list_received.set()

    def _cancel_lost_attempts(self, worker: str) -> None:
        """Cancel what was sent to a worker before its process last started: nobody has it any more.

        Guards against waiting to the deadline for a job, and keeping its slots taken, where the callback of
        its loss does not come; and against taking that for its end, which no one but the worker can tell:
        what goes elsewhere before the new process has answered a cancellation is a second copy.
        """
        started_at = self.endpoints.entries[worker].started_at
        for request in list(self.registry.open_requests.values()):
            for attempt in request.unfinished_attempts():
                is_there = attempt.worker == worker and attempt.possibly_running
                if is_there and attempt.sent_at < started_at:
                    self.cancellations.cancel_and_finish(request, attempt, AttemptOutcome.CONNECTION_CLOSED)
