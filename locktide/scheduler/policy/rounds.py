"""Rounds over the pool: who gives up waiting, who is placed, and when the next round is."""

from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.placement import Placement
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.state import SchedulerState, TimerPurpose


class Rounds:
    """Goes through the pool after each step's events, oldest first, and at least once an interval."""

    def __init__(
        self, state: SchedulerState, lifecycle: RequestLifecycle, shedder: LoadShedder, placement: Placement
    ) -> None:
        self._state, self._lifecycle, self._shedder, self._placement = state, lifecycle, shedder, placement
        self._is_planned = False

    def run(self) -> None:
        """Gives up what has waited too long, places what can be placed, and plans the next round."""
        state = self._state
        self._give_up_overdue()
        if state.pool and state.candidates:
            try:
                self.place_waiting()
            except Exception:  # protects all requests: they wait for the next round
                state.report_internal_error(None)
        if state.pool and not self._is_planned:
            self._is_planned = True
            # Guards the CPU: where all that wait were sent before, four steps between rounds will do.
            is_slow = state.is_sparse and all([request.possibly_executed for request in state.pool])
            interval = state.config.round_interval
            state.set_timer(4 * interval if is_slow else interval, TimerPurpose.ROUND)

    def on_timer(self) -> None:
        """The planned round is this step's."""
        self._is_planned = False

    def _give_up_overdue(self) -> None:
        now = self._state.now
        for request in [request for request in self._state.pool if request.queue_deadline <= now]:
            if self._shedder.extend_queue_deadline(request):
                continue
            try:
                self._lifecycle.give_up(request)
            except Exception:  # protects the other requests of the pool
                self._state.report_internal_error(request.id)

    def place_waiting(self) -> None:
        """One round: tries each request in the pool once, oldest first."""
        state = self._state
        now, prompt_start, ready = state.now, state.prompt_start, state.candidates[None]
        # Guards the CPU: a round ends once no endpoint has room, but a short pool is not worth the count.
        free = len(state.pool) + 1
        if not state.is_sparse or 8 * free > len(ready):
            free = sum([has_capacity(endpoint, 1.0, now, prompt_start) for endpoint in ready])
        for request in list(state.pool):
            if free <= 0:
                break
            if now < request.not_before:
                continue
            try:
                free -= self._placement.try_to_place(request)
            except Exception:  # protects the other requests of the pool
                state.report_internal_error(request.id)
