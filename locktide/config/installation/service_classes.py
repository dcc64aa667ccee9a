"""`[[grade]]`: service classes."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import ANY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class ServiceClassSection(Section):
    """`[[grade]]`: one service class; times are in seconds."""

    name: Annotated[str, key("as in the path", pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,60}$")]
    effect: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], key("how far it may be repeated")
    ] = "reissuable"
    deduplication_scope: Annotated[
        Literal["everyone", "zone", "cell"], key("who drops a repeat of a numbered one")
    ] = msgspec.field(name="group", default="cell")
    deduplication_window: Annotated[float, seconds("for which repeats are dropped")] = msgspec.field(
        name="memory", default=40.0
    )
    latency_objective: Annotated[float, seconds("soft limit", gt=0)] = msgspec.field(name="soft", default=1.0)
    stretch: Annotated[float, key("the soft limit grows by this multiple of the work", ge=0)] = 0.0
    timeout: Annotated[float, seconds("time limit", gt=0)] = msgspec.field(name="limit", default=10.0)
    priority_weight: Annotated[float, key("of one answered within the soft limit", ge=0)] = msgspec.field(
        name="revenue", default=1.0
    )
    overdue_weight: Annotated[float, key("part of the revenue after the soft limit", ge=0, le=1)] = (
        msgspec.field(name="late", default=0.5)
    )
    worker_type: Annotated[
        str, key("the one kind of worker that runs it; empty for any", pattern=ANY_PATTERN)
    ] = msgspec.field(name="model", default="")
    allowed_worker_types: Annotated[
        list[str], key("kinds of worker to which it may be sent at all; empty for any")
    ] = msgspec.field(name="models", default_factory=list)
    allowed_zones: Annotated[list[str], key("zones to which it may be sent at all; empty for any")] = (
        msgspec.field(name="zones", default_factory=list)
    )
    resource_needs: Annotated[
        dict[str, float], key("what one holds of each accord.resource, for each slot of its width")
    ] = msgspec.field(name="holds", default_factory=dict)
