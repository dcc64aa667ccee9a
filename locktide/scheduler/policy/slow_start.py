"""Slow start: how much a worker that was started lately is sent."""

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, FleetEstimates, Request


class SlowStartBudget:
    """Our part of what may be sent to endpoints that are warming up, and whether it allows some work."""

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
        self._sent = DecayingSum(1_000_000)
        self._summed_factor = 0.0
        self._summed_at = 0
        self._drawn_at = 0
        self._preferred: Endpoint | None = None
        self._preferred_at = 0

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether it was started less than the configured time ago."""
        warm_at = endpoint.started_at + self._config.current.slow_start.warmup
        return endpoint.started_at != 0 and self._clock.now < warm_at

    def factor(self, endpoint: Endpoint) -> float:
        """The slow-start factor: the least share of its capacity that an endpoint has by now."""
        if not self.is_warming_up(endpoint):
            return 1.0
        config, age = self._config.current.slow_start, self._clock.now - endpoint.started_at
        return config.initial_capacity + (1.0 - config.initial_capacity) * age / config.warmup

    def allows(self, endpoint: Endpoint, request: Request) -> bool:
        """Whether the request may go to an endpoint that is warming up."""
        now, config, share = self._clock.now, self._config.current.slow_start, self._config.dispatcher_share
        need = self._need(endpoint, request)
        most = config.margin * config.overload_factor * config.window
        whole = most * self.factor(endpoint)
        if need <= share * whole:
            return endpoint.slow_start_sent.read(now) + need <= share * whole
        # Guards against leaving fresh workers idle until warm where our part of one is under a request: our
        # part of all of them together counts, which the draw spreads evenly, and what is left of it under a
        # request is drawn for once a window. All keep to half of what would push one over; the other half is
        # for the odds of many draws, and for two that fall together.
        # A third: two large ones beside the usual draws still stay under what chance is allowed, where a half
        # went over it five times as often (tests/scheduler/test_slow_start.py); two slots for a size count
        # double and more.
        if need > (0.25 if endpoint.capacity else 0.35) * whole:
            return False
        left = (0.2 if endpoint.capacity else 0.5) * share * most * self._total_factor()
        left -= self._sent.read(now)
        if need <= left:
            return True
        if now < self._drawn_at + config.window:
            return False
        self._drawn_at = now
        return self._random.bernoulli(max(0.0, left / need))

    def preferred(self) -> Endpoint:
        """The one endpoint of those warming up that is ours for a window, drawn by factor."""
        # Guards against all that turn to the only one of them with room (4 and 7 times what it could do).
        now, window = self._clock.now, self._config.current.slow_start.window
        is_over = now >= self._preferred_at + window
        if not self._preferred or is_over or not self.is_warming_up(self._preferred):
            warming = self._warming_up()
            drawn = self._random.weighted_index([self.factor(endpoint) for endpoint in warming])
            self._preferred, self._preferred_at = warming[drawn], now
        return self._preferred

    def count(self, endpoint: Endpoint, request: Request) -> None:
        """Uses up budget for a request that went to an endpoint that is warming up."""
        now, need = self._clock.now, self._need(endpoint, request)
        endpoint.slow_start_sent.span = self._sent.span = max(1, self._config.current.slow_start.window)
        endpoint.slow_start_sent.add(need, now)
        self._sent.add(need, now)

    def _need(self, endpoint: Endpoint, request: Request) -> float:
        return self._estimates.expected_work(request) / max(
            self._estimates.slots_per_endpoint, endpoint.capacity
        )

    def _warming_up(self) -> list[Endpoint]:
        return [endpoint for endpoint in self._endpoints.candidates[None] if self.is_warming_up(endpoint)]

    def _total_factor(self) -> float:
        now = self._clock.now
        # Guards the CPU; factors move slowly beside it.
        if now >= self._summed_at + self._config.current.slow_start.window // 16:
            self._summed_at = now
            self._summed_factor = sum([self.factor(endpoint) for endpoint in self._warming_up()])
        return self._summed_factor
