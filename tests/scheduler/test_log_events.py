"""Log events of the scheduler: their ids, fields and lines of text."""

from typing import get_args

from locktide.scheduler.log_events import (
    EndpointListFetchFailed,
    LogEvent,
    RequestRejected,
    WorkerSuspected,
    log_fields,
    log_line,
)
from locktide.scheduler.types import SuspicionReason


def test_the_line_names_the_event_and_each_field_in_order() -> None:
    assert log_line(WorkerSuspected("w7", SuspicionReason.NO_START)) == (
        "worker_suspected worker=w7 reason=no_start"
    )
    rejected = RequestRejected(service_class="view", waited_ms=80, waiting=3, slots_in_flight=2.0)
    assert (
        log_line(rejected) == "request_rejected service_class=view waited_ms=80 waiting=3 slots_in_flight=2"
    )
    failed = EndpointListFetchFailed(failures=2, retry_in_ms=350)
    assert log_line(failed) == "endpoint_list_fetch_failed failures=2 retry_in_ms=350"


def test_fields_keep_their_types_for_programs() -> None:
    rejected = RequestRejected(service_class="view", waited_ms=80, waiting=3, slots_in_flight=2.5)
    assert log_fields(rejected) == {
        "service_class": "view",
        "waited_ms": 80,
        "waiting": 3,
        "slots_in_flight": 2.5,
    }


def test_each_event_has_an_id_of_its_own_made_of_noun_and_verb() -> None:
    ids = [event_type.event_id for event_type in get_args(LogEvent)]
    assert len(set(ids)) == len(ids)
    assert all(event_id.replace("_", "").isalpha() and "_" in event_id for event_id in ids)
