"""What every part of a dispatcher works with: the event loop, the clock and the log."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.dispatcher.clock import Clock
from locktide.transport.log import Log


@dataclass(frozen=True, slots=True, kw_only=True)
class Runtime:
    """The event loop, the clock and the log of one process."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    log: Log


@dataclass(slots=True)
class ServingState:
    """Where the process is between its start and its exit.

    Attributes:
        is_serving: Whether the listening socket is open.
        shutdown_deadline: By when new requests have to have their response, in seconds of the event loop; set
            once a shutdown limits them.
    """

    is_serving: bool = False
    shutdown_deadline: float | None = None
