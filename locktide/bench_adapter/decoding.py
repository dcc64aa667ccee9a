"""Decodes the wire's messages to events, endpoint entries and configurations."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import TypeAlias

from locktide.bench_adapter import spellings
from locktide.bench_adapter.errors import MalformedLineError
from locktide.bench_adapter.line import (
    Fields,
    microseconds,
    parse_line,
    read_choice,
    read_integer,
    read_load,
    read_number,
    read_text,
)
from locktide.config.errors import ConfigError
from locktide.config.json_reader import JsonObject
from locktide.config.settings import scheduler_config
from locktide.scheduler.config import SchedulerConfig
from locktide.scheduler.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointEntry,
    Event,
    ProbeCompleted,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)

EventDecoder: TypeAlias = Callable[[Fields], Event | None]

#: Default rating of a worker.
DEFAULT_RATING = 1.0
#: Default width of a request, in slots.
DEFAULT_WIDTH = 1.0


def decode_config(settings: str) -> SchedulerConfig:
    """Return the configuration that an instance starts with, from the JSON of its settings."""
    try:
        return scheduler_config(JsonObject(json.loads(settings), spellings.SETTINGS))
    except (ConfigError, ValueError) as error:
        raise MalformedLineError(f"valid settings: {error}") from error


def decode_endpoint(line: str) -> EndpointEntry:
    """Return one entry of an endpoint list, from its line."""
    message, fields = parse_line(line)
    if message != spellings.ENDPOINT:
        raise MalformedLineError(spellings.ENDPOINT, repr(message))
    return EndpointEntry(
        worker=read_text(fields, spellings.WORKER),
        zone=fields.get(spellings.ZONE, ""),
        worker_type=fields.get(spellings.WORKER_TYPE, ""),
        cell=int(read_number(fields, spellings.CELL, 0)),
        state=read_choice(spellings.ENDPOINT_STATES, fields, spellings.STATE),
        rating=read_number(fields, spellings.RATING, DEFAULT_RATING),
        started_at=microseconds(fields.get(spellings.STARTED_AT, "0")),
    )


def decode_request(fields: Fields) -> RequestArrived:
    """Return the arrival of a request."""
    tenant = fields.get(spellings.TENANT, spellings.NO_TENANT)
    has_affinity = spellings.AFFINITY_KEY in fields
    return RequestArrived(
        request_id=read_integer(fields, spellings.REQUEST_ID),
        service_class=read_text(fields, spellings.SERVICE_CLASS),
        deadline=microseconds(read_text(fields, spellings.DEADLINE)),
        width=read_number(fields, spellings.WIDTH, DEFAULT_WIDTH),
        work_hint=microseconds(fields.get(spellings.WORK_HINT, "0")),
        tenant=None if tenant == spellings.NO_TENANT else tenant,
        is_retry=fields.get(spellings.IS_RETRY) == spellings.YES,
        affinity_key=read_integer(fields, spellings.AFFINITY_KEY) if has_affinity else None,
    )


def decode_response_start(fields: Fields) -> ResponseStarted:
    """Return the start of a worker's response."""
    return ResponseStarted(
        read_integer(fields, spellings.REQUEST_ID), read_integer(fields, spellings.ATTEMPT)
    )


def decode_worker_report(fields: Fields) -> AttemptStarted | AttemptProgressed | None:
    """Return the event of a worker's report on a running job; None for a report that has no event."""
    kind = read_integer(fields, spellings.REPORT_KIND)
    if kind == spellings.REPORT_STARTED:
        return AttemptStarted(
            read_integer(fields, spellings.REQUEST_ID), read_integer(fields, spellings.ATTEMPT)
        )
    if kind == spellings.REPORT_PROGRESSED:
        return AttemptProgressed(
            read_integer(fields, spellings.REQUEST_ID),
            read_integer(fields, spellings.ATTEMPT),
            read_number(fields, spellings.REPORT_VALUE, 0.0),
        )
    return None


def decode_attempt_end(fields: Fields) -> AttemptEnded:
    """Return the end of an attempt."""
    return AttemptEnded(
        request_id=read_integer(fields, spellings.REQUEST_ID),
        attempt=read_integer(fields, spellings.ATTEMPT),
        outcome=read_choice(spellings.OUTCOMES, fields, spellings.OUTCOME),
        is_final=fields.get(spellings.IS_FINAL) == spellings.YES,
        load=read_load(fields),
    )


def decode_client_disconnect(fields: Fields) -> ClientDisconnected:
    """Return the event that the client of a request has disconnected."""
    return ClientDisconnected(read_integer(fields, spellings.REQUEST_ID))


def decode_timer(fields: Fields) -> TimerFired:
    """Return the event that a timer has fired."""
    return TimerFired(read_integer(fields, spellings.TIMER_ID))


def decode_probe(fields: Fields) -> ProbeCompleted:
    """Return the end of a probe."""
    return ProbeCompleted(
        worker=read_text(fields, spellings.WORKER),
        outcome=read_choice(spellings.OUTCOMES, fields, spellings.OUTCOME),
        load=read_load(fields),
    )


def ignore_peer_message(_fields: Fields) -> None:
    """Ignore a message of another dispatcher: the schedulers here exchange no messages."""


EVENT_DECODERS: Mapping[str, EventDecoder] = {
    spellings.REQUEST_ARRIVED: decode_request,
    spellings.RESPONSE_STARTED: decode_response_start,
    spellings.WORKER_REPORT: decode_worker_report,
    spellings.ATTEMPT_ENDED: decode_attempt_end,
    spellings.CLIENT_DISCONNECTED: decode_client_disconnect,
    spellings.TIMER_FIRED: decode_timer,
    spellings.PROBE_COMPLETED: decode_probe,
    spellings.PEER_MESSAGE: ignore_peer_message,
}
