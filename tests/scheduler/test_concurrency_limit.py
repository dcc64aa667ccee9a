"""Whether an endpoint has capacity by our limit, and how small the limit may get."""

from __future__ import annotations

import pytest
from helpers import Checked, listed

from locktide.scheduler.policy.concurrency_limit import has_capacity


@pytest.mark.parametrize(("waited", "expected"), [(50_000, True), (70_000, False)])
def test_an_endpoint_with_an_attempt_that_waits_too_long_has_no_capacity(waited: int, expected: bool) -> None:
    """A worker had gone silent, and requests were sent to it until its limit was full; none started.

    An attempt that has not started within a quarter of the shortest latency objective, here 62.5 ms, shows
    the queue or the silence before it has an outcome. Nothing may be sent behind it, though the limit allows
    it.
    """
    checked = Checked()
    checked.list(listed("w"))
    checked.arrive(1, "view")
    endpoint = checked.dispatcher.endpoints.by_id["w"]
    endpoint.concurrency_limit = 8.0
    prompt_start = checked.dispatcher.timeouts.prompt_start
    assert prompt_start == 62_500
    assert has_capacity(endpoint, 1.0, checked.now + waited, prompt_start) == expected


@pytest.mark.parametrize(("has_ratings", "minimum"), [(True, 1.0), (False, 0.03)])
def test_limits_fall_under_one_request_only_where_no_rating_tells_load(
    has_ratings: bool, minimum: float
) -> None:
    """Dispatchers stayed away from workers though the ratings stated that they were free.

    Without ratings a limit under one keeps many dispatchers from overfilling each worker. Where ratings tell
    what the others send, it would only leave workers idle.
    """
    checked = Checked(fleet=200, live=has_ratings)
    assert checked.dispatcher.limiter.minimum() == pytest.approx(minimum)
