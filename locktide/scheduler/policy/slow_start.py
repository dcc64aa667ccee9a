"""Slow start: how much work may be sent to an endpoint that is warming up.

The rule:

- An endpoint warms up for `SlowStartConfig.warmup` after its start. Its slow-start factor is the fraction of
  its capacity that it is sure to have, which grows from `initial_capacity` to 1.
- The need of a request is the time for which it would occupy the whole endpoint: its expected work divided by
  the slots of the endpoint, in microseconds. The slots come from ratings if these state a size, otherwise
  from observation.
- The budget of a warm endpoint is the total need that all dispatchers together may send to it within a
  window. The budget of a warming endpoint is that of a warm one times the factor. Each dispatcher has an
  even share of each budget.
- A request that fits our share of the budget of one endpoint is sent when that share has enough left. A
  larger request is sent if its need is no more than a given fraction of the endpoint's whole budget, and fits
  our share of the budgets of all warming endpoints together.

Why: an overloaded warming endpoint crashes, and no dispatcher sees what the others send.
"""

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.state.endpoint import INITIAL_SLOW_START_WINDOW

#: Largest single request that a warming endpoint may be sent if our share of its budget is smaller, as a
#: fraction of its whole budget for one window. Two such requests in one window must stay under the overload
#: limit.
MAX_REQUEST_SHARE = 0.35
#: The same if ratings state the endpoint's size: a request of two slots counts double there.
MAX_REQUEST_SHARE_RATED = 0.25
#: Fraction of the total budget of all warming endpoints that dispatchers plan to use for requests larger than
#: their share of one endpoint. The rest allows for draws that coincide.
POOLED_SHARE = 0.5
#: The same if ratings state the endpoint's size: requests with the same key are sent to the same few
#: endpoints.
POOLED_SHARE_RATED = 0.2
#: How often per window the factors of all warming endpoints are summed. The sum costs CPU time, and the
#: factors change slowly.
SUMS_PER_WINDOW = 16


class SlowStartBudget:
    """Tracks our share of the budgets of warming endpoints, and decides whether it allows a request."""

    def __init__(
        self,
        *,
        clock: Clock,
        config: ActiveConfig,
        random: LinearCongruentialGenerator,
        endpoints: EndpointTable,
        estimates: FleetEstimates,
    ) -> None:
        self._clock = clock
        self._config = config
        self._random = random
        self._endpoints = endpoints
        self._estimates = estimates
        self._sent = DecayingSum(INITIAL_SLOW_START_WINDOW)  # need sent to all warming endpoints
        self._total_factor = 0.0
        self._summed_at = 0  # when the total was last computed, in microseconds
        self._drawn_at = 0  # time of the last random draw on the pooled budget, in microseconds
        self._preferred: Endpoint | None = None
        self._preferred_at = 0  # when the preferred endpoint was drawn, in microseconds

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint was started less than the configured warm-up time ago."""
        warm_at = endpoint.started_at + self._config.current.slow_start.warmup
        return endpoint.started_at != 0 and self._clock.now < warm_at

    def factor(self, endpoint: Endpoint) -> float:
        """Return the slow-start factor: the fraction of its capacity that the endpoint surely has now."""
        if not self.is_warming_up(endpoint):
            return 1.0
        config = self._config.current.slow_start
        age = self._clock.now - endpoint.started_at
        return config.initial_capacity + (1.0 - config.initial_capacity) * age / config.warmup

    def allows(self, endpoint: Endpoint, request: Request) -> bool:
        """Return whether a request may be sent to a warming endpoint; may make a random draw."""
        need = self._need(endpoint, request)
        endpoint_budget = self._warm_budget() * self.factor(endpoint)
        own_budget = self._config.dispatcher_share * endpoint_budget
        if need <= own_budget:
            return endpoint.slow_start_sent.read(self._clock.now) + need <= own_budget
        if self._is_too_large(endpoint, need, endpoint_budget):
            return False
        return self._fits_pooled_budget(endpoint, need)

    def preferred(self) -> Endpoint:
        """Return the warming endpoint that this dispatcher prefers for a window, drawn by slow-start factor.

        While most warming endpoints are full, the pooled budget, which counts all of them, would go to the
        few that have capacity: one worker was sent 4 and 7 times as much as it could take, and crashed. With
        one endpoint for each dispatcher the budget stays spread, whichever endpoints have capacity
        (`test_warming_workers_share_the_budget_though_only_one_has_capacity`).
        """
        window_ends = self._preferred_at + self._config.current.slow_start.window
        is_over = self._clock.now >= window_ends
        if self._preferred is None or is_over or not self.is_warming_up(self._preferred):
            warming = self._warming_up()
            drawn = self._random.weighted_index([self.factor(endpoint) for endpoint in warming])
            self._preferred = warming[drawn]
            self._preferred_at = self._clock.now
        return self._preferred

    def count(self, endpoint: Endpoint, request: Request) -> None:
        """Count a request that was sent to a warming endpoint against the budgets."""
        now = self._clock.now
        need = self._need(endpoint, request)
        window = max(1, self._config.current.slow_start.window)
        endpoint.slow_start_sent.span = window
        endpoint.slow_start_sent.add(need, now)
        self._sent.span = window
        self._sent.add(need, now)

    def _need(self, endpoint: Endpoint, request: Request) -> float:
        # The size that ratings state counts as slots if it is more than the observed slots.
        slots = max(self._estimates.slots_per_endpoint, endpoint.capacity)
        return self._estimates.expected_work(request) / slots

    def _warm_budget(self) -> float:
        """Return the need that all dispatchers together may send to a warm endpoint within a window."""
        config = self._config.current.slow_start
        return config.margin * config.overload_factor * config.window

    def _is_too_large(self, endpoint: Endpoint, need: float, endpoint_budget: float) -> bool:
        """Return whether two requests of this need in a window might overload the endpoint."""
        max_share = MAX_REQUEST_SHARE_RATED if endpoint.capacity else MAX_REQUEST_SHARE
        return need > max_share * endpoint_budget

    def _fits_pooled_budget(self, endpoint: Endpoint, need: float) -> bool:
        """Return whether our share of the budgets of all warming endpoints together covers the request.

        With many dispatchers no request fits a share of one endpoint: new workers stayed idle until they were
        warm while queues grew elsewhere. Our share of all warming endpoints together covers a request from
        time to time, and the draw of the endpoint spreads such requests evenly. If even this share is too
        small, one random draw per window decides, so that on average all dispatchers together send as much as
        planned.
        """
        pooled_share = POOLED_SHARE_RATED if endpoint.capacity else POOLED_SHARE
        own_share = pooled_share * self._config.dispatcher_share
        remaining = own_share * self._warm_budget() * self._sum_of_factors()
        remaining -= self._sent.read(self._clock.now)
        if need <= remaining:
            return True
        if self._clock.now < self._drawn_at + self._config.current.slow_start.window:
            return False
        self._drawn_at = self._clock.now
        return self._random.bernoulli(max(0.0, remaining / need))

    def _warming_up(self) -> list[Endpoint]:
        return [endpoint for endpoint in self._endpoints.candidates[None] if self.is_warming_up(endpoint)]

    def _sum_of_factors(self) -> float:
        now = self._clock.now
        if now >= self._summed_at + self._config.current.slow_start.window // SUMS_PER_WINDOW:
            self._summed_at = now
            self._total_factor = sum([self.factor(endpoint) for endpoint in self._warming_up()])
        return self._total_factor
