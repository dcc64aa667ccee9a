"""A node's worker list: how it is followed, and what follows from it for what is open."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from locktide.dispatcher.requests import RequestLayer
from locktide.protocol import discovery
from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.types import AttemptOutcome, ListUpdateKind
from locktide.transport.endpoint_watch import EndpointWatch


class EndpointFollower(RequestLayer):
    def __init__(self) -> None:
        super().__init__()
        self.watching: asyncio.Task[None] | None = None
        self.listed = asyncio.Event()  # the list has come, not only what was remembered of it
        self.to_ask = asyncio.Event()  # the decisions want the list watched, and nobody does yet

    def watch(self, following: Coroutine[Any, Any, None]) -> None:
        if self.watching is not None:
            self.watching.cancel()
        self.watching = asyncio.create_task(following)

    async def follow(self, version: int | None = None) -> None:
        """Follows the list at the address in force, from that version on, or from the whole of it."""
        if not self.endpoint_list_config.polled:
            await EndpointWatch(self.discovery, self.apply_endpoint_list, self.log, version).run()
        # A call waits its turn there. Given up sooner than it would be it has been work for nothing; but one
        # that is not answered in half of the time in which we have to know was not heard.
        patience = (
            min(
                self.endpoint_list_config.poll_within,
                self.endpoint_list_config.notified_within or self.endpoint_list_config.poll_within,
            )
            / 2e6
        )
        watch = EndpointWatch(
            self.discovery, self.apply_endpoint_list, self.log, version, patience, self.ask_again
        )
        await watch.run()

    async def follow_when_asked(self) -> None:
        """Where calls are work for others the decisions say when, and we ask for what we have missed only."""
        await self.to_ask.wait()
        await self.follow(self.version)

    async def ask_again(self, silent: bool) -> None:
        self.to_ask.clear()
        self.enqueue_event(
            EndpointListUpdate(ListUpdateKind.FETCH_TIMED_OUT if silent else ListUpdateKind.FETCH_FAILED, [])
        )
        await self.to_ask.wait()

    def apply_endpoint_list(self, update: discovery.DiscoveryUpdate) -> None:
        for worker in self.endpoints.apply(update):
            self.upstream.close_idle(worker)
            self.lost_at(worker)
        self.enqueue_event(
            EndpointListUpdate(
                ListUpdateKind.SNAPSHOT if update.is_snapshot else ListUpdateKind.DELTA, update.entries
            )
        )
        self.listed.set()

    def lost_at(self, worker: str) -> None:
        """Withdraws what was sent to a worker before its process last started: nobody has it any more.

        Guards against waiting to the time limit for a job, and keeping its slots taken, where the word of its
        loss does not come; and against taking that for its end, which no one but the worker can tell: what
        goes elsewhere before the new process has answered a withdrawal is a second copy.
        """
        started_at = self.endpoints.entries[worker].started_at
        for held in list(self.open_requests.values()):
            for dispatch in held.unfinished_attempts():
                earlier = (
                    dispatch.worker == worker and dispatch.possibly_running and dispatch.sent_at < started_at
                )
                if earlier:
                    self.cancel_and_finish(held, dispatch, AttemptOutcome.CONNECTION_CLOSED)
