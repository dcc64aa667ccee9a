"""A worker as the scheduler sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import PlacementConstraint

if TYPE_CHECKING:
    from locktide.scheduler.state.attempt import Attempt


class Endpoint:
    """One worker: its entry in the endpoint list, our work on it, and what was observed there."""

    __slots__ = (
        "id",
        "zone",
        "worker_type",
        "cell",
        "state",
        "started_at",
        "in_flight",
        "concurrency_limit",
        "unstarted",
        "resting_until",
        "unavailable_until",
        "last_heard_at",
        "successes",
        "failures",
        "probed_at",
        "slow_start_sent",
        "salt",
        "idle_connections",
        "load",
        "draw_weight",
        "capacity",
        "stale_ratings",
        "rating",
    )

    def __init__(self, entry: EndpointEntry, concurrency_limit: float) -> None:
        self.id = entry.worker
        self.in_flight = 0.0  # slots of ours
        self.concurrency_limit = concurrency_limit  # how many of ours there may be
        self.unstarted: dict[Attempt, None] = {}  # attempts of ours that have not started, oldest first
        self.resting_until = 0  # while the limit is under one: when we have held our share on average
        self.unavailable_until = 0  # after it had no room, or refused a connection
        self.last_heard_at = 0  # when it last gave a sign of life
        # Ten seconds: past the longest pause of a sound worker, short beside a lasting outage.
        self.successes = DecayingSum(10_000_000)
        self.failures = DecayingSum(10_000_000)
        self.probed_at = 0
        self.slow_start_sent = DecayingSum(1_000_000)
        self.salt = crc32(str(entry.worker).encode())
        self.idle_connections: list[int] = []  # until when each free connection of ours is kept open
        self.update(entry)
        self.reset_rating()

    def update(self, entry: EndpointEntry) -> None:
        """Takes over what the endpoint list says of it, but for the rating."""
        self.zone, self.worker_type, self.cell = entry.zone, entry.worker_type, entry.cell
        self.state, self.started_at = entry.state, entry.started_at

    def satisfies(self, constraint: PlacementConstraint | None) -> bool:
        """Whether its type and zone are among those of the constraint."""
        if constraint is None:
            return True
        types, zones = constraint
        return (types is None or self.worker_type in types) and (zones is None or self.zone in zones)

    def reset_rating(self) -> None:
        """Forgets its ratings."""
        self.rating = 0.0
        self.load = 0.0  # what it holds, in requests a core
        self.draw_weight = 1.0
        self.capacity = 0.0  # the rating of one of its type that holds nothing
        self.stale_ratings = 0  # renewals of most ratings since its own was renewed
