"""Log events and trace lines of a cluster member."""

from __future__ import annotations

import io
import json

import pytest

from locktide.cluster.member import ClusterMember
from locktide.cluster.membership.events import MembershipEvent, MembershipEventKind
from locktide.cluster.messages import MemberRecord, MemberState
from locktide.cluster.reporting import Reporter
from locktide.simulation.cluster.virtual_cluster import VirtualCluster

RECORD = MemberRecord("d1", 7, 0, MemberState.SUSPECT, ("10.0.0.1", 9001))


class RecordingLog:
    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def emit(self, line: str, kind: str = "", event: str = "", **fields: object) -> None:
        assert line.startswith("cluster: ")
        assert kind == "cluster"
        self.events.append((event, fields))


def new_member() -> ClusterMember:
    member: ClusterMember = VirtualCluster(1, ["d0"]).start("d0").member
    return member


@pytest.mark.parametrize(
    ("kind", "event"),
    [
        (MembershipEventKind.ALIVE, "member_alive"),
        (MembershipEventKind.SUSPECT, "member_suspect"),
        (MembershipEventKind.DEAD, "member_dead"),
        (MembershipEventKind.LEFT, "member_left"),
        (MembershipEventKind.SUPERSEDED, "member_superseded"),
    ],
)
def test_each_membership_event_is_logged_with_the_record(kind: MembershipEventKind, event: str) -> None:
    log = RecordingLog()
    Reporter(new_member(), log, None).report_event(MembershipEvent(kind, RECORD))
    assert log.events == [(event, {"member": "d1", "generation": 7, "address": "10.0.0.1:9001"})]


def test_loans_and_fairness_are_logged_only_when_they_change() -> None:
    member, log = new_member(), RecordingLog()
    reporter = Reporter(member, log, None)
    reporter.report_quotas(5)
    member.local_quota.loans = {("dairy", "cold"): 10_000}
    member.tenants_over_share = frozenset({"dairy"})
    reporter.report_quotas(6)
    reporter.report_quotas(7)
    assert [event for event, _ in log.events] == [
        "quotas_changed",
        "quotas_changed",
        "loans_changed",
        "fairness_changed",
        "quotas_changed",
    ]
    assert log.events[2:4] == [
        ("loans_changed", {"loans": [("dairy", "cold")]}),
        ("fairness_changed", {"tenants_over_share": ["dairy"]}),
    ]


def test_the_trace_has_a_line_of_json_for_each_report() -> None:
    member, trace = new_member(), io.StringIO()
    Reporter(member, RecordingLog(), trace).report_quotas(5)
    entry = json.loads(trace.getvalue())
    assert list(entry) == ["at", "parts", "until", "floor", "loans", "loans_until"]
    assert (entry["at"], entry["parts"]) == (5, member.local_quota.shares)
