"""Uniform placement: how often the draw of an endpoint is accepted."""

from __future__ import annotations

import pytest
from helpers import CheckedScheduler, endpoint_entry


@pytest.mark.parametrize(("dispatchers", "least", "most"), [(200, 200, 300), (2, 1000, 1000)])
def test_a_slow_type_accepts_by_the_square_of_its_speed_in_a_sparse_fleet_alone(
    dispatchers: int, least: int, most: int
) -> None:
    """Workers of a slow type had run times of 9 s instead of 0.4 s, but were sent as many requests.

    Each of 200 dispatchers sees too few attempts end at any worker to adapt its concurrency limit. With so
    many dispatchers a quarter of the draws of an idle worker with half the speed must be accepted. With few
    dispatchers, whose limits can adapt, every draw must be accepted.
    """
    checked = CheckedScheduler(dispatcher_count=dispatchers)
    checked.update_endpoints(endpoint_entry("w"))
    checked.scheduler.estimates.throughput.relative_speeds = {"box": 0.5}
    endpoint = checked.scheduler.endpoints.by_id["w"]
    strategy = checked.scheduler.strategies.current
    assert least <= sum(strategy.accepts(endpoint) for _ in range(1000)) <= most
