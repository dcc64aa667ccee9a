"""Log events: what the host writes to the log for the scheduler.

Each class is one event with an id of the form `noun_verb` and typed fields. docs/oncall.md describes the
cause of each event and what to do about it.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import ClassVar, TypeAlias

from locktide.scheduler.types import SuspicionReason, WorkerId


@dataclass(frozen=True, slots=True)
class WorkerSuspected:
    """A worker is suspected of being unhealthy; until it is cleared it is sent only probes.

    `policy/outlier_detection` lists what clears a worker. `WorkerCleared` is logged then.

    Attributes:
        worker: the id of the worker.
        reason: the observation that led to the suspicion.
    """

    event_id: ClassVar[str] = "worker_suspected"
    worker: WorkerId
    reason: SuspicionReason


@dataclass(frozen=True, slots=True)
class WorkerCleared:
    """A suspected worker is sent requests again: after a success, a changed rating, or with time.

    Attributes:
        worker: the id of the worker.
        suspected_ms: how long it was suspected, in milliseconds.
    """

    event_id: ClassVar[str] = "worker_cleared"
    worker: WorkerId
    suspected_ms: int


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request was rejected; logged at most once in five seconds.

    Either no worker with capacity was found in time, or no further attempt of the request is allowed.

    Attributes:
        service_class: the name of its service class.
        waited_ms: time since the request arrived, in milliseconds.
        waiting: the number of requests in the pool.
        slots_in_flight: the number of slots that all attempts in flight take.
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
        failures: the number of consecutive failed fetches.
        retry_in_ms: time until the next fetch, in milliseconds.
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
