"""The structured log of `locktide serve`: an event and its fields on each line, written by structlog."""

from __future__ import annotations

import sys
from contextlib import suppress
from enum import Enum
from typing import Any

import structlog

from locktide.transport.log import Log

FORMATS = ("text", "json")


def _unwrap_enum(value: Any) -> Any:
    """Return the value of an enum member, which a program can compare, and any other value unchanged."""
    return value.value if isinstance(value, Enum) else value


class StructuredLog(Log):
    """Writes lines as text or JSON; limits their rate like the plain log."""

    def __init__(self, name: str, line_format: str) -> None:
        super().__init__(name)
        renderer: Any = structlog.processors.JSONRenderer()
        if line_format == "text":
            renderer = structlog.dev.ConsoleRenderer(colors=False, pad_event_to=24)
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
            wrapper_class=structlog.BoundLogger,
        ).bind(dispatcher=name)

    def write(self, line: str, dropped: int, event: str, fields: dict[str, Any]) -> None:
        if dropped:
            fields = {**fields, "left_out": dropped}
        fields = {name: _unwrap_enum(value) for name, value in fields.items()}
        if not event:
            # Lines about the scheduler's decisions have no event id, only a text.
            event, fields = "said", {"line": line, **fields}
        with suppress(OSError):
            self.logger.msg(event, **fields)
