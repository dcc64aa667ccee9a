"""Retry budget: useless retries soon stop, and successes earn new ones."""

from __future__ import annotations

import pytest
from helpers import SERVICE_CLASSES, CheckedScheduler, endpoint_entry

from locktide.scheduler.commands import CancelAttempt, WriteLog
from locktide.scheduler.events import AttemptStarted, RequestArrived
from locktide.scheduler.policy.retry_budget import MAX_RETRY_BUDGET, RetryBudget
from locktide.scheduler.state import Attempt, Endpoint, Request

DEADLINE = 3_000_000


def attempts() -> tuple[Attempt, Attempt]:
    """Return the first attempt of a request and its retry."""
    request = Request(RequestArrived("a", "view", DEADLINE), SERVICE_CLASSES[0], now=0, sequence=1)
    endpoint = Endpoint(endpoint_entry("w"), concurrency_limit=1.0)
    first = Attempt(request, 0, endpoint, now=0)
    request.possibly_executed.append(first)
    return first, Attempt(request, 1, endpoint, now=0)


def use_up(budget: RetryBudget, retry: Attempt) -> int:
    """Send retries until the budget allows no more; return how many were sent."""
    for sent in range(10 * int(MAX_RETRY_BUDGET)):
        if not budget.allows_retry():
            return sent
        budget.on_sent(retry)
    raise AssertionError("the budget is never used up")


def test_retries_that_gain_nothing_use_up_the_budget() -> None:
    """In an overload all starts are late, also those of retries, and each cancelled attempt loses its place.

    Without a limit the retries would increase the load that makes starts late. After the retries of the
    budget there must be no further one. First attempts must not use the budget.
    """
    budget = RetryBudget()
    first, retry = attempts()
    for _ in range(100):
        budget.on_sent(first)
    assert use_up(budget, retry) == MAX_RETRY_BUDGET


def test_a_retry_that_starts_promptly_costs_nothing() -> None:
    """Some workers hang, and every retry finds a healthy one. Such retries must never use up the budget."""
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


@pytest.mark.parametrize("has_started", [False, True])
def test_an_attempt_presumed_lost_is_retried_once_the_budget_allows_it(has_started: bool) -> None:
    """A worker hung with a request while the retry budget was used up; soon after, other requests succeeded.

    No check followed the last one, so the request waited until its deadline, although the budget allowed a
    retry again that would have succeeded. The request must be retried as soon as the budget allows it, and
    only one failure of the worker may be logged.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"), endpoint_entry("x"))
    checked.arrive(1, "view")
    budget = checked.scheduler.retries.budget
    _, retry = attempts()
    use_up(budget, retry)
    if has_started:
        checked.step(AttemptStarted(1, 0))
    checked.pass_time(2_000_000)  # more than half its timeout, and more than one and a half report intervals
    assert not cancelled(checked)
    for _ in range(11):
        budget.on_success()
    checked.pass_time(300_000)
    assert cancelled(checked) == [(1, 0)]
    logged = [command for command in checked.commands if type(command) is WriteLog]
    assert len(logged) == 1, "only one failure of the worker is logged"


def cancelled(checked: CheckedScheduler) -> list[tuple[object, int]]:
    commands = [command for command in checked.commands if type(command) is CancelAttempt]
    return [(command.request_id, command.attempt) for command in commands]
