"""`[dispatches]`: attempts, that is, the sending of requests to workers."""

from __future__ import annotations

from typing import Annotated

import msgspec

from locktide.config.toml_reader import Section, key, seconds


class AttemptsSection(Section):
    """`[dispatches]`: how often and how requests are sent to workers; times are in seconds."""

    max_attempts: Annotated[int, key("maximum number of attempts of one request", ge=1, le=100)] = (
        msgspec.field(name="most", default=4)
    )
    can_cancel: Annotated[bool, key("whether workers accept cancellations")] = msgspec.field(
        name="may_withdraw", default=True
    )
    connect_timeout: Annotated[float, seconds("timeout for connecting to a worker", gt=0)] = msgspec.field(
        name="connect", default=0.25
    )
    idle_timeout: Annotated[float, seconds("idle time after which workers close connections", gt=0)] = (
        msgspec.field(name="idle", default=15.0)
    )
    max_retry_after: Annotated[float, seconds("longest Retry-After of a response; 0: none is sent")] = (
        msgspec.field(name="longest_advice", default=2.0)
    )
    round_interval: Annotated[float, seconds("between two rounds of the pool", gt=0)] = msgspec.field(
        name="round", default=0.004
    )
