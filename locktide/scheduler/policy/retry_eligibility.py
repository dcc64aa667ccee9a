"""Retry eligibility: whether, where and until when a request may be attempted again, or else rejected.

This is rule two, no effect twice. An attempt that is not proven never to have run may have run; after one, a
request is sent again only where its repeat has no further effect:

- at most once: nowhere;
- idempotent with a key: to workers of the deduplication scope of that attempt, until the deduplication window
  after it was sent is over;
- idempotent: anywhere.

Rejecting promises the client that sending the request again is harmless. So one that may have run is
rejected only if it is idempotent, or if every worker drops its repeat; otherwise it fails. Beside that a
request has a most number of attempts (`max_attempts` of the configuration). Times are in microseconds.
"""

from locktide.scheduler.state import Endpoint, Request
from locktide.scheduler.types import DeduplicationScope

# Bound once: an access through the enum class costs 0.2 to 0.3 us on Python 3.11.
ZONE = DeduplicationScope.ZONE
FLEET = DeduplicationScope.FLEET


def may_attempt(request: Request, now: int, max_attempts: int) -> bool:
    """Return whether one more attempt of the request is allowed at all."""
    if len(request.attempts) - request.uncounted_attempts >= max_attempts:
        return False
    if not request.possibly_executed:
        return True
    return not request.is_at_most_once and not is_window_over(request, now)


def where_repeatable(request: Request, endpoints: list[Endpoint], now: int) -> list[Endpoint]:
    """Return those of the endpoints to which one more attempt may be sent."""
    if not request.possibly_executed or request.is_idempotent:
        return endpoints
    if request.is_at_most_once or is_window_over(request, now):
        return []
    scope = request.service_class.deduplication_scope
    first = request.possibly_executed[0]
    if scope == FLEET:
        return endpoints
    if scope == ZONE:
        return [endpoint for endpoint in endpoints if endpoint.zone == first.zone]
    return [endpoint for endpoint in endpoints if endpoint.cell == first.cell]


def repeats_until(request: Request) -> int | None:
    """Return from when on its repeats are no longer dropped, so none may be sent; None: never.

    The moment may be zero or less: an attempt of an earlier process may have been sent before this clock's
    zero (test_recovered_request_sent_before_the_zero_of_the_clock_fails_at_once).
    """
    if not request.possibly_executed or request.is_idempotent or request.is_at_most_once:
        return None
    return request.possibly_executed[0].sent_at + request.service_class.deduplication_window


def is_window_over(request: Request, now: int) -> bool:
    """Return whether its repeats are no longer dropped."""
    until = repeats_until(request)
    return until is not None and now >= until


def may_reject(request: Request) -> bool:
    """Return whether the request may be rejected rather than failed."""
    scope = request.service_class.deduplication_scope
    is_dropped_everywhere = not request.is_at_most_once and scope == FLEET
    return not request.possibly_executed or request.is_idempotent or is_dropped_everywhere
