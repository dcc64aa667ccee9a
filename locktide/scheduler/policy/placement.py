"""Placement: in each round, one draw of an endpoint for each waiting request.

The rule:

- Eligible are the ready endpoints that satisfy the request's placement constraint. After an earlier attempt
  only endpoints to which the request may be repeated are eligible, except those that may be running it.
  Endpoints that it was sent to before are also excluded, unless no others are left.
- With an affinity key only the endpoints that belong to the key are eligible (`affinity`).
- One endpoint is drawn by the strategy in force (`placement_strategy`). The request is sent if the endpoint
  has capacity, the strategy accepts the draw, slow start allows the request, and the endpoint is not
  suspected or may be sent a probe.
- Otherwise the request waits in the pool, with its age, for the next round.

Why: a new draw in each round, oldest request first, keeps waits short in a balanced system without any
message between dispatchers (see the source paper in docs/design.md).
"""

from dataclasses import dataclass, field

from locktide.scheduler.policy.affinity import AffinityRouter
from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.policy.outlier_detection import OutlierDetector, is_suspected
from locktide.scheduler.policy.placement_strategy import PlacementStrategies
from locktide.scheduler.policy.retry_eligibility import endpoints_for_repeat
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, Request
from locktide.scheduler.types import Effect


@dataclass(eq=False)
class Placement:
    """Draws the endpoints to which requests from the pool are sent."""

    clock: Clock
    config: ActiveConfig
    endpoints: EndpointTable
    timeouts: AttemptTimeouts
    strategies: PlacementStrategies
    affinity: AffinityRouter
    slow_start: SlowStartBudget
    outliers: OutlierDetector
    _all_at_most_once: bool = field(default=False, init=False)

    def configure(self) -> None:
        """Apply the configuration in force."""
        classes = self.config.current.service_classes
        self._all_at_most_once = all([each.effect == Effect.AT_MOST_ONCE for each in classes])

    def draw(self, request: Request) -> Endpoint | None:
        """Make one draw for the request; return the endpoint to send it to, or None if it has to wait."""
        eligible = self._eligible(request)
        if not eligible:
            return None
        endpoint = self.strategies.current.draw(eligible, request.affinity_key is not None)
        return endpoint if self._may_send(request, endpoint) else None

    def _eligible(self, request: Request) -> list[Endpoint]:
        eligible = self.endpoints.candidates[request.placement]
        if request.attempts:
            eligible = self._eligible_again(request, eligible)
        if request.affinity_key is not None:
            return self.affinity.select_endpoints(request, request.affinity_key, eligible)
        return eligible

    def _eligible_again(self, request: Request, ready: list[Endpoint]) -> list[Endpoint]:
        """Return the ready endpoints to which the request may be sent after an earlier attempt."""
        running = [attempt.endpoint for attempt in request.possibly_executed]
        attempted = [attempt.endpoint for attempt in request.attempts]
        repeatable = endpoints_for_repeat(request, ready, self.clock.now)
        not_running = [endpoint for endpoint in repeatable if endpoint not in running]
        not_attempted = [endpoint for endpoint in not_running if endpoint not in attempted]
        return not_attempted or not_running

    def _may_send(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the request may be sent to the drawn endpoint."""
        now = self.clock.now
        if not has_capacity(endpoint, request.width, now, self.timeouts.prompt_start):
            return False
        if not self.strategies.current.accepts(endpoint):
            return False
        if self.slow_start.is_warming_up(endpoint) and not self.slow_start.allows(endpoint, request):
            return False
        return not is_suspected(endpoint, now) or self._may_probe(request, endpoint)

    def _may_probe(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the request may be sent to a suspected endpoint."""
        if self.outliers.suspects_most():
            return True
        # If its endpoint fails, an at-most-once request is lost, and its client gets an error that no retry
        # can prevent. Requests that can be sent again are used to test whether the endpoint has recovered.
        if request.is_at_most_once and not self._all_at_most_once:
            return False
        return self.outliers.admits_probe(endpoint)
