"""`[durable]`: durable jobs."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class DurableJobsSection(Section):
    """`[durable]`: jobs that are stored on disk; times are in seconds, the segment size is in MiB."""

    enabled: Annotated[bool, key("whether jobs of durable.grades are stored on disk")] = msgspec.field(
        name="on", default=False
    )
    directory: Annotated[
        str,
        key("directory of the log; one for each dispatcher, on a persistent disk", pattern=NOT_EMPTY_PATTERN),
    ] = "/var/lib/locktide/jobs"
    service_classes: Annotated[list[str], key("the service grades whose jobs are durable")] = msgspec.field(
        name="grades", default_factory=list
    )
    detached_timeout: Annotated[float, seconds("timeout of a job that no client waits for", gt=0)] = (
        msgspec.field(name="limit", default=300.0)
    )
    retention: Annotated[
        float, seconds("time for which the result of a finished job can be queried", gt=0)
    ] = msgspec.field(name="keep", default=600.0)
    max_open_jobs: Annotated[int, key("open jobs at once; more are rejected", ge=1)] = msgspec.field(
        name="most_open", default=100_000
    )
    start_timeout: Annotated[
        float, seconds("duration of a lease until the worker reports the start", gt=0)
    ] = msgspec.field(name="start_within", default=60.0)
    heartbeat_timeout: Annotated[
        float, seconds("duration of a lease after each report of the worker", gt=0)
    ] = msgspec.field(name="beat_within", default=15.0)
    resume_rate: Annotated[float, key("jobs resumed per second after a crash", gt=0)] = msgspec.field(
        name="pace", default=200.0
    )
    segment_mb: Annotated[float, key("size in MiB at which the write-ahead log is compacted", gt=0)] = 16.0
    damaged: Annotated[Literal["refuse", "skip"], key("reaction to a damaged log at the start")] = "refuse"
