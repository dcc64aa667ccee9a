"""Log lines for steps of a request that came late because the process got no processor.

A response that is late, or an attempt that tells its worker too much time, looks alike whether the process
was held up or made a mistake; these lines tell the two apart.
"""

from __future__ import annotations

from enum import Enum

from locktide.transport.log import Log

#: Least delay that is logged, in seconds: at a tenth of a core a process is held up for 90 ms at worst.
MIN_LOGGED_DELAY = 0.1


class DelayedStep(Enum):
    """A step of a request, as the log names it."""

    READING = "it was read"
    WRITING = "its attempt was written"
    TIMING_OUT = "its deadline was noticed"


def log_delay(log: Log, request_id: str, step: DelayedStep, delay: float) -> None:
    """Log that a step of a request came so many seconds late, where that is long.

    Args:
        log: The log.
        request_id: The request.
        step: What came late.
        delay: Seconds since it could have come: since the last byte of the request came, since the clock was
            read for the attempt, or since the deadline.
    """
    if delay < MIN_LOGGED_DELAY:
        return
    log.emit(
        f"request {request_id}: held up for {delay:.3f} s before {step.value}",
        "delays",
        event="request_held_up",
        request=request_id,
        step=step.name.lower(),
        seconds=round(delay, 3),
    )
