"""Load shedding: when a request is given up, what its client is advised, and what is logged."""

from __future__ import annotations

from helpers import CheckedScheduler, endpoint_entry

from locktide.scheduler.commands import RejectRequest, WriteLog
from locktide.scheduler.log_events import RequestRejected
from locktide.scheduler.types import AttemptOutcome, EndpointState


def rejections(checked: CheckedScheduler) -> list[RejectRequest]:
    return [command for command in checked.commands if isinstance(command, RejectRequest)]


def test_a_request_that_fails_anywhere_is_rejected_with_the_longest_advice() -> None:
    """Clients kept retrying requests that fail at every worker, as soon as they were advised to.

    An error at a second healthy worker shows that the request is at fault. Its client must be advised to wait
    as long as the settings allow, here two seconds.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"), endpoint_entry("w2"))
    checked.arrive(1, "view")
    checked.end_attempt(1, 0, AttemptOutcome.ERROR)
    checked.pass_time(20_000)
    checked.end_attempt(1, 1, AttemptOutcome.ERROR)
    assert rejections(checked) == [RejectRequest(1, 2_000_000)]


def test_the_advised_wait_ends_when_the_next_running_request_should_end() -> None:
    """Clients that were advised to wait for a whole run time retried late and took the place of new requests.

    With two running requests and a usual run time of 250 ms, one of them should end within half of that.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"), endpoint_entry("w1"))
    for request in range(3):
        checked.arrive(request, "view")
    checked.pass_time(300_000)
    assert rejections(checked) == [RejectRequest(2, 125_000)]


def test_rejections_write_one_log_event_in_five_seconds() -> None:
    """In an overload a line for each rejection would hide every other event of the log."""
    checked = CheckedScheduler()
    for request in range(10):
        checked.arrive(request, "view")
    checked.pass_time(1_000_000)
    assert len(rejections(checked)) == 10
    logged = [command for command in checked.commands if isinstance(command, WriteLog)]
    assert [type(command.event) for command in logged] == [RequestRejected]


def test_a_request_whose_repeats_are_no_longer_dropped_is_answered_at_once() -> None:
    """A request that may have run waited for a worker of its cell until its deadline, two seconds too long.

    After its deduplication window, here 4 s after the first attempt, no repeat may be sent. The request must
    get its response then, and not before, as a late response is better than none.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"))
    checked.arrive(1, "record")
    checked.end_attempt(1, 0, AttemptOutcome.RESET)
    checked.update_endpoints(endpoint_entry("w0", state=EndpointState.GONE))
    checked.pass_time(3_900_000)
    assert 1 not in checked.finished
    checked.pass_time(200_000)
    assert checked.finished[1] == "failed"
