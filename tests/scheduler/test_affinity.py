"""Affinity: the endpoints among which a request with an affinity key is drawn."""

from __future__ import annotations

import pytest
from helpers import SERVICE_CLASSES, endpoint_entry, scheduler_config

from locktide.scheduler.estimators.key_frequencies import KeyFrequencies
from locktide.scheduler.events import RequestArrived
from locktide.scheduler.policy.affinity import AffinityRouter
from locktide.scheduler.state import ActiveConfig, Clock, Endpoint, EndpointTable, FleetEstimates, Request

KEY = 7
#: The usual run time of "view" while no completed run is known: its latency objective, in microseconds.
USUAL_RUN = 250_000


class Routing:
    """Twenty endpoints, and a request with a key that arrives at time 0."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.endpoints = EndpointTable()
        self.endpoints.by_id = {f"w{n}": Endpoint(endpoint_entry(f"w{n}"), 1.0) for n in range(20)}
        self.endpoints.rebuild_candidates(SERVICE_CLASSES)
        self.estimates = FleetEstimates(self.clock, ActiveConfig(scheduler_config(3, 3, False, 0.4)))
        self.estimates.configure()
        self.frequencies = KeyFrequencies()
        self.router = AffinityRouter(
            clock=self.clock,
            endpoints=self.endpoints,
            estimates=self.estimates,
            key_frequencies=self.frequencies,
        )
        self.request = Request(RequestArrived(1, "view", 3_000_000), SERVICE_CLASSES[0], 0, 1)

    def select_endpoints(self, now: int = 0) -> list[Endpoint]:
        """Return the endpoints among which the request is drawn at this time."""
        self.clock.now = now
        return self.router.select_endpoints(self.request, KEY, self.endpoints.candidates[None])


def test_the_first_key_after_a_restart_has_a_few_endpoints() -> None:
    """The first key that a dispatcher saw had a share of all its requests, and was sent to the whole fleet.

    Every worker then fetched the data of the key. Five assumed requests of other keys reduce its share.
    """
    routing = Routing()
    routing.frequencies.count(KEY, 0)
    assert len(routing.select_endpoints()) == 5  # 1.5 times one sixth of twenty


@pytest.mark.parametrize(("runs_waited", "count"), [(0.0, 2), (0.5, 4), (1.0, 8), (5.0, 20)])
def test_the_endpoints_of_a_key_double_in_each_half_of_a_usual_run(runs_waited: float, count: int) -> None:
    routing = Routing()
    assert len(routing.select_endpoints(int(runs_waited * USUAL_RUN))) == count


def test_a_crowded_endpoint_of_a_key_is_passed_over_and_not_replaced() -> None:
    """In an overload the crowded endpoints of a key were replaced by the next ones in its order.

    Each key was sent to more and more workers, which all fetched its data, and run times grew until the fleet
    made no progress. A crowded endpoint is sent no request, but still counts as one of the key's endpoints.
    """
    routing = Routing()
    first, second = routing.select_endpoints()
    first.load = 2.0
    routing.estimates.mean_load = 0.5
    assert routing.select_endpoints() == [second]
