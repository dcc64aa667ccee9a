"""Request lifecycle: the stages of a request from its arrival to its response.

A request either waits in the pool or has attempts in flight, never both. After an attempt without a response
it returns to the pool with its age, unless it fails at any endpoint, its deadline is over or no further
attempt is allowed. In these cases it is given up at once, as is a request that has waited too long in the
pool (`load_shedding`).
"""

from dataclasses import dataclass

from locktide.scheduler.commands import StartAttempt
from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.load_shedding import LoadShedder
from locktide.scheduler.policy.retries import RetryPolicy
from locktide.scheduler.policy.retry_eligibility import repeatable_until
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    CommandBuffer,
    Endpoint,
    OpenAttempts,
    Request,
    RequestPool,
)


@dataclass(eq=False)
class RequestLifecycle:
    """Moves requests between their stages."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    commands: CommandBuffer
    timeouts: AttemptTimeouts
    shedder: LoadShedder
    retries: RetryPolicy
    slow_start: SlowStartBudget

    def begin(self, request: Request) -> None:
        """Put a new or recovered request into the pool, unless it has attempts in flight."""
        if request.open_attempts:
            return
        if self.retries.may_attempt(request):
            self.requests.enter(request)
        else:  # a recovered request may have used up its attempts
            self.give_up(request)

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Start an attempt of a request from the pool."""
        send_before = repeatable_until(request) or 0  # 0 in the command: only the deadline applies
        attempt = self.attempts.open(request, endpoint)
        self.retries.budget.on_sent(attempt)
        if self.config.current.progress.reports_start:
            self.timeouts.expect_start(attempt, self.shedder.slack(request))
        if self.slow_start.is_warming_up(endpoint):
            self.slow_start.count(endpoint, request)
        self.commands.add(StartAttempt(request.id, endpoint.id, send_before))
        self.requests.leave(request)

    def finish(self, request: Request) -> None:
        """End a request that has its response or whose client has disconnected; cancel its open attempts."""
        for attempt in request.open_attempts:
            self.retries.cancel(attempt)
        self.requests.close(request)

    def continue_after_attempt(self, request: Request) -> None:
        """Return a request to the pool after an attempt without a response, or give it up."""
        if request.open_attempts:
            return
        is_over = request.fails_anywhere or self.clock.now >= request.deadline
        if is_over or not self.retries.may_attempt(request):
            self.give_up(request)
            return
        self.retries.renew_queue_deadline(request)
        self.requests.enter(request)

    def give_up(self, request: Request) -> None:
        """Reject or fail a request that has waited too long or is allowed no further attempt."""
        self.shedder.respond(request)
        self.requests.close(request)
