"""A request's way from its arrival to its response: waiting in the pool, in flight, answered."""

from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.repeat_rules import repeats_until
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import Endpoint, Request, SchedulerState


class RequestLifecycle:
    """Moves requests between their stages: one waits in the pool or has attempts in flight, never both."""

    def __init__(
        self, state: SchedulerState, shedder: LoadShedder, retries: RetryPolicy, slow_start: SlowStartBudget
    ) -> None:
        self._state, self._shedder, self._retries, self._slow_start = state, shedder, retries, slow_start

    def begin(self, request: Request) -> None:
        """Lets a new or recovered request wait for a place, or for the attempts it has."""
        if request.in_flight:
            return
        if self._retries.may_attempt(request):
            self._state.enter_pool(request)
        else:  # one that was recovered may have had all it may have
            self.give_up(request)

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Starts an attempt of a request from the pool."""
        state, send_before = self._state, repeats_until(request)
        attempt = state.open_attempt(request, endpoint)
        self._retries.on_sent(attempt)
        if state.config.progress.reports_start:
            # An eighth of the slack: several more such waits still fit. Where ratings tell of free cores a
            # third, as it was not drawn blindly; where of none, all: no queue is shorter then.
            is_live = state.config.endpoint_list.live_ratings
            part = 8 if not is_live else 3 if state.mean_load < 0.8 else 1
            state.set_timer(max(state.prompt_start, int(self._shedder.slack(request)) // part), attempt)
        if self._slow_start.is_warming_up(endpoint):
            self._slow_start.count(endpoint, request)
        state.commands.append(StartAttempt(request.id, endpoint.id, send_before))
        state.leave_pool(request)

    def on_attempt_ended(self, request: Request, is_final: bool) -> None:
        """Ends the request with its response, or goes on after an attempt that brought none."""
        state = self._state
        if is_final:
            for attempt in request.in_flight:
                self._retries.cancel(attempt)
            state.close_request(request)
        elif not request.in_flight:
            is_over = request.is_unprocessable or state.now >= request.deadline
            if is_over or not self._retries.may_attempt(request):
                self.give_up(request)
                return
            # What comes back waits its turn once more.
            renewed = state.now + self._shedder.queue_timeout(request)
            renewed = min(self._shedder.latest_queue_deadline(request), renewed)
            request.queue_deadline = max(request.queue_deadline, renewed)
            state.enter_pool(request)

    def pause(self, request: Request) -> None:
        """After a refusal for want of room: lets it wait before it goes out again."""
        # Guards against using up all attempts while all are full, within a part of the queue timeout.
        timeout, max_attempts = self._shedder.queue_timeout(request), self._state.config.retry.max_attempts
        request.not_before = self._state.now + timeout // max_attempts

    def give_up(self, request: Request) -> None:
        """Rejects or fails a request: waiting no longer pays, or no further attempt is allowed."""
        self._shedder.respond(request)
        self._state.close_request(request)
