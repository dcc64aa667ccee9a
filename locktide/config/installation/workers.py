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
        float, seconds("within which idle connections to one that drains close; 0: any")
    ] = msgspec.field(name="hang_up", default=0.0)
    reports_start: Annotated[bool, key("workers tell when a job starts")] = msgspec.field(
        name="tells_start", default=True
    )
    report_interval: Annotated[float, seconds("between two words on a job's progress; 0 for none")] = (
        msgspec.field(name="progress", default=1.0)
    )
    initial_capacity: Annotated[
        float, key("part of its speed that a worker has at its start", gt=0, le=1)
    ] = msgspec.field(name="cold_from", default=0.3)
    warmup: Annotated[float, seconds("until it is warm")] = msgspec.field(name="cold_for", default=9.0)
    overload_factor: Annotated[float, key("so many times what it can do knocks a cold one over", gt=0)] = (
        msgspec.field(name="fall_factor", default=4.0)
    )
    overload_window: Annotated[float, seconds("the window over which that is counted")] = msgspec.field(
        name="fall_for", default=2.0
    )
    ratings: Annotated[
        Literal["silent", "nominal", "rough", "live"],
        key("what the roster's capacity_hint is: nothing, a size, or, live, one that falls with load"),
    ] = "silent"


class KnownWorkerSection(Section):
    """`[[known]]`: a worker known at the start, until discovery responds."""

    uid: Annotated[str, key("as in the roster", pattern=NOT_EMPTY_PATTERN)]
    endpoint: Annotated[str, key("HOST:PORT", pattern=ADDRESS_PATTERN)]
    zone: Annotated[str, key("data centre", pattern=ANY_PATTERN)] = ""
    worker_type: Annotated[str, key("kind of machine", pattern=ANY_PATTERN)] = msgspec.field(
        name="model", default=""
    )
    cell: Annotated[int, key("the pod that shares a memory of repeats", ge=0)] = 0
