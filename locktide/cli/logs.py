"""The log of everything but the platform's own path: one event name and its fields a line, by structlog."""

from __future__ import annotations

import sys
from contextlib import suppress
from enum import Enum
from typing import Any

import structlog

from locktide.transport.log import Log

FORMATS = ("text", "json")


def _plain(value: Any) -> Any:
    """Return the value of an enum, which a program can compare, and any other value as it is."""
    return value.value if isinstance(value, Enum) else value


class Structured(Log):
    """As the plain log, with the same limits on lines a second."""

    def __init__(self, name: str, form: str) -> None:
        super().__init__(name)
        renderer: Any = structlog.processors.JSONRenderer()
        if form == "text":
            renderer = structlog.dev.ConsoleRenderer(colors=False, pad_event_to=24)
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
            wrapper_class=structlog.BoundLogger,
        ).bind(dispatcher=name)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:
        if dropped:
            fields = {**fields, "left_out": dropped}
        fields = {name: _plain(value) for name, value in fields.items()}
        if not event:
            # The decisions' own lines: a subject, a colon and what is said of it.
            event, fields = "said", {"line": line, **fields}
        with suppress(OSError):
            self.logger.msg(event, **fields)
