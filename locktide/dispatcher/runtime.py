"""What the components of a dispatcher share: the event loop, the clock, the log and the serving state."""

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
    """Whether the process serves, and whether a shutdown limits new requests.

    Attributes:
        is_serving: Whether the listening socket is open.
        shutdown_deadline: Latest deadline of new requests, in seconds of the event loop; None until a
            shutdown limits them.
    """

    is_serving: bool = False
    shutdown_deadline: float | None = None
