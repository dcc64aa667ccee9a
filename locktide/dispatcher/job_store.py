"""What a node asks of whoever keeps jobs durably; without one it asks nothing."""

from __future__ import annotations

from typing import Protocol

from locktide.dispatcher.records import OpenAttempt, OpenRequest


class JobStore(Protocol):
    """Joined to a node by `Node.join`; also stands between its server and it, as the server's desk."""

    def is_durable(self, held: OpenRequest) -> bool: ...

    async def grant_lease(self, held: OpenRequest, dispatch: OpenAttempt) -> bool:
        """Before the first byte of a dispatch; whether it may go out."""

    def attempt_ended(self, held: OpenRequest, dispatch: OpenAttempt) -> None:
        """A dispatch has its outcome."""
