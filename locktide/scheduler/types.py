"""Enumerations and type aliases shared by events, commands and configuration."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

# Ids are the host's own, strings of a dispatcher and numbers of the simulator: the scheduler only hashes and
# compares them.
RequestId: TypeAlias = str | int
WorkerId: TypeAlias = str
TenantId: TypeAlias = str


class Effect(StrEnum):
    """How far a request of a service class may be repeated."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent with key"  # repeats are dropped within a scope and a time window
    AT_MOST_ONCE = "at most once"


class DeduplicationScope(StrEnum):
    """Which workers drop a repeat of a request that carries an idempotency key."""

    FLEET = "fleet"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"
    UNPROCESSABLE = "unprocessable"  # the worker rejected the request itself: any other worker would, too
    # An idle connection broke without a word, most likely closed as idle, or the worker has restarted since.
    CONNECTION_CLOSED = "connection closed"


# Outcomes after which the request is certain not to have run on the worker.
PROVEN_NOT_RUN = frozenset(
    (
        AttemptOutcome.FULL,
        AttemptOutcome.NO_CONNECTION,
        AttemptOutcome.NEVER_SENT,
        AttemptOutcome.UNPROCESSABLE,
    )
)
# Outcomes after which no last byte was sent.
UNSENT = frozenset((AttemptOutcome.NO_CONNECTION, AttemptOutcome.NEVER_SENT))
# Outcomes that say nothing about the health of the worker.
UNINFORMATIVE = frozenset(
    (AttemptOutcome.NEVER_SENT, AttemptOutcome.UNPROCESSABLE, AttemptOutcome.CONNECTION_CLOSED)
)


class SuspicionReason(StrEnum):
    """What makes a worker suspected of being unhealthy."""

    NO_CONNECTION = "no_connection"
    RESET = "reset"
    ERROR = "error"
    NO_START = "no_start"  # an attempt did not start, and nothing else was heard of the worker since
    NO_PROGRESS = "no_progress"  # a running job stopped reporting
    SLOW_PROGRESS = "slow_progress"  # a running job is far slower than its class usually is
    STALE_RATING = "stale_rating"  # its load rating was not renewed while most others were


class QuotaCoverage(StrEnum):
    """What of its tenant's quota covers a request."""

    OWN = "own"
    BORROWED = "borrowed"
    BEYOND = "beyond"


class ListUpdateKind(StrEnum):
    """What an update of the endpoint list carries."""

    SNAPSHOT = "snapshot"
    DELTA = "delta"
    CACHED = "cached"  # the list as this dispatcher last had it, from before its start
    FETCH_FAILED = "fetch failed"  # the service rejected the call
    FETCH_TIMED_OUT = "fetch timed out"  # the service did not respond: the call was not received


class EndpointState(StrEnum):
    """What a listed worker is doing."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# Worker types and zones to which a service class is confined; None stands for any.
PlacementConstraint: TypeAlias = tuple[frozenset[str] | None, frozenset[str] | None]
