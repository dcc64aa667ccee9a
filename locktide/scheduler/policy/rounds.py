"""Rounds over the pool: who gives up waiting, who is placed, and when the next round is."""

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
    RequestPool,
    TimerPurpose,
    Timers,
)


@dataclass(eq=False)
class Rounds:
    """Goes through the pool after each step's events, oldest first, and at least once an interval."""

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
        """Gives up what has waited too long, places what can be placed, and plans the next round."""
        self._give_up_overdue()
        if self.requests.waiting and self.endpoints.candidates:
            try:
                self.place_waiting()
            except Exception:  # protects all requests: they wait for the next round
                self.errors.report(None)
        if self.requests.waiting and not self._is_planned:
            self._is_planned = True
            # Guards the CPU: where all that wait were sent before, four steps between rounds will do.
            is_slow = self.estimates.is_sparse and all(
                [request.possibly_executed for request in self.requests.waiting]
            )
            interval = self.config.current.round_interval
            self.timers.set(4 * interval if is_slow else interval, TimerPurpose.ROUND)

    def on_timer(self) -> None:
        """The planned round is this step's."""
        self._is_planned = False

    def _give_up_overdue(self) -> None:
        now = self.clock.now
        for request in [request for request in self.requests.waiting if request.queue_deadline <= now]:
            if self.shedder.extend_queue_deadline(request):
                continue
            try:
                self.lifecycle.give_up(request)
            except Exception:  # protects the other requests of the pool
                self.errors.report(request.id)

    def place_waiting(self) -> None:
        """One round: tries each request in the pool once, oldest first."""
        now, prompt_start = self.clock.now, self.timeouts.prompt_start
        waiting, ready = self.requests.waiting, self.endpoints.candidates[None]
        # Guards the CPU: a round ends once no endpoint has room, but a short pool is not worth the count.
        free = len(waiting) + 1
        if not self.estimates.is_sparse or 8 * free > len(ready):
            free = sum([has_capacity(endpoint, 1.0, now, prompt_start) for endpoint in ready])
        for request in list(waiting):
            if free <= 0:
                break
            if now < request.not_before:
                continue
            try:
                free -= self.placement.try_to_place(request)
            except Exception:  # protects the other requests of the pool
                self.errors.report(request.id)
