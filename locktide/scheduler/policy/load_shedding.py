"""Load shedding: how long a request may wait in the pool, and its response once that time is over.

The rule, in microseconds throughout:

- The slack of a request is how long it may wait for its start and still end within its latency objective.
  Its run is taken from its work hint, or else from the usual run of its service class.
- It waits for `QUEUE_TIMEOUT_SHARE` of a geometric mean of its own slack and the shortest usual slack of any
  class, at most of its own. The more the worst-served class counts in the objective, the nearer to the
  shortest.
- A request that may have run waits on for as long as another attempt could help.
- Then it is rejected, with advice when to retry, or failed where a retry of the client may do harm.

Why: in an overload requests with a long slack would fill the pool, and classes with a short one would get
nothing. A late response is worth little, so what cannot be served in time is rejected while its client can
still act on it.
"""

from dataclasses import dataclass, field

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.log_events import RequestRejected
from locktide.scheduler.policy.retry_eligibility import may_reject, repeats_until
from locktide.scheduler.state import (
    ActiveConfig,
    Clock,
    CommandBuffer,
    FleetEstimates,
    OpenAttempts,
    Request,
    RequestPool,
)

MICROSECONDS_PER_MILLISECOND = 1000
#: Fraction of its slack that a request waits in the pool. The rest is for the attempt that follows: more
#: waiting makes more responses late, less rejects in bursts what would have been served.
QUEUE_TIMEOUT_SHARE = 0.3
#: Least slack of a service class, as a fraction of its latency objective. Where the usual run uses up the
#: objective, a shorter run may still meet it.
MIN_SLACK_SHARE = 0.25
#: Fraction of its expected run for which a request must have time left before its deadline. A hint is rough,
#: and the fastest endpoint takes half of the mean.
POSSIBLE_RUN_SHARE = 0.5
#: Weight of the shortest usual slack in the mean, from 0 (each class waits by its own slack) to 1 (all wait
#: alike), where the worst-served class decides nothing.
MIN_EVENNESS = 0.3
#: How much of that weight is added for each unit of `ObjectiveConfig.worst_class_weight`.
EVENNESS_PER_WEIGHT = 2.0
#: Rounds before its deadline at which a request has to leave the pool: one to send it, one for its response.
ROUNDS_BEFORE_DEADLINE = 2
#: Advice to a client whose request fails at any endpoint, in microseconds. The configured maximum cuts it.
NO_USE_TO_RETRY = 1 << 60
#: Least time between two log events for rejections, in microseconds. One of many says enough of an overload.
LOG_INTERVAL = 5_000_000


def usual_slack(service_class: ServiceClass, run_time: float) -> float:
    """Return how long a request that runs for `run_time` may wait for its start and meet the objective."""
    objective = service_class.latency_objective
    return max(MIN_SLACK_SHARE * objective, objective + (service_class.stretch - 1.0) * run_time)


@dataclass(eq=False)
class LoadShedder:
    """Sets queue timeouts, and rejects or fails what is not served in time."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    estimates: FleetEstimates
    commands: CommandBuffer
    _evenness: float = field(default=MIN_EVENNESS, init=False)
    _next_log_at: int = field(default=0, init=False)  # microseconds

    def configure(self) -> None:
        """Apply the configuration in force."""
        weight = self.config.current.objective.worst_class_weight
        self._evenness = min(1.0, MIN_EVENNESS + EVENNESS_PER_WEIGHT * weight)

    def slack(self, request: Request) -> float:
        """Return how long the request may wait for its start and still end within its latency objective."""
        run_time = request.work_hint or self.estimates.usual_run_time(request)
        if self.clock.now + run_time * POSSIBLE_RUN_SHARE > request.deadline:
            return 0.0
        return usual_slack(request.service_class, run_time)

    def queue_timeout(self, request: Request) -> int:
        """Return how long the request waits in the pool."""
        shortest = self._shortest_slack(request)
        slack = self.slack(request)
        mean = slack ** (1.0 - self._evenness) * shortest**self._evenness
        return int(QUEUE_TIMEOUT_SHARE * min(slack, mean))

    def latest_queue_deadline(self, request: Request) -> int:
        """Return the moment until which the request may wait at the latest."""
        return request.deadline - ROUNDS_BEFORE_DEADLINE * self.config.current.round_interval

    def end_of_repeats(self, request: Request) -> int:
        """Return the moment until which waiting may still bring another attempt.

        Once its repeats are no longer dropped nothing can be sent, and it would wait for nothing.
        """
        latest = self.latest_queue_deadline(request)
        window_end = repeats_until(request)
        return latest if window_end is None else min(latest, window_end)

    def extend_queue_deadline(self, request: Request) -> bool:
        """Let a request that may have run wait on, if another attempt can still help; return whether it does.

        A late response is better than none for what may have run.
        """
        if not request.possibly_executed:
            return False
        latest = self.end_of_repeats(request)
        if self.clock.now >= latest:
            return False
        request.queue_deadline = latest
        return True

    def respond(self, request: Request) -> None:
        """Reject the request, or fail it where a retry of the client may do harm."""
        if not may_reject(request):
            self.commands.add(FailRequest(request.id))
            return
        self.commands.add(RejectRequest(request.id, self._retry_after(request)))
        if self.clock.now >= self._next_log_at:
            self._next_log_at = self.clock.now + LOG_INTERVAL
            self._log_rejection(request)

    def _shortest_slack(self, request: Request) -> float:
        """Return the shortest usual slack of any class, longer for a request that is hinted to be heavy.

        A heavier request earns more where the priority weight goes by work, so it may wait longer.
        """
        now = self.clock.now
        run_times = self.estimates.run_times
        shortest = min(
            [
                usual_slack(service_class, run_times[name].mean(now))
                for name, service_class in self.config.service_classes.items()
            ]
        )
        if request.work_hint:
            shortest *= max(1.0, request.work_hint / self.estimates.usual_run_time(request))
        return shortest

    def _retry_after(self, request: Request) -> int:
        """Return the advised wait before a retry: when the next of our running requests should have ended.

        A client that returns later takes the place of a fresh request, and is late in any case.
        """
        running = len(self.requests.open) - len(self.requests.waiting)
        advice = int(self.estimates.usual_run_time(request) / max(1, running))
        if request.fails_anywhere:
            advice = NO_USE_TO_RETRY
        return min(self.config.current.clients.max_retry_after, advice)

    def _log_rejection(self, request: Request) -> None:
        self.commands.log(
            RequestRejected(
                service_class=request.service_class.name,
                waited_ms=(self.clock.now - request.arrived_at) // MICROSECONDS_PER_MILLISECOND,
                waiting=len(self.requests.waiting),
                slots_in_flight=self.attempts.slots,
            )
        )
