"""`[durable]`: durable jobs."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from locktide.config.installation.spellings import NOT_EMPTY_PATTERN
from locktide.config.toml_reader import Section, key, seconds


class DurableJobsSection(Section):
    """`[durable]`: jobs that are stored on disk; times are in seconds, the segment size is in MiB."""

    enabled: Annotated[bool, key("whether jobs are kept on disk")] = msgspec.field(name="on", default=False)
    directory: Annotated[
        str, key("where; one for each dispatcher, on a disk that lasts", pattern=NOT_EMPTY_PATTERN)
    ] = "/var/lib/locktide/jobs"
    service_classes: Annotated[list[str], key("the service grades that are kept")] = msgspec.field(
        name="grades", default_factory=list
    )
    detached_timeout: Annotated[
        float, seconds("for a job for which nobody waits, until it is given up", gt=0)
    ] = msgspec.field(name="limit", default=300.0)
    retention: Annotated[float, seconds("for which a final answer can be asked for", gt=0)] = msgspec.field(
        name="keep", default=600.0
    )
    max_open_jobs: Annotated[int, key("jobs at once; more are denied", ge=1)] = msgspec.field(
        name="most_open", default=100_000
    )
    start_timeout: Annotated[float, seconds("a lease lasts until a start is told", gt=0)] = msgspec.field(
        name="start_within", default=60.0
    )
    heartbeat_timeout: Annotated[float, seconds("a lease lasts from one word to the next", gt=0)] = (
        msgspec.field(name="beat_within", default=15.0)
    )
    resume_rate: Annotated[float, key("jobs taken up a second after a crash", gt=0)] = msgspec.field(
        name="pace", default=200.0
    )
    segment_mb: Annotated[float, key("megabytes after which the journal is compacted", gt=0)] = 16.0
    damaged: Annotated[Literal["refuse", "skip"], key("at a start with a damaged journal")] = "refuse"
