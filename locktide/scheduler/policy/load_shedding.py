"""Load shedding: how long a request may wait in the pool, and its response after that time.

The rule, with all times in microseconds:

- The slack of a request is how long it may wait for its start and still end within its latency objective. Its
  run time is taken from its work hint, or otherwise from the usual run time of its service class.
- The queue timeout is `QUEUE_TIMEOUT_SHARE` of a geometric mean of the request's own slack and the shortest
  usual slack of any class, but at most this share of its own slack. The higher the weight of the worst-served
  class in the objective, the nearer the mean is to the shortest slack.
- A request that is possibly executed waits longer, while another attempt could still help.
- After this time the request is rejected with advice when to retry, or failed if a retry by the client may
  do harm.

Why: in an overload, requests with a long slack would fill the pool, and classes with a short slack would not
be served. A late response has little value, so a request that cannot be served in time is rejected while its
client can still react.
"""

from dataclasses import dataclass, field

from locktide.scheduler.commands import FailRequest, RejectRequest
from locktide.scheduler.config import ServiceClass
from locktide.scheduler.log_events import RequestRejected
from locktide.scheduler.policy.retry_eligibility import may_reject, repeatable_until
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
#: Fraction of its slack that a request waits in the pool. The rest remains for the attempt: a longer wait
#: makes more responses late, a shorter one rejects requests in bursts that could have been served.
QUEUE_TIMEOUT_SHARE = 0.3
#: Minimum slack of a service class, as a fraction of its latency objective. Even if the usual run time uses
#: up the objective, a shorter run may still meet it.
MIN_SLACK_SHARE = 0.25
#: Fraction of its expected run time that a request must have left before its deadline. A hint is rough, and
#: the fastest endpoint takes half of the mean.
POSSIBLE_RUN_SHARE = 0.5
#: Weight of the shortest usual slack in the mean if the worst-served class has no weight in the objective.
#: It ranges from 0 (each class waits according to its own slack) to 1 (all classes wait equally long).
MIN_SHORTEST_SLACK_WEIGHT = 0.3
#: Added to `MIN_SHORTEST_SLACK_WEIGHT` for each unit of `ObjectiveConfig.worst_class_weight`.
SHORTEST_SLACK_WEIGHT_PER_UNIT = 2.0
#: Number of round intervals before its deadline at which a request has to leave the pool: one for sending it,
#: one for its response.
ROUNDS_BEFORE_DEADLINE = 2
#: Advised wait for a client whose request fails at any endpoint, in microseconds; `max_retry_after` caps it.
UNBOUNDED_RETRY_AFTER = 1 << 60
#: Minimum time between two log events for rejections, in microseconds, so that an overload does not flood the
#: log.
LOG_INTERVAL = 5_000_000


def usual_slack(service_class: ServiceClass, run_time: float) -> float:
    """Return how long a request with this run time may wait for its start and still meet its objective."""
    objective = service_class.latency_objective
    return max(MIN_SLACK_SHARE * objective, objective + (service_class.stretch - 1.0) * run_time)


@dataclass(eq=False)
class LoadShedder:
    """Sets queue timeouts, and rejects or fails requests that are not served in time."""

    clock: Clock
    config: ActiveConfig
    requests: RequestPool
    attempts: OpenAttempts
    estimates: FleetEstimates
    commands: CommandBuffer
    _shortest_slack_weight: float = field(default=MIN_SHORTEST_SLACK_WEIGHT, init=False)
    _next_log_at: int = field(default=0, init=False)  # microseconds

    def configure(self) -> None:
        """Apply the configuration in force."""
        weight = self.config.current.objective.worst_class_weight
        self._shortest_slack_weight = min(
            1.0, MIN_SHORTEST_SLACK_WEIGHT + SHORTEST_SLACK_WEIGHT_PER_UNIT * weight
        )

    def slack(self, request: Request) -> float:
        """Return how long the request may wait for its start and still end within its latency objective."""
        run_time = request.work_hint or self.estimates.usual_run_time(request)
        if self.clock.now + run_time * POSSIBLE_RUN_SHARE > request.deadline:
            return 0.0
        return usual_slack(request.service_class, run_time)

    def queue_timeout(self, request: Request) -> int:
        """Return how long the request may wait in the pool."""
        shortest = self._shortest_slack(request)
        slack = self.slack(request)
        mean = slack ** (1.0 - self._shortest_slack_weight) * shortest**self._shortest_slack_weight
        return int(QUEUE_TIMEOUT_SHARE * min(slack, mean))

    def latest_queue_deadline(self, request: Request) -> int:
        """Return the latest time until which the request may wait in the pool."""
        return request.deadline - ROUNDS_BEFORE_DEADLINE * self.config.current.round_interval

    def repeat_deadline(self, request: Request) -> int:
        """Return the time until which another attempt of the request may still be sent.

        Once workers no longer drop repeats of the request, it must not be sent again, and waiting is useless.
        """
        latest = self.latest_queue_deadline(request)
        window_end = repeatable_until(request)
        return latest if window_end is None else min(latest, window_end)

    def extend_queue_deadline(self, request: Request) -> bool:
        """Extend the wait of a request that may have run, if another attempt can still help.

        For a request that may have run, a late response is better than none.

        Returns:
            Whether the request waits longer.
        """
        if not request.possibly_executed:
            return False
        latest = self.repeat_deadline(request)
        if self.clock.now >= latest:
            return False
        request.queue_deadline = latest
        return True

    def respond(self, request: Request) -> None:
        """Reject the request, or fail it if a retry by the client may do harm."""
        if not may_reject(request):
            self.commands.add(FailRequest(request.id))
            return
        self.commands.add(RejectRequest(request.id, self._retry_after(request)))
        if self.clock.now >= self._next_log_at:
            self._next_log_at = self.clock.now + LOG_INTERVAL
            self._log_rejection(request)

    def _shortest_slack(self, request: Request) -> float:
        """Return the shortest usual slack of any class, scaled up for a request with a large work hint.

        A heavy request has a higher value where the priority weight is proportional to work, so it may wait
        longer.
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
        """Return the advised wait before a retry: the expected time until one of our running requests ends.

        A client that retries later would take the place of a new request and be late in any case.
        """
        running = len(self.requests.open) - len(self.requests.waiting)
        advice = int(self.estimates.usual_run_time(request) / max(1, running))
        if request.fails_anywhere:
            advice = UNBOUNDED_RETRY_AFTER
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
