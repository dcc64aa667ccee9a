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
    dispatcher: Scheduler
    connections: UpstreamPool
    server: Listener
    discovery: Address
    listing: EndpointListConfig
    connect_within: int  # microseconds
    longest_limit: int  # the same
    version: int | None  # of the list that was remembered at the start

    def __init__(self) -> None:
        self.held: dict[str, OpenRequest] = {}
        self.spent: dict[str, float] = {}  # ids that were answered, and when we forget them, oldest first
        self.fleet = EndpointDirectory()
        self.news: list[Any] = []
        self.handing_over = False
        self.serving = False
        self.kill_at: float | None = None  # of the loop's time, in a stop
        # Dispatches and withdrawals on their way, and whether a stop need not wait for them.
        self.tasks: dict[asyncio.Task[None], bool] = {}
        self.orders: dict[type, Callable[[Any], None]] = {}
        self.keeper: JobStore | None = None
        self.hearers: list[Callable[[Any], None]] = []  # parts that hear each piece of news and each order

    # --- news in, orders out

    def tell(self, piece: Any) -> None:
        """Puts a piece of news with the others; all that is ready by then goes in one call."""
        self.news.append(piece)
        self.let_hear(piece)
        if not self.handing_over:
            self.handing_over = True
            self.loop.call_soon(self.hand_over)

    def hand_over(self) -> None:
        self.handing_over = False
        news, self.news = self.news, []
        try:
            orders = self.dispatcher.turn(self.clock.now(), news)
        except Exception:
            what = " | ".join(traceback.format_exc().splitlines()[-3:])
            self.log.say(f"the decisions broke off: {what}", event="decisions-broke-off", trouble=what)
            return
        for order in orders:
            try:
                self.carry_out(order)
            except Exception:  # one order that fails costs itself alone
                what = " | ".join(traceback.format_exc().splitlines()[-3:])
                self.log.say(f"an order was not carried out: {what}", event="order-failed", trouble=what)

    def carry_out(self, order: Any) -> None:
        self.let_hear(order)
        if not self.left_to_the_next(order):
            self.orders[type(order)](order)

    def let_hear(self, what: Any) -> None:
        """Guards against a part that fails: what it hears is taken and carried out all the same."""
        for hear in self.hearers:
            try:
                hear(what)
            except Exception as trouble:
                said = f"{type(trouble).__name__}: {trouble}"
                self.log.say(f"a part failed on what it heard: {said}", event="part-failed", trouble=said)

    def left_to_the_next(self, order: Any) -> bool:
        """Whether it is about a job that the next process goes on with: what is on disk stays as it is."""
        held = self.held.get(getattr(order, "submission", ""))
        return self.kill_at is not None and held is not None and held.message.patient

    def wake(self, order: SetTimer) -> None:
        self.loop.call_later(order.after / 1e6, self.tell, TimerFired(order.mark))

    # --- what is open

    def open(self) -> int:
        return sum(held.open and not held.message.patient for held in self.held.values())

    def answer(self, submission: str, answer: Response) -> None:
        """The first answer counts."""
        held = self.held.get(submission)
        if held is not None and held.open:
            held.answer.set_result(answer)
            self.release_settled(held)

    def release_settled(self, held: OpenRequest) -> None:
        if held.settled:
            held.timer.cancel()
            if self.held.pop(held.message.id, None):
                # Guards against the id of another client's submission: each has a new one. A worker may know
                # it for as long as a submission may last.
                self.spent[held.message.id] = self.loop.time() + self.longest_limit / 1e6

    def awaited(self) -> bool:
        return not all(self.tasks.values())

    def start(self, work: Any, patient: bool = False) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks[task] = patient
        task.add_done_callback(self.tasks.pop)
        return task
