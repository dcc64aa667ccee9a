"""Concurrency limit: whether an endpoint has capacity, and the minimum of its limit."""

from __future__ import annotations

import pytest
from helpers import CheckedScheduler, endpoint_entry

from locktide.scheduler.events import ClientDisconnected
from locktide.scheduler.policy.concurrency_limit import has_capacity
from locktide.scheduler.types import AttemptOutcome


@pytest.mark.parametrize(("waited", "expected"), [(50_000, True), (70_000, False)])
def test_an_endpoint_with_an_attempt_that_waits_too_long_has_no_capacity(waited: int, expected: bool) -> None:
    """A worker did not respond any more; requests were sent to it up to its limit, and none of them started.

    An attempt that has not started within a quarter of the shortest latency objective, here 62.5 ms, reveals
    the problem before its outcome does. Until it starts or ends, nothing else may be sent there, even if the
    limit allows it.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w"))
    checked.arrive(1, "view")
    endpoint = checked.scheduler.endpoints.by_id["w"]
    endpoint.concurrency_limit = 8.0
    prompt_start = checked.scheduler.timeouts.prompt_start
    assert prompt_start == 62_500
    assert has_capacity(endpoint, 1.0, checked.now + waited, prompt_start) == expected


@pytest.mark.parametrize(("has_ratings", "minimum"), [(True, 1.0), (False, 0.03)])
def test_limits_fall_under_one_request_only_where_no_rating_tells_load(
    has_ratings: bool, minimum: float
) -> None:
    """Dispatchers paused between requests to workers although the ratings showed that these were free.

    Without ratings, a limit under one prevents many dispatchers from overfilling each worker. With ratings,
    which show the load from other dispatchers, such a limit would only leave workers idle.
    """
    checked = CheckedScheduler(dispatcher_count=200, has_live_ratings=has_ratings)
    assert checked.scheduler.limiter.minimum() == pytest.approx(minimum)


@pytest.mark.parametrize(("waited", "is_cut"), [(20_000, False), (200_000, True)])
def test_an_attempt_cancelled_before_its_start_is_late_does_not_cut_the_limit(
    waited: int, is_cut: bool
) -> None:
    """Clients disconnected early, and each time the limit of a healthy worker fell by a quarter.

    An attempt that is cancelled within 62.5 ms says nothing about its worker. An attempt that has waited
    longer without a start shows a queue, even if it is cancelled.
    """
    checked = CheckedScheduler(dispatcher_count=1)
    checked.update_endpoints(endpoint_entry("w"))
    endpoint = checked.scheduler.endpoints.by_id["w"]
    endpoint.concurrency_limit = 8.0
    checked.arrive(1, "record")
    checked.pass_time(waited)
    checked.step(ClientDisconnected(1))
    checked.pass_time(300_000)  # the worker confirms the cancellation late
    checked.end_attempt(1, 0, AttemptOutcome.CANCELLED)
    assert (endpoint.concurrency_limit < 8.0) == is_cut
    assert not endpoint.unstarted
