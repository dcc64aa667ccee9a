"""The simulator's wire, to and from the types of locktide.scheduler."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from locktide.config import settings
from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject
from locktide.scheduler.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    RejectRequest,
    ReportInternalError,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from locktide.scheduler.config import SchedulerConfig
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointEntry,
    ProbeCompleted,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from locktide.scheduler.log_events import log_line
from locktide.scheduler.types import AttemptOutcome, EndpointState, ListUpdateKind

Fields = dict[str, str]
Choice = TypeVar("Choice")

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
LISTS = {
    "INCREMENTAL": ListUpdateKind.DELTA,
    "FULL": ListUpdateKind.SNAPSHOT,
    "SAVED": ListUpdateKind.CACHED,
    "FAILED": ListUpdateKind.FETCH_FAILED,
}
OUTCOMES = {
    "OK": AttemptOutcome.DONE,
    "INTERNAL": AttemptOutcome.ERROR,
    "RESOURCE_EXHAUSTED": AttemptOutcome.FULL,
    "DEADLINE_EXCEEDED": AttemptOutcome.TIMED_OUT,
    "UNAVAILABLE": AttemptOutcome.NO_CONNECTION,
    "ABORTED": AttemptOutcome.RESET,
    "CANCELLED": AttemptOutcome.CANCELLED,
    "TOO_LATE": AttemptOutcome.NEVER_SENT,
}


class Malformed(Exception):
    """A line that the wire page does not allow; the text says what was expected."""


def micros(text: Any) -> int:
    """Milliseconds, fractions allowed, to whole microseconds."""
    try:
        return round(float(text) * 1000)
    except (ValueError, OverflowError):
        raise Malformed(f"expected a time in milliseconds, not {text!r}") from None


def millis(span: int) -> str:
    return f"{span / 1000:.3f}"


def split(line: str) -> tuple[str, Fields]:
    """A line into its message and its fields; a text field runs to the end of the line."""
    message, _, rest = line.partition(" ")
    if message == "SPAWN":  # Config is the one text field the simulator sends
        rest, _, text = rest.partition("Config=")
        tail = {"Config": text}
    else:
        tail = {}
    try:
        fields = dict([part.split("=", 1) for part in rest.split()])
    except ValueError:
        raise Malformed(f"expected name=value parts after {message}") from None
    fields.update(tail)
    return message, fields


def integer(fields: Fields, name: str) -> int:
    try:
        return int(fields[name])
    except KeyError:
        raise Malformed(f"expected the field {name}") from None
    except ValueError:
        raise Malformed(f"expected a whole number in {name}, not {fields[name]!r}") from None


def number(fields: Fields, name: str, absent: float) -> float:
    text = fields.get(name)
    if text is None:
        return absent
    try:
        return float(text)
    except ValueError:
        raise Malformed(f"expected a number in {name}, not {text!r}") from None


def word(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise Malformed(f"expected the field {name}") from None


def one_of(table: Mapping[str, Choice], fields: Fields, name: str) -> Choice:
    text = word(fields, name)
    try:
        return table[text]
    except KeyError:
        raise Malformed(f"expected one of {', '.join(table)} in {name}, not {text!r}") from None


def load(fields: Fields) -> dict[str, float]:
    text = fields.get("Load", "-")
    if text in ("-", ""):
        return {}
    try:
        return {name: float(value) for name, value in (pair.split(":", 1) for pair in text.split(","))}
    except ValueError:
        raise Malformed(f"expected name:value pairs in Load, not {text!r}") from None


def item(line: str) -> EndpointEntry:
    message, fields = split(line)
    if message != "ITEM":
        raise Malformed(f"expected ITEM, not {message!r}")
    return EndpointEntry(
        word(fields, "Worker"),
        fields.get("FailureDomain", ""),
        fields.get("Model", ""),
        int(number(fields, "Cluster", 0)),
        one_of(STATES, fields, "Readiness"),
        number(fields, "Rating", 1.0),
        micros(fields.get("StartedAt", 0)),
    )


def arrival(fields: Fields) -> RequestArrived:
    tenant = fields.get("ClientGroup", "0")
    return RequestArrived(
        integer(fields, "Corr"),
        word(fields, "Cls"),
        micros(word(fields, "GiveUpAt")),
        number(fields, "Width", 1.0),
        micros(fields.get("Work", 0)),
        None if tenant == "0" else tenant,
        fields.get("Repeat", "0") == "1",
        affinity_key=integer(fields, "NameKey") if "NameKey" in fields else None,
    )


def note(fields: Fields) -> AttemptStarted | AttemptProgressed | None:
    what = integer(fields, "What")
    if what == 1:
        return AttemptStarted(integer(fields, "Corr"), integer(fields, "Shot"))
    if what == 2:
        return AttemptProgressed(
            integer(fields, "Corr"), integer(fields, "Shot"), number(fields, "Value", 0.0)
        )
    return None


def ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        integer(fields, "Corr"),
        integer(fields, "Shot"),
        one_of(OUTCOMES, fields, "Verdict"),
        fields.get("Last", "0") == "1",
        load(fields),
    )


NEWS: dict[str, Callable[[Fields], Any]] = {
    "QUERY": arrival,
    "HEADERS": lambda fields: ResponseStarted(integer(fields, "Corr"), integer(fields, "Shot")),
    "NOTE": note,
    "ENDED": ended,
    "TIMED_OUT_CLIENT": lambda fields: ClientDisconnected(integer(fields, "Corr")),
    "DUE": lambda fields: TimerFired(integer(fields, "Cookie")),
    "PROBE_RESULT": lambda fields: ProbeCompleted(
        word(fields, "Worker"), one_of(OUTCOMES, fields, "Verdict"), load(fields)
    ),
    "NEIGHBOUR_SAYS": lambda fields: None,  # no dispatcher of ours tells another anything
}


def line(order: Any) -> str:
    """The wire line of one order."""
    if type(order) is StartAttempt:
        return f"FORWARD Corr={order.request_id} Worker={order.worker}"
    if type(order) is SetTimer:
        return f"WAKE_ME Delay={millis(order.delay)} Cookie={order.timer_id}"
    if type(order) is RejectRequest:
        return f"REJECT Corr={order.request_id} ComeBack={millis(order.retry_after)}"
    if type(order) is FailRequest:
        return f"FINISH_ERROR Corr={order.request_id}"
    if type(order) is CancelAttempt:
        return f"WITHDRAW Corr={order.request_id} Shot={order.attempt}"
    if type(order) is CloseIdleConnections:
        return f"CLOSE Worker={order.worker}"
    if type(order) is WatchEndpoints:
        return f"STREAM_CHANGES Want={int(order.enabled)}"
    if type(order) is FetchEndpoints:
        return "FETCH"
    if type(order) is ReportInternalError:  # a fault of ours is handed in here, not lived with
        raise RuntimeError(order.detail)
    return "WRITE_LOG Line=" + " ".join(log_line(order.event).split())


def scheduler_config(text: str) -> SchedulerConfig:
    """Reads the configuration of the scheduler out of the settings of a SPAWN line."""
    try:
        return settings.scheduler_config(JsonObject(json.loads(text), "Config"))
    except (ConfigError, ValueError) as trouble:
        raise Malformed(f"expected settings as on the wire page: {trouble}") from None
