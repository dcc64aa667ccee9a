"""What came of a rehearsal, as one table of plain values: the same for the same stage, whoever draws or
prints it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from locktide.simulation.cluster_report import breaches
from locktide.simulation.model import traffic
from locktide.simulation.model.checker import RULE_MEANINGS
from locktide.simulation.model.traffic import ClientRequest
from locktide.simulation.scenario_runner import ScenarioRunner

FORMAT = 1
WINDOW_S = 5  # of the shape; the platform's bench prints its incidents in such windows
WORST_S = 10
PERCENTILES = (50, 90, 99, 100)


def share(part: float, whole: float) -> float | None:
    return round(part / whole, 6) if whole else None


def on_time(requests: Iterable[ClientRequest]) -> float:
    return sum(
        request.revenue
        for request in requests
        if request.answered_at and request.answered_at - request.at <= request.soft_limit
    )


def service(requests: Iterable[ClientRequest]) -> float | None:
    """Revenue answered within the soft limit over revenue asked for."""
    requests = list(requests)
    return share(on_time(requests), sum(request.revenue for request in requests))


def asked(stage: ScenarioRunner) -> list[ClientRequest]:
    """What was asked for by clients that stayed: who goes away by himself cannot be served."""
    return [
        request
        for request in stage.asks
        if request.tries and request.tries[-1].ended not in ("", traffic.CLOSED)
    ]


def worst(requests: list[ClientRequest], length: float) -> float | None:
    """Service of the worst ten seconds, by when it was asked for."""
    found = []
    for begin in range(max(1, int(length) - WORST_S + 1)):
        window = [request for request in requests if begin <= request.at / 1e6 < begin + WORST_S]
        value = service(window)
        if value is not None:
            found.append(value)
    return min(found, default=None)


def windows(requests: list[ClientRequest], length: float, span: int = WINDOW_S) -> list[float | None]:
    return [
        service(request for request in requests if begin <= request.at / 1e6 < begin + span)
        for begin in range(0, max(1, int(length)), span)
    ]


def waits(stage: ScenarioRunner) -> dict[str, dict[str, float]]:
    """Seconds from the first try to the answer, of what was done."""
    return {
        grade: {
            **{f"p{part}": round(histogram.get_value_at_percentile(part) / 1e6, 4) for part in PERCENTILES},
            "done": histogram.get_total_count(),
        }
        for grade, histogram in stage.wait_by.items()
    }


def of(stage: ScenarioRunner, host: str, complete: bool = True) -> dict[str, Any]:
    """All figures are of an emulated fleet."""
    scenario, requests = stage.script, asked(stage)
    ends = Counter(submission.ended or "open" for submission in stage.tries.values())
    by_grade = {
        grade.name: [request for request in requests if request.grade is grade] for grade in scenario.grade
    }
    checker = stage.checker
    return {
        "format": FORMAT,
        "emulated": True,
        "name": scenario.name,
        "seed": scenario.seed,
        "host": host,
        "complete": complete,
        "length_s": scenario.length,
        "fleet": {"dispatchers": scenario.fleet.dispatchers, "workers": scenario.fleet.workers},
        "service": service(requests),
        "service_with_late": share(
            sum(request.earned() for request in requests), sum(request.revenue for request in requests)
        ),
        "worst_10s": worst(requests, scenario.length),
        "by_grade": {name: service(some) for name, some in by_grade.items()},
        "windows_5s": windows(requests, scenario.length),
        "jobs": len(requests),
        "submissions": len(stage.tries),
        "answers": dict(sorted(ends.items())),
        "waits_s": waits(stage),
        "rules": dict(checker.counts),
        "broken": [
            {
                "at_s": round(one.at / 1e6, 3),
                "rule": one.rule,
                "meaning": RULE_MEANINGS[one.rule],
                "what": one.what,
            }
            for one in checker.violations
        ],
        "durable": {"kills": stage.kills, "points": stage.sprung, **stage.records}
        if stage.kept_grades
        else None,
        "fell_over": checker.other_counts["fell over"],
        "crashed": stage.crashed,
        "doubled_records": checker.other_counts["doubled records"],
        "incidents": [
            {
                "at_s": incident.at,
                "for_s": incident.length,
                "what": incident.what,
                "whom": [f"{'d' if 'dispatcher' in incident.what else 'w'}{one}" for one in numbers],
            }
            for incident, numbers in stage.timeline.chosen
        ],
        "over_time": [
            {
                "at_s": round(one.at / 1e6, 2),
                "outstanding": one.outstanding,
                "queued": one.queued,
                "running": one.running,
                "up": one.up,
                "cold": one.cold,
                "slowed": one.slowed,
                "dispatchers": one.dispatchers,
            }
            for one in stage.samples
        ],
    }


def broken(told: dict[str, Any]) -> int:
    return int(sum(told["rules"].values())) + breaches(told.get("accord"))
