"""Sections about the dispatcher itself: `[serve]`, `[limits]` and `[log]`."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import ADDRESS_PATTERN, ANY_PATTERN, NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class ServeSection(Section):
    """`[serve]`: name and addresses of the dispatcher; `poll_within` is in seconds."""

    name: Annotated[
        str, key("name of this dispatcher, the same after a restart", pattern=NOT_EMPTY_PATTERN)
    ] = "locktide"
    listen: Annotated[
        str, key("HOST:PORT where clients submit requests and workers call back", pattern=ADDRESS_PATTERN)
    ] = "127.0.0.1:7070"
    discovery: Annotated[str, key("HOST:PORT of the discovery service", pattern=ADDRESS_PATTERN)] = (
        msgspec.field(name="roster", default="127.0.0.1:8500")
    )
    seed: Annotated[int, key("seed of random draws; 0: a new one at each start", ge=0, lt=2**62)] = 0
    zone: Annotated[str, key("zone (data centre) of this dispatcher", pattern=ANY_PATTERN)] = ""
    polled: Annotated[
        bool, key("whether discovery is polled, and sparingly, as each poll is work for others")
    ] = msgspec.field(name="ask", default=False)
    poll_within: Annotated[float, seconds("within which each dispatcher should then poll", gt=0)] = (
        msgspec.field(name="ask_within", default=10.0)
    )


class LimitsSection(Section):
    """`[limits]`: resources of the process; memory is in MiB."""

    descriptors: Annotated[int, key("file descriptors that the process may have open", ge=32)] = 1024
    memory_mb: Annotated[int, key("memory that the process may take, in MiB", ge=24)] = 192


class LogSection(Section):
    """`[log]`: how the log is written."""

    format: Annotated[Literal["text", "json"], key("format of the lines on standard error")] = "text"
