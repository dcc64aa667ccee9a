"""The outcome of a run as a table of plain values, from which all reports are made."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from locktide.simulation.cluster_report import count_cluster_violations
from locktide.simulation.model import traffic
from locktide.simulation.model.checker import RULE_MEANINGS
from locktide.simulation.model.traffic import ClientRequest
from locktide.simulation.scenario_runner import ScenarioRunner

FORMAT = 1
WINDOW_S = 5  # seconds; the platform's bench prints its incidents in windows of this length too
WORST_S = 10
PERCENTILES = (50, 90, 99, 100)


def ratio(part: float, whole: float) -> float | None:
    return round(part / whole, 6) if whole else None


def revenue_on_time(requests: Iterable[ClientRequest]) -> float:
    return sum(
        request.revenue
        for request in requests
        if request.answered_at and request.answered_at - request.at <= request.soft_limit
    )


def service(requests: Iterable[ClientRequest]) -> float | None:
    """Return the fraction of the revenue earned within the latency objectives; None without requests."""
    requests = list(requests)
    return ratio(revenue_on_time(requests), sum(request.revenue for request in requests))


def counted_requests(runner: ScenarioRunner) -> list[ClientRequest]:
    """Return the requests that count: not those whose clients disconnected, as these cannot be served."""
    return [
        request
        for request in runner.requests
        if request.tries and request.tries[-1].ended not in ("", traffic.CLOSED)
    ]


def worst_window_service(requests: list[ClientRequest], length: float) -> float | None:
    """Return the lowest `service` of any ten seconds; a request counts at its first submission."""
    found = []
    for begin in range(max(1, int(length) - WORST_S + 1)):
        window = [request for request in requests if begin <= request.at / 1e6 < begin + WORST_S]
        value = service(window)
        if value is not None:
            found.append(value)
    return min(found, default=None)


def service_by_window(
    requests: list[ClientRequest], length: float, span: int = WINDOW_S
) -> list[float | None]:
    return [
        service(request for request in requests if begin <= request.at / 1e6 < begin + span)
        for begin in range(0, max(1, int(length)), span)
    ]


def response_times(runner: ScenarioRunner) -> dict[str, dict[str, float]]:
    """Return the seconds from first submission to response by service class, for successful requests."""
    return {
        grade: {
            **{f"p{part}": round(histogram.get_value_at_percentile(part) / 1e6, 4) for part in PERCENTILES},
            "done": histogram.get_total_count(),
        }
        for grade, histogram in runner.response_times.items()
    }


def summarize(runner: ScenarioRunner, host: str, complete: bool = True) -> dict[str, Any]:
    """Return the outcome of a run; all figures are of an emulated fleet."""
    scenario, requests = runner.scenario, counted_requests(runner)
    endings = Counter(submission.ended or "open" for submission in runner.submissions.values())
    by_grade = {
        grade.name: [request for request in requests if request.grade is grade] for grade in scenario.grade
    }
    checker = runner.checker
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
        "service_with_late": ratio(
            sum(request.earned() for request in requests), sum(request.revenue for request in requests)
        ),
        "worst_10s": worst_window_service(requests, scenario.length),
        "by_grade": {name: service(class_requests) for name, class_requests in by_grade.items()},
        "windows_5s": service_by_window(requests, scenario.length),
        "jobs": len(requests),
        "submissions": len(runner.submissions),
        "answers": dict(sorted(endings.items())),
        "waits_s": response_times(runner),
        "rules": dict(checker.counts),
        "broken": [
            {
                "at_s": round(entry.at / 1e6, 3),
                "rule": entry.rule,
                "meaning": RULE_MEANINGS[entry.rule],
                "what": entry.what,
            }
            for entry in checker.violations
        ],
        "durable": {
            "kills": runner.dispatcher_kills,
            "points": runner.triggered_traps,
            **runner.durable_counts,
        }
        if runner.durable_classes
        else None,
        "fell_over": checker.other_counts["fell over"],
        "crashed": runner.crashed,
        "doubled_records": checker.other_counts["doubled records"],
        "incidents": [
            {
                "at_s": incident.at,
                "for_s": incident.length,
                "what": incident.what,
                "whom": [f"{'d' if 'dispatcher' in incident.what else 'w'}{entry}" for entry in numbers],
            }
            for incident, numbers in runner.timeline.targets
        ],
        "over_time": [
            {
                "at_s": round(entry.at / 1e6, 2),
                "outstanding": entry.outstanding,
                "queued": entry.queued,
                "running": entry.running,
                "up": entry.up,
                "cold": entry.cold,
                "slowed": entry.slowed,
                "dispatchers": entry.dispatchers,
            }
            for entry in runner.samples
        ],
    }


def count_violations(outcome: dict[str, Any]) -> int:
    return int(sum(outcome["rules"].values())) + count_cluster_violations(outcome.get("accord"))
