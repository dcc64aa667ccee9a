"""What all layers of a node stand on: what it holds, news in and orders out. It decides nothing."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Any

from locktide.config.start import Address
from locktide.dispatcher.clock import Clock
from locktide.dispatcher.job_store import JobStore
from locktide.dispatcher.records import EndpointDirectory, OpenRequest
from locktide.scheduler.commands import SetTimer
from locktide.scheduler.config import EndpointListConfig
from locktide.scheduler.events import TimerFired
from locktide.scheduler.policy import Scheduler
from locktide.transport.client_connection import Response
from locktide.transport.listener import Listener
from locktide.transport.log import Log
from locktide.transport.upstream_pool import UpstreamPool


class DispatcherBase:
    loop: asyncio.AbstractEventLoop
    log: Log
    clock: Clock
    scheduler: Scheduler
    upstream: UpstreamPool
    server: Listener
    discovery: Address
    endpoint_list_config: EndpointListConfig
    connect_within: int  # microseconds
    longest_limit: int  # the same
    version: int | None  # of the list that was remembered at the start

    def __init__(self) -> None:
        self.open_requests: dict[str, OpenRequest] = {}
        self.answered_ids: dict[
            str, float
        ] = {}  # ids that were answered, and when we forget them, oldest first
        self.endpoints = EndpointDirectory()
        self.pending_events: list[Any] = []
        self.handing_over = False
        self.serving = False
        self.shutdown_deadline: float | None = None  # of the loop's time, in a stop
        # Dispatches and withdrawals on their way, and whether a stop need not wait for them.
        self.tasks: dict[asyncio.Task[None], bool] = {}
        self.command_handlers: dict[type, Callable[[Any], None]] = {}
        self.job_store: JobStore | None = None
        self.observers: list[Callable[[Any], None]] = []  # parts that hear each piece of news and each order

    # --- news in, orders out

    def enqueue_event(self, piece: Any) -> None:
        """Puts a piece of news with the others; all that is ready by then goes in one call."""
        self.pending_events.append(piece)
        self.notify_observers(piece)
        if not self.handing_over:
            self.handing_over = True
            self.loop.call_soon(self.step_scheduler)

    def step_scheduler(self) -> None:
        self.handing_over = False
        news, self.pending_events = self.pending_events, []
        try:
            orders = self.scheduler.step(self.clock.now(), news)
        except Exception:
            what = " | ".join(traceback.format_exc().splitlines()[-3:])
            self.log.emit(f"the decisions broke off: {what}", event="decisions-broke-off", trouble=what)
            return
        for order in orders:
            try:
                self.execute(order)
            except Exception:  # one order that fails costs itself alone
                what = " | ".join(traceback.format_exc().splitlines()[-3:])
                self.log.emit(f"an order was not carried out: {what}", event="order-failed", trouble=what)

    def execute(self, order: Any) -> None:
        self.notify_observers(order)
        if not self.left_to_the_next(order):
            self.command_handlers[type(order)](order)

    def notify_observers(self, what: Any) -> None:
        """Guards against a part that fails: what it hears is taken and carried out all the same."""
        for hear in self.observers:
            try:
                hear(what)
            except Exception as trouble:
                said = f"{type(trouble).__name__}: {trouble}"
                self.log.emit(f"a part failed on what it heard: {said}", event="part-failed", trouble=said)

    def left_to_the_next(self, order: Any) -> bool:
        """Whether it is about a job that the next process goes on with: what is on disk stays as it is."""
        held = self.open_requests.get(getattr(order, "request_id", ""))
        return self.shutdown_deadline is not None and held is not None and held.message.background

    def wake(self, order: SetTimer) -> None:
        self.loop.call_later(order.delay / 1e6, self.enqueue_event, TimerFired(order.timer_id))

    # --- what is open

    def open(self) -> int:
        return sum(held.is_open and not held.message.background for held in self.open_requests.values())

    def respond(self, submission: str, answer: Response) -> None:
        """The first answer counts."""
        held = self.open_requests.get(submission)
        if held is not None and held.is_open:
            held.response.set_result(answer)
            self.release_settled(held)

    def release_settled(self, held: OpenRequest) -> None:
        if held.is_settled:
            held.timer.cancel()
            if self.open_requests.pop(held.message.id, None):
                # Guards against the id of another client's submission: each has a new one. A worker may know
                # it for as long as a submission may last.
                self.answered_ids[held.message.id] = self.loop.time() + self.longest_limit / 1e6

    def awaited(self) -> bool:
        return not all(self.tasks.values())

    def start(self, work: Any, patient: bool = False) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks[task] = patient
        task.add_done_callback(self.tasks.pop)
        return task
