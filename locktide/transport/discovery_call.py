"""A call to discovery that is outstanding, and its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from locktide.config.address import Address
from locktide.protocol.discovery import DiscoveryUpdate
from locktide.transport.discovery_connection import DiscoveryConnection


@dataclass(frozen=True, slots=True)
class Answer:
    """The update of a call, and the connection that brought it."""

    update: DiscoveryUpdate
    connection: DiscoveryConnection


@dataclass(eq=False, slots=True, kw_only=True)
class Call:
    """One call to discovery; times are in seconds, moments in seconds of the event loop.

    Attributes:
        address: Address of discovery that was called.
        task: Makes the call.
        began_at: When the call was made.
        wait: For how long discovery may wait for a change.
        overdue_at: From when the call is overdue.
        is_superseded: Whether an earlier watch made it.
    """

    address: Address
    task: asyncio.Task[Answer]
    began_at: float
    wait: float
    overdue_at: float
    is_superseded: bool = False

    def delay(self, now: float) -> float:
        """Return by how much a response that arrives now is late."""
        return max(0.0, now - self.began_at - self.wait)

    def abandon(self) -> None:
        """End the call whatever has become of it."""
        self.task.cancel()
        self.task.add_done_callback(_discard)


def _discard(task: asyncio.Task[Answer]) -> None:
    """Close the connection of an answer that came too late, and retrieve an error."""
    if not task.cancelled() and task.exception() is None:
        task.result().connection.close()
