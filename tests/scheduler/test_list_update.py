"""Merging updates of the endpoint list into the known endpoints."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import endpoint_entry

from locktide.scheduler.events import EndpointListUpdate
from locktide.scheduler.state import Endpoint
from locktide.scheduler.state.list_update import merge_update
from locktide.scheduler.types import EndpointState, ListUpdateKind


def test_new_endpoints_begin_with_the_given_limit_and_changes_keep_what_was_learned() -> None:
    endpoints: dict[str, Endpoint] = {}
    first = EndpointListUpdate(ListUpdateKind.DELTA, [endpoint_entry("w")])
    assert merge_update(endpoints, first, 2.0) == (True, [])
    assert merge_update(endpoints, first, 3.0) == (False, []), "nothing has changed"
    drain = EndpointListUpdate(ListUpdateKind.DELTA, [endpoint_entry("w", EndpointState.DRAINING)])
    assert merge_update(endpoints, drain, 3.0) == (True, [endpoints["w"]])
    assert endpoints["w"].concurrency_limit == 2.0


def test_endpoints_missing_from_a_complete_list_are_gone() -> None:
    endpoints: dict[str, Endpoint] = {}
    merge_update(
        endpoints,
        EndpointListUpdate(ListUpdateKind.SNAPSHOT, [endpoint_entry("a"), endpoint_entry("b")]),
        1.0,
    )
    merge_update(endpoints, EndpointListUpdate(ListUpdateKind.DELTA, [endpoint_entry("a")]), 1.0)
    assert [endpoint.state for endpoint in endpoints.values()] == [EndpointState.READY, EndpointState.READY]
    changed, _ = merge_update(
        endpoints, EndpointListUpdate(ListUpdateKind.CACHED, [endpoint_entry("a")]), 1.0
    )
    assert changed and endpoints["b"].state == EndpointState.GONE


@pytest.mark.parametrize(("changed", "zone"), [({"cell": 4}, "zone-4"), ({"worker_type": "crate"}, "zone-0")])
def test_a_delta_that_changes_only_the_zone_cell_or_type_is_applied(changed: Any, zone: str) -> None:
    """An operator corrected the zone, cell or type of a worker in the endpoint list without a restart.

    The change was dropped. Until the worker restarted, requests confined to the new zone or type were not
    sent to it, and requests confined to the former ones still were.
    """
    endpoints: dict[str, Endpoint] = {}
    merge_update(endpoints, EndpointListUpdate(ListUpdateKind.DELTA, [endpoint_entry("w")]), 1.0)
    update = EndpointListUpdate(ListUpdateKind.DELTA, [endpoint_entry("w", **changed)])
    assert merge_update(endpoints, update, 1.0) == (True, [])
    worker = endpoints["w"]
    assert (worker.zone, worker.cell) == (zone, changed.get("cell", 0))
    assert worker.worker_type == changed.get("worker_type", "box")
    assert merge_update(endpoints, update, 1.0) == (False, []), "the same update again changes nothing"
