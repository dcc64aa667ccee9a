"""Retry budget: retries that gain nothing end soon, and successes earn new ones."""

from __future__ import annotations

import pytest
from helpers import GRADES, listed

from locktide.scheduler.events import RequestArrived
from locktide.scheduler.policy.retry_budget import MAX_RETRY_BUDGET, RetryBudget
from locktide.scheduler.state import Attempt, Endpoint, Request

DEADLINE = 3_000_000


def attempts() -> tuple[Attempt, Attempt]:
    """Return the first attempt of a request, and its retry."""
    request = Request(RequestArrived("a", "view", DEADLINE), GRADES[0], now=0, sequence=1)
    endpoint = Endpoint(listed("w"), concurrency_limit=1.0)
    first = Attempt(request, 0, endpoint, now=0)
    request.possibly_executed.append(first)
    return first, Attempt(request, 1, endpoint, now=0)


def use_up(budget: RetryBudget, retry: Attempt) -> int:
    """Send retries until the budget allows no more; return how many were sent."""
    for sent in range(10 * int(MAX_RETRY_BUDGET)):
        if not budget.allows_retry():
            return sent
        budget.on_sent(retry)
    raise AssertionError("the budget does not end")


def test_retries_that_gain_nothing_use_up_the_budget() -> None:
    """In an overload every start is late, also those of retries, and each cancelled attempt loses its place.

    Without a limit the retries would add to the load that makes starts late. After as many as the budget
    holds there must be no further one, and first attempts must cost nothing.
    """
    budget = RetryBudget()
    first, retry = attempts()
    for _ in range(100):
        budget.on_sent(first)
    assert use_up(budget, retry) == MAX_RETRY_BUDGET


def test_a_retry_that_starts_promptly_costs_nothing() -> None:
    """Some workers are stuck, and every retry finds a sound one. Such retries must never run out."""
    budget = RetryBudget()
    _, retry = attempts()
    for _ in range(100):
        assert budget.allows_retry()
        budget.on_sent(retry)
        budget.on_prompt_start(retry)


@pytest.mark.parametrize(("successes", "allowed"), [(9, False), (11, True)])
def test_ten_successes_earn_a_retry(successes: int, allowed: bool) -> None:
    budget = RetryBudget()
    _, retry = attempts()
    use_up(budget, retry)
    for _ in range(successes):
        budget.on_success()
    assert budget.allows_retry() == allowed


def test_a_retry_that_was_never_sent_is_returned() -> None:
    budget = RetryBudget()
    _, retry = attempts()
    use_up(budget, retry)
    budget.on_unsent(retry)
    assert budget.allows_retry()
