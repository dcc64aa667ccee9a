"""Rounds: walks over the pool of waiting requests, oldest first.

The rule: a round follows the events of each step. It gives up the requests whose queue deadline has passed,
and then makes one draw for each of the others, oldest first, until no endpoint has capacity. While requests
remain in the pool, a timer starts the next round after `SchedulerConfig.round_interval`, in microseconds. In
a sparse fleet it is `SLOW_ROUND_INTERVALS` times as long if all waiting requests are possibly executed.

Why: capacity mostly becomes free with an event, and the timer limits the time until the next draw for a
request.
"""

from dataclasses import dataclass, field

from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.placement import Placement
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    EndpointTable,
    FleetEstimates,
    InternalErrors,
    Request,
    RequestPool,
    TimerPurpose,
    Timers,
)

#: Number of intervals between two rounds in a sparse fleet, if all waiting requests are possibly executed.
#: Such requests are few and can seldom be placed, and most of the CPU time would be spent on draws for them.
#: As the value is larger than `load_shedding.ROUNDS_BEFORE_DEADLINE`, such a request may be given up after
#: its deadline, by the difference in intervals; the host's own timeout has to allow for that.
SLOW_ROUND_INTERVALS = 4
#: In a sparse fleet the endpoints with capacity are counted only if the pool is longer than the number of
#: ready endpoints divided by this: for a shorter pool the count costs more CPU time than the draws that it
#: may save.
SHORT_POOL_DIVISOR = 8


@dataclass(eq=False)
class Rounds:
    """Runs a round after the events of each step, and by timer while requests wait."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    endpoints: EndpointTable
    estimates: FleetEstimates
    timers: Timers
    errors: InternalErrors
    timeouts: AttemptTimeouts
    lifecycle: RequestLifecycle
    shedder: LoadShedder
    placement: Placement
    _is_planned: bool = field(default=False, init=False)

    def run(self) -> None:
        """Give up requests that have waited too long, place others, and schedule the next round."""
        self._give_up_overdue()
        if self.requests.waiting and self.endpoints.candidates:
            try:
                self.place_waiting()
            except Exception:  # after an internal error all requests wait for the next round
                self.errors.report(None)
        if self.requests.waiting and not self._is_planned:
            self._is_planned = True
            self.timers.set(self._interval(), TimerPurpose.ROUND)

    def on_timer(self) -> None:
        """Mark the scheduled round as due; it is run in this step."""
        self._is_planned = False

    def place_waiting(self) -> None:
        """Make one draw for each request in the pool, oldest first, until no endpoint has capacity."""
        free_count = self._count_free_endpoints()
        for request in list(self.requests.waiting):
            if free_count <= 0:
                break
            if self.clock.now < request.not_before:
                continue
            try:
                free_count -= self._place(request)
            except Exception:  # an internal error affects only this request
                self.errors.report(request.id)

    def _place(self, request: Request) -> bool:
        """Make one draw for the request; return whether it used the last capacity of an endpoint."""
        endpoint = self.placement.draw(request)
        if endpoint is None:
            return False
        self.lifecycle.send(request, endpoint)
        return not has_capacity(endpoint, 1.0, self.clock.now, self.timeouts.prompt_start)

    def _give_up_overdue(self) -> None:
        now = self.clock.now
        for request in [request for request in self.requests.waiting if request.queue_deadline <= now]:
            if self.shedder.extend_queue_deadline(request):
                continue
            try:
                self.lifecycle.give_up(request)
            except Exception:  # an internal error affects only this request
                self.errors.report(request.id)

    def _interval(self) -> int:
        """Return the time until the next round, in microseconds."""
        interval = self.config.current.round_interval
        is_slow = self.estimates.is_sparse and all(
            [request.possibly_executed for request in self.requests.waiting]
        )
        return SLOW_ROUND_INTERVALS * interval if is_slow else interval

    def _count_free_endpoints(self) -> int:
        """Return the number of endpoints that must run out of capacity before the round may end.

        This is the number of endpoints with capacity. Where counting them is not worthwhile, it is one more
        than the number of requests in the pool, so that the round does not end early.
        """
        more_than_waiting = len(self.requests.waiting) + 1
        ready = self.endpoints.candidates[None]
        if self.estimates.is_sparse and SHORT_POOL_DIVISOR * more_than_waiting <= len(ready):
            return more_than_waiting
        now = self.clock.now
        prompt_start = self.timeouts.prompt_start
        return sum([has_capacity(endpoint, 1.0, now, prompt_start) for endpoint in ready])
