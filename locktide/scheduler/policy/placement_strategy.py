"""Placement strategies: how endpoints are drawn, and what else depends on knowledge of their load.

There are two strategies. If the load of endpoints is unknown, the draw is uniform (`uniform_placement`). If
the ratings of the endpoint list fall with load, the draw is weighted by them (`weighted_placement`). The
configuration selects the strategy at the start and at each reload. Other modules use only this interface,
without regard to which strategy is in force.
"""

from enum import Enum
from typing import Protocol

from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.state import ActiveConfig, Endpoint


class FleetLoad(Enum):
    """What is known of the load of the fleet as a whole."""

    UNKNOWN = "unknown"
    FREE_CORES = "free cores"
    NO_FREE_CORES = "no free cores"


class PlacementStrategy(Protocol):
    """How endpoints are drawn, and what is known of their load."""

    @property
    def needs_pauses(self) -> bool:
        """Whether pauses between two requests to an endpoint keep our use of it within our even share."""

    def configure(self) -> None:
        """Apply the configuration in force; called when the strategy is chosen and at each reload."""

    def update_ratings(self, entries: list[EndpointEntry]) -> None:
        """Process the ratings of an update of the endpoint list."""

    def draw(self, eligible: list[Endpoint], has_key: bool) -> Endpoint:
        """Draw one of the endpoints; `has_key`: they were selected by the request's affinity key."""

    def accepts(self, endpoint: Endpoint) -> bool:
        """Return whether a draw of the endpoint is accepted; if not, the request waits for the next round."""

    def fleet_load(self) -> FleetLoad:
        """Return what is known of the load of the fleet as a whole."""


class PlacementStrategies:
    """Chooses the strategy by the configuration.

    Attributes:
        current: the strategy in force.
    """

    def __init__(
        self, config: ActiveConfig, *, uniform: PlacementStrategy, weighted: PlacementStrategy
    ) -> None:
        self._config = config
        self._uniform = uniform
        self._weighted = weighted
        self.current = uniform

    def configure(self) -> None:
        """Choose the strategy for the configuration in force, and configure it."""
        has_live_ratings = self._config.current.endpoint_list.has_live_ratings
        self.current = self._weighted if has_live_ratings else self._uniform
        self.current.configure()
