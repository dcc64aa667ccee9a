"""Retry eligibility: which further attempts are allowed, and which requests may be rejected."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SERVICE_CLASSES, endpoint_entry

from locktide.scheduler.config import ServiceClass
from locktide.scheduler.events import RequestArrived
from locktide.scheduler.policy.retry_eligibility import (
    endpoints_for_repeat,
    may_attempt,
    may_reject,
    repeatable_until,
)
from locktide.scheduler.state import Attempt, Endpoint, Request
from locktide.scheduler.types import DeduplicationScope, Effect

WINDOW = 4_000_000
SENT_AT = 1_000_000
MAX_ATTEMPTS = 3


def service_class(effect: Effect, scope: DeduplicationScope = DeduplicationScope.CELL) -> ServiceClass:
    return replace(SERVICE_CLASSES[0], effect=effect, deduplication_scope=scope, deduplication_window=WINDOW)


def attempted_request(
    effect: Effect, scope: DeduplicationScope = DeduplicationScope.CELL, attempts: int = 1
) -> Request:
    """Return a request with attempts that all may have run."""
    request = Request(RequestArrived(1, "view", 60_000_000), service_class(effect, scope), 0, sequence=1)
    for number in range(attempts):
        attempt = Attempt(request, number, Endpoint(endpoint_entry("w"), concurrency_limit=1.0), SENT_AT)
        request.attempts.append(attempt)
        request.possibly_executed.append(attempt)
    return request


@pytest.mark.parametrize(
    ("effect", "now", "is_allowed"),
    [
        (Effect.IDEMPOTENT, SENT_AT + 10 * WINDOW, True),
        (Effect.IDEMPOTENT_WITH_KEY, SENT_AT + WINDOW - 1, True),
        (Effect.IDEMPOTENT_WITH_KEY, SENT_AT + WINDOW, False),
        (Effect.AT_MOST_ONCE, SENT_AT + 1, False),
    ],
)
def test_what_may_have_run_is_sent_again_only_while_its_repeat_is_dropped(
    effect: Effect, now: int, is_allowed: bool
) -> None:
    """The worker of an attempt did not respond any more, and the request waited for another worker.

    By the time of the next attempt the workers had forgotten its idempotency key, and the job ran a second
    time. No attempt may be allowed after the end of the deduplication window; for at-most-once requests none
    at all.
    """
    assert may_attempt(attempted_request(effect), now, MAX_ATTEMPTS) == is_allowed


def test_the_deduplication_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    request = attempted_request(Effect.IDEMPOTENT_WITH_KEY, attempts=2)
    request.attempts[1].sent_at = SENT_AT + WINDOW // 2
    assert repeatable_until(request) == SENT_AT + WINDOW
    assert repeatable_until(attempted_request(Effect.IDEMPOTENT)) is None


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_a_repeat_goes_where_the_first_attempt_was_sent_also_if_its_worker_is_listed_elsewhere(
    scope: DeduplicationScope,
) -> None:
    """A worker was listed in another zone and cell after a request had been sent to it.

    Workers in its former zone and cell drop the repeat. Workers in the new ones do not know the idempotency
    key, so a repeat there would run the request twice.
    """
    request = attempted_request(Effect.IDEMPOTENT_WITH_KEY, scope)
    request.possibly_executed[0].endpoint.update(endpoint_entry("w", cell=4))
    neighbours = [Endpoint(endpoint_entry(f"n{cell}", cell=cell), concurrency_limit=1.0) for cell in (0, 4)]
    assert endpoints_for_repeat(request, neighbours, SENT_AT + 1) == neighbours[:1]


def test_attempts_are_limited_and_uncounted_ones_do_not_count() -> None:
    request = attempted_request(Effect.IDEMPOTENT, attempts=MAX_ATTEMPTS)
    assert not may_attempt(request, SENT_AT, MAX_ATTEMPTS)
    request.uncounted_attempts = 1
    assert may_attempt(request, SENT_AT, MAX_ATTEMPTS)


@pytest.mark.parametrize(
    ("effect", "scope", "is_harmless"),
    [
        (Effect.IDEMPOTENT, DeduplicationScope.CELL, True),
        (Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.FLEET, False),
        (Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, False),
        (Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, False),
        (Effect.AT_MOST_ONCE, DeduplicationScope.FLEET, False),
    ],
)
def test_what_may_have_run_is_rejected_only_where_the_clients_retry_is_harmless(
    effect: Effect, scope: DeduplicationScope, is_harmless: bool
) -> None:
    """A rejection promises the client that it may send the request again, to any dispatcher, at any time.

    If a worker outside the scope of the first attempt would not drop the repeat, or if every worker has
    forgotten its key by then, the client's retry runs the job twice. Such a request must be failed instead.
    """
    assert may_reject(attempted_request(effect, scope)) == is_harmless
    assert may_reject(attempted_request(effect, scope, attempts=0))
