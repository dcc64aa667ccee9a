"""Each rule is broken on purpose, by decisions made for it; the checker must see that, and nothing else."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from locktide.dispatcher import dispatcher as node_module
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
from locktide.simulation import outcome
from locktide.simulation import rendered_config as told_module
from locktide.simulation.model import scenario as script
from locktide.simulation.model.scenario import Scenario
from locktide.simulation.run import in_virtual_time

QUIET = """
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


class Plain:
    """Sends each submission to the ready workers in turn, and keeps the rules where nothing goes wrong."""

    def __init__(self, seed: int, config: SchedulerConfig) -> None:
        self.workers: dict[str, EndpointEntry] = {}
        self.kept: dict[RequestId, RequestArrived] = {}
        self.turns = 0

    def ready(self) -> list[str]:
        return [name for name, entry in self.workers.items() if entry.state == EndpointState.READY]

    def next(self) -> str:
        self.turns += 1
        able = self.ready()
        return able[self.turns % len(able)]

    def step(self, now: int, news: list[Any]) -> list[Any]:
        orders: list[Any] = []
        for piece in news:
            if type(piece) is EndpointListUpdate:
                self.workers |= {entry.worker: entry for entry in piece.entries}
            elif type(piece) is RequestArrived:
                self.kept[piece.request_id] = piece
                orders += self.arrived(now, piece)
            elif type(piece) is AttemptEnded and not piece.final:
                orders += self.ended(now, piece)
            elif type(piece) is TimerFired:
                orders += self.due(now, piece.timer_id)
            else:
                orders += self.other(now, piece)
        return orders

    def arrived(self, now: int, piece: RequestArrived) -> list[Any]:
        return [StartAttempt(piece.request_id, self.next())]

    def ended(self, now: int, piece: AttemptEnded) -> list[Any]:
        return [FailRequest(piece.request_id)]

    def due(self, now: int, mark: int) -> list[Any]:
        return []

    def other(self, now: int, piece: Any) -> list[Any]:
        return []


class Silent(Plain):
    """Lost: holds every fifth for good. The node's own guard against that is taken away in the test."""

    def arrived(self, now: int, piece: RequestArrived) -> list[Any]:
        self.turns += 1
        return [] if self.turns % 5 == 0 else super().arrived(now, piece)


class Twice(Plain):
    """Doubled: dispatches again after an error, whatever the grade."""

    def ended(self, now: int, piece: AttemptEnded) -> list[Any]:
        return [StartAttempt(piece.request_id, self.next())]


class DeniesWhatRan(Plain):
    def ended(self, now: int, piece: AttemptEnded) -> list[Any]:
        return [RejectRequest(piece.request_id, 0)]


class Copies(Plain):
    """Two dispatches at once, of what may be repeated."""

    def arrived(self, now: int, piece: RequestArrived) -> list[Any]:
        first = super().arrived(now, piece)
        return first + super().arrived(now, piece) if piece.service_class == "view" else first


class Deaf(Plain):
    """Drains: goes on sending to whom it was told has left; the node's own guard is taken away too."""

    def ready(self) -> list[str]:
        return list(self.workers)


class Pushes(Plain):
    """Pushed: gives all it has to the worker that started last."""

    def next(self) -> str:
        return max(self.ready(), key=lambda name: self.workers[name].started_at)


class AfterAll(Plain):
    """After: sends once more a second after the answer."""

    def arrived(self, now: int, piece: RequestArrived) -> list[Any]:
        self.turns += 1
        mark = len(self.kept)
        self.marks = getattr(self, "marks", {}) | {mark: piece.request_id}
        return [RejectRequest(piece.request_id, 0), SetTimer(300_000, mark)]

    def due(self, now: int, mark: int) -> list[Any]:
        return [StartAttempt(self.marks[mark], self.next())]


def play(monkeypatch: pytest.MonkeyPatch, decisions: type[Plain] | None, more: str = "") -> dict[str, Any]:
    if decisions is not None:
        monkeypatch.setattr(node_module, "Scheduler", decisions)
    chosen = script.parse(more + QUIET if not more.startswith("[[") else QUIET + more)
    return in_virtual_time(chosen).outcome


def broken(told: dict[str, Any]) -> set[str]:
    return {rule for rule, count in told["rules"].items() if count}


def test_plain_decisions_break_nothing_where_nothing_goes_wrong(monkeypatch: pytest.MonkeyPatch) -> None:
    told = play(monkeypatch, Plain)
    assert not broken(told) and told["service"] > 0.5 and told["jobs"] > 100


# A worker that drains for long, as it is slow to finish what it has.
LINGERS = """
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


def errors(text: str) -> str:
    return text.replace("error_rate = 0.0", "error_rate = 0.3")


@pytest.mark.parametrize(
    ("decisions", "change", "incident", "rules"),
    [
        (Silent, None, "", {"lost"}),
        (Twice, errors, "", {"doubled"}),
        (DeniesWhatRan, errors, "", {"doubled"}),
        (Copies, None, "", {"copies"}),
        (Deaf, None, LINGERS, {"drain"}),
        (
            Pushes,
            None,
            '[[incident]]\nat = 1.0\nfor = 1.0\nwhat = "kill"\nwhom = "w1"\nspread = 0.0\n',
            {"pushed"},
        ),
        (Plain, None, "", set()),
    ],
)
def test_the_checker_catches_the_rule_that_is_broken_and_no_other(
    monkeypatch: pytest.MonkeyPatch,
    decisions: type[Plain],
    change: Callable[[str], str] | None,
    incident: str,
    rules: set[str],
) -> None:
    monkeypatch.setattr(node_module, "Scheduler", decisions)
    if decisions is Silent:
        monkeypatch.setattr(RequestTimeouts, "fail_overdue", lambda self, request: None)
    if decisions is Deaf:
        monkeypatch.setattr(
            endpoint_directory.EndpointDirectory, "accepts_requests", lambda self, worker: True
        )
    text = (change or str)(QUIET) + incident
    text = text.replace("incident = []\n", "" if incident else "incident = []\n")
    quick = "[roster]\nnotice = 0.2\nadd = 0.2\n[worker]\ncold_from = 0.1\nqueue = 99"
    text = text.replace("[worker]", quick)
    told = in_virtual_time(script.parse(text)).outcome
    assert broken(told) == rules, told["broken"][:5]


def test_nothing_may_be_sent_after_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """The node itself refuses such an order; without that the checker must see it."""
    release_settled = RequestRegistry.release_settled

    def forgetful(self: Any, held: Any) -> None:
        if held.attempts:
            release_settled(self, held)

    monkeypatch.setattr(RequestRegistry, "release_settled", forgetful)
    monkeypatch.setattr(
        records.OpenRequest,
        "is_open",
        property(lambda self: not self.attempts or not all(shot.outcome for shot in self.attempts)),
    )
    answer = RequestRegistry.respond

    def once(self: Any, submission: str, given: Any) -> None:
        held = self.open_requests.get(submission)
        if held is not None and not held.response.done():
            answer(self, submission, given)

    monkeypatch.setattr(RequestRegistry, "respond", once)
    assert "after" in broken(play(monkeypatch, AfterAll))


def test_a_late_answer_and_one_that_no_worker_made_are_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    answer = RequestRegistry.respond

    def late(self: Any, submission: str, given: Any) -> None:
        held = self.open_requests[submission]
        loop, deadline = asyncio.get_running_loop(), held.timer.when()
        loop.call_at(deadline + 0.3, answer, self, submission, given)

    monkeypatch.setattr(RequestRegistry, "respond", late)
    monkeypatch.setattr(RequestTimeouts, "time_out", lambda self, held: None)
    told = play(monkeypatch, Plain)
    assert broken(told) == {"late"} and set(told["answers"]) == {"late"}

    def forged(self: Any, submission: str, given: Any) -> None:
        given.body = b"made up"
        answer(self, submission, given)

    monkeypatch.setattr(RequestRegistry, "respond", forged)
    assert broken(play(monkeypatch, Plain)) == {"forged"}


def test_what_a_killed_dispatcher_held_is_its_clients_to_retry_and_blamed_on_nobody() -> None:
    text = QUIET.replace("incident = []\n", "").replace("retries = 0.0", "retries = 2.0")
    text += '[[incident]]\nat = 3.0\nfor = 1.0\nwhat = "kill-dispatcher"\nwhom = "d0"\n'
    told = in_virtual_time(script.parse(text)).outcome
    assert not broken(told) and told["answers"]["broken off"] > 0
    assert told["answers"]["no dispatcher"] > 0  # until the front has noticed


@pytest.mark.parametrize("point", ["before-202", "after-202", "before-started", "before-done"])
def test_a_worker_killed_at_the_worst_moment_breaks_nothing(point: str) -> None:
    text = QUIET.replace("incident = []\n", "")
    for number in range(4):
        text += f'[[incident]]\nat = {1 + number}.0\nfor = 1.0\nwhat = "trap"\nwhom = "w{number}"\n'
        text += f'point = "{point}"\n'
    told = in_virtual_time(script.parse(text)).outcome
    assert not broken(told) and told["service"] > 0.5
    assert any(one["up"] < 4 for one in told["over_time"])  # it did die


def test_callbacks_before_the_202_and_twice_change_nothing() -> None:
    text = QUIET.replace("early = 0.0", "early = 1.0\ntwice = 1.0")
    told = in_virtual_time(script.parse(text)).outcome
    assert not broken(told) and set(told["answers"]) <= {"done", "denied"}
    assert told["service"] > 0.9


def test_the_settings_given_to_dispatchers_are_those_of_the_script() -> None:
    settings = told_module.settings(
        Scenario(dispatcher=script.DispatcherSpec(settings={"Rules": {"Cold": 1.0}}))
    )
    assert settings["Rules"]["Cold"] == 1.0 and settings["Rules"]["OverloadFactor"] == 4.0
    assert [grade["Semantics"] for grade in settings["ServiceGrades"]] == ["free", "guarded", "guarded"]


def test_service_of_windows_and_of_the_worst_ten_seconds() -> None:
    told = in_virtual_time(script.parse(QUIET)).outcome
    assert len(told["windows_5s"]) == 2 and outcome.worst_window_service([], 8.0) is None
    assert told["worst_10s"] == told["service"]  # a day shorter than that is its own worst
