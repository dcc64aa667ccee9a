"""A request's way from its arrival to its response: waiting in the pool, in flight, answered."""

from dataclasses import dataclass

from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.repeat_rules import repeats_until
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    CommandBuffer,
    Endpoint,
    FleetEstimates,
    OpenAttempts,
    Request,
    RequestPool,
    Timers,
)


@dataclass(eq=False)
class RequestLifecycle:
    """Moves requests between their stages: one waits in the pool or has attempts in flight, never both."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    estimates: FleetEstimates
    timers: Timers
    commands: CommandBuffer
    timeouts: AttemptTimeouts
    shedder: LoadShedder
    retries: RetryPolicy
    slow_start: SlowStartBudget

    def begin(self, request: Request) -> None:
        """Lets a new or recovered request wait for a place, or for the attempts it has."""
        if request.in_flight:
            return
        if self.retries.may_attempt(request):
            self.requests.enter(request)
        else:  # one that was recovered may have had all it may have
            self.give_up(request)

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Starts an attempt of a request from the pool."""
        send_before = repeats_until(request)
        attempt = self.attempts.open(request, endpoint)
        self.retries.on_sent(attempt)
        if self.config.current.progress.reports_start:
            # An eighth of the slack: several more such waits still fit. Where ratings tell of free cores a
            # third, as it was not drawn blindly; where of none, all: no queue is shorter then.
            is_live = self.config.current.endpoint_list.live_ratings
            part = 8 if not is_live else 3 if self.estimates.mean_load < 0.8 else 1
            self.timers.set(
                max(self.timeouts.prompt_start, int(self.shedder.slack(request)) // part), attempt
            )
        if self.slow_start.is_warming_up(endpoint):
            self.slow_start.count(endpoint, request)
        self.commands.add(StartAttempt(request.id, endpoint.id, send_before))
        self.requests.leave(request)

    def on_attempt_ended(self, request: Request, is_final: bool) -> None:
        """Ends the request with its response, or goes on after an attempt that brought none."""
        if is_final:
            for attempt in request.in_flight:
                self.retries.cancel(attempt)
            self.requests.close(request)
        elif not request.in_flight:
            is_over = request.is_unprocessable or self.clock.now >= request.deadline
            if is_over or not self.retries.may_attempt(request):
                self.give_up(request)
                return
            # What comes back waits its turn once more.
            renewed = self.clock.now + self.shedder.queue_timeout(request)
            renewed = min(self.shedder.latest_queue_deadline(request), renewed)
            request.queue_deadline = max(request.queue_deadline, renewed)
            self.requests.enter(request)

    def pause(self, request: Request) -> None:
        """After a refusal for want of room: lets it wait before it goes out again."""
        # Guards against using up all attempts while all are full, within a part of the queue timeout.
        timeout, max_attempts = self.shedder.queue_timeout(request), self.config.current.retry.max_attempts
        request.not_before = self.clock.now + timeout // max_attempts

    def give_up(self, request: Request) -> None:
        """Rejects or fails a request: waiting no longer pays, or no further attempt is allowed."""
        self.shedder.respond(request)
        self.requests.close(request)
