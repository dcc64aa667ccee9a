"""Each rule is broken on purpose by a scheduler made for it; the checker must find that and nothing else."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from locktide.dispatcher import dispatcher as dispatcher_module
from locktide.dispatcher import endpoint_directory, records
from locktide.dispatcher.registry import RequestRegistry
from locktide.dispatcher.request_timeouts import RequestTimeouts
from locktide.scheduler.commands import FailRequest, RejectRequest, SetTimer, StartAttempt
from locktide.scheduler.config import SchedulerConfig
from locktide.scheduler.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    RequestArrived,
    TimerFired,
)
from locktide.scheduler.types import EndpointState, RequestId
from locktide.simulation import outcome, rendered_config
from locktide.simulation.model import scenario as scenarios
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.run import in_virtual_time

QUIET_SCENARIO = """
name = "broken"
length = 8.0
incident = []
[fleet]
dispatchers = 1
workers = 4
zones = 1
[worker]
error_rate = 0.0
early = 0.0
[clients]
retries = 0.0
impatient = 0.0
load = 0.5
[[fleet.kinds]]
name = "box"
[[grade]]
name = "view"
work = 0.2
soft = 1.0
limit = 4.0
[[grade]]
name = "record"
work = 0.2
soft = 1.0
limit = 4.0
effect = "numbered"
[[grade]]
name = "cash"
work = 0.2
soft = 1.0
limit = 4.0
effect = "at-most-once"
"""


class RoundRobinScheduler:
    """Sends requests to the ready workers in turn; it keeps the rules as long as nothing fails."""

    def __init__(self, seed: int, config: SchedulerConfig) -> None:
        self.workers: dict[str, EndpointEntry] = {}
        self.requests: dict[RequestId, RequestArrived] = {}
        self.turns = 0

    def ready(self) -> list[str]:
        return [name for name, entry in self.workers.items() if entry.state == EndpointState.READY]

    def next(self) -> str:
        self.turns += 1
        ready_workers = self.ready()
        return ready_workers[self.turns % len(ready_workers)]

    def step(self, now: int, events: list[Any]) -> list[Any]:
        commands: list[Any] = []
        for event in events:
            if type(event) is EndpointListUpdate:
                self.workers |= {entry.worker: entry for entry in event.entries}
            elif type(event) is RequestArrived:
                self.requests[event.request_id] = event
                commands += self.arrived(now, event)
            elif type(event) is AttemptEnded and not event.is_final:
                commands += self.ended(now, event)
            elif type(event) is TimerFired:
                commands += self.due(now, event.timer_id)
            else:
                commands += self.other(now, event)
        return commands

    def arrived(self, now: int, event: RequestArrived) -> list[Any]:
        return [StartAttempt(event.request_id, self.next())]

    def ended(self, now: int, event: AttemptEnded) -> list[Any]:
        return [FailRequest(event.request_id)]

    def due(self, now: int, timer_id: int) -> list[Any]:
        return []

    def other(self, now: int, event: Any) -> list[Any]:
        return []


class LosingScheduler(RoundRobinScheduler):
    """Breaks "lost": never answers every fifth request. The test disables the dispatcher's own timeout."""

    def arrived(self, now: int, event: RequestArrived) -> list[Any]:
        self.turns += 1
        return [] if self.turns % 5 == 0 else super().arrived(now, event)


class RetryingScheduler(RoundRobinScheduler):
    """Breaks "doubled": starts another attempt after an error, for every service class."""

    def ended(self, now: int, event: AttemptEnded) -> list[Any]:
        return [StartAttempt(event.request_id, self.next())]


class RejectingScheduler(RoundRobinScheduler):
    def ended(self, now: int, event: AttemptEnded) -> list[Any]:
        return [RejectRequest(event.request_id, 0)]


class HedgingScheduler(RoundRobinScheduler):
    """Breaks "copies": starts two attempts at once of requests that may be executed again."""

    def arrived(self, now: int, event: RequestArrived) -> list[Any]:
        first = super().arrived(now, event)
        return first + super().arrived(now, event) if event.service_class == "view" else first


class DrainIgnoringScheduler(RoundRobinScheduler):
    """Breaks "drain": sends to workers that have left; the test disables the dispatcher's own check."""

    def ready(self) -> list[str]:
        return list(self.workers)


class OverloadingScheduler(RoundRobinScheduler):
    """Breaks "pushed": sends all requests to the worker that started last."""

    def next(self) -> str:
        return max(self.ready(), key=lambda name: self.workers[name].started_at)


class LateSendingScheduler(RoundRobinScheduler):
    """Breaks "after": starts an attempt 0.3 s after the response."""

    def arrived(self, now: int, event: RequestArrived) -> list[Any]:
        self.turns += 1
        timer_id = len(self.requests)
        self.marks = getattr(self, "marks", {}) | {timer_id: event.request_id}
        return [RejectRequest(event.request_id, 0), SetTimer(300_000, timer_id)]

    def due(self, now: int, timer_id: int) -> list[Any]:
        return [StartAttempt(self.marks[timer_id], self.next())]


def run_with(
    monkeypatch: pytest.MonkeyPatch, scheduler_type: type[RoundRobinScheduler] | None, extra: str = ""
) -> dict[str, Any]:
    if scheduler_type is not None:
        monkeypatch.setattr(dispatcher_module, "Scheduler", scheduler_type)
    scenario = scenarios.parse(
        extra + QUIET_SCENARIO if not extra.startswith("[[") else QUIET_SCENARIO + extra
    )
    return in_virtual_time(scenario).outcome


def broken_rules(result: dict[str, Any]) -> set[str]:
    return {rule for rule, count in result["rules"].items() if count}


def test_round_robin_scheduler_violates_no_rule_without_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    result = run_with(monkeypatch, RoundRobinScheduler)
    assert not broken_rules(result) and result["service"] > 0.5 and result["jobs"] > 100


# A worker that drains for a long time, as it is slow to finish its jobs.
SLOW_DRAIN = """
[[incident]]
at = 0.5
for = 20.0
what = "slow"
whom = "w1"
factor = 40.0
[[incident]]
at = 1.0
for = 20.0
what = "drain"
whom = "w1"
"""


def with_errors(text: str) -> str:
    return text.replace("error_rate = 0.0", "error_rate = 0.3")


@pytest.mark.parametrize(
    ("scheduler_type", "change", "fault", "rules"),
    [
        (LosingScheduler, None, "", {"lost"}),
        (RetryingScheduler, with_errors, "", {"doubled"}),
        (RejectingScheduler, with_errors, "", {"doubled"}),
        (HedgingScheduler, None, "", {"copies"}),
        (DrainIgnoringScheduler, None, SLOW_DRAIN, {"drain"}),
        (
            OverloadingScheduler,
            None,
            '[[incident]]\nat = 1.0\nfor = 1.0\nwhat = "kill"\nwhom = "w1"\nspread = 0.0\n',
            {"pushed"},
        ),
        (RoundRobinScheduler, None, "", set()),
    ],
)
def test_the_checker_catches_the_rule_that_is_broken_and_no_other(
    monkeypatch: pytest.MonkeyPatch,
    scheduler_type: type[RoundRobinScheduler],
    change: Callable[[str], str] | None,
    fault: str,
    rules: set[str],
) -> None:
    monkeypatch.setattr(dispatcher_module, "Scheduler", scheduler_type)
    if scheduler_type is LosingScheduler:
        monkeypatch.setattr(RequestTimeouts, "fail_overdue", lambda self, request: None)
    if scheduler_type is DrainIgnoringScheduler:
        monkeypatch.setattr(
            endpoint_directory.EndpointDirectory, "accepts_requests", lambda self, worker: True
        )
    text = (change or str)(QUIET_SCENARIO) + fault
    text = text.replace("incident = []\n", "" if fault else "incident = []\n")
    fast_settings = "[roster]\nnotice = 0.2\nadd = 0.2\n[worker]\ncold_from = 0.1\nqueue = 99"
    text = text.replace("[worker]", fast_settings)
    result = in_virtual_time(scenarios.parse(text)).outcome
    assert broken_rules(result) == rules, result["broken"][:5]


def test_an_attempt_after_the_response_is_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dispatcher itself rejects such a command; with that check disabled the checker must find it."""
    release_settled = RequestRegistry.release_settled

    def release_answered(self: Any, open_request: Any) -> None:
        if open_request.attempts:
            release_settled(self, open_request)

    monkeypatch.setattr(RequestRegistry, "release_settled", release_answered)
    monkeypatch.setattr(
        records.OpenRequest,
        "is_open",
        property(lambda self: not self.attempts or not all(attempt.outcome for attempt in self.attempts)),
    )
    respond = RequestRegistry.respond

    def respond_once(self: Any, submission: str, response: Any) -> None:
        open_request = self.open_requests.get(submission)
        if open_request is not None and not open_request.response.done():
            respond(self, submission, response)

    monkeypatch.setattr(RequestRegistry, "respond", respond_once)
    assert "after" in broken_rules(run_with(monkeypatch, LateSendingScheduler))


def test_a_late_response_and_a_forged_one_are_violations(monkeypatch: pytest.MonkeyPatch) -> None:
    respond = RequestRegistry.respond

    def respond_late(self: Any, submission: str, response: Any) -> None:
        open_request = self.open_requests[submission]
        loop, deadline = asyncio.get_running_loop(), open_request.timer.when()
        loop.call_at(deadline + 0.3, respond, self, submission, response)

    monkeypatch.setattr(RequestRegistry, "respond", respond_late)
    monkeypatch.setattr(RequestTimeouts, "time_out", lambda self, open_request: None)
    result = run_with(monkeypatch, RoundRobinScheduler)
    assert broken_rules(result) == {"late"} and set(result["answers"]) == {"late"}

    def respond_forged(self: Any, submission: str, response: Any) -> None:
        response.body = b"made up"
        respond(self, submission, response)

    monkeypatch.setattr(RequestRegistry, "respond", respond_forged)
    assert broken_rules(run_with(monkeypatch, RoundRobinScheduler)) == {"forged"}


def test_requests_of_a_killed_dispatcher_are_retried_by_clients_and_are_no_violation() -> None:
    text = QUIET_SCENARIO.replace("incident = []\n", "").replace("retries = 0.0", "retries = 2.0")
    text += '[[incident]]\nat = 3.0\nfor = 1.0\nwhat = "kill-dispatcher"\nwhom = "d0"\n'
    result = in_virtual_time(scenarios.parse(text)).outcome
    assert not broken_rules(result) and result["answers"]["broken off"] > 0
    assert result["answers"]["no dispatcher"] > 0  # until the load balancer has noticed the crash


@pytest.mark.parametrize("point", ["before-202", "after-202", "before-started", "before-done"])
def test_a_worker_killed_at_any_crash_point_causes_no_violation(point: str) -> None:
    text = QUIET_SCENARIO.replace("incident = []\n", "")
    for number in range(4):
        text += f'[[incident]]\nat = {1 + number}.0\nfor = 1.0\nwhat = "trap"\nwhom = "w{number}"\n'
        text += f'point = "{point}"\n'
    result = in_virtual_time(scenarios.parse(text)).outcome
    assert not broken_rules(result) and result["service"] > 0.5
    assert any(sample["up"] < 4 for sample in result["over_time"])  # it did crash


def test_callbacks_before_the_202_and_twice_change_nothing() -> None:
    text = QUIET_SCENARIO.replace("early = 0.0", "early = 1.0\ntwice = 1.0")
    result = in_virtual_time(scenarios.parse(text)).outcome
    assert not broken_rules(result) and set(result["answers"]) <= {"done", "denied"}
    assert result["service"] > 0.9


def test_the_settings_given_to_dispatchers_are_those_of_the_scenario() -> None:
    settings = rendered_config.settings(
        Scenario(dispatcher=scenarios.DispatcherSpec(settings={"Rules": {"Cold": 1.0}}))
    )
    assert settings["Rules"]["Cold"] == 1.0 and settings["Rules"]["OverloadFactor"] == 4.0
    assert [grade["Semantics"] for grade in settings["ServiceGrades"]] == ["free", "guarded", "guarded"]


def test_service_of_windows_and_of_the_worst_ten_seconds() -> None:
    result = in_virtual_time(scenarios.parse(QUIET_SCENARIO)).outcome
    assert len(result["windows_5s"]) == 2 and outcome.worst_window_service([], 8.0) is None
    assert result["worst_10s"] == result["service"]  # a shorter run is one window
