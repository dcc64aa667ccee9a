"""Placement: one draw of an endpoint for a request."""

from dataclasses import dataclass
from math import exp

from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.policy.affinity import AffinityRouter
from locktide.scheduler.policy.attempt_timeouts import AttemptTimeouts
from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.policy.load_ratings import COST_SCALE
from locktide.scheduler.policy.outlier_detection import OutlierDetector, is_suspected
from locktide.scheduler.policy.request_lifecycle import RequestLifecycle
from locktide.scheduler.policy.retry_eligibility import where_repeatable
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.types import Effect


@dataclass(eq=False)
class Placement:
    """Sends requests from the pool to endpoints."""

    clock: Clock
    config: ActiveConfig
    random: LinearCongruentialGenerator
    endpoints: EndpointTable
    estimates: FleetEstimates
    timeouts: AttemptTimeouts
    lifecycle: RequestLifecycle
    outliers: OutlierDetector
    slow_start: SlowStartBudget
    affinity: AffinityRouter

    def configure(self) -> None:
        """Takes over the configuration."""
        config = self.config.current
        self._all_at_most_once = all([each.effect == Effect.AT_MOST_ONCE for each in config.service_classes])
        # How often a draw holds of an endpoint to which we have no free connection, beside one with such.
        self._new_connection_weight = exp(-config.costs.connection / COST_SCALE)

    def try_to_place(self, request: Request) -> bool:
        """One draw for it; whether that took the last room of an endpoint."""
        eligible = self._eligible(request)
        if not eligible:
            return False
        endpoint = self.draw(eligible, request.affinity_key is None)
        now, prompt_start = self.clock.now, self.timeouts.prompt_start
        if (
            has_capacity(endpoint, request.width, now, prompt_start)
            and self._draw_holds(endpoint, request)
            and (not is_suspected(endpoint, now) or self._may_try_suspected(request, endpoint))
        ):
            self.lifecycle.send(request, endpoint)
            return not has_capacity(endpoint, 1.0, now, prompt_start)
        return False

    def _eligible(self, request: Request) -> list[Endpoint]:
        eligible = self.endpoints.candidates[request.placement]
        if request.attempts:
            busy = [attempt.endpoint for attempt in request.possibly_executed]
            tried = [attempt.endpoint for attempt in request.attempts]
            eligible = where_repeatable(request, eligible, self.clock.now)
            eligible = [endpoint for endpoint in eligible if endpoint not in busy]
            eligible = [endpoint for endpoint in eligible if endpoint not in tried] or eligible
        if request.affinity_key is not None:
            return self.affinity.nearest(request, request.affinity_key, eligible)
        return eligible

    def draw(self, eligible: list[Endpoint], without_key: bool) -> Endpoint:
        """One uniform draw, made again until an endpoint holds; the same in law as one by their weights."""
        slow_start = self.slow_start
        if not self.config.current.endpoint_list.live_ratings:
            return eligible[self.random.below(len(eligible))]
        weights, warming, now = list[float](), list[int](), self.clock.now
        warmup, new_connection_weight = self.config.current.slow_start.warmup, self._new_connection_weight
        for endpoint in eligible:
            if endpoint.started_at != 0 and now < endpoint.started_at + warmup:
                warming.append(len(weights))
                weights.append(0.0)
            else:
                idle, weight = endpoint.idle_connections, endpoint.draw_weight
                weights.append(weight if idle and idle[-1] >= now else weight * new_connection_weight)
        if warming:
            # Guards against all that turn to one that has just started, as it holds nothing: it is drawn as
            # one of all, in the measure of its factor, and what the budget grants is spread so, too.
            usual = sum(weights) / max(1, len(weights) - len(warming)) or 1.0
            for place in warming:
                weights[place] = usual * slow_start.factor(eligible[place])
        drawn = eligible[self.random.weighted_index(weights)]
        if without_key and warming and slow_start.is_warming_up(drawn):
            preferred = slow_start.preferred()
            return preferred if preferred in eligible else drawn
        return drawn

    def _draw_holds(self, endpoint: Endpoint, request: Request) -> bool:
        """Whether a draw stands: where c tells no slow type from a fast, and at one that warms up."""
        slow_start, live_ratings = self.slow_start, self.config.current.endpoint_list.live_ratings
        if self.estimates.is_sparse and not endpoint.in_flight and not live_ratings:
            # Guards against even draws where we see too few ends on any one worker for its limit to follow
            # its speed: slow types get too much. The square, so that waits become even and not only loads;
            # the plain ratio scored less on all three.
            speed = self.estimates.throughput.relative_speeds.get(endpoint.worker_type, 1.0)
            if not self.random.bernoulli(speed**2):
                return False
        return not slow_start.is_warming_up(endpoint) or slow_start.allows(endpoint, request)

    def _may_try_suspected(self, request: Request, endpoint: Endpoint) -> bool:
        if self.outliers.suspects_most():
            return True
        # Guards against losing for good what cannot be sent again: others do the trying.
        if request.is_at_most_once and not self._all_at_most_once:
            return False
        return self.outliers.admits_probe(endpoint)
