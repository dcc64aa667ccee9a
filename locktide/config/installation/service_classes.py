"""`[[grade]]`: service classes."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import ANY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class ServiceClassSection(Section):
    """`[[grade]]`: one service class; times are in seconds."""

    name: Annotated[str, key("name, as in the path", pattern="^[A-Za-z0-9][A-Za-z0-9_.-]{0,60}$")]
    effect: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], key("how far a request may be repeated")
    ] = "reissuable"
    deduplication_scope: Annotated[
        Literal["everyone", "zone", "cell"],
        key("workers among which repeats of a numbered request are dropped"),
    ] = msgspec.field(name="group", default="cell")
    deduplication_window: Annotated[float, seconds("time for which repeats are dropped")] = msgspec.field(
        name="memory", default=40.0
    )
    latency_objective: Annotated[float, seconds("latency objective", gt=0)] = msgspec.field(
        name="soft", default=1.0
    )
    stretch: Annotated[float, key("multiple of the work by which the latency objective grows", ge=0)] = 0.0
    timeout: Annotated[float, seconds("timeout of a request", gt=0)] = msgspec.field(
        name="limit", default=10.0
    )
    priority_weight: Annotated[float, key("weight of a response within the latency objective", ge=0)] = (
        msgspec.field(name="revenue", default=1.0)
    )
    overdue_weight: Annotated[
        float, key("fraction of that weight for a response after the latency objective", ge=0, le=1)
    ] = msgspec.field(name="late", default=0.5)
    worker_type: Annotated[
        str, key("the only worker type that runs its requests; empty: any", pattern=ANY_PATTERN)
    ] = msgspec.field(name="model", default="")
    allowed_worker_types: Annotated[
        list[str], key("worker types to which requests may be sent at all; empty: any")
    ] = msgspec.field(name="models", default_factory=list)
    allowed_zones: Annotated[list[str], key("zones to which requests may be sent at all; empty: any")] = (
        msgspec.field(name="zones", default_factory=list)
    )
    resource_needs: Annotated[
        dict[str, float], key("amount of each accord.resource that a request takes, per slot of its width")
    ] = msgspec.field(name="holds", default_factory=dict)
