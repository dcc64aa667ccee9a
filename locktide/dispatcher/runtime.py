"""What every part of a dispatcher works with: the event loop, the clock and the log."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.clock import Clock
from locktide.transport.log import Log


@dataclass(frozen=True, slots=True)
class Runtime:
    """The event loop, the clock and the log of one process."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    log: Log


@dataclass(slots=True)
class ServingState:
    """Where the process is between its start and its exit."""

    is_serving: bool = False
    shutdown_deadline: float | None = None  # by the loop's clock; set once a shutdown limits new requests
