"""One dispatcher: turns what the sockets bring into news, and carries out the orders; it decides nothing.

Its layers, each on the one before: base, dispatches, submissions, roster, and here its life.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace

from locktide.config.start import Start, spelled
from locktide.dispatcher.clock import Clock
from locktide.dispatcher.endpoints import EndpointFollower
from locktide.dispatcher.job_store import JobStore
from locktide.protocol import discovery
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogMessage,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from locktide.scheduler.events import ConfigReloaded, EndpointListUpdate
from locktide.scheduler.policy import Scheduler
from locktide.scheduler.types import Effect, ListUpdateKind
from locktide.transport.client_connection import RequestHandler
from locktide.transport.descriptor_budget import divide, read_first
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.system import RealSystem, System
from locktide.transport.upstream_pool import UpstreamPool

# On the platform's sockets a change counts as told so many microseconds after discovery had it and could be
# reached, whatever became of a call.
TOLD_WITHIN = 6_000_000
# A cold worker that may get N usual submissions falls at N + 2 root N + 2 of all of us, in work. Where some
# kinds run at 0.6 of the usual and works differ by a lognormal, thirty of us came to more in 12 of 600 seeded
# bursts with the whole of N planned, in 1 with three quarters (tests/test_cold.py).
COLD_MARGIN = 0.75
# How long a start waits for the list, in seconds: an agent on the same machine answers within milliseconds.
FIRST_LIST = 0.5
# Bytes that we take with hundreds of connections open and nothing stored. Half of what is left is for
# messages on their way in or waiting; the other half is for their copies, in pieces and on their way out.
OURS = 22 << 20
# Connections go on coming for 0.4 s after SIGTERM.
ACCEPT_ON = 0.5
# A kill comes no sooner than the longest time limit, or this where that is less, and a bit more after
# SIGTERM. What we took in the first half second may be left open at the kill; what comes after it may not.
STOP_WITHIN, STOP_BIT = 3.0, 0.7


def with_socket_terms(start: Start) -> Start:
    """What the platform's sockets add to the settings; in new terms, as others may hold those given."""
    config = start.scheduler_config
    config = replace(
        config,
        retry=replace(config.retry, counts_unsent=False),  # one counts once its last byte has come
        slow_start=replace(config.slow_start, margin=COLD_MARGIN),
        endpoint_list=replace(config.endpoint_list, notified_within=TOLD_WITHIN),
    )
    return replace(start, scheduler_config=config)


class Dispatcher(EndpointFollower):
    def __init__(
        self, start: Start, known: discovery.DiscoveryUpdate, log: Log, system: System | None = None
    ) -> None:
        super().__init__()
        loop, system, start = asyncio.get_running_loop(), system or RealSystem(), with_socket_terms(start)
        self.loop, self.log, self.clock = loop, log, Clock(loop, system.wall)
        self.scheduler = Scheduler(start.seed, start.scheduler_config)
        to_clients, to_workers = divide(start.descriptors)
        self.upstream = UpstreamPool(to_workers, start.connect_within, start.idle_close)
        most_stored = (start.memory - OURS) // 2
        self.longest_limit = 0
        self.server = Listener(to_clients, {}, set(), most_stored, self, log, system)
        self.apply_config(start)
        self.discovery, self.listen_at = start.discovery, start.listen
        self.version = known.version if known.entries else None
        self.command_handlers = {
            StartAttempt: self.start_attempt,
            CancelAttempt: self.cancel_attempt,
            RejectRequest: self.reject,
            FailRequest: self.fail,
            ReportInternalError: self.fail_after_internal_error,
            SetTimer: self.wake,
            CloseIdleConnections: lambda order: self.upstream.close_idle(order.worker),
            LogMessage: lambda order: log.emit(order.text),
            # Where the list need not be asked for, the watch is always on.
            WatchEndpoints: lambda order: self.to_ask.set(),
            FetchEndpoints: lambda order: None,
        }
        self.endpoints.apply(known)
        self.enqueue_event(EndpointListUpdate(ListUpdateKind.CACHED, known.entries))

    def attach_job_store(self, keeper: JobStore, desk: RequestHandler) -> None:
        """From now on durable jobs are kept by `keeper`, and clients are met at `desk`."""
        self.job_store, self.server.request_handler, self.server.keeps_jobs = keeper, desk, True

    # --- the life of the dispatcher

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop`, finishes what it has taken, and returns."""
        self.watch(self.follow_when_asked() if self.endpoint_list_config.polled else self.follow())
        sweeping = asyncio.create_task(self.sweep())
        await asyncio.sleep(0)  # the remembered list is handed over before the first submission
        if not self.endpoint_list_config.polled:
            # What the agent has counts as told from our first moment on. One that is silent does not hold us
            # up for long: then the remembered list is all there is.
            with suppress(TimeoutError):
                await asyncio.wait_for(self.listed.wait(), FIRST_LIST)
        # Not before: a front goes on sending to a dispatcher that has died, and what it sends would go out on
        # the strength of a list of before.
        self.server.listen(self.listen_at)
        self.serving = True
        workers = len(self.endpoints.entries)
        self.log.emit(
            f"serving on {spelled(self.listen_at)}, {workers} workers known",
            event="serving",
            listen=spelled(self.listen_at),
            workers=workers,
        )
        await stop.wait()
        begun = self.loop.time()
        grace = min(STOP_WITHIN, self.longest_limit / 1e6) + STOP_BIT
        self.log.emit(f"stopping: {self.open()} submissions open", event="stopping", open=self.open())
        self.loop.call_at(begun + ACCEPT_ON, self.shorten, begun + grace)
        await self.server.wind_down()
        while self.loop.time() - begun < ACCEPT_ON or self.owes():
            # However long that takes: a kill costs what is open then no more than giving it up would.
            await asyncio.sleep(0.02)
            await read_first()  # so that the last look is past all that has come
        if self.watching is not None:
            self.watching.cancel()
        sweeping.cancel()
        await self.server.stop()
        self.log.emit("stopped", event="stopped")

    def owes(self) -> bool:
        """Whether a stop waits: for an answer, a connection not at rest, a worker to be told."""
        return bool(self.open()) or self.server.busy() or self.awaited()

    def apply_config(self, start: Start) -> None:
        """The settings that may change while we serve; name, address, seed and limits are the process's."""
        grades = start.scheduler_config.service_classes
        self.endpoint_list_config = start.scheduler_config.endpoint_list
        self.connect_within = start.connect_within
        self.upstream.set_spans(start.connect_within, start.idle_close)
        # In place: connections that are kept go by them, too.
        self.server.timeouts.clear()
        self.server.timeouts.update({grade.name: grade.timeout for grade in grades})
        self.server.keyed_classes.clear()
        self.server.keyed_classes.update(
            [grade.name for grade in grades if grade.effect == Effect.IDEMPOTENT_WITH_KEY]
        )
        # Never less than before: what was taken under a longer limit may still be open.
        self.longest_limit = max(self.longest_limit, *self.server.timeouts.values())

    def reload(self, start: Start) -> None:
        """Settings and roster in force from now on. What is open keeps its limits and its grade, connections
        and jobs go on, and the way back is the same step.
        """
        start = with_socket_terms(start)
        self.discovery = start.discovery
        self.apply_config(start)
        self.enqueue_event(ConfigReloaded(start.scheduler_config))
        at, grades = spelled(self.discovery), ", ".join(self.server.timeouts)
        self.log.emit(
            f"reload: settings taken, {self.open()} submissions open; grades {grades}; worker list from {at}",
            event="reloaded",
            roster=at,
            open=self.open(),
            grades=grades,
        )
        self.watch(self.follow())  # from the whole list on: each address has its own versions

    def shorten(self, kill_at: float) -> None:
        """From now on nothing is taken that would not have its answer by then."""
        self.shutdown_deadline = kill_at

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.upstream.sweep()
            for submission in [one for one, until in self.answered_ids.items() if until < self.loop.time()]:
                del self.answered_ids[submission]
