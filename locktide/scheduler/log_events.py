"""Log events: what the scheduler has its host write to the log.

Each class is one event with an id `noun_verb` and typed fields; docs/oncall.md gives cause and action.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import ClassVar, TypeAlias

from locktide.scheduler.types import SuspicionReason, WorkerId


@dataclass(frozen=True, slots=True)
class WorkerSuspected:
    """A worker is taken to be unhealthy: it is sent probes only, until it is cleared.

    `policy/outlier_detection` says what clears it; `WorkerCleared` follows then.

    Attributes:
        worker: the id of the worker.
        reason: what was observed.
    """

    event_id: ClassVar[str] = "worker_suspected"
    worker: WorkerId
    reason: SuspicionReason


@dataclass(frozen=True, slots=True)
class WorkerCleared:
    """A suspected worker is sent requests again: a success, a renewed rating or time has cleared it.

    Attributes:
        worker: the id of the worker.
        suspected_ms: how long it was suspected, in milliseconds.
    """

    event_id: ClassVar[str] = "worker_cleared"
    worker: WorkerId
    suspected_ms: int


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request was rejected; written at most once in five seconds.

    Either it was not sent in time, or no further attempt of it is allowed.

    Attributes:
        service_class: the name of its service class.
        waited_ms: how long ago it arrived, in milliseconds.
        waiting: how many requests are in the pool.
        slots_in_flight: how many slots all attempts in flight take.
    """

    event_id: ClassVar[str] = "request_rejected"
    service_class: str
    waited_ms: int
    waiting: int
    slots_in_flight: float


@dataclass(frozen=True, slots=True)
class EndpointListFetchFailed:
    """A fetch of the endpoint list failed or timed out.

    Attributes:
        failures: how many fetches have failed in a row.
        retry_in_ms: when the next one starts, in milliseconds from now.
    """

    event_id: ClassVar[str] = "endpoint_list_fetch_failed"
    failures: int
    retry_in_ms: int


LogEvent: TypeAlias = WorkerSuspected | WorkerCleared | RequestRejected | EndpointListFetchFailed


def log_fields(event: LogEvent) -> dict[str, str | int | float]:
    """Return the fields of the event by name, in the order of their declaration."""
    return {field.name: getattr(event, field.name) for field in fields(event)}


def log_line(event: LogEvent) -> str:
    """Return the event as one line of text: its id, then `name=value` for each field."""
    values = [
        f"{name}={value:g}" if isinstance(value, float) else f"{name}={value}"
        for name, value in log_fields(event).items()
    ]
    return " ".join([event.event_id, *values])
