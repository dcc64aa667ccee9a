"""Slow start: how much work an endpoint that is warming up is sent.

The rule:

- An endpoint warms up for `SlowStartConfig.warmup` after its start. Its slow-start factor is the fraction of
  its capacity that it surely has by then, from `initial_capacity` to 1.
- The need of a request is the time for which it fills the endpoint: its expected work over the endpoint's
  slots, in microseconds. The size comes from ratings where they state one, else from what was seen.
- A warm endpoint's budget is the work, in the same unit, that all dispatchers together may send it within a
  window. A warming one has that times its factor. Of this each dispatcher has an even share.
- A request that fits our share of one endpoint's budget waits for that budget. A larger one is sent if it is
  no more than a given part of the endpoint's whole budget, and fits our share of all warming endpoints
  together.

Why: an endpoint that is sent more falls over while it warms up, and no dispatcher sees what the others send.
"""

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, FleetEstimates, Request
from locktide.scheduler.state.endpoint import INITIAL_SLOW_START_WINDOW

#: Largest single request that a warming endpoint may be sent where our share of its budget is smaller, as a
#: fraction of its whole budget for one window. Two such requests in one window must stay under the overload
#: limit.
MAX_REQUEST_SHARE = 0.35
#: The same where ratings tell the endpoint's size: a request of two slots there counts double.
MAX_REQUEST_SHARE_RATED = 0.25
#: Fraction of the budget of all warming endpoints together that dispatchers plan to send in requests larger
#: than their share of one. The rest allows for draws that fall together.
POOLED_SHARE = 0.5
#: The same where ratings tell the endpoint's size: requests with one key are drawn at the same few endpoints.
POOLED_SHARE_RATED = 0.2
#: How often in a window the factors of all warming endpoints are summed. It costs CPU, and they change
#: slowly.
SUMS_PER_WINDOW = 16


class SlowStartBudget:
    """Our share of what may be sent to endpoints that are warming up, and whether it allows a request."""

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
        self._sent = DecayingSum(INITIAL_SLOW_START_WINDOW)  # to all warming endpoints, in need
        self._total_factor = 0.0
        self._summed_at = 0  # when the total was last computed, in microseconds
        self._drawn_at = 0  # when the rest of the pooled budget was last drawn for, in microseconds
        self._preferred: Endpoint | None = None
        self._preferred_at = 0  # when it was drawn, in microseconds

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint was started less than the configured time ago."""
        warm_at = endpoint.started_at + self._config.current.slow_start.warmup
        return endpoint.started_at != 0 and self._clock.now < warm_at

    def factor(self, endpoint: Endpoint) -> float:
        """Return the slow-start factor: the fraction of its capacity that the endpoint surely has by now."""
        if not self.is_warming_up(endpoint):
            return 1.0
        config = self._config.current.slow_start
        age = self._clock.now - endpoint.started_at
        return config.initial_capacity + (1.0 - config.initial_capacity) * age / config.warmup

    def allows(self, endpoint: Endpoint, request: Request) -> bool:
        """Return whether a request may be sent to an endpoint that is warming up; may draw at random."""
        need = self._need(endpoint, request)
        endpoint_budget = self._warm_budget() * self.factor(endpoint)
        own_budget = self._config.dispatcher_share * endpoint_budget
        if need <= own_budget:
            return endpoint.slow_start_sent.read(self._clock.now) + need <= own_budget
        if self._is_too_large(endpoint, need, endpoint_budget):
            return False
        return self._fits_pooled_budget(endpoint, need)

    def preferred(self) -> Endpoint:
        """Return the one of the warming endpoints that is ours for a window, drawn by their factors.

        While most warming endpoints are full the pooled budget, which counts all of them, would go to the few
        that have capacity: one worker was sent 4 and 7 times what it could do, and fell over. With one
        endpoint for each dispatcher the budget stays spread whoever has capacity
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
        """Use up budget for a request that was sent to an endpoint that is warming up."""
        now = self._clock.now
        need = self._need(endpoint, request)
        window = max(1, self._config.current.slow_start.window)
        endpoint.slow_start_sent.span = window
        endpoint.slow_start_sent.add(need, now)
        self._sent.span = window
        self._sent.add(need, now)

    def _need(self, endpoint: Endpoint, request: Request) -> float:
        # The size that ratings state counts as slots, where it is more than was seen running there.
        slots = max(self._estimates.slots_per_endpoint, endpoint.capacity)
        return self._estimates.expected_work(request) / slots

    def _warm_budget(self) -> float:
        """Return what a warm endpoint may be sent by all dispatchers within a window."""
        config = self._config.current.slow_start
        return config.margin * config.overload_factor * config.window

    def _is_too_large(self, endpoint: Endpoint, need: float, endpoint_budget: float) -> bool:
        """Return whether two requests of this need in a window might overload the endpoint."""
        max_share = MAX_REQUEST_SHARE_RATED if endpoint.capacity else MAX_REQUEST_SHARE
        return need > max_share * endpoint_budget

    def _fits_pooled_budget(self, endpoint: Endpoint, need: float) -> bool:
        """Return whether our share of all warming endpoints together covers the request.

        With many dispatchers no request fits a share of one endpoint: fresh workers stayed idle until they
        were warm while queues grew elsewhere. Our share of all of them together covers one now and then, and
        the draw spreads these evenly. Where even that is too small, one draw a window decides, so that all
        dispatchers together send what they plan on average.
        """
        pooled_share = POOLED_SHARE_RATED if endpoint.capacity else POOLED_SHARE
        own_share = pooled_share * self._config.dispatcher_share
        left = own_share * self._warm_budget() * self._sum_of_factors()
        left -= self._sent.read(self._clock.now)
        if need <= left:
            return True
        if self._clock.now < self._drawn_at + self._config.current.slow_start.window:
            return False
        self._drawn_at = self._clock.now
        return self._random.bernoulli(max(0.0, left / need))

    def _warming_up(self) -> list[Endpoint]:
        return [endpoint for endpoint in self._endpoints.candidates[None] if self.is_warming_up(endpoint)]

    def _sum_of_factors(self) -> float:
        now = self._clock.now
        if now >= self._summed_at + self._config.current.slow_start.window // SUMS_PER_WINDOW:
            self._summed_at = now
            self._total_factor = sum([self.factor(endpoint) for endpoint in self._warming_up()])
        return self._total_factor
