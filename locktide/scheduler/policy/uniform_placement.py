"""Uniform placement: the draw if the load of endpoints is unknown.

The rule: each eligible endpoint is drawn with the same probability, as in the source paper. In a sparse
fleet, where our even share of an endpoint is under a third of a slot, the draw of an endpoint without
attempts of ours is accepted only with a probability: the speed of its worker type relative to the fastest
type, to the power of `SPEED_EXPONENT`.

Why: a concurrency limit adapts to the speed of an endpoint by the attempts that end there. Where each of many
dispatchers sees too few of them, slow worker types would be sent as much as fast ones and build up queues.
"""

from locktide.scheduler.estimators.random import LinearCongruentialGenerator
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.policy.load_ratings import LoadRatings
from locktide.scheduler.policy.placement_strategy import FleetLoad
from locktide.scheduler.state import Endpoint, FleetEstimates

#: Exponent of the relative speed in the probability with which a draw is accepted. An exponent of one
#: equalizes loads, an exponent of two equalizes waits.
SPEED_EXPONENT = 2


class UniformPlacement:
    """Draws each endpoint with the same probability."""

    needs_pauses = True

    def __init__(
        self, *, random: LinearCongruentialGenerator, estimates: FleetEstimates, ratings: LoadRatings
    ) -> None:
        self._random = random
        self._estimates = estimates
        self._ratings = ratings

    def configure(self) -> None:
        """Reset the ratings of an earlier configuration."""
        self._ratings.forget()

    def update_ratings(self, entries: list[EndpointEntry]) -> None:
        """Ignore the ratings, as they do not follow load."""

    def draw(self, eligible: list[Endpoint], has_key: bool) -> Endpoint:  # noqa: ARG002 - of the interface
        """Draw one of the endpoints."""
        return eligible[self._random.below(len(eligible))]

    def accepts(self, endpoint: Endpoint) -> bool:
        """Return True; in a sparse fleet and without attempts of ours there, draw by its type's speed."""
        if not self._estimates.is_sparse or endpoint.slots_in_flight:
            return True
        speed = self._estimates.throughput.relative_speeds.get(endpoint.worker_type, 1.0)
        return self._random.bernoulli(speed**SPEED_EXPONENT)

    def fleet_load(self) -> FleetLoad:
        """Return that the load of the fleet is unknown."""
        return FleetLoad.UNKNOWN
