"""What a rehearsal's dispatchers agreed upon, out of their traces, and whether it kept its promises."""

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
RECLAIM = SECOND  # within which all that a returning owner had lent is over
QUIET = 2.0  # seconds without traffic after which all ledgers should be equal
AWAY = 3 * SECOND  # without a submission for so long an owner has been away


@dataclass(frozen=True)
class QuotaTrace:
    """One process of a dispatcher: what it traced, and when it was killed, by the trace's clock; 0 if not."""

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
    """`begun` is when the rehearsal's time began, in microseconds of the traces' clock; `digests` are those
    of the ledgers of all that live, after QUIET.
    """
    meter = QuotaChecker({tenant.name: (0.0, 0.0) for tenant in scenario.tenant})
    changes = 0
    for place, trace in enumerate(traces):
        for line in trace.lines:
            told, changes = json.loads(line), changes + 1
            loans = {(owner, borrower): part for owner, borrower, part in told["loans"]}
            meter.in_force(
                (trace.number, place),
                told["at"],
                told["parts"],
                told["until"],
                told["floor"],
                loans,
                told["loans_until"],
            )
        if trace.ended_at:
            meter.end((trace.number, place), trace.ended_at)
    for at, tenant in sorted(
        (submission.sent_at, request.tenant) for request in requests for submission in request.tries
    ):
        if tenant:
            meter.ask(tenant, begun + at)
    overruns, reclaims = meter.overruns(), meter.reclaims(AWAY)
    late = [one for one in reclaims if one.loans_over > RECLAIM]
    spans = sorted(one.loans_over for one in reclaims)
    served: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for request in requests:
        asked[request.tenant] += 1
        served[request.tenant] += bool(request.answered_at)
    return {
        "changes": changes,
        "overruns": len(overruns),
        "first": [f"{(one.at - begun) / SECOND:.3f} s {one.budget}: {one.what}" for one in overruns[:3]],
        "reclaims": len(reclaims),
        "late_reclaims": len(late),
        "reclaim_s": {
            "p50": spans[len(spans) // 2] / SECOND if spans else None,
            "worst": spans[-1] / SECOND if spans else None,
        },
        "loans": sum(1 for _ in meter.lent()),
        "ledgers_at_the_end": len(set(digests)),
        "tenants": {
            tenant.name: {
                "asked": asked[tenant.name],
                "done": round(served[tenant.name] / asked[tenant.name], 4) if asked[tenant.name] else None,
            }
            for tenant in scenario.tenant
        },
    }


def breaches(told: dict[str, Any] | None) -> int:
    if not told:
        return 0
    return int(told["overruns"] + told["late_reclaims"] + (told["ledgers_at_the_end"] > 1))
