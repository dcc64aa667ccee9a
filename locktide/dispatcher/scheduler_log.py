"""Writes the log events of the scheduler to the log of the process."""

from typing import Any

from locktide.scheduler.log_events import LogEvent, log_fields, log_line
from locktide.transport.log import Log


def emit_log_event(log: Log, event: LogEvent) -> None:
    """Write the event with its id and fields, and with a readable text."""
    fields: dict[str, Any] = dict(log_fields(event))
    log.emit(log_line(event), event=event.event_id, **fields)
