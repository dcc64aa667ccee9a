"""A dispatcher's turn: news in, orders out."""

from collections.abc import Callable
from math import exp
from typing import Any

from locktide.scheduler.commands import WatchEndpoints
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptSent,
    AttemptStarted,
    ClientDisconnected,
    ConfigReloaded,
    EndpointEntry,
    EndpointListUpdate,
    QuotaSharesUpdated,
    RequestArrived,
    RequestRecovered,
    TimerFired,
)
from locktide.scheduler.policy.base import WEIGHS
from locktide.scheduler.policy.endpoint import OVERDUE
from locktide.scheduler.policy.placement import Rounds
from locktide.scheduler.policy.request import Attempt
from locktide.scheduler.types import ListUpdateKind


class Scheduler(Rounds):
    def step(self, now: int, news: list[Any]) -> list[Any]:
        self.now = now
        self.orders = []
        for piece in news:
            take = EVENT_HANDLERS.get(type(piece))  # no decision rests on news of streams and probes yet
            about = self.timers.get(piece.timer_id) if type(piece) is TimerFired else piece
            try:
                if take:
                    take(self, piece)
            except Exception:
                self.break_off(request_concerned(about))
        if self.list.terms.polled and not self.list.watched and now >= self.list.ask_at:
            self.list.watched = True
            self.orders.append(WatchEndpoints(True))
        for sub in [sub for sub in self.pool if sub.leave_at <= now]:
            if sub.held and now < (last := self.last_chance(sub)):
                sub.leave_at = last  # it may have run: a late answer beats none
                continue
            try:
                self.advance(sub, None)
            except Exception:
                self.break_off(sub.id)
        if self.pool and self.fitting:
            try:
                self.round()
            except Exception:  # beside all submissions: they wait for the next round
                self.break_off(None)
        if self.pool and not self.round_timer:
            self.round_timer = True
            # Guards the CPU: where all that wait were sent before, four steps between rounds will do.
            again = self.sparse and all([sub.held for sub in self.pool])
            self.wake(4 * self.round_interval if again else self.round_interval, "round")
        return self.orders

    def take_timer(self, due: TimerFired) -> None:
        what = self.timers.pop(due.timer_id, None)
        if what == "round":
            self.round_timer = False
        elif type(what) is Attempt and what in what.submission.out and not what.submission.answered:
            self.check(what)

    def take_list(self, news: EndpointListUpdate) -> None:
        if news.kind in (ListUpdateKind.FETCH_FAILED, ListUpdateKind.FETCH_TIMED_OUT):
            self.list.failures += 1
            gap = self.list.ask_later(self.now, self.chance, news.kind == ListUpdateKind.FETCH_TIMED_OUT)
            self.log(f"worker list failed, time {self.list.failures}: asking again in {gap // 1000} ms")
            self.wake(gap, "ask")
            return
        if news.kind == ListUpdateKind.CACHED and self.list.terms.polled:
            self.wake(self.list.ask_later(self.now, self.chance), "ask")
        else:
            self.list.failures = 0
        if self.list.take(news, self.floor()):
            self.sort()
        for worker in self.list.leaving:
            self.hang_up(worker)
        if self.list.terms.live_ratings:
            self.weigh(news.entries)

    def weigh(self, entries: list[EndpointEntry]) -> None:
        """Follows ratings that fall with load: what each worker holds a core, and how often a draw holds.

        All dispatchers have the same picture, a second late: draws in its measure spread where the best one
        would be everyone's. Size squared over the cube of what is held: other powers scored less."""
        workers, sizes = self.list.workers, self.sizes
        away, renewed = exp(-self.prices.cross_zone / WEIGHS), 0
        for entry in entries:
            sizes[entry.worker_type] = max(sizes.get(entry.worker_type, 0.0), entry.rating)
        for entry in entries:
            worker = workers[entry.worker]
            if entry.rating != worker.rated:
                worker.rated, worker.missed, renewed = entry.rating, 0, renewed + 1
            worker.size = sizes[entry.worker_type]
            worker.load = max(0.0, worker.size / max(1e-3, entry.rating) - 1.0)
            worker.odds = max(1e-3, worker.size) ** 2 / (1.0 + worker.load) ** 3
            if entry.zone != self.prices.zone:
                worker.odds *= away
            if entry.worker_type in self.lone:  # guards against filling the one kind that a grade is bound to
                worker.odds *= 0.25  # 0.5 brought two thirds as much
        ready = self.fitting.get(None, [])
        if 2 * renewed > len(ready):
            for worker in ready:
                # Guards against one that takes work and does none: its rating stands still.
                worker.missed += worker.load > 0.0
                if worker.missed == OVERDUE:
                    self.log(f"avoiding worker {worker.id}: its rating stands still")
        self.held = sum([worker.load for worker in ready]) / max(1, len(ready))


def request_concerned(about: Any) -> Any:
    """The id of the request that an event, or the attempt for which a timer was set, is about; else None."""
    if type(about) is Attempt:
        return about.submission.id
    return getattr(getattr(about, "arrival", about), "request_id", None)


EVENT_HANDLERS: dict[type, Callable[[Scheduler, Any], None]] = {
    EndpointListUpdate: Scheduler.take_list,
    RequestArrived: lambda self, news: self.begin(self.arrive(news)),
    RequestRecovered: Scheduler.take_recovered,
    AttemptSent: Scheduler.take_sent,
    AttemptStarted: Scheduler.take_started,
    AttemptProgressed: Scheduler.take_progress,
    AttemptEnded: Scheduler.take_ended,
    ClientDisconnected: Scheduler.take_gone,
    ConfigReloaded: lambda self, news: self.set_terms(news.config),
    QuotaSharesUpdated: Scheduler.take_parts,
    TimerFired: Scheduler.take_timer,
}
