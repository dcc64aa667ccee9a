"""The state that the scheduler keeps for a worker."""

from __future__ import annotations

from typing import Protocol
from zlib import crc32

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import PlacementConstraint

#: Decay time of the counts of successes and failures, in microseconds: longer than the longest pause of a
#: healthy worker, short compared with a lasting outage.
HEALTH_MEMORY = 10_000_000
#: Decay time of the sum of work sent to a warming endpoint, in microseconds, until the slow-start budget sets
#: the configured window.
INITIAL_SLOW_START_WINDOW = 1_000_000


class UnstartedAttempt(Protocol):
    """Properties of an unstarted attempt that an endpoint uses."""

    width: float
    sent_at: int


class Endpoint:
    """One worker: its entry in the endpoint list, our attempts there, and what was observed of it."""

    __slots__ = (
        "id",
        "zone",
        "worker_type",
        "cell",
        "state",
        "started_at",
        "slots_in_flight",
        "concurrency_limit",
        "unstarted",
        "paused_until",
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
        self.slots_in_flight = 0.0  # taken by our attempts
        self.concurrency_limit = concurrency_limit  # how many slots our attempts may take
        self.unstarted: dict[UnstartedAttempt, None] = {}  # our attempts that have not started, oldest first
        self.paused_until = 0  # under a limit of one slot: end of the pause between two attempts
        self.unavailable_until = 0  # end of the pause after it was full or refused a connection
        self.last_heard_at = 0  # time of its last sign of life
        self.successes = DecayingSum(HEALTH_MEMORY)
        self.failures = DecayingSum(HEALTH_MEMORY)
        self.probed_at = 0  # time of the last random draw for a probe
        self.slow_start_sent = DecayingSum(INITIAL_SLOW_START_WINDOW)
        self.salt = crc32(str(entry.worker).encode())
        self.idle_connections: list[int] = []  # expiry time of each idle connection of ours
        self.update(entry)
        self.reset_rating()

    def update(self, entry: EndpointEntry) -> None:
        """Copy all fields of the entry except the rating."""
        self.zone = entry.zone
        self.worker_type = entry.worker_type
        self.cell = entry.cell
        self.state = entry.state
        self.started_at = entry.started_at  # 0 if that is unknown or long ago

    def matches_entry(self, entry: EndpointEntry) -> bool:
        """Return whether the entry equals the last one, apart from the rating."""
        return (
            self.state == entry.state
            and self.started_at == entry.started_at
            and self.zone == entry.zone
            and self.cell == entry.cell
            and self.worker_type == entry.worker_type
        )

    def satisfies(self, constraint: PlacementConstraint | None) -> bool:
        """Return whether the constraint allows the worker type and the zone of the endpoint."""
        if constraint is None:
            return True
        types, zones = constraint
        return (types is None or self.worker_type in types) and (zones is None or self.zone in zones)

    def reset_rating(self) -> None:
        """Reset its ratings and the values derived from them."""
        self.rating = 0.0  # as last listed
        self.load = 0.0  # requests per core, from all dispatchers
        self.draw_weight = 1.0
        self.capacity = 0.0  # highest rating seen of its worker type: that of an idle one
        self.stale_ratings = 0  # updates that changed most ratings but not its own
