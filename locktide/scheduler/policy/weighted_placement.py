"""Weighted placement: the draw if the ratings of the endpoint list fall with load.

The rule:

- Each eligible endpoint is drawn with a probability proportional to its draw weight (see `load_ratings`).
- The weight of an endpoint to which we have no idle connection is reduced by the cost of a new connection.
- An endpoint that is warming up has the mean weight of the others times its slow-start factor, whatever its
  rating.
- If a draw for a request without an affinity key hits a warming endpoint, it is replaced by the warming
  endpoint that this dispatcher prefers in the current window (`SlowStartBudget.preferred`).

Why: all dispatchers have the same ratings, about a second late. If each dispatcher chose the best endpoint,
all would choose the same one. Draws in proportion to weights spread over all endpoints.
"""

from dataclasses import dataclass, field
from math import exp

from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.policy.load_ratings import COST_SCALE, LoadRatings
from locktide.scheduler.policy.placement_strategy import FleetLoad
from locktide.scheduler.policy.slow_start import SlowStartBudget
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, FleetEstimates

#: Mean load of the ready endpoints, in requests per core, below which some of them have free cores.
FREE_CORES_LOAD = 0.8


@dataclass(eq=False)
class WeightedPlacement:
    """Draws each endpoint in proportion to its draw weight."""

    clock: Clock
    config: ActiveConfig
    random: LinearCongruentialGenerator
    estimates: FleetEstimates
    ratings: LoadRatings
    slow_start: SlowStartBudget
    needs_pauses: bool = field(default=False, init=False)
    _new_connection_factor: float = field(default=1.0, init=False)

    def configure(self) -> None:
        """Apply the configuration in force."""
        self.ratings.configure()
        self._new_connection_factor = exp(-self.config.current.costs.connection / COST_SCALE)

    def update_ratings(self, entries: list[EndpointEntry]) -> None:
        """Process the ratings of an update of the endpoint list."""
        self.ratings.update(entries)

    def draw(self, eligible: list[Endpoint], has_key: bool) -> Endpoint:
        """Draw one of the endpoints in proportion to their weights."""
        weights, warming = self._weights(eligible)
        drawn = eligible[self.random.weighted_index(weights)]
        if warming and not has_key and self.slow_start.is_warming_up(drawn):
            preferred = self.slow_start.preferred()
            return preferred if preferred in eligible else drawn
        return drawn

    def accepts(self, endpoint: Endpoint) -> bool:  # noqa: ARG002 - of the interface
        """Return True, as the weight already accounts for the endpoint's speed."""
        return True

    def fleet_load(self) -> FleetLoad:
        """Return whether the mean load leaves cores free."""
        has_free_cores = self.estimates.mean_load < FREE_CORES_LOAD
        return FleetLoad.FREE_CORES if has_free_cores else FleetLoad.NO_FREE_CORES

    def _weights(self, eligible: list[Endpoint]) -> tuple[list[float], list[int]]:
        """Return the weight of each endpoint, and the indices of those that are warming up."""
        now = self.clock.now
        warmup = self.config.current.slow_start.warmup
        weights: list[float] = []
        warming: list[int] = []
        for endpoint in eligible:
            # `SlowStartBudget.is_warming_up`, inlined: a call for each endpoint costs more.
            if endpoint.started_at != 0 and now < endpoint.started_at + warmup:
                warming.append(len(weights))
                weights.append(0.0)
                continue
            weight = endpoint.draw_weight
            idle = endpoint.idle_connections
            has_connection = idle and idle[-1] >= now
            weights.append(weight if has_connection else weight * self._new_connection_factor)
        if warming:
            self._set_warming_weights(eligible, weights, warming)
        return weights, warming

    def _set_warming_weights(
        self, eligible: list[Endpoint], weights: list[float], warming: list[int]
    ) -> None:
        """Set the weights of the endpoints that are warming up.

        An endpoint that has just started is idle, so by its rating every dispatcher would draw it ten times
        as often as the others: one such endpoint was sent four times as much as it could take and crashed.
        With the mean weight times its factor it is drawn less often than a warm one
        (`test_a_worker_that_has_just_started_is_drawn_less_often_than_the_others`).
        """
        mean = sum(weights) / max(1, len(weights) - len(warming)) or 1.0
        for index in warming:
            weights[index] = mean * self.slow_start.factor(eligible[index])
