"""Enumerations and type aliases shared by events, commands and configuration."""

from __future__ import annotations

from enum import StrEnum
from typing import TypeAlias

# The host chooses the ids: the dispatcher uses strings, the simulator numbers. The scheduler only hashes and
# compares them.
RequestId: TypeAlias = str | int
WorkerId: TypeAlias = str
TenantId: TypeAlias = str


class Effect(StrEnum):
    """Whether a request of a service class may be sent more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENT_WITH_KEY = "idempotent with key"  # workers drop repeats within a scope and a time window
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
    UNPROCESSABLE = "unprocessable"  # the worker rejected the request as invalid; any other worker would, too
    # A reused idle connection broke before any response. Most likely the worker had closed it as idle, or had
    # restarted.
    CONNECTION_CLOSED = "connection closed"


# Outcomes that prove that the request did not run on the worker.
PROVEN_NOT_RUN = frozenset(
    (
        AttemptOutcome.FULL,
        AttemptOutcome.NO_CONNECTION,
        AttemptOutcome.NEVER_SENT,
        AttemptOutcome.UNPROCESSABLE,
    )
)
# Outcomes of attempts whose last byte was never sent.
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
    NO_START = "no_start"  # an attempt did not start, and the worker has given no other sign of life since
    NO_PROGRESS = "no_progress"  # a running job stopped reporting progress
    SLOW_PROGRESS = "slow_progress"  # a running job is far slower than its class usually is
    STALE_RATING = "stale_rating"  # its load rating stayed the same while most others changed


class QuotaCoverage(StrEnum):
    """Which part of its tenant's quota covers a request, if any."""

    OWN = "own"
    BORROWED = "borrowed"
    BEYOND = "beyond"


class ListUpdateKind(StrEnum):
    """What an update of the endpoint list carries."""

    SNAPSHOT = "snapshot"
    DELTA = "delta"
    CACHED = "cached"  # the last list that this dispatcher had before it was restarted
    FETCH_FAILED = "fetch failed"  # the discovery service rejected the call
    FETCH_TIMED_OUT = "fetch timed out"  # the discovery service did not respond: the call was not received


class EndpointState(StrEnum):
    """State of a worker in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# Worker types and zones to which a service class is confined; None stands for any.
PlacementConstraint: TypeAlias = tuple[frozenset[str] | None, frozenset[str] | None]
