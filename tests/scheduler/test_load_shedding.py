"""Load shedding: when a request is given up, what its client is advised, and what is logged."""

from __future__ import annotations

import pytest
from helpers import CheckedScheduler, endpoint_entry, scheduler_config

from locktide.scheduler.commands import FailRequest, RejectRequest, WriteLog
from locktide.scheduler.events import AttemptEnded, RecoveredAttempt, RequestArrived, RequestRecovered
from locktide.scheduler.log_events import RequestRejected
from locktide.scheduler.scheduler import Scheduler
from locktide.scheduler.types import AttemptOutcome, EndpointState

SECOND = 1_000_000  # microseconds


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


@pytest.mark.parametrize("service_class", ["record", "zoned", "close"])
@pytest.mark.parametrize("reset_after", [0.2, 3.7, 4.1, 5.9])
def test_a_keyed_request_that_may_have_run_is_never_rejected(service_class: str, reset_after: float) -> None:
    """A worker took a job and said nothing; at the deadline of the request all workers had forgotten its key.

    The request was rejected, as any worker of the fleet had dropped repeats before. The client sent it again,
    as a rejection allows, and the job ran twice. No rejection may promise what holds only for a while,
    wherever its first attempt went and whenever it ended.
    """
    checked = CheckedScheduler()
    checked.update_endpoints(endpoint_entry("w0"))
    checked.arrive(1, service_class)
    checked.pass_time(round(reset_after * SECOND))
    if checked.attempts[1][0]["outcome"] is None:
        checked.end_attempt(1, 0, AttemptOutcome.RESET)
    checked.update_endpoints(endpoint_entry("w0", state=EndpointState.GONE))
    checked.pass_time(6 * SECOND)
    assert checked.finished[1] == "failed"


def test_a_retry_of_a_client_that_waits_at_another_dispatcher_runs_no_job_twice() -> None:
    """A request was rejected while its deduplication window lasted, and the client's retry came within it.

    The retry waited in the pool of another dispatcher, which knew nothing of the first attempt, until the
    window was over, and the job ran again. So a rejection is no more harmless within the window.
    """
    first, second = CheckedScheduler(seed=1), CheckedScheduler(seed=2)
    first.update_endpoints(*[endpoint_entry(f"w{number}") for number in range(3)])
    sent_at = first.now
    first.arrive(1, "close")
    window_end = sent_at + first.service_classes["close"].deduplication_window
    for number in range(first.max_attempts):
        first.pass_time(SECOND + SECOND // 5)
        first.end_attempt(1, number, AttemptOutcome.RESET)
    assert first.now < window_end and first.finished[1] in ("rejected", "failed")
    advice = [command.retry_after for command in rejections(first)]
    if advice:
        second.now = first.now + advice[0]
        second.arrive(1, "close")
        second.pass_time(SECOND // 20)
        second.update_endpoints(endpoint_entry("w0"))
        second.pass_time(SECOND)
        assert all(attempt["at"] < window_end for attempt in second.attempts[1]), "the job runs twice"


@pytest.mark.parametrize("outcome", [None, AttemptOutcome.RESET])
def test_a_recovered_request_that_may_have_run_is_never_rejected(outcome: AttemptOutcome | None) -> None:
    """A durable job whose attempt an earlier process made ends like any other: failed, not rejected."""
    scheduler = Scheduler(1, scheduler_config(3, 3, False, 0.4))
    now = 10 * SECOND
    arrival = RequestArrived(1, "close", now + SECOND, background=True)
    attempt = RecoveredAttempt("w0", "z", 0, now - 5 * SECOND, outcome)
    commands = scheduler.step(now, [RequestRecovered(arrival, now - 5 * SECOND, [attempt])])
    if outcome is None:
        timed_out = AttemptEnded(1, 0, AttemptOutcome.TIMED_OUT, False)
        commands += scheduler.step(now + SECOND, [timed_out])
    assert [command for command in commands if isinstance(command, RejectRequest | FailRequest)] == [
        FailRequest(1)
    ]
