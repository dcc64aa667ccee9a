"""How often an endpoint that was drawn uniformly accepts."""

from __future__ import annotations

import pytest
from helpers import Checked, listed


@pytest.mark.parametrize(("dispatchers", "least", "most"), [(200, 200, 300), (2, 1000, 1000)])
def test_a_slow_type_accepts_by_the_square_of_its_speed_in_a_sparse_fleet_alone(
    dispatchers: int, least: int, most: int
) -> None:
    """Workers of a slow type had runs of 9 s beside 0.4 s at fast ones, and were sent as many requests.

    One of 200 dispatchers sees too few ends on any of them for its limit to follow. An idle worker of half
    the speed has to accept a quarter of its draws there, and each draw where the limits can follow.
    """
    checked = Checked(fleet=dispatchers)
    checked.list(listed("w"))
    checked.dispatcher.estimates.throughput.relative_speeds = {"box": 0.5}
    endpoint = checked.dispatcher.endpoints.by_id["w"]
    strategy = checked.dispatcher.strategies.current
    assert least <= sum(strategy.accepts(endpoint) for _ in range(1000)) <= most
