"""Leases against a model."""

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
    """What the model knows of one lease."""

    job_id: str
    worker: str
    fence: int
    expires_at: int
    has_started: bool = False
    has_ended: bool = False


class LeaseModel(RuleBasedStateMachine):
    """The lease table against a plain list of what was granted and reported."""

    def __init__(self) -> None:
        super().__init__()
        self.leases = LeaseTable(LEASE_CONFIG)
        self.now = 0
        self.granted: list[ModelLease] = []

    @rule(job_id=st.sampled_from("ab"), worker=st.sampled_from("xyz"))
    def grant(self, job_id: str, worker: str) -> None:
        """Grant a lease: its fencing number is the next of its job."""
        lease = self.leases.grant(job_id, worker, self.now)
        earlier_fences = [granted.fence for granted in self.granted if granted.job_id == job_id]
        assert lease.fence == max(earlier_fences, default=0) + 1
        self.granted.append(ModelLease(job_id, worker, lease.fence, self.now + 20 * SECOND))

    @rule(span=st.integers(1, 9 * SECOND))
    def wait(self, span: int) -> None:
        """Let time go by."""
        self.now += span

    @rule(
        index=st.integers(0, 30), is_final=st.booleans(), has_started=st.booleans(), names_fence=st.booleans()
    )
    def report(self, index: int, is_final: bool, has_started: bool, names_fence: bool) -> None:
        """Report under any lease, also one that has ended: only one in force is renewed or ended."""
        if not self.granted:
            return
        chosen = self.granted[index % len(self.granted)]
        of_same_worker = [
            granted
            for granted in self.granted
            if (granted.job_id, granted.worker) == (chosen.job_id, chosen.worker)
        ]
        lease = chosen if names_fence else of_same_worker[-1]
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
        """End the leases that have run out: those and no others, each once."""
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
    """A worker reports that a job has started, hangs, and reports its end after another worker has got the
    job.

    Were its report to count, the job would be finished with a result that the second worker may contradict.
    Its lease must end by its time, the second lease must have a greater fencing number, and the late report
    must be fenced while that of the second worker counts.
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


def test_report_after_the_end_of_a_lease_is_fenced_before_anybody_has_noticed() -> None:
    """A worker reports in the quarter of a second between the end of its lease and the next check for ended
    leases.

    The end must come by the clock and not by the check: else the report would count or not by chance, and
    renew a lease that the scheduler is about to give up.
    """
    for is_final in (False, True):
        leases = LeaseTable(LEASE_CONFIG)
        leases.grant("a", "x", 0)
        report = WorkerReport("a", "x", 1, is_final=is_final, has_started=False)
        assert leases.apply_report(report, 20 * SECOND) == ReportResult.FENCED
        assert [lease.fence for lease in leases.expire(20 * SECOND)] == [1]


def test_fencing_number_is_above_that_of_an_earlier_process() -> None:
    """A dispatcher is restarted, and sends a job again whose lease of the earlier process had ended.

    Ended leases are not taken over, so the table of the new process does not know them. With the same
    number as an earlier lease, a late report under that one would be taken for one under the new lease.
    """
    leases = LeaseTable(LEASE_CONFIG)
    assert leases.grant("a", "x", 0, last_fence=7).fence == 8
    assert leases.grant("a", "y", 0, last_fence=7).fence == 9


def test_lease_of_an_earlier_process_lasts_for_a_heartbeat_at_least() -> None:
    """A dispatcher was down for longer than the lease of a worker that has gone on with its job.

    What the worker reported meanwhile is lost, so it looks silent. It must get the time of one heartbeat to
    report, and a lease that lasts longer must keep its time.
    """
    leases = LeaseTable(LEASE_CONFIG)
    leases.take_over(Lease("a", 1, "x", expires_at=20 * SECOND), now=60 * SECOND)
    leases.take_over(Lease("b", 1, "x", expires_at=70 * SECOND), now=60 * SECOND)
    assert not leases.expire(65 * SECOND - 1)
    assert [lease.job_id for lease in leases.expire(65 * SECOND)] == ["a"]
    assert [lease.job_id for lease in leases.expire(70 * SECOND)] == ["b"]
