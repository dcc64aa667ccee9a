"""Sections about workers: `[workers]`, and `[[known]]` for those known before discovery responds."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import ADDRESS_PATTERN, ANY_PATTERN, NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class WorkersSection(Section):
    """`[workers]`: how workers start, report and drain; times are in seconds."""

    dispatcher_count: Annotated[int, key("how many dispatchers share the fleet", ge=1)] = msgspec.field(
        name="dispatchers", default=1
    )
    close_idle_within: Annotated[
        float, seconds("within which idle connections to a draining worker close; 0: no limit")
    ] = msgspec.field(name="hang_up", default=0.0)
    reports_start: Annotated[bool, key("whether workers report the start of a job")] = msgspec.field(
        name="tells_start", default=True
    )
    report_interval: Annotated[float, seconds("between two progress reports of a job; 0: no reports")] = (
        msgspec.field(name="progress", default=1.0)
    )
    initial_capacity: Annotated[
        float, key("fraction of its speed that a worker has at its start", gt=0, le=1)
    ] = msgspec.field(name="cold_from", default=0.3)
    warmup: Annotated[float, seconds("from its start until it is warm")] = msgspec.field(
        name="cold_for", default=9.0
    )
    overload_factor: Annotated[float, key("multiple of its capacity that overloads a cold worker", gt=0)] = (
        msgspec.field(name="fall_factor", default=4.0)
    )
    overload_window: Annotated[float, seconds("the window in which that load arrives")] = msgspec.field(
        name="fall_for", default=2.0
    )
    ratings: Annotated[
        Literal["silent", "nominal", "rough", "live"],
        key("what discovery's capacity_hint states: nothing, a size, or, if live, one that falls with load"),
    ] = "silent"


class KnownWorkerSection(Section):
    """`[[known]]`: a worker known at the start, until discovery responds."""

    uid: Annotated[str, key("name, as in the endpoint list of discovery", pattern=NOT_EMPTY_PATTERN)]
    endpoint: Annotated[str, key("HOST:PORT of the worker", pattern=ADDRESS_PATTERN)]
    zone: Annotated[str, key("zone (data centre)", pattern=ANY_PATTERN)] = ""
    worker_type: Annotated[str, key("worker type", pattern=ANY_PATTERN)] = msgspec.field(
        name="model", default=""
    )
    cell: Annotated[int, key("the cell (pod) whose workers deduplicate together", ge=0)] = 0
