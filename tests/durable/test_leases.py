"""Leases, compared with a model and in single cases."""

from __future__ import annotations

from dataclasses import dataclass

from durable_helpers import SECOND
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from locktide.durable.leases import Lease, LeaseConfig, LeaseTable, ReportResult, WorkerReport

LEASE_CONFIG = LeaseConfig(20 * SECOND, 5 * SECOND)


@dataclass
class ModelLease:
    """The state of one lease in the model."""

    job_id: str
    worker: str
    fence: int
    expires_at: int
    has_started: bool = False
    has_ended: bool = False


class LeaseModel(RuleBasedStateMachine):
    """Compares the lease table with a plain list of leases."""

    def __init__(self) -> None:
        super().__init__()
        self.leases = LeaseTable(LEASE_CONFIG)
        self.now = 0
        self.granted: list[ModelLease] = []

    @rule(job_id=st.sampled_from("ab"), worker=st.sampled_from("xyz"))
    def grant(self, job_id: str, worker: str) -> None:
        """Grant a lease; check that its fencing number is the next one of its job."""
        lease = self.leases.grant(job_id, worker, self.now)
        earlier_fences = [granted.fence for granted in self.granted if granted.job_id == job_id]
        assert lease.fence == max(earlier_fences, default=0) + 1
        self.granted.append(ModelLease(job_id, worker, lease.fence, self.now + 20 * SECOND))

    @rule(duration=st.integers(1, 9 * SECOND))
    def wait(self, duration: int) -> None:
        """Advance the time."""
        self.now += duration

    @rule(
        index=st.integers(0, 30), is_final=st.booleans(), has_started=st.booleans(), names_fence=st.booleans()
    )
    def report(self, index: int, is_final: bool, has_started: bool, names_fence: bool) -> None:
        """Report under any lease; check that only one that has not ended or expired is renewed or ended."""
        if not self.granted:
            return
        chosen = self.granted[index % len(self.granted)]
        leases_of_worker = [
            granted
            for granted in self.granted
            if (granted.job_id, granted.worker) == (chosen.job_id, chosen.worker)
        ]
        lease = chosen if names_fence else leases_of_worker[-1]
        fence = chosen.fence if names_fence else None
        report = WorkerReport(chosen.job_id, chosen.worker, fence, is_final, has_started)
        result = self.leases.apply_report(report, self.now)
        if lease.has_ended or self.now >= lease.expires_at:
            assert result == ReportResult.FENCED
            return
        assert result == (ReportResult.ENDED if is_final else ReportResult.RENEWED)
        if is_final:
            lease.has_ended = True
            return
        lease.has_started |= has_started
        if lease.has_started:
            lease.expires_at = self.now + 5 * SECOND
        else:
            lease.expires_at = max(lease.expires_at, self.now + 20 * SECOND)

    @rule()
    def expire(self) -> None:
        """End the expired leases; check that each of them ends once, and no other lease ends."""
        expired = [(lease.job_id, lease.fence) for lease in self.leases.expire(self.now)]
        expected = [
            granted for granted in self.granted if not granted.has_ended and self.now >= granted.expires_at
        ]
        assert sorted(expired) == sorted((granted.job_id, granted.fence) for granted in expected)
        for granted in expected:
            granted.has_ended = True

    @invariant()
    def no_lease_outlasts_its_time(self) -> None:
        """Check that a lease lasts at most the start timeout from now."""
        for leases in self.leases.leases_by_job.values():
            for lease in leases:
                assert lease.has_ended or lease.expires_at <= self.now + 20 * SECOND


TestLeases = LeaseModel.TestCase
TestLeases.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_silent_worker_holds_a_job_no_longer_than_its_lease() -> None:
    """Guard against a late report that finishes a job after another attempt of the job has begun.

    A worker reports that a job has started, and hangs until its lease has expired. The second lease must have
    a greater fencing number, the late report under the first must be fenced, and the report under the second
    must count.
    """
    leases = LeaseTable(LEASE_CONFIG)
    leases.grant("a", "x", 0)
    started = WorkerReport("a", "x", 1, is_final=False, has_started=True)
    assert leases.apply_report(started, SECOND) == ReportResult.RENEWED
    assert not leases.expire(6 * SECOND - 1)
    assert [lease.fence for lease in leases.expire(6 * SECOND)] == [1] and not leases.expire(7 * SECOND)
    second = leases.grant("a", "x", 7 * SECOND)
    late = WorkerReport("a", "x", 1, is_final=True, has_started=False)  # under the first fence
    assert leases.apply_report(late, 8 * SECOND) == ReportResult.FENCED
    final = WorkerReport("a", "x", 2, is_final=True, has_started=False)
    assert second.fence == 2 and leases.apply_report(final, 8 * SECOND) == ReportResult.ENDED


def test_report_after_a_lease_expired_is_fenced_before_the_next_check() -> None:
    """Guard against a report that counts after its lease has expired, because no check has run since.

    The checks for expired leases run every quarter of a second. Expiry must depend on the clock and not on
    the check: otherwise chance decides whether a report counts, and it could renew a lease that is about to
    end.
    """
    for is_final in (False, True):
        leases = LeaseTable(LEASE_CONFIG)
        leases.grant("a", "x", 0)
        report = WorkerReport("a", "x", 1, is_final=is_final, has_started=False)
        assert leases.apply_report(report, 20 * SECOND) == ReportResult.FENCED
        assert [lease.fence for lease in leases.expire(20 * SECOND)] == [1]


def test_fencing_number_is_above_that_of_an_earlier_process() -> None:
    """Guard against a fencing number that is used again after a restart.

    Ended leases are not taken over, so that the table of the new process does not have them. If a new lease
    had the number of an earlier one, a late report under the earlier lease would count for the new one.
    """
    leases = LeaseTable(LEASE_CONFIG)
    assert leases.grant("a", "x", 0, last_fence=7).fence == 8
    assert leases.grant("a", "y", 0, last_fence=7).fence == 9


def test_lease_of_an_earlier_process_lasts_for_a_heartbeat_at_least() -> None:
    """Guard against the immediate expiry of leases after a downtime longer than a lease.

    The reports that the worker sent during the downtime are lost. The worker must have one heartbeat timeout
    to report again, and a lease that lasts longer must keep its expiry.
    """
    leases = LeaseTable(LEASE_CONFIG)
    leases.take_over(Lease("a", 1, "x", expires_at=20 * SECOND), now=60 * SECOND)
    leases.take_over(Lease("b", 1, "x", expires_at=70 * SECOND), now=60 * SECOND)
    assert not leases.expire(65 * SECOND - 1)
    assert [lease.job_id for lease in leases.expire(65 * SECOND)] == ["a"]
    assert [lease.job_id for lease in leases.expire(70 * SECOND)] == ["b"]
