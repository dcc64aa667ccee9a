"""Follows the endpoint list at discovery, continuously or when the scheduler requests it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from locktide.dispatcher.endpoint_list import EndpointListHandler
from locktide.dispatcher.scheduler_bridge import SchedulerBridge
from locktide.dispatcher.settings import DispatcherSettings
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.types import ListUpdateKind
from locktide.transport.earlier_calls import Handover
from locktide.transport.endpoint_watch import RESPONSE_TIMEOUT, EndpointWatch, retry_soon
from locktide.transport.log import Log
from locktide.transport.units import MICROSECONDS_PER_SECOND

#: Seconds that a start waits for the first list: an agent on the same machine responds within milliseconds.
FIRST_LIST_TIMEOUT = 0.5
#: A polled call may wait for its turn at the agent for this fraction of the time within which a change has to
#: be known. A call that is given up sooner has caused work for nothing; a call that has no response by then
#: was not received.
POLL_WAIT_FRACTION = 0.5


@dataclass(eq=False, slots=True, kw_only=True)
class EndpointFollower:
    """Owns the watch of the endpoint list.

    Attributes:
        current_watch: The current watch; None before the first one.
        watch_task: Runs the current watch.
        watch_requested: Set once the scheduler has requested a call; cleared when a call fails.
        is_stopped: Whether `stop` was called.
    """

    settings: DispatcherSettings
    endpoint_list: EndpointListHandler
    bridge: SchedulerBridge
    log: Log
    current_watch: EndpointWatch | None = None
    watch_task: asyncio.Task[None] | None = None
    watch_requested: asyncio.Event = field(default_factory=asyncio.Event)
    is_stopped: bool = False

    def start(self) -> None:
        """Follow the list from now on, or once the scheduler requests it if the list is polled."""
        self.watch(self.follow_when_requested() if self.settings.endpoint_list.is_polled else self.follow())

    def restart(self) -> None:
        """Follow the list at the address in force, starting with the whole list.

        Versions of the list are not comparable between agents. Calls that are outstanding go on, so that
        reloads which come sooner than discovery answers do not keep each answer from being heard.
        """
        if not self.is_stopped:
            self.watch(self.follow())

    def stop(self) -> None:
        """Cancel the watch for good, so that a reload late in a shutdown starts no new watch.

        A watch does not end by itself: `close` would await it forever, and the process would stay until it is
        killed (test_reload_between_the_stop_and_the_close_of_a_follower_begins_no_watch).
        """
        self.is_stopped = True
        self._cancel_watch()

    def _cancel_watch(self) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()

    async def close(self) -> None:
        """Wait until the watch has ended; called after `stop`."""
        if self.watch_task is not None and not self.watch_task.done():
            with suppress(asyncio.CancelledError):
                await self.watch_task
        if self.current_watch is not None:  # its task may have been cancelled before it ran
            await self.current_watch.close()

    def watch(self, following: Coroutine[Any, Any, None]) -> None:
        """Replace the current watch by `following`, unless the follower is stopped."""
        if self.is_stopped:
            following.close()
            return
        self._cancel_watch()
        self.watch_task = asyncio.create_task(following)

    def request_watch(self) -> None:
        """Let a watch that waits for the scheduler's request make its next call."""
        self.watch_requested.set()

    async def wait_for_first_list(self) -> None:
        """Wait for the first list, for a limited time; do not wait if the list is polled.

        Changes that the agent has count as notified from the start of the process. A silent agent does not
        delay the start for long: only the cached list is available then.
        """
        if self.settings.endpoint_list.is_polled:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self.endpoint_list.received.wait()

    def follow(self) -> Coroutine[Any, Any, None]:
        """Return a coroutine that follows the list at the address in force, beginning with the whole list.

        A version that is known already may be another agent's: of the address before a reload, or of the one
        from which the cached list came
        (test_polled_list_begins_with_the_whole_list_whatever_version_is_cached). The coroutine takes over the
        outstanding calls of the current watch, which is to be cancelled.
        """
        replaced = self.current_watch.hand_over() if self.current_watch is not None else None
        self.current_watch = self._create_watch(replaced)
        return self.current_watch.run()

    async def follow_when_requested(self) -> None:
        """Follow the list once the scheduler requests it."""
        await self.watch_requested.wait()
        await self.follow()

    async def retry_when_requested(self, has_timed_out: bool) -> None:
        """Report a failed call to the scheduler, and wait until it requests the next call."""
        self.watch_requested.clear()
        kind = ListUpdateKind.FETCH_TIMED_OUT if has_timed_out else ListUpdateKind.FETCH_FAILED
        self.bridge.enqueue_event(EndpointListUpdate(kind, []))
        await self.watch_requested.wait()

    def _create_watch(self, replaced: Handover | None) -> EndpointWatch:
        config = self.settings.endpoint_list
        return EndpointWatch(
            self.settings.discovery,
            self.endpoint_list.apply,
            self.log,
            first_response_timeout=_poll_timeout(config) if config.is_polled else RESPONSE_TIMEOUT,
            wait_for_retry=self.retry_when_requested if config.is_polled else retry_soon,
            on_former_update=self.endpoint_list.apply_former,
            replaced=replaced,
        )


def _poll_timeout(config: EndpointListConfig) -> float:
    """Return how long the first call of a polled watch may take beyond its wait, in seconds."""
    notification_limit = min(config.poll_within, config.notified_within or config.poll_within)
    return POLL_WAIT_FRACTION * notification_limit / MICROSECONDS_PER_SECOND
