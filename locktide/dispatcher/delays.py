"""Log lines for steps of a request that were late because the process got no processor time.

A late response, or an attempt that gives its worker more time than is left, looks the same whether the
process was held up or has a bug; these lines distinguish the two.
"""

from __future__ import annotations

from enum import Enum

from locktide.transport.log import Log

#: Shortest delay that is logged, in seconds: with a tenth of a core, a process is held up for up to 90 ms.
MIN_LOGGED_DELAY = 0.1


class DelayedStep(Enum):
    """A step of a request that may be late; the value is its text in the log."""

    READING = "it was read"
    WRITING = "its attempt was written"
    TIMING_OUT = "its deadline was noticed"


def log_delay(log: Log, request_id: str, step: DelayedStep, delay: float) -> None:
    """Log a step of a request that was late by at least `MIN_LOGGED_DELAY`.

    Args:
        log: The log.
        request_id: Id of the request.
        step: The step.
        delay: Seconds since the step was possible: since the last byte of the request arrived, since the
            clock was read for the attempt, or since the deadline.
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
