"""Evaluates the traces of the quota shares of all dispatchers of a run, and counts violations."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from locktide.simulation.cluster.quota_checker import QuotaChecker
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.model.traffic import ClientRequest

SECOND = 1_000_000
RECLAIM_TIMEOUT = SECOND  # microseconds within which all loans of a returning owner must end
QUIET = 2.0  # seconds without traffic after which all fairness ledgers should be equal
MIN_ABSENCE = 3 * SECOND  # microseconds without requests after which an owner counts as absent


@dataclass(frozen=True)
class QuotaTrace:
    """The trace of one dispatcher process, and when that ended by the clock of the trace; 0 if it did not."""

    number: int
    lines: list[str]
    ended_at: int


def figures(
    scenario: Scenario,
    traces: Iterable[QuotaTrace],
    requests: list[ClientRequest],
    begun: int,
    digests: list[str],
) -> dict[str, Any]:
    """Return the section of the report on the cluster.

    `begun` is when the time of the run began, in microseconds of the traces' clock; `digests` are those of
    the fairness ledgers of all live dispatchers, after QUIET.
    """
    quota_checker = QuotaChecker({tenant.name: (0.0, 0.0) for tenant in scenario.tenant})
    changes = 0
    for index, trace in enumerate(traces):
        for line in trace.lines:
            report, changes = json.loads(line), changes + 1
            loans = {(owner, borrower): part for owner, borrower, part in report["loans"]}
            quota_checker.record_quotas(
                (trace.number, index),
                report["at"],
                report["parts"],
                report["until"],
                report["floor"],
                loans,
                report["loans_until"],
            )
        if trace.ended_at:
            quota_checker.record_end((trace.number, index), trace.ended_at)
    for at, tenant in sorted(
        (submission.sent_at, request.tenant) for request in requests for submission in request.tries
    ):
        if tenant:
            quota_checker.record_submission(tenant, begun + at)
    overruns, reclaims = quota_checker.overruns(), quota_checker.reclaims(MIN_ABSENCE)
    late = [entry for entry in reclaims if entry.loans_over_after > RECLAIM_TIMEOUT]
    spans = sorted(entry.loans_over_after for entry in reclaims)
    served: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for request in requests:
        asked[request.tenant] += 1
        served[request.tenant] += bool(request.answered_at)
    return {
        "changes": changes,
        "overruns": len(overruns),
        "first": [
            f"{(entry.at - begun) / SECOND:.3f} s {entry.quota}: {entry.description}"
            for entry in overruns[:3]
        ],
        "reclaims": len(reclaims),
        "late_reclaims": len(late),
        "reclaim_s": {
            "p50": spans[len(spans) // 2] / SECOND if spans else None,
            "worst": spans[-1] / SECOND if spans else None,
        },
        "loans": sum(1 for _ in quota_checker.loan_periods()),
        "ledgers_at_the_end": len(set(digests)),
        "tenants": {
            tenant.name: {
                "asked": asked[tenant.name],
                "done": round(served[tenant.name] / asked[tenant.name], 4) if asked[tenant.name] else None,
            }
            for tenant in scenario.tenant
        },
    }


def count_cluster_violations(report: dict[str, Any] | None) -> int:
    if not report:
        return 0
    return int(report["overruns"] + report["late_reclaims"] + (report["ledgers_at_the_end"] > 1))
