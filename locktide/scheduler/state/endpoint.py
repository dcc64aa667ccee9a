"""A worker as the scheduler sees it."""

from __future__ import annotations

from typing import Protocol
from zlib import crc32

from locktide.scheduler.estimators.decaying_sum import DecayingSum
from locktide.scheduler.events import EndpointEntry
from locktide.scheduler.types import PlacementConstraint

#: How long successes and failures count, in microseconds: longer than the longest pause of a sound worker,
#: short beside a lasting outage.
HEALTH_MEMORY = 10_000_000
#: Memory of what was sent to a warming endpoint, in microseconds, until the slow-start budget sets the
#: configured window.
INITIAL_SLOW_START_WINDOW = 1_000_000


class UnstartedAttempt(Protocol):
    """What an endpoint has to know of an attempt that has not started."""

    width: float
    sent_at: int


class Endpoint:
    """One worker: its entry in the endpoint list, our work on it, and what was observed there."""

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
        self.slots_in_flight = 0.0  # of our attempts
        self.concurrency_limit = concurrency_limit  # how many slots of ours there may be
        self.unstarted: dict[UnstartedAttempt, None] = {}  # attempts of ours, oldest first
        self.resting_until = 0  # while the limit is under one: when we have held our share on average
        self.unavailable_until = 0  # after it was full, or refused a connection
        self.last_heard_at = 0  # when it last gave a sign of life
        self.successes = DecayingSum(HEALTH_MEMORY)
        self.failures = DecayingSum(HEALTH_MEMORY)
        self.probed_at = 0  # when a probe was last drawn for
        self.slow_start_sent = DecayingSum(INITIAL_SLOW_START_WINDOW)
        self.salt = crc32(str(entry.worker).encode())
        self.idle_connections: list[int] = []  # until when each free connection of ours is kept open
        self.update(entry)
        self.reset_rating()

    def update(self, entry: EndpointEntry) -> None:
        """Take over what the endpoint list says of it, but for the rating."""
        self.zone = entry.zone
        self.worker_type = entry.worker_type
        self.cell = entry.cell
        self.state = entry.state
        self.started_at = entry.started_at  # 0 where that is unknown or long ago

    def is_as_listed(self, entry: EndpointEntry) -> bool:
        """Return whether the endpoint list says of it what it said before, but for the rating."""
        return (
            self.state == entry.state
            and self.started_at == entry.started_at
            and self.zone == entry.zone
            and self.cell == entry.cell
            and self.worker_type == entry.worker_type
        )

    def satisfies(self, constraint: PlacementConstraint | None) -> bool:
        """Return whether its type and zone are among those of the constraint."""
        if constraint is None:
            return True
        types, zones = constraint
        return (types is None or self.worker_type in types) and (zones is None or self.zone in zones)

    def reset_rating(self) -> None:
        """Forget its ratings."""
        self.rating = 0.0  # as last listed
        self.load = 0.0  # the requests that it has, for each core
        self.draw_weight = 1.0
        self.capacity = 0.0  # the rating of one of its type that has no request
        self.stale_ratings = 0  # renewals of most ratings since its own was renewed
